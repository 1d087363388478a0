package connection_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"lovageshift/connection"
)

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

func signal(to chan struct{}) {
	select {
	case to <- struct{}{}:
	default:
	}
}
