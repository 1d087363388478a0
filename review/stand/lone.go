package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// Requests with this part of a prompt crash each replica that begins to write an answer.
	fatalPart = "b4d0ffa1"
	// A replica crashes so long after the arrival of such a request, and is back after crashTime.
	crashDelay = 30 * time.Millisecond
	crashTime  = 2000 * time.Millisecond
	// So many requests with the part may reach replicas later than contact after the crash of this number.
	fatalAllowed = 3
	countedCrash = 5
)

// runLoneEntry loses two of three entries. The one that is left gets sound requests, and others with a part of a prompt that
// crashes replicas. It must stop these.
func runLoneEntry(b *bed) (verdict, error) {
	const entries = 3
	var mutex sync.Mutex
	var arrivals []time.Time
	b.operate(configuration(3, newKey))
	for number := range 4 {
		r, err := b.addReplica(fmt.Sprintf("i-pool%d", number), pool, "v1")
		if err != nil {
			return verdict{}, err
		}
		r.onRun = func(r *replica, version string, req *http.Request) {
			if !strings.Contains(req.Header.Get("Lovageshift-Prompt-Prefix"), fatalPart) {
				return
			}
			mutex.Lock()
			arrivals = append(arrivals, time.Now())
			mutex.Unlock()
			b.note("%s with the fatal part reaches %s, which crashes", req.Header.Get("Lovageshift-Request-Id"), r.id)
			time.Sleep(crashDelay)
			r.crash()
			time.AfterFunc(crashTime, func() {
				if b.context.Err() == nil {
					_ = r.start(version)
				}
			})
			panic(http.ErrAbortHandler)
		}
	}
	if err := b.startAll(entries); err != nil {
		return verdict{}, err
	}
	if b.trouble {
		for number := 1; number < entries; number++ {
			if err := b.killEntry(number); err != nil {
				return verdict{}, err
			}
		}
	}
	time.Sleep(contact + 2*time.Second)
	c := newClients(b)
	start := time.Now()
	sound := 0
	for number := range 200 {
		sleep(start, time.Duration(number)*125*time.Millisecond)
		path := fmt.Sprintf("%s%d", draftPrefix, number)
		c.send(0, http.MethodPost, path, newKey, 15*time.Second)
		sound++
		if number >= 16 && number%10 == 0 {
			c.sendPrompt(0, http.MethodPost, path, newKey, "5c1e07a2:60,"+fatalPart+":40", 15*time.Second)
		}
	}
	complete := 0
	for _, a := range c.wait() {
		if a.err == nil && a.status == http.StatusOK && a.events == streamEvents {
			complete++
		}
	}
	b.note("%d of %d sound streams were complete", complete, sound)
	mutex.Lock()
	defer mutex.Unlock()
	if complete < 20 || len(arrivals) < 3 {
		return verdict{}, fmt.Errorf("%w: %d streams were complete, %d requests crashed replicas", errNotRun, complete, len(arrivals))
	}
	result := verdict{rule: "BUDGET", allowed: fatalAllowed}
	counted := arrivals[min(countedCrash, len(arrivals))-1].Add(crashDelay)
	for number, at := range arrivals {
		if late := at.Sub(counted); number >= countedCrash && late > contact {
			result.breaks = append(result.breaks, fmt.Sprintf("a request with the part reached a replica %d ms after the fifth crash", late.Milliseconds()))
		}
	}
	return result, nil
}
