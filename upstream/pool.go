package upstream

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"lovageshift"
	"lovageshift/memory"
	"lovageshift/metrics"
	"lovageshift/platform"
)

const (
	// Timeout for opening a connection. A reachable target accepts one within a few milliseconds; after this time Send
	// fails with ErrNotSent, so that the request can go to another target.
	dialTimeout = 300 * time.Millisecond
	// A connection that has been idle for longer than this is not used for a request that must not run more than once, as
	// the target may be closing the connection, and it would then be unknown whether the request ran.
	maxUnsafeIdle lovageshift.Millis = 500
	// Idle connections expire this long before the Keep-Alive timeout that the target announced, so that the target does
	// not close a connection while a request is being sent on it.
	idleMargin lovageshift.Millis = 400
	// Keep-Alive timeout assumed if the target announces none.
	defaultIdleTimeout lovageshift.Millis = 4000
)

// Errors of sending a request and reading its response. The request may have run unless the error matches ErrNotSent.
var (
	// ErrNotSent means that no byte of the request was written.
	ErrNotSent = errors.New("the request was not sent")
	// ErrConnectionLost means that the request could not be written completely or the response not read to its end,
	// mostly because the connection or the context ended.
	ErrConnectionLost = errors.New("the answer broke off")
	// ErrInvalidResponse means that the bytes received are not a valid response to this request.
	ErrInvalidResponse = errors.New("the answer is not valid")
	// ErrConnectionLimit means that all connections that this entry may have open to the target are in use. The error of
	// Send contains its text but matches only ErrNotSent.
	ErrConnectionLimit = errors.New("no connection left for the target")
)

// Pool holds idle connections to targets and limits the number of open ones.
type Pool struct {
	clock   lovageshift.Clock
	metrics *metrics.Metrics
	budget  *memory.Budget // for parts of responses, nil for no limit
	// onResponse is the function set by OnResponse.
	onResponse func(id lovageshift.TargetID, born int64, header platform.ResponseHeader)
	// onPossibleRestart is the function set by OnPossibleRestart.
	onPossibleRestart func(id lovageshift.TargetID, born int64, ended bool)

	mutex sync.Mutex
	// idle holds the idle connections of each target, the one used last at the end.
	idle map[connKey][]*conn
	// openCount is the number of open connections to each target, those in use and being opened included.
	openCount map[connKey]int
	// openingCount is the number of those that are being opened.
	openingCount map[connKey]int
	// limits holds the limit of connections of the last request to each target that has open ones. watches holds the connections
	// that Born has left open; no request is sent on them, and their end shows that the target may have restarted.
	limits  map[connKey]int
	watches map[connKey]*conn
	recent  recentIDs
}

// NewPool returns a pool without connections.
func NewPool(clock lovageshift.Clock, m *metrics.Metrics) *Pool {
	return &Pool{
		clock: clock, metrics: m, idle: map[connKey][]*conn{}, openCount: map[connKey]int{}, openingCount: map[connKey]int{},
		limits: map[connKey]int{}, watches: map[connKey]*conn{}, recent: newRecentIDs(),
	}
}

// LimitMemory limits what all responses together hold of the memory to the budget. It must be called before the first call of Send.
func (p *Pool) LimitMemory(budget *memory.Budget) { p.budget = budget }

// OnResponse sets the function that is called with the header of each response that comes from the incarnation of the target
// to which its request was sent, also if the response is skipped or invalid. A response proves this by the ID of a request
// that was sent there, and its status: another target answers with 421. Of interim responses, it gets the faults only. It
// must be set before the first call of Send.
func (p *Pool) OnResponse(f func(id lovageshift.TargetID, born int64, header platform.ResponseHeader)) {
	p.onResponse = f
}

// report passes a response header to the function of OnResponse.
func (p *Pool) report(key connKey, header platform.ResponseHeader) {
	if p.onResponse != nil {
		p.onResponse(key.id, key.born, header)
	}
}

// isFrom reports whether the response comes from the incarnation of the target to which the request was sent.
func (p *Pool) isFrom(key connKey, request *Request, header platform.ResponseHeader) bool {
	switch {
	case header.Misdirected, header.RequestID == "":
		return false
	case header.RequestID == request.ID:
		return true
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.recent.contains(key, header.RequestID)
}

// acquire returns an idle connection to the target that the request may use, or opens one. If limit connections are
// open already (0 for no limit), acquire first closes the one that has been idle longest, or fails if none is idle. The
// second result reports whether the connection has been used before.
func (p *Pool) acquire(ctx context.Context, key connKey, limit int, request *Request) (*conn, bool, error) {
	mayReuse := p.isFirst(key, request.ID)
	ended := false
	for mayReuse {
		idle := p.popIdle(key, request.Repeatable)
		if idle == nil {
			break
		}
		if idle.silent() {
			return idle, true, nil
		}
		ended = ended || idle.ended()
		p.discard(idle)
	}
	if !p.addOpen(key, limit) {
		return nil, false, trace.Wrap(ErrNotSent, "%v", ErrConnectionLimit)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	opened, err := dial(ctx, key)
	p.finishOpening(key, err == nil, ended)
	if err != nil {
		p.metrics.Add(metrics.TargetConnections, "refused", 1)
		return nil, false, trace.Wrap(ErrNotSent, "%v", err)
	}
	opened.limitMemory(p.budget, p.clock)
	p.metrics.Add(metrics.TargetConnections, "opened", 1)
	if !opened.silent() {
		p.discard(opened)
		return nil, false, trace.Wrap(ErrNotSent, "the connection ended, or brought an answer, before the request")
	}
	return opened, false, nil
}

// isFirst reports whether no request with the ID has lately been sent to the target. Another one gets a new connection: a
// target may send a response once more on a kept one, and nothing would tell to which of the requests it belongs.
func (p *Pool) isFirst(key connKey, id string) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.recent.add(p.clock.Now(), key, id)
}

// popIdle removes and returns the idle connection that was used last. It returns nil if there is none, or if that one
// has been idle for longer than maxUnsafeIdle and the request is not repeatable; the others have been idle even longer.
func (p *Pool) popIdle(key connKey, repeatable bool) *conn {
	now := p.clock.Now()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	list := p.idle[key]
	if len(list) == 0 {
		return nil
	}
	newest := list[len(list)-1]
	if !repeatable && now-newest.idleSince > maxUnsafeIdle {
		return nil
	}
	p.idle[key] = list[:len(list)-1]
	return newest
}

// addOpen counts one more open connection, or returns false if the limit does not allow one more.
func (p *Pool) addOpen(key connKey, limit int) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if limit > 0 && p.openCount[key] >= limit && !p.evictIdle(key) {
		return false
	}
	p.openCount[key]++
	p.openingCount[key]++
	p.limits[key] = limit
	return true
}

// evictIdle closes the connection that has been idle longest, or else the one in watches, so that a new one can be opened; it
// reports whether there was one. The mutex must be held.
func (p *Pool) evictIdle(key connKey) bool {
	list := p.idle[key]
	if len(list) == 0 {
		return p.dropWatch(key)
	}
	if list[0].ended() {
		p.reportPossibleRestart(key, true)
	}
	_ = list[0].Close()
	p.idle[key] = list[1:]
	p.openCount[key]--
	return true
}

func (p *Pool) removeOpen(key connKey) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.removeOpenLocked(key)
}

// removeOpenLocked is removeOpen for a caller that holds the mutex.
func (p *Pool) removeOpenLocked(key connKey) {
	p.openCount[key]--
	if p.openCount[key] <= 0 {
		delete(p.openCount, key)
		delete(p.limits, key)
	}
}

// abort closes a connection in the middle of a request. It resets the connection, so that what the target has not received yet,
// as the network held it up, does not reach it later.
func (p *Pool) abort(c *conn) {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection has ended
	}
	p.discard(c)
}

func (p *Pool) discard(c *conn) {
	c.release()
	_ = c.Close()
	p.removeOpen(c.key)
}

// putIdle adds the connection to the idle ones, for the next request. idleTimeout is the Keep-Alive timeout that the
// target announced, 0 if none. The connection is closed instead if that timeout is not longer than idleMargin.
func (p *Pool) putIdle(c *conn, idleTimeout lovageshift.Millis) {
	c.release()
	c.setIdle(p.clock.Now(), idleTimeout)
	if c.maxIdle <= 0 {
		p.discard(c)
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.idle[c.key] = append(p.idle[c.key], c)
}

// Expire closes connections that have been idle for as long as their target's Keep-Alive timeout allows, less
// idleMargin, or for whose target incarnation inUse returns false. The parameter born is the wall time of the
// incarnation's start, in milliseconds.
func (p *Pool) Expire(inUse func(id lovageshift.TargetID, born int64) bool) {
	now := p.clock.Now()
	var expired []*conn
	p.mutex.Lock()
	for key, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now-c.idleSince >= c.maxIdle || !inUse(key.id, key.born) {
				expired = append(expired, c)
				continue
			}
			kept = append(kept, c)
		}
		p.idle[key] = kept
		if len(kept) == 0 {
			delete(p.idle, key)
		}
	}
	for key, c := range p.watches {
		if now-c.idleSince >= c.maxIdle || !inUse(key.id, key.born) {
			delete(p.watches, key)
			expired = append(expired, c)
		}
	}
	p.mutex.Unlock()
	for _, c := range expired {
		if c.ended() {
			p.reportPossibleRestart(c.key, true)
		}
		p.discard(c)
	}
}
