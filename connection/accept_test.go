package connection_test

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"lovageshift/connection"
)

// failingListener fails as often as failures says, with a temporary error.
type failingListener struct {
	net.Listener
	failures atomic.Int64
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures.Add(-1) >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.ECONNABORTED}
	}
	return l.Listener.Accept()
}

func (l *failingListener) SetDeadline(deadline time.Time) error {
	return l.Listener.(interface{ SetDeadline(time.Time) error }).SetDeadline(deadline)
}

// Guards against callers in the kernel's queue that are reset because accepting failed for a moment.
func TestTemporaryAcceptErrors(t *testing.T) {
	t.Parallel()
	for _, stopping := range []bool{false, true} {
		t.Run(map[bool]string{false: "serving", true: "stopping"}[stopping], func(t *testing.T) {
			t.Parallel()
			l := &failingListener{}
			l.failures.Store(3)
			s := newServer(t, connection.Options{}, nil, func(inner net.Listener) net.Listener { l.Listener = inner; return l })
			caller := s.dial()
			_, whole := request("/queued", "body")
			caller.send(whole)
			if stopping {
				s.listener.StopAccepting()
			}
			s.serve()
			caller.expect(t, http.StatusOK, "/queued body")
		})
	}
}

// Guards against callers in the kernel's queue that are reset because a listener that stops has no room for them yet.
func TestQueuedCallersOfAFullListenerAreAnsweredAfterStopAccepting(t *testing.T) {
	t.Parallel()
	full := make(chan struct{}, 1)
	s := startServer(t, connection.Options{Limit: 1, OnFull: func() { signal(full) }}, nil, nil)
	s.closes.Store(true)
	running := s.dial()
	_, whole := request(runPath, "")
	running.send(whole)
	waitFor(t, func() bool { return s.runs(runPath) == 1 })
	var queued []*caller
	_, whole = request("/queued", "body")
	for range 5 {
		c := s.dial()
		c.send(whole)
		queued = append(queued, c)
	}
	<-full
	s.listener.StopAccepting()
	time.Sleep(200 * time.Millisecond) // longer than accepting goes on if there is room
	s.finish()
	for _, c := range queued {
		c.expect(t, http.StatusOK, "/queued body")
	}
	waitFor(t, func() bool { c, err := net.Dial("tcp", s.address); return err != nil || c.Close() != nil })
}

// Guards against a stop that ends while a caller that has connected is not yet served.
func TestWaitCoversCallersThatAreBeingAccepted(t *testing.T) {
	t.Parallel()
	full, goOn := make(chan struct{}, 1), make(chan struct{})
	s := startServer(t, connection.Options{Limit: 1, OnFull: func() { signal(full); <-goOn }}, nil, nil)
	release := sync.OnceFunc(func() { close(goOn) })
	t.Cleanup(release)
	running := s.dial()
	_, whole := request(runPath, "")
	running.send(whole)
	waitFor(t, func() bool { return s.runs(runPath) == 1 })
	next := s.dial()
	_, whole = request("/next", "body")
	next.send(whole)
	<-full
	s.listener.StopAccepting()
	s.finish()
	running.expect(t, http.StatusOK, runPath+" ")
	_ = running.Close()
	waitFor(t, func() bool { open, _ := s.listener.Connections(); return open == 0 })
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if s.listener.Wait(ctx) {
		t.Error("Wait returned true while a caller was not served")
	}
	release()
	next.expect(t, http.StatusOK, "/next body")
	_ = next.Close()
	s.checkNothingLeft()
}

// Guards against a stop that ends before the callers that had connected were accepted.
func TestWaitCoversCallersInTheQueue(t *testing.T) {
	t.Parallel()
	s := newServer(t, connection.Options{}, nil, nil)
	caller := s.dial()
	_, whole := request("/queued", "body")
	caller.send(whole)
	s.listener.StopAccepting()
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if s.listener.Wait(ctx) {
		t.Error("Wait returned true while a caller was in the queue")
	}
	s.serve()
	caller.expect(t, http.StatusOK, "/queued body")
	_ = caller.Close()
	s.checkNothingLeft()
}

// Guards against a connection that is accepted during Abort and left open by it.
func TestAbortCoversCallersThatAreBeingAccepted(t *testing.T) {
	t.Parallel()
	full, goOn := make(chan struct{}, 1), make(chan struct{})
	s := startServer(t, connection.Options{Limit: 1, OnFull: func() { signal(full); <-goOn }}, nil, nil)
	release := sync.OnceFunc(func() { close(goOn) })
	t.Cleanup(release)
	running := s.dial()
	_, whole := request(runPath, "")
	running.send(whole)
	waitFor(t, func() bool { return s.runs(runPath) == 1 })
	next := s.dial()
	<-full
	s.listener.Abort()
	release()
	if _, _, err := next.answer(); err == nil {
		t.Error("got an answer")
	}
	s.checkNothingLeft()
}

// Guards against a panic or data race of Abort with connections that the server closes at the same time.
func TestAbortWhileConnectionsEnd(t *testing.T) {
	t.Parallel()
	s := startServer(t, connection.Options{}, nil, nil)
	s.closes.Store(true)
	_, whole := request(runPath, "")
	const count = 200
	for range count {
		s.dial().send(whole)
	}
	waitFor(t, func() bool { return s.runs(runPath) == count })
	s.finish()
	s.listener.Abort()
	s.checkNothingLeft()
}

// Guards against a listener that stays open, or connections that end, when it is closed without StopAccepting.
func TestClose(t *testing.T) {
	t.Parallel()
	s := startServer(t, connection.Options{}, nil, nil)
	caller := s.dial()
	_, whole := request("/first", "")
	caller.send(whole)
	caller.expect(t, http.StatusOK, "/first ")
	for range 2 {
		if err := s.listener.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := net.Dial("tcp", s.address); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Fatalf("dialing a closed listener: %v", err)
	}
	caller.send(whole)
	caller.expect(t, http.StatusOK, "/first ")
}

func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
