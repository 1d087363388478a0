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
)

const (
	bufferBytes = 8 << 10
	// Unacknowledged bytes and unanswered keep-alive probes end a connection after about this time.
	silenceMillis = 2500
)

// KeepAlive ends connections whose peer stopped answering without closing them.
var KeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3}

// SetUserTimeout is a net.Dialer's Control that bounds how long sent bytes stay unacknowledged.
func SetUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, silenceMillis)
	})
	if err != nil {
		return err
	}
	return failed
}

// conn is one connection to a target; it carries one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	target key
	// idleSince is when the last answer ended, idleFor how long the target keeps it after that.
	idleSince lovageshift.Millis
	idleFor   lovageshift.Millis
}

type key struct {
	id      lovageshift.TargetID
	born    int64
	address string
}

func dial(ctx context.Context, target key) (*conn, error) {
	dialer := net.Dialer{KeepAliveConfig: KeepAlive, Control: SetUserTimeout}
	raw, err := dialer.DialContext(ctx, "tcp", target.address)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, reader: bufio.NewReaderSize(raw, bufferBytes), target: target}, nil
}

// quiet reports whether an idle connection is still open and has nothing to read: bytes that come unasked belong to no request.
func (c *conn) quiet() bool {
	tcp, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	var peeked [1]byte
	err = raw.Read(func(descriptor uintptr) bool {
		_, _, failed := unix.Recvfrom(int(descriptor), peeked[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = failed == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

// keptFor reads how long the target keeps an idle connection, 0 if it does not say.
func keptFor(keepAlive string) lovageshift.Millis {
	for item := range strings.SplitSeq(keepAlive, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(item), "=")
		if seconds, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return lovageshift.Millis(seconds) * 1000
		}
	}
	return 0
}
