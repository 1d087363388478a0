package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"strings"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"lovageshift"
	"lovageshift/memory"
)

const (
	// Size of a connection's read buffer and of the read buffer for events, in bytes.
	readBufferBytes = 8 << 10
	// TCP_USER_TIMEOUT, in milliseconds: a connection ends when sent bytes or keep-alive probes have gone unacknowledged
	// for about this time.
	userTimeoutMillis = 2500
)

// KeepAlive configures TCP keep-alive probes, which detect a remote host that has stopped responding without closing
// the connection.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// SetUserTimeout is a net.Dialer.Control function. It makes the new connection end when sent bytes stay unacknowledged
// for userTimeoutMillis.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(descriptor uintptr) {
		sockErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, userTimeoutMillis)
	})
	if err != nil {
		return err
	}
	return sockErr
}

// conn is one connection to a target; it carries one request at a time.
type conn struct {
	net.Conn
	// head limits the bytes of a response header. The reader reads from the connection through it.
	head   *headLimiter
	reader *bufio.Reader
	// body is what the body of the response that is read takes of the memory budget.
	body holding
	key  connKey
	// outOfTurn is set once a response to another request than the last one was read.
	outOfTurn bool
	// idleSince is when the connection last became idle. maxIdle is how long after that it may stay idle before Expire
	// closes it.
	idleSince lovageshift.Millis
	maxIdle   lovageshift.Millis
}

// connKey identifies one incarnation of a target at one address.
type connKey struct {
	id lovageshift.TargetID
	// born is the wall time of the target's start, in milliseconds.
	born    int64
	address string
}

func dial(ctx context.Context, key connKey) (*conn, error) {
	dialer := net.Dialer{KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", key.address)
	if err != nil {
		return nil, err
	}
	head := &headLimiter{reader: raw}
	return &conn{Conn: raw, head: head, reader: bufio.NewReaderSize(head, readBufferBytes), key: key}, nil
}

// limitMemory makes the connection hold responses of the target within the budget.
func (c *conn) limitMemory(budget *memory.Budget, clock lovageshift.Clock) {
	c.body = holding{budget: budget, clock: clock, target: c.key.id}
	c.head.held = c.body
}

// release releases what the connection holds of the memory budget.
func (c *conn) release() {
	c.head.held.release()
	c.body.release()
}

// setIdle records that the connection is idle from now on. The target ends it after the timeout, 0 for the default.
func (c *conn) setIdle(now, timeout lovageshift.Millis) {
	if timeout == 0 {
		timeout = defaultIdleTimeout
	}
	c.idleSince, c.maxIdle = now, timeout-idleMargin
}

// inTurn reports whether the connection has received exactly one response, interim ones aside, to each of its requests.
func (c *conn) inTurn() bool { return !c.outOfTurn && c.reader.Buffered() == 0 }

// silent reports whether the connection is open and no bytes have been received on it since the last response. Bytes that
// arrive before a request is written are no response to it, so they make the connection unusable.
func (c *conn) silent() bool {
	count, err := c.peek()
	return count == 0 && err == unix.EAGAIN
}

// ended reports whether the target has ended the connection, and no bytes came before that.
func (c *conn) ended() bool {
	count, err := c.peek()
	return count == 0 && err != unix.EAGAIN
}

// peek returns how many bytes could be read at once, at most 1, or the error of reading: unix.EAGAIN if there are none, nil if
// the connection has ended in order.
func (c *conn) peek() (int, error) {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return 0, unix.EAGAIN
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return 0, err
	}
	count := 0
	var sockErr error
	var peeked [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		count, _, sockErr = unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		return true
	})
	if err != nil {
		return 0, err
	}
	return max(count, 0), sockErr
}

// keepAliveTimeout returns the timeout parameter of a Keep-Alive header, which the header gives in seconds; 0 if there
// is none.
func keepAliveTimeout(keepAlive string) lovageshift.Millis {
	for item := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return lovageshift.Millis(seconds) * 1000
		}
	}
	return 0
}
