package connection

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lovageshift"
)

const (
	// How long a connection stays open for the caller to close it after this process has, so that the last answer is not lost to a
	// reset. A caller that lost a packet gets it again within this time.
	lingerTime = time.Second
	// How long writing an answer to a header that is not whole may take. It fits into the empty buffer of the connection.
	refusalTime = time.Second
)

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

// retirement says under which conditions the reader of a connection ends it.
type retirement int

const (
	// stay means that it doesn't.
	stay retirement = iota
	// ifUnused means if no byte of a request has arrived.
	ifUnused
	// ifHeaderless means also if a part of a request's header has arrived, which then gets an answer.
	ifHeaderless
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
	// noLinger if it is closed without waiting for the caller, closed once Close has been called.
	peerEnded, resets, noLinger, closed bool
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
	case c.hasUnread():
		_ = c.Conn.SetReadDeadline(time.Time{}) // reading returns at once
		return nil, true, nil
	case c.phase == unused:
		c.setPhase(closing)
		c.closeWrite() // the server may take its time to close the connection
		return nil, false, io.EOF
	case c.retirement == ifHeaderless:
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
	case c.closed:
		return nil // Close has set one
	case c.phase == closing, c.retirement == ifUnused && c.phase == unused, c.retirement == ifHeaderless && c.phase != running:
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

// hasUnread reports whether bytes or the caller's end have arrived that were not read. A read whose deadline has passed before it
// begins does not look for bytes.
func (c *conn) hasUnread() bool {
	inner, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := inner.SyscallConn()
	if err != nil {
		return false
	}
	var peeked error
	err = raw.Control(func(descriptor uintptr) {
		_, _, peeked = unix.Recvfrom(int(descriptor), make([]byte, 1), unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return err == nil && peeked == nil
}

// retire makes the reader end the connection if it has been unused for the time or, if headerless is set, also if a part of a
// header has arrived.
func (c *conn) retire(headerless bool, unusedFor lovageshift.Millis) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.setRetirement(headerless, unusedFor)
}

// setRetirement does what retire says, and reports whether the reader may end the connection. The caller holds the mutex.
func (c *conn) setRetirement(headerless bool, unusedFor lovageshift.Millis) bool {
	switch {
	case headerless && (c.phase == unused || c.phase == begun):
		c.retirement = ifHeaderless
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
	case c.phase == closing && c.closed:
		rank.class = shedClosing
	case c.retirement != stay:
		return rank, false // is being closed
	case c.phase == unused && c.answered:
		rank.class = shedIdle
	case (c.phase == unused || c.phase == begun) && c.listener.options.Clock.Now()-c.since >= headerMillis:
		rank.class = shedHeaderless
	default:
		return rank, false
	}
	return rank, true
}

// shed closes the connection to make room for another one, unless a whole header arrives on it or, if it was unused, any byte.
func (c *conn) shed() {
	c.mutex.Lock()
	lingers := c.phase == closing && c.closed
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
		return !c.closed || c.noLinger
	}
	return c.retirement != stay
}

// Close ends the connection for the server. Unless the caller has ended it, it stays open for a moment after its end was sent, as
// closing it resets it if bytes have arrived that were not read, and the caller then may not get the last answer.
func (c *conn) Close() error {
	c.mutex.Lock()
	if c.closed {
		c.mutex.Unlock()
		return nil
	}
	report, isUnanswered := c.unanswered()
	c.closed = true
	c.setPhase(closing)
	lingers := !c.peerEnded && !c.resets && !c.noLinger && c.closeWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	if lingers {
		c.listener.tasks.Go(c.linger)
	}
	c.mutex.Unlock()
	if isUnanswered {
		c.listener.options.OnUnanswered(report)
	}
	if lingers {
		return nil
	}
	return c.end()
}

// unanswered returns the report on the connection, and whether it ends with a request that has no answer. The caller holds the mutex.
func (c *conn) unanswered() (Unanswered, bool) {
	now := c.listener.options.Clock.Now()
	return Unanswered{
		Caller: c.RemoteAddr().String(), State: c.state, Received: c.received, Age: now - c.receivedAt, Open: now - c.openedAt,
	}, !c.peerEnded && c.received > 0 && c.written == 0
}

// closeWrite sends the end of the connection to the caller, and reports whether that could be done.
func (c *conn) closeWrite() bool {
	inner, ok := c.Conn.(interface{ CloseWrite() error })
	return ok && inner.CloseWrite() == nil
}

// linger waits until the caller has closed the connection, and closes it. What still arrives after an answer is discarded, as it
// is the rest of the answered request. A request that arrives on a connection that was unused is left unread.
func (c *conn) linger() {
	c.mutex.Lock()
	discard := make([]byte, 1)
	if c.written > 0 {
		discard = make([]byte, 4<<10)
	}
	c.mutex.Unlock()
	for {
		_, err := c.Conn.Read(discard)
		if err != nil || len(discard) == 1 {
			break
		}
	}
	_ = c.end()
}

// abort closes the connection at once.
func (c *conn) abort() {
	c.mutex.Lock()
	c.noLinger = true
	c.mutex.Unlock()
	_ = c.Close()
	_ = c.end()
}

// end closes the underlying connection.
func (c *conn) end() error {
	err := c.Conn.Close()
	c.listener.remove(c)
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// SetLinger sets what happens when the connection is closed, as net.TCPConn.SetLinger does. It returns an error if the underlying
// connection cannot do that.
func (c *conn) SetLinger(seconds int) error {
	inner, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	c.mutex.Lock()
	c.resets = seconds == 0
	c.mutex.Unlock()
	return inner.SetLinger(seconds)
}
