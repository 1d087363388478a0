package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// The longest freeze and the longest cut of the site file, and the time after which a fault must no longer be felt.
const (
	freezeTime   = 4 * time.Second
	cutTime      = 12 * time.Second
	recoveryTime = 12 * time.Second
)

// runReturnedEntry freezes the entry that started last of five, cuts it off from the others as it goes on, and brings it back. More
// than recoveryTime later, a quarter of the requests at least must be served, all of which are within the tenant's allowance.
func runReturnedEntry(b *bed) (verdict, error) {
	const (
		entries = 5
		last    = entries - 1
		begin   = 40 * time.Second
		end     = 83 * time.Second
	)
	config := configuration(3, newKey)
	tenant := config["tenants"].([]map[string]any)[0]
	tenant["plain_tokens"], tenant["rate_per_s"], tenant["burst"] = 1000, 20000, 20000
	b.operate(config)
	for number := range 3 {
		if _, err := b.addReplica(fmt.Sprintf("i-app%d", number), app, "v1"); err != nil {
			return verdict{}, err
		}
	}
	var others []string
	for number := range last {
		others = append(others, b.entryHost(number))
	}
	for number := range b.replicas {
		others = append(others, b.replicaHost(number))
	}
	link, err := b.startRelay(b.entryHost(last), others)
	if err != nil {
		return verdict{}, err
	}
	defer link.close()
	b.behindRelay = map[int]bool{last: true}
	if err := b.startAll(last); err != nil {
		return verdict{}, err
	}
	if err := b.startEntry(last, entries, false); err != nil {
		return verdict{}, err
	}
	if err := b.awaitContact(entries); err != nil {
		return verdict{}, err
	}
	c := newClients(b)
	start := time.Now()
	b.tasks.Go(func() error {
		c.plain(15, start.Add(begin-freezeTime), last)
		return nil
	})
	b.tasks.Go(func() error {
		c.plain(1, start.Add(begin-freezeTime), 0, 1, 2, 3)
		sleep(start, begin)
		c.plain(3, start.Add(end), 0, 1, 2, 3, last)
		return nil
	})
	sleep(start, begin-freezeTime+100*time.Millisecond)
	if b.trouble {
		if err := b.signalEntry(last, syscall.SIGSTOP); err != nil {
			return verdict{}, err
		}
	}
	sleep(start, begin)
	if b.trouble {
		link.isCut.Store(true)
		b.note("front-%d is cut off from the others", last)
		if err := b.signalEntry(last, syscall.SIGCONT); err != nil {
			return verdict{}, err
		}
	}
	sleep(start, begin+cutTime)
	if b.trouble {
		link.isCut.Store(false)
		b.note("front-%d is no longer cut off", last)
	}
	sleep(start, end+3*time.Second)
	result := verdict{rule: "RECOVER"}
	before, servedBefore, after := 0, 0, 0
	for _, a := range c.wait() {
		served := a.status == http.StatusOK && a.err == nil
		switch at := a.sentAt.Sub(start); {
		case at < begin-freezeTime:
			before++
			if served {
				servedBefore++
			}
		case at > begin+cutTime+recoveryTime:
			after++
			if !served {
				result.breaks = append(result.breaks, fmt.Sprintf("%s, sent to %s %.1f s after the cut, is not served: status %d",
					a.id, a.entry, (at-begin-cutTime).Seconds(), a.status))
			}
		}
	}
	// The rule is broken if less than a quarter is served.
	result.allowed = after * 3 / 4
	b.note("before the cut %d of %d requests were served, later than %v after it %d of %d",
		servedBefore, before, recoveryTime, after-len(result.breaks), after)
	if servedBefore*4 < before || after < 100 {
		return verdict{}, fmt.Errorf("%w: %d of %d requests were served before the cut, %d were sent after it", errNotRun, servedBefore, before, after)
	}
	return result, nil
}

// plain sends plain requests with newKey to each of the entries, so many a second each, until the time.
func (c *clients) plain(perSecond int, until time.Time, entries ...int) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for number := 0; time.Now().Before(until); number++ {
		<-tick.C
		for _, entry := range entries {
			c.send(entry, http.MethodGet, fmt.Sprintf("%s%d", plainPrefix, number), newKey, 2500*time.Millisecond)
		}
	}
}
