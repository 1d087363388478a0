package main

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"lovageshift/standin"
)

const (
	fatalHosts  = 6
	fatalPlay   = 63 * time.Second
	fatalEvery  = 5 * time.Second
	fatalWork   = 100 * time.Millisecond // until the replica crashes
	crashesLeft = 3                      // from which on the rule counts
	mostRetries = 3                      // that the rule allows
)

// When all entries are killed: once the request has been refused.
var killAt = []time.Duration{20500 * time.Millisecond, 40500 * time.Millisecond}

// poison is what is seen of the request that crashes replicas.
type poison struct {
	mutex            sync.Mutex
	reached, crashes []time.Time
	starts           []time.Time // of the entries after a kill
}

func (x *poison) add(list *[]time.Time) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	*list = append(*list, time.Now())
}

// playFatal sends a request that crashes each replica that runs it again and again, and kills all entries twice.
func playFatal(p *play) (bool, error) {
	b, seen := p.bed, &poison{}
	for number := range fatalHosts {
		p.addFragileHost(number, seen)
	}
	b.store.Put(standin.ConfigKey, catalogOf(
		route("read", "safe", "app", 2500*time.Millisecond, 150*time.Millisecond, 1),
		route("book", "unsafe", "app", 2500*time.Millisecond, 150*time.Millisecond, 1),
	))
	if err := b.run(3, 4, 284); err != nil {
		return false, err
	}
	begun := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), fatalPlay)
	defer cancel()
	var tasks sync.WaitGroup
	tasks.Go(func() { p.sendBookings(ctx) })
	tasks.Go(func() {
		every(ctx, fatalEvery, func(number int) {
			n := b.fronts[number%len(b.fronts)]
			request := standin.CallerRequest{
				ID: newID(), Host: routeHost, Method: "GET", Path: "/read/fatal", Key: fatalKey, TimeoutMillis: 2500,
			}
			reply := call(context.Background(), "", n.caller(), request)
			p.record.note("fatal request %s at %s: status %d", request.ID, n.name, reply.Status)
		})
	})
	if p.trouble {
		for _, at := range killAt {
			time.Sleep(time.Until(begun.Add(at)))
			if err := p.killEntries(); err != nil {
				return false, err
			}
			seen.add(&seen.starts)
		}
	}
	tasks.Wait()
	return p.judgeFatal(seen), nil
}

// addFragileHost adds an address whose replicas crash when they run the fatal request.
func (p *play) addFragileHost(number int, seen *poison) {
	var h *host
	h = p.bed.addHost(number, func(id string) *standin.Replica {
		replica := &standin.Replica{ID: id, Service: "app", Slots: 6, ServiceTime: 30 * time.Millisecond}
		replica.CrashesOn = func(request *http.Request) bool {
			if !strings.HasPrefix(request.RequestURI, "/read/fatal") {
				return false
			}
			seen.add(&seen.reached)
			p.record.note("%s runs fatal request %s", id, request.Header.Get(standin.HeaderRequestID))
			time.Sleep(fatalWork)
			return true
		}
		replica.OnCrash = func() {
			seen.add(&seen.crashes)
			p.record.note("%s crashes", id)
			h.crash()
		}
		return replica
	})
}

// sendBookings sends sound requests that must not run twice, until the context ends.
func (p *play) sendBookings(ctx context.Context) {
	every(ctx, 25*time.Millisecond, func(number int) {
		n := p.bed.fronts[number%len(p.bed.fronts)]
		request := standin.CallerRequest{
			ID: newID(), Host: routeHost, Method: "POST", Path: "/book/1", Key: callerKey, Body: "{}", TimeoutMillis: 2500,
		}
		reply := call(context.Background(), "", n.caller(), request)
		if reply.Status != http.StatusOK {
			p.record.note("sound request %s at %s: status %d", request.ID, n.name, reply.Status)
		}
	})
}

// killEntries kills all entries at once, and starts them again.
func (p *play) killEntries() error {
	p.record.note("all entries are killed")
	for _, n := range p.bed.fronts {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range p.bed.fronts {
		<-n.exited
		if err := n.restart(); err != nil {
			return err
		}
	}
	return nil
}

// judgeFatal reports whether the fatal request reached replicas in few enough retries, sent by machines in touch later than
// contact_ms after it had crashed the third one.
func (p *play) judgeFatal(seen *poison) bool {
	seen.mutex.Lock()
	defer seen.mutex.Unlock()
	p.record.note("%d replicas crashed", len(seen.crashes))
	if len(seen.crashes) < crashesLeft {
		return true
	}
	late := 0
	for _, at := range seen.reached {
		inTouch := at.After(seen.crashes[crashesLeft-1].Add(contact))
		for _, start := range seen.starts {
			if at.After(start.Add(-contact)) && at.Before(start.Add(contact)) {
				inTouch = false
			}
		}
		if inTouch {
			late++
		}
	}
	p.record.note("retries that reached replicas, sent by machines in touch later than contact_ms after the third crash: %d, allowed %d", late, mostRetries)
	return late <= mostRetries
}
