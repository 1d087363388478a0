package main

import (
	"context"
	"fmt"
	"slices"
	"time"

	"lovageshift/standin"
)

const (
	limitPerSecond = 0.5
	limitWindow    = 4 * time.Second
	limitSlack     = 5 // requests
	contact        = 3 * time.Second
	limitPlay      = 36 * time.Second
	// When the replica first names its limit, and when and for how long it is cut off from the store.
	limitAt = 2 * time.Second
	cutAt   = 18 * time.Second
	cutTime = 5 * time.Second
)

// playLimit lets one replica of five name a limit in all its answers. It is then cut off from the store until that has removed its
// entry, and comes back as the same replica.
func playLimit(p *play) (bool, error) {
	b := p.bed
	for number := range 5 {
		b.addHost(number, func(id string) *standin.Replica {
			return &standin.Replica{ID: id, Service: "pool", Slots: 15, EventCount: 3, EventInterval: time.Second}
		})
	}
	b.store.Put(standin.ConfigKey, catalogOf(route("draft", "streaming", "pool", 15*time.Second, 500*time.Millisecond, 1)))
	if err := b.run(3, 4, 284); err != nil {
		return false, err
	}
	limited := b.hosts[0]
	replica := limited.replicas()[0]
	ctx, cancel := context.WithTimeout(context.Background(), limitPlay)
	defer cancel()
	begun := time.Now()
	time.AfterFunc(limitAt, func() {
		replica.SetLimit(fmt.Sprint(limitPerSecond))
		p.record.note("%s names its limit", replica.ID)
	})
	if p.trouble {
		time.AfterFunc(cutAt, func() {
			limited.setSilent(true)
			p.record.note("%s is cut off from the store", replica.ID)
		})
		time.AfterFunc(cutAt+cutTime, func() {
			limited.setSilent(false)
			p.record.note("%s reaches the store again", replica.ID)
		})
	}
	every(ctx, 50*time.Millisecond, func(number int) {
		n := b.fronts[number%len(b.fronts)]
		request := draftRequest(callerKey, 64)
		reply := call(context.Background(), "", n.caller(), request)
		p.record.note("request %s at %s: status %d, %d events", request.ID, n.name, reply.Status, len(reply.EventIDs))
	})
	var times []time.Duration
	for _, received := range replica.Received() {
		at := received.ReceivedAt.Sub(begun)
		p.record.note("%s got %s at %.3f s, run: %v", replica.ID, received.ID, at.Seconds(), received.Executed)
		// The first answer that names the limit ends up to three seconds after its beginning.
		if at > limitAt+contact {
			times = append(times, at)
		}
	}
	most := mostWithin(times, limitWindow)
	allowed := 1.5*limitPerSecond*limitWindow.Seconds() + limitSlack
	p.record.note("most requests at %s in %v: %d, allowed %.0f", replica.ID, limitWindow, most, allowed)
	return float64(most) <= allowed, nil
}

// mostWithin returns the largest number of the times that lie within the window.
func mostWithin(times []time.Duration, window time.Duration) int {
	slices.Sort(times)
	most, first := 0, 0
	for last := range times {
		for times[last]-times[first] >= window {
			first++
		}
		most = max(most, last-first+1)
	}
	return most
}
