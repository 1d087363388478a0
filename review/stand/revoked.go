package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	oldKey = "n2ctnfzs989anu6wsjnb"
	newKey = "i9n73hh2b9wu3fexd9dn"
)

// runRevokedKey takes a key away. More than revokeTime later, the store comes back from a copy that was made before, and an
// entry starts again. Until the operator writes the configuration again, the entry must not accept the key.
func runRevokedKey(b *bed) (verdict, error) {
	const entries = 3
	type ranRequest struct {
		id, replica string
	}
	var mutex sync.Mutex
	var ran []ranRequest
	b.operate(configuration(3, oldKey, newKey))
	for number := range 2 {
		r, err := b.addReplica(fmt.Sprintf("i-app%d", number), app, "v1")
		if err != nil {
			return verdict{}, err
		}
		r.onRun = func(r *replica, _ string, req *http.Request) {
			mutex.Lock()
			defer mutex.Unlock()
			ran = append(ran, ranRequest{req.Header.Get("Lovageshift-Request-Id"), r.id})
		}
	}
	if err := b.startAll(entries); err != nil {
		return verdict{}, err
	}
	c := newClients(b)
	start := time.Now()
	b.tasks.Go(func() error {
		c.steady(entries, 10, start.Add(15*time.Second), oldKey, newKey)
		return nil
	})
	sleep(start, time.Second)
	older := b.store.Copy()
	b.note("copy of the store")
	sleep(start, 1500*time.Millisecond)
	acked := b.operate(configuration(7, newKey))
	sleep(start, 6*time.Second)
	if b.trouble {
		b.storeAway(true)
	}
	sleep(start, 6200*time.Millisecond)
	if err := b.killEntry(0); err != nil {
		return verdict{}, err
	}
	sleep(start, 6700*time.Millisecond)
	if err := b.startEntry(0, entries, false); err != nil {
		return verdict{}, err
	}
	sleep(start, 7*time.Second)
	if b.trouble {
		b.store.Restore(older)
		b.note("the store has come back from the copy")
		b.storeBack()
		sleep(start, 8*time.Second)
		b.operate(configuration(7, newKey))
	}
	sleep(start, 15500*time.Millisecond)
	attempts := c.wait()
	mutex.Lock()
	defer mutex.Unlock()
	result := verdict{rule: "CONFIG"}
	served := 0
	for _, one := range ran {
		a := attempts[one.id]
		if a.key == newKey {
			served++
			continue
		}
		if late := a.sentAt.Sub(acked); late > revokeTime {
			result.breaks = append(result.breaks, fmt.Sprintf("%s, sent to %s with the key %s %d ms after it was taken away, ran at %s",
				one.id, a.entry, a.key, late.Milliseconds(), one.replica))
		}
	}
	b.note("%d requests with the other key ran", served)
	if served < 100 {
		return verdict{}, fmt.Errorf("%w: only %d requests with the other key ran", errNotRun, served)
	}
	return result, nil
}
