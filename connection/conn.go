package connection

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"lovageshift"
)

// How long writing an answer to a header that is not whole may take. It fits into the empty buffer of the connection.
const refusalTime = time.Second

// aLongTimeAgo is a read deadline that makes a waiting Read return at once.
var aLongTimeAgo = time.Unix(1, 0)

// interimPrefix begins the interim answers that http.Server writes, each at once. The request's answer follows them.
var interimPrefix = []byte("HTTP/1.1 1")

// phase says what has arrived on a connection.
type phase int

const (
	// unused means that no byte of a request has arrived since the connection was accepted or the last answer ended.
	unused phase = iota
	// begun means that a part of a request's header has arrived.
	begun
	// running means that the server has a request's header.
	running
	// closing means that nothing more is read for the server.
	closing
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	openedAt lovageshift.Millis

	mutex sync.Mutex // guards the fields below
	phase phase
	since lovageshift.Millis // when it came into the phase
	state http.ConnState
	// retirement is set by others than the reader, which decides by it when its read deadline passes.
	retirement retirement
	// deadline is the read deadline that the server has set.
	deadline time.Time
	// received and written are the numbers of bytes since the last answer ended, without those of interim answers, receivedAt is when
	// the last byte arrived.
	received, written int
	receivedAt        lovageshift.Millis
	// answered is set once an answer has ended on the connection.
	answered bool
	// peerEnded is set once the caller has closed the connection or reading from it has failed, resets if closing it resets it,
	// noLinger if it is closed without waiting for the caller, closeCalled once Close has been.
	peerEnded, resets, noLinger, closeCalled bool
}

func newConn(accepted net.Conn, l *Listener) *conn {
	now := l.options.Clock.Now()
	return &conn{Conn: accepted, listener: l, openedAt: now, since: now}
}

// Read reads from the connection. It returns io.EOF, as if the caller had closed it, once the connection is to be closed.
func (c *conn) Read(into []byte) (int, error) {
	for {
		count, err := c.Conn.Read(into)
		answer, again, err := c.recordRead(count, err)
		if answer != nil {
			c.refuse(answer)
		}
		if !again {
			if err != nil {
				return 0, err
			}
			return count, nil
		}
	}
}

// recordRead records the result of reading and decides whether the connection goes on. Again is set if it does and must be read once
// more. Answer is the answer to write if a part of a header has arrived and the connection ends.
func (c *conn) recordRead(count int, err error) (answer []byte, again bool, result error) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	options := c.listener.options
	switch {
	case c.phase == closing:
		return nil, false, io.EOF
	case count > 0:
		c.recordReceived(count)
		return nil, false, nil
	case !errors.Is(err, os.ErrDeadlineExceeded):
		c.peerEnded = err != nil
		return nil, false, err
	case c.phase == running:
		return nil, false, err // a deadline of the server
	case HasUnread(c.Conn):
		_ = c.Conn.SetReadDeadline(time.Time{}) // reading returns at once
		return nil, true, nil
	case c.phase == unused:
		c.setPhase(closing)
		c.closeWrite() // the server may take its time to close the connection
		return nil, false, io.EOF
	case c.retirement == ifIncomplete:
		c.setPhase(closing)
		return options.Stopping, false, io.EOF
	case c.headerOverdue():
		c.setPhase(closing)
		return options.TooSlow, false, io.EOF
	default: // the request began just before the connection was to be closed
		c.keep()
		_ = c.applyDeadline()
		return nil, true, nil
	}
}

// recordReceived records bytes that have arrived. The caller holds the mutex.
func (c *conn) recordReceived(count int) {
	c.received += count
	c.receivedAt = c.listener.options.Clock.Now()
	if c.phase == unused {
		if c.retirement == ifUnused {
			c.keep()
		}
		c.setPhase(begun)
	}
	if c.phase != running {
		_ = c.applyDeadline()
	}
}

// refuse writes the answer to a request whose header is not whole.
func (c *conn) refuse(answer []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(refusalTime))
	_, _ = c.Write(answer) // if it fails, Close reports the request as unanswered or the caller is gone
}

// Write writes to the connection.
func (c *conn) Write(part []byte) (int, error) {
	count, err := c.Conn.Write(part)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.written > 0 || !bytes.HasPrefix(part, interimPrefix) {
		c.written += count
	}
	return count, err
}

// setState records the state that the server reports, and that others hold the given number of bytes back.
func (c *conn) setState(state http.ConnState, buffered int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.state = state
	if c.phase == closing {
		return
	}
	switch state {
	case http.StateActive:
		c.keep()
		c.setPhase(running)
	case http.StateIdle:
		c.received, c.written, c.answered = buffered, 0, true
		c.setPhase(unused)
		if buffered > 0 {
			c.setPhase(begun)
		}
	default:
		return
	}
	_ = c.applyDeadline()
}

// setPhase sets the phase. The caller holds the mutex.
func (c *conn) setPhase(next phase) { c.phase, c.since = next, c.listener.options.Clock.Now() }

// SetReadDeadline sets the time from which on the server's reading fails. It does not apply while a header arrives, for which
// Options.HeaderTimeout does.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.deadline = deadline
	return c.applyDeadline()
}

// keep records that the connection goes on although others wanted to close it. The caller holds the mutex.
func (c *conn) keep() { c.retirement, c.noLinger = stay, false }

// applyDeadline sets the read deadline by the phase and the retirement. The caller holds the mutex.
func (c *conn) applyDeadline() error {
	deadline := c.deadline
	switch {
	case c.closeCalled:
		return nil // Close has set one
	case c.phase == closing, c.retirement == ifUnused && c.phase == unused, c.retirement == ifIncomplete && c.phase != running:
		deadline = aLongTimeAgo
	case c.phase == begun:
		deadline = time.Time{}
		if timeout := c.listener.options.HeaderTimeout; timeout > 0 {
			deadline = time.Now().Add(timeout - (c.listener.options.Clock.Now() - c.since).Duration())
		}
	default:
	}
	return c.Conn.SetReadDeadline(deadline)
}

// headerOverdue reports whether the header has taken too long. The caller holds the mutex.
func (c *conn) headerOverdue() bool {
	timeout := c.listener.options.HeaderTimeout
	return timeout > 0 && (c.listener.options.Clock.Now()-c.since).Duration() >= timeout-time.Millisecond
}
