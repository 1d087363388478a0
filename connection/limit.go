package connection

import (
	"time"

	"lovageshift"
)

const (
	// A connection without a whole request header is closed to make room for others only if it has been so for this long, as most
	// newer ones have had no time to send one.
	headerMillis lovageshift.Millis = 2000
	// Interval at which a full listener looks for connections to close.
	fullInterval = 50 * time.Millisecond
)

// waitForRoom adds the connection once there is room for it, and closes others to make room. It reports whether it did, and not
// Abort or Close ended the wait.
func (l *Listener) waitForRoom(c *conn) bool {
	var victim *conn
	for !l.add(c) {
		if isClosed(l.aborted) {
			return false
		}
		if victim == nil || !l.isEnding(victim) {
			victim = l.makeRoom()
		}
		if victim == nil {
			l.options.OnFull()
		}
		select {
		case <-l.closed:
			return false
		case <-l.freed:
		case <-time.After(fullInterval):
		}
	}
	return true
}

// add adds the connection if there is room for it and Abort was not called.
func (l *Listener) add(c *conn) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if isClosed(l.aborted) || l.options.Limit > 0 && len(l.open) >= l.options.Limit {
		return false
	}
	l.open[c] = struct{}{}
	return true
}

// makeRoom closes one connection that has no request, and returns it, nil if there is none: one that waits for its caller to close
// it, one on which an answer has ended and no other request has begun, or one without a whole header for headerMillis, each the one
// that has been so for longest.
func (l *Listener) makeRoom() *conn {
	var victim *conn
	var least shedRank
	for _, c := range l.connections() {
		if rank, ok := c.shedRank(); ok && (victim == nil || rank.before(least)) {
			victim, least = c, rank
		}
	}
	if victim == nil {
		return nil
	}
	l.mutex.Lock()
	l.shed++
	l.mutex.Unlock()
	victim.shed()
	return victim
}

// isEnding reports whether the connection still has its place and is about to free it.
func (l *Listener) isEnding(c *conn) bool {
	l.mutex.Lock()
	_, isOpen := l.open[c]
	l.mutex.Unlock()
	return isOpen && c.isEnding()
}

// shedClass is a kind of connections that may be closed to make room; lower ones are closed first.
type shedClass int

const (
	shedClosing shedClass = iota
	shedIdle
	shedIncomplete
)

// shedRank orders the connections that may be closed.
type shedRank struct {
	class shedClass
	since lovageshift.Millis
}

func (r shedRank) before(other shedRank) bool {
	return r.class < other.class || r.class == other.class && r.since < other.since
}
