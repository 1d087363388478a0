package connection_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lovageshift/connection"
)

// crossing lets bytes of a caller arrive at the moment at which the reader of its connection is asked to end it, and delays the
// goroutine that sets the reader's deadline, as a busy machine does.
type crossing struct {
	net.Listener
	armed atomic.Bool
	// sends sends the caller's bytes.
	sends func()
}

// schedulingDelay is longer than the reader could look for bytes by a deadline.
const schedulingDelay = 20 * time.Millisecond

func (l *crossing) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &crossingConn{countingConn: accepted.(countingConn), crossing: l}, nil
}

type crossingConn struct {
	countingConn
	crossing *crossing
	once     sync.Once
}

func (c *crossingConn) SetReadDeadline(deadline time.Time) error {
	err := c.countingConn.SetReadDeadline(deadline)
	if c.crossing.armed.Load() && !deadline.IsZero() && time.Until(deadline) < schedulingDelay {
		c.once.Do(c.crossing.sends)
		time.Sleep(schedulingDelay)
	}
	return err
}

// Guards against a reader that ends a connection on which a request has arrived, since its last read began after its deadline.
func TestRequestsThatCrossTheEndAreServed(t *testing.T) {
	t.Parallel()
	retirements := map[string]func(s *server){
		"CloseUnused": func(s *server) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			s.listener.CloseUnused(ctx)
		},
		"RefuseBegun": func(s *server) { s.listener.RefuseBegun() },
	}
	for name, retire := range retirements {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := &crossing{}
			s := startServer(t, connection.Options{}, nil, func(inner net.Listener) net.Listener { l.Listener = inner; return l })
			caller := s.dial()
			_, whole := request("/crosses", "body")
			l.sends = func() { caller.send(whole) }
			l.armed.Store(true)
			waitFor(t, func() bool { open, _ := s.listener.Connections(); return open == 1 })
			retire(s)
			caller.expect(t, http.StatusOK, "/crosses body")
		})
	}
}

// Guards against a connection that is reset after its answer because a full listener wanted to close it before the request began.
func TestConnectionThatWasNotShedEndsInOrder(t *testing.T) {
	t.Parallel()
	l := &crossing{}
	idle := make(chan struct{}, 10)
	s := startServer(t, connection.Options{Limit: 1}, func(h *http.Server) { reportIdle(h, idle) },
		func(inner net.Listener) net.Listener { l.Listener = inner; return l })
	caller := s.dial()
	_, first := request("/first", "")
	caller.send(first)
	caller.expect(t, http.StatusOK, "/first ")
	<-idle
	s.closes.Store(true)
	// More than the server reads before it answers.
	_, whole := request("/crosses", "body")
	l.sends = func() { caller.send(whole + strings.Repeat("x", 64<<10)) }
	l.armed.Store(true)
	_ = s.dial()
	caller.expect(t, http.StatusOK, "/crosses body")
	caller.expectEnd(t)
}

// reportIdle makes the server report each connection that becomes idle.
func reportIdle(h *http.Server, idle chan struct{}) {
	record := h.ConnState
	h.ConnState = func(c net.Conn, state http.ConnState) {
		record(c, state)
		if state == http.StateIdle {
			idle <- struct{}{}
		}
	}
}

// delayedListener delays the server between the end of a connection's input and closing it, until the channel is closed.
type delayedListener struct {
	net.Listener
	until chan struct{}
}

func (l delayedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	return delayedConn{accepted, l.until}, err
}

type delayedConn struct {
	net.Conn
	until chan struct{}
}

func (c delayedConn) Read(into []byte) (int, error) {
	count, err := c.Conn.Read(into)
	if err != nil {
		<-c.until
	}
	return count, err
}

func (c delayedConn) NetConn() net.Conn { return c.Conn }

// Guards against a caller that sends a request on a connection that is decided to end, since the server closes it only later.
func TestCallersLearnOfTheEndOnceItIsDecided(t *testing.T) {
	t.Parallel()
	s := newServer(t, connection.Options{}, nil, nil)
	until := make(chan struct{})
	s.outer = func(l net.Listener) net.Listener { return delayedListener{l, until} }
	s.serve()
	t.Cleanup(sync.OnceFunc(func() { close(until) }))
	caller := s.dial()
	waitFor(t, func() bool { open, _ := s.listener.Connections(); return open == 1 })
	s.listener.RefuseBegun()
	caller.expectEnd(t)
}
