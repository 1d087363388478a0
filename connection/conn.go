package connection

import (
	"errors"
	"net"
	"net/http"
	"sync"

	"lovageshift"
)

// conn is one connection of a caller.
type conn struct {
	net.Conn
	listener *Listener
	openedAt lovageshift.Millis

	mutex sync.Mutex // guards the fields below
	state http.ConnState
	// received and written are the numbers of bytes since the last answer ended.
	received, written int
	// receivedAt is when the last byte arrived.
	receivedAt lovageshift.Millis
	// peerEnded is set once reading has failed or the caller has closed the connection.
	peerEnded, closed bool
}

// Read reads from the connection and records what has arrived.
func (c *conn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if count > 0 {
		c.received += count
		c.receivedAt = c.listener.Clock.Now()
	}
	var timeout net.Error
	if err != nil && !(errors.As(err, &timeout) && timeout.Timeout()) {
		c.peerEnded = true
	}
	return count, err
}

// Write writes to the connection and records that an answer has begun.
func (c *conn) Write(part []byte) (int, error) {
	c.mutex.Lock()
	c.written += len(part)
	c.mutex.Unlock()
	return c.Conn.Write(part)
}

// Close closes the connection, and reports it if a request on it is left without an answer.
func (c *conn) Close() error {
	now := c.listener.Clock.Now()
	c.mutex.Lock()
	unanswered := !c.closed && !c.peerEnded && c.received > 0 && c.written == 0
	report := Unanswered{
		Caller: c.RemoteAddr().String(), State: c.state, Received: c.received, Age: now - c.receivedAt, Open: now - c.openedAt,
	}
	c.closed = true
	c.mutex.Unlock()
	if unanswered {
		c.listener.OnUnanswered(report)
	}
	return c.Conn.Close()
}

// SetLinger sets what happens when the connection is closed, as net.TCPConn.SetLinger does. It returns an error if the underlying
// connection cannot do that.
func (c *conn) SetLinger(seconds int) error {
	inner, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetLinger(seconds)
}
