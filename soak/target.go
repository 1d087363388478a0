package soak

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/standin"
)

const (
	targetSlots   = 8
	streamEvents  = 8
	targetWork    = 20 * time.Millisecond
	targetHeader  = 10 * time.Second
	coldPerSecond = 10.0
	fatalPrefix   = "/fatal/"

	coldMillis lovageshift.Millis = 4000
	// A target that ended is back after this time.
	downMillis lovageshift.Millis = 1500
	// A target that leaves serves on for this long after it said so.
	leavingMillis lovageshift.Millis = 5000
	// Targets write their record in this interval; the store drops it after three without one.
	recordMillis lovageshift.Millis = 1200
	lapseMillis                     = 3 * recordMillis
)

// life is a target from one start to its end.
type life struct {
	replica *standin.Replica
	zone    string
	service string
	born    lovageshift.Millis
	// leaving is when the store took its word that it leaves, 0 if it did not.
	leaving lovageshift.Millis
	cold    []coldSpan
	records int64
}

// coldAt tells whether the target was cold at a moment, and since when if that began after its start.
func (l *life) coldAt(at lovageshift.Millis) (bool, lovageshift.Millis) {
	for _, cold := range l.cold {
		if cold.Contains(at) && cold.Again {
			return true, cold.From
		}
		if cold.Contains(at) {
			return true, 0
		}
	}
	return false, 0
}

func (l *life) coldAgain(now lovageshift.Millis) {
	l.cold = append(l.cold, coldSpan{Span: Span{now, now + coldMillis}, Again: true})
}

// coldSpan is a time in which a target is cold; Again tells that it was warm before.
type coldSpan struct {
	Span
	Again bool
}

// place is an address at which targets of one service live one after another.
type place struct {
	number  int
	service string
	zone    string
	address string
	proxy   *Proxy
	clock   lovageshift.Clock

	mutex  sync.Mutex
	server *http.Server
	lives  []*life
	now    *life // nil while nothing lives here
	lapsed bool  // writes nothing to the store
	due    lovageshift.Millis
	again  bool // the next life has the id of the last
}

// begin starts a new life at the place; the caller serves what it returns.
func (p *place) begin(cold bool) (func() error, error) {
	listener, err := net.Listen("tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	now := p.clock.Now()
	id := fmt.Sprintf("t-%d-%d", p.number, len(p.lives))
	if p.again {
		id = p.lives[len(p.lives)-1].replica.ID
	}
	replica := &standin.Replica{
		ID: id, Service: p.service, Slots: targetSlots, ServiceTime: targetWork,
		CrashesOn: func(uri string) bool { return strings.HasPrefix(uri, fatalPrefix) },
	}
	if p.service == streamService {
		replica.EventCount, replica.EventInterval = streamEvents, targetWork
	}
	p.now = &life{replica: replica, zone: p.zone, service: p.service, born: p.clock.Wall()}
	if cold {
		p.now.cold = append(p.now.cold, coldSpan{Span: Span{now, now + coldMillis}})
	}
	p.lives = append(p.lives, p.now)
	server := &http.Server{Handler: replica, ReadHeaderTimeout: targetHeader}
	p.server = server
	replica.OnCrash = func() { p.end(false) }
	return func() error { return server.Serve(listener) }, nil
}

// end kills the target; a new one comes after a while, again under its id or under a new one.
func (p *place) end(again bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.now == nil {
		return
	}
	_ = p.server.Close()
	p.now, p.due, p.again = nil, p.clock.Now()+downMillis, again
}

// update changes the life at the place, if there is one.
func (p *place) update(change func(*life)) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.now != nil {
		change(p.now)
	}
}

// key returns the key of the record of who lives here, or "".
func (p *place) key() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.now == nil {
		return ""
	}
	return p.now.replica.Key()
}

// record returns what the target writes to the store, or false if it writes nothing now.
func (p *place) record() (string, map[string]any, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.now == nil || p.lapsed {
		return "", nil, false
	}
	p.now.records++
	registration := standin.Registration{
		Address: p.proxy.Address(), Zone: p.zone, Draining: p.now.leaving > 0,
		Born: int64(p.now.born), Sequence: p.now.records,
	}
	for _, cold := range p.now.cold {
		registration.ColdMillis = int(max(cold.To-p.clock.Now(), 0))
	}
	return p.now.replica.Key(), p.now.replica.Record(registration), true
}

// vacant tells whether the place is empty and its next target is due.
func (p *place) vacant() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.now == nil && p.clock.Now() >= p.due
}

func (p *place) setLapsed(lapsed bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lapsed = lapsed
}
