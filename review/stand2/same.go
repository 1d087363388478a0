package main

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"lovageshift/standin"
)

const (
	samePlay  = 90 * time.Second
	sameCrash = 10 * time.Second // until one replica crashes, once
	// Interval of the sound requests. Every other one is of the tenant whose users all ask the same.
	sameInterval = 125 * time.Millisecond
	sameTimeout  = 12 * time.Second
)

// playSame lets the users of one tenant ask the same question, and one replica of six crash once.
func playSame(p *play) (bool, error) {
	b := p.bed
	for number := range 6 {
		b.addHost(number, func(id string) *standin.Replica {
			return &standin.Replica{ID: id, Service: "pool", Slots: 15, EventCount: 32, EventInterval: 250 * time.Millisecond}
		})
	}
	b.store.Put(standin.ConfigKey, catalogOf(route("draft", "streaming", "pool", sameTimeout, 500*time.Millisecond, 2)))
	if err := b.run(3, 6, 284); err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), samePlay)
	defer cancel()
	if p.trouble {
		time.AfterFunc(sameCrash, func() {
			p.record.note("%s crashes", b.hosts[0].replicas()[0].ID)
			b.hosts[0].crash()
		})
	}
	tenants := []*share{{statuses: map[int]int{}}, {statuses: map[int]int{}}}
	var others atomic.Int64
	every(ctx, sameInterval, func(number int) {
		if number%2 == 0 {
			first := int(others.Add(1))
			tenants[0].add(p.ask(first, callerKey, fmt.Sprintf("/draft/%d", number)))
			return
		}
		tenants[1].add(p.ask(0, fatalKey, "/draft/hours")) // its clients' zone has one entry
	})
	return p.judgeShares(tenants), nil
}

// ask sends a request to an entry and, if it is refused, once more to the next one. It returns the last status.
func (p *play) ask(first int, key, path string) int {
	status := 0
	for try := range 2 {
		n := p.bed.fronts[(first+try)%len(p.bed.fronts)]
		request := draftRequest(key, 200)
		request.Path, request.TimeoutMillis = path, int(sameTimeout.Milliseconds())
		reply := call(context.Background(), "", n.caller(), request)
		p.record.note("request %s to %s at %s: status %d, %d events", request.ID, path, n.name, reply.Status, len(reply.EventIDs))
		if status = reply.Status; status != http.StatusServiceUnavailable {
			return status
		}
	}
	return status
}

// judgeShares reports whether no tenant is served less than a quarter as often as all.
func (p *play) judgeShares(tenants []*share) bool {
	sent, served := 0, 0
	for i, key := range []string{callerKey, fatalKey} {
		sent, served = sent+tenants[i].sent, served+tenants[i].served
		p.record.note("tenant with %s: %d sound requests, answers by status %v", key, tenants[i].sent, tenants[i].statuses)
	}
	for _, tenant := range tenants {
		if 4*float64(tenant.served)/float64(tenant.sent) < float64(served)/float64(sent) {
			return false
		}
	}
	return true
}
