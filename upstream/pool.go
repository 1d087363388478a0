package upstream

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"lovageshift"
	"lovageshift/metrics"
)

const (
	// A target in reach accepts a connection within a few milliseconds; another one is asked after this.
	dialTimeout = 300 * time.Millisecond
	// A connection idle for longer is not used for requests that may not be repeated, as the target may just be closing it.
	freshMillis lovageshift.Millis = 500
	// Idle connections end this long before the target says it closes them.
	closeMargin lovageshift.Millis = 400
	// Kept if the target does not say for how long.
	defaultKeep lovageshift.Millis = 4000
)

// Sentinel errors of a send; the request may have run unless ErrNotSent matches.
var (
	// ErrNotSent tells that no byte of the request was written.
	ErrNotSent = errors.New("the request was not sent")
	// ErrConnectionLost tells that the connection ended before the whole answer.
	ErrConnectionLost = errors.New("the answer broke off")
	// ErrInvalidResponse tells that what came back is no answer to this request.
	ErrInvalidResponse = errors.New("the answer is not valid")
	// ErrConnectionLimit tells that the entry has its part of the target's connections open.
	ErrConnectionLimit = errors.New("no connection left for the target")
)

// Pool keeps connections to targets.
type Pool struct {
	clock  lovageshift.Clock
	counts *metrics.Metrics

	mutex sync.Mutex
	idle  map[key][]*conn
	open  map[key]int
}

// NewPool returns a pool without connections.
func NewPool(clock lovageshift.Clock, counts *metrics.Metrics) *Pool {
	return &Pool{clock: clock, counts: counts, idle: map[key][]*conn{}, open: map[key]int{}}
}

// take returns a kept connection, or a new one if fewer than limit are open.
func (p *Pool) take(ctx context.Context, target key, limit int, repeatable bool) (*conn, bool, error) {
	for {
		kept := p.pop(target, repeatable)
		if kept == nil {
			break
		}
		if kept.quiet() {
			return kept, true, nil
		}
		p.drop(kept)
	}
	if !p.reserve(target, limit) {
		return nil, false, trace.Wrap(ErrNotSent, "%v", ErrConnectionLimit)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	fresh, err := dial(ctx, target)
	if err != nil {
		p.release(target)
		p.counts.Add(metrics.Connections, "refused", 1)
		return nil, false, trace.Wrap(ErrNotSent, "%v", err)
	}
	p.counts.Add(metrics.Connections, "opened", 1)
	return fresh, false, nil
}

func (p *Pool) pop(target key, repeatable bool) *conn {
	now := p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[target]
	if len(list) == 0 {
		return nil
	}
	newest := list[len(list)-1]
	if !repeatable && now-newest.idleSince > freshMillis {
		return nil
	}
	p.idle[target] = list[:len(list)-1]
	return newest
}

func (p *Pool) reserve(target key, limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit > 0 && p.open[target] >= limit && !p.evict(target) {
		return false
	}
	p.open[target]++
	return true
}

// evict closes the longest idle connection to make room for a fresh one.
func (p *Pool) evict(target key) bool {
	list := p.idle[target]
	if len(list) == 0 {
		return false
	}
	_ = list[0].Close()
	p.idle[target] = list[1:]
	p.open[target]--
	return true
}

func (p *Pool) release(target key) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.open[target]--
	if p.open[target] <= 0 {
		delete(p.open, target)
	}
}

func (p *Pool) drop(c *conn) {
	_ = c.Close()
	p.release(c.target)
}

func (p *Pool) put(c *conn, keep lovageshift.Millis) {
	if keep == 0 {
		keep = defaultKeep
	}
	c.idleSince = p.clock.Now()
	c.idleFor = keep - closeMargin
	if c.idleFor <= 0 {
		p.drop(c)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[c.target] = append(p.idle[c.target], c)
}

// Expire closes connections that were idle for too long or whose target is not in use.
func (p *Pool) Expire(inUse func(id lovageshift.TargetID, born int64) bool) {
	now := p.clock.Now()
	var expired []*conn
	p.mutex.Lock()
	for target, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now-c.idleSince >= c.idleFor || !inUse(target.id, target.born) {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[target] = kept
		if len(kept) == 0 {
			delete(p.idle, target)
		}
	}
	p.mutex.Unlock()
	for _, c := range expired {
		p.drop(c)
	}
}
