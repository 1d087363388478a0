package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"lovageshift/standin"
)

// runOddRecord has a replica leave. Another writer then writes an entry without all fields under its id, which names no replica
// to use.
func runOddRecord(b *bed) (verdict, error) {
	const entries = 3
	type arrival struct {
		id, replica string
		at          time.Time
	}
	var mutex sync.Mutex
	var arrivals []arrival
	b.operate(configuration(3, newKey))
	for number := range 3 {
		r, err := b.addReplica(fmt.Sprintf("i-app%d", number), app, "v1")
		if err != nil {
			return verdict{}, err
		}
		r.onRun = func(r *replica, _ string, req *http.Request) {
			mutex.Lock()
			defer mutex.Unlock()
			arrivals = append(arrivals, arrival{req.Header.Get("Lovageshift-Request-Id"), r.id, time.Now()})
		}
	}
	if err := b.startAll(entries); err != nil {
		return verdict{}, err
	}
	c := newClients(b)
	start := time.Now()
	b.tasks.Go(func() error {
		c.steady(entries, 20, start.Add(10*time.Second), newKey)
		return nil
	})
	sleep(start, 2*time.Second)
	leaving := b.replicas[0]
	leaving.drain()
	acked := time.Now()
	sleep(start, 5*time.Second)
	if b.trouble {
		b.store.Put(standin.TargetKeyPrefix+leaving.id, map[string]any{
			"service": app, "address": leaving.address(), "zone": zones[0], "state": "ready", "seq": 1,
		})
		b.note("another writer has written an entry under the id %s without version, slots and cold_remaining_ms", leaving.id)
	}
	sleep(start, 10500*time.Millisecond)
	c.wait()
	mutex.Lock()
	defer mutex.Unlock()
	result := verdict{rule: "DRAIN"}
	before := 0
	for _, a := range arrivals {
		late := a.at.Sub(acked)
		switch {
		case a.replica != leaving.id:
		case late < 0:
			before++
		case late > drainBound:
			result.breaks = append(result.breaks, fmt.Sprintf("%s reached %s %d ms after the store accepted that it is draining", a.id, a.replica, late.Milliseconds()))
		}
	}
	b.note("%d requests reached %s before it was draining", before, leaving.id)
	if before < 5 {
		return verdict{}, fmt.Errorf("%w: only %d requests reached the replica before", errNotRun, before)
	}
	return result, nil
}
