package connection

import "lovageshift"

// retirement says under which conditions the reader of a connection ends it.
type retirement int

const (
	// stay means that it doesn't.
	stay retirement = iota
	// ifUnused means if no byte of a request has arrived.
	ifUnused
	// ifIncomplete means also if a part of a request's header has arrived, which then gets an answer.
	ifIncomplete
)

// retire makes the reader end the connection if it has been unused for the time or, if incomplete is set, also if a part of a
// header has arrived.
func (c *conn) retire(incomplete bool, unusedFor lovageshift.Millis) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setRetirement(incomplete, unusedFor)
}

// setRetirement does what retire says, and reports whether the reader may end the connection. The caller holds the mutex.
func (c *conn) setRetirement(incomplete bool, unusedFor lovageshift.Millis) bool {
	switch {
	case incomplete && (c.phase == unused || c.phase == begun):
		c.retirement = ifIncomplete
	case c.phase == unused && c.retirement == stay && c.listener.options.Clock.Now()-c.since >= unusedFor:
		c.retirement = ifUnused
	default:
		return false
	}
	_ = c.applyDeadline()
	return true
}

// shedRank returns the rank of the connection among those that may be closed to make room, and whether it may be.
func (c *conn) shedRank() (shedRank, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	rank := shedRank{since: c.since}
	switch {
	case c.phase == closing && c.closeCalled:
		rank.class = shedClosing
	case c.retirement != stay:
		return rank, false // is being closed
	case c.phase == unused && c.answered:
		rank.class = shedIdle
	case (c.phase == unused || c.phase == begun) && c.listener.options.Clock.Now()-c.since >= headerMillis:
		rank.class = shedIncomplete
	default:
		return rank, false
	}
	return rank, true
}

// shed closes the connection to make room for another one, unless a whole header arrives on it or, if it was unused, any byte.
func (c *conn) shed() {
	c.mutex.Lock()
	lingers := c.phase == closing && c.closeCalled
	if !lingers && c.setRetirement(c.phase == begun, 0) {
		c.noLinger = true
	}
	c.mutex.Unlock()
	if lingers {
		c.abort()
	}
}

// isEnding reports whether the connection is about to end and not waiting for its caller.
func (c *conn) isEnding() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.phase == closing {
		return !c.closeCalled || c.noLinger
	}
	return c.retirement != stay
}
