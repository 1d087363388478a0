package link

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcwire"

	"lovageshift/connection"
)

const (
	// A connection is unused once no call runs on it and nothing has arrived for this long. A peer that lost a packet sends it
	// again within this time, by the usual timeouts of TCP.
	unusedTime = 400 * time.Millisecond
	// How long the reader looks for bytes that have arrived before it ends an unused connection.
	lastReadTime = 2 * time.Millisecond
)

// servedConn is a connection that a server has accepted. Only its reader ends it when the server stops, as it alone knows whether
// a call has arrived.
type servedConn struct {
	net.Conn
	handler drpc.Handler

	mutex   sync.Mutex // guards the fields below
	calls   int        // that run
	isBegun bool       // a part of a call has arrived that does not run yet
	usedAt  time.Time  // when bytes last arrived or a call last ended
}

// endOnceUnused makes the reader end the connection once it is unused.
func (c *servedConn) endOnceUnused() { c.prepareRead() }

// Read reads from the connection. It returns io.EOF, as if the peer had closed it, once the connection is unused and must end.
func (c *servedConn) Read(into []byte) (int, error) {
	isLastRead := false
	for {
		count, err := c.Conn.Read(into)
		if count > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			c.recordArrival(into[:count])
			return count, err
		}
		if isLastRead && !connection.HasUnread(c.Conn) {
			return 0, io.EOF
		}
		isLastRead = c.prepareRead()
	}
}

// prepareRead sets the deadline of the next read, and reports whether it is the last one.
func (c *servedConn) prepareRead() bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	unusedAt := c.usedAt.Add(unusedTime)
	if c.calls > 0 || c.isBegun {
		unusedAt = now.Add(unusedTime)
	}
	isLast := !unusedAt.After(now)
	if isLast {
		unusedAt = now.Add(lastReadTime)
	}
	_ = c.SetReadDeadline(unusedAt)
	return isLast
}

// HandleRPC passes a call to the server's handler.
func (c *servedConn) HandleRPC(stream drpc.Stream, rpc string) error {
	c.recordCall(1)
	defer c.recordCall(-1)
	return c.handler.HandleRPC(stream, rpc)
}

// recordCall records that a call has begun (1) or ended (-1).
func (c *servedConn) recordCall(change int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.calls += change
	c.isBegun = false
	c.usedAt = time.Now()
}

// recordArrival records that the bytes have arrived. Between calls, whole frames are no part of a call: the peer sends one at the
// end of a call, and another call runs as soon as its first frame is whole.
func (c *servedConn) recordArrival(part []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.usedAt = time.Now()
	if c.calls > 0 || c.isBegun {
		return
	}
	for isWhole := true; isWhole && len(part) > 0; {
		part, _, isWhole, _ = drpcwire.ParseFrame(part)
	}
	c.isBegun = len(part) > 0
}
