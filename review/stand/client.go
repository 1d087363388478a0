package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attempt is one attempt of a client, as it saw it.
type attempt struct {
	id, key, entry string
	sentAt         time.Time
	status         int
	// versions are the software versions of the replicas whose events, or whose answer, it got, in this order.
	versions []string
	// replicas are their ids.
	replicas []string
	events   int
	// ended is set if the answer ended after a whole event.
	ended bool
	err   error
}

// clients are stand-ins of clients.
type clients struct {
	bed *bed

	mutex    sync.Mutex
	count    int
	attempts map[string]*attempt
	waiting  sync.WaitGroup
}

func newClients(b *bed) *clients { return &clients{bed: b, attempts: map[string]*attempt{}} }

// send sends a request to an entry on a new channel in the background.
func (c *clients) send(entry int, method, path, key string, deadline time.Duration) {
	c.sendPrompt(entry, method, path, key, "5c1e07a2:60", deadline)
}

// sendPrompt is send with the parts of the prompt that the request shares with others.
func (c *clients) sendPrompt(entry int, method, path, key, shared string, deadline time.Duration) {
	c.mutex.Lock()
	c.count++
	a := &attempt{id: fmt.Sprintf("%016x", 0x1c41d07b<<32+c.count), key: key, entry: fmt.Sprintf("front-%d", entry), sentAt: time.Now()}
	c.attempts[a.id] = a
	c.mutex.Unlock()
	c.waiting.Go(func() {
		c.exchange(a, c.bed.entryHost(entry), method, path, shared, deadline)
		c.bed.note("%s %s via %s, key %s, sent %s: status %d, events %d, from %v, error %v",
			method, a.id, a.entry, a.key, c.bed.since(a.sentAt), a.status, a.events, a.replicas, a.err)
	})
}

func (c *clients) exchange(a *attempt, ip, method, path, shared string, deadline time.Duration) {
	req, err := http.NewRequestWithContext(c.bed.context, method, "http://"+address(ip, callerPort)+path, nil)
	if err != nil {
		a.err = err
		return
	}
	req.Host = host
	req.Header.Set("Lovageshift-Request-Id", a.id)
	req.Header.Set("Lovageshift-Deadline-Milliseconds", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("Authorization", "Token "+a.key)
	if isStream(path) {
		req.Header.Set("Lovageshift-Model", "m")
		req.Header.Set("Lovageshift-Token-Counts", fmt.Sprintf("628,%d", streamEvents*6))
		req.Header.Set("Lovageshift-Prompt-Prefix", shared+","+a.id[8:]+":568")
	}
	client := http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(req)
	if err != nil {
		a.err = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status = response.StatusCode
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		a.readLine(lines.Text(), isStream(path))
	}
	if a.err = lines.Err(); errors.Is(a.err, io.ErrUnexpectedEOF) {
		a.err = errors.New("the channel was closed in the middle of the answer")
	}
}

func isStream(path string) bool {
	return strings.HasPrefix(path, streamPrefix) || strings.HasPrefix(path, draftPrefix)
}

// readLine takes over which replica sent a line of the answer.
func (a *attempt) readLine(line string, inStream bool) {
	if a.status != http.StatusOK {
		return
	}
	a.ended = line == ""
	line, isData := strings.CutPrefix(line, "data: ")
	fields := strings.Fields(line)
	if inStream && !isData || len(fields) < 2 {
		return
	}
	a.events++
	if last := len(a.replicas) - 1; last < 0 || a.replicas[last] != fields[0] || a.versions[last] != fields[1] {
		a.replicas, a.versions = append(a.replicas, fields[0]), append(a.versions, fields[1])
	}
}

// wait waits until all attempts have ended, and returns them.
func (c *clients) wait() map[string]*attempt {
	c.waiting.Wait()
	return c.attempts
}

// steady sends plain requests with each of the keys to each entry, so many a second each, until the time.
func (c *clients) steady(entries int, perSecond int, until time.Time, keys ...string) {
	tick := time.NewTicker(time.Second / time.Duration(perSecond))
	defer tick.Stop()
	for number := 0; time.Now().Before(until); number++ {
		<-tick.C
		for entry := range entries {
			for _, key := range keys {
				c.send(entry, http.MethodGet, fmt.Sprintf("%s%d", plainPrefix, number), key, 2500*time.Millisecond)
			}
		}
	}
}
