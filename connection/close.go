package connection

import (
	"errors"
	"net"
	"time"
)

// How long a connection stays open for the caller to close it after this process has, so that the last answer is not lost to a
// reset. A caller that lost a packet gets it again within this time.
const lingerTime = time.Second

// Close ends the connection for the server. Unless the caller has ended it, it stays open for a moment after its end was sent, as
// closing it resets it if bytes have arrived that were not read, and the caller then may not get the last answer.
func (c *conn) Close() error {
	c.mutex.Lock()
	if c.closeCalled {
		c.mutex.Unlock()
		return nil
	}
	report, isUnanswered := c.unanswered()
	c.closeCalled = true
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
