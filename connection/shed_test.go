package connection_test

import (
	"net/http"
	"testing"
	"time"

	"lovageshift/connection"
)

// Guards against a full listener that closes more idle connections than there are new callers.
func TestOneConnectionIsShedForOneCaller(t *testing.T) {
	t.Parallel()
	idle := make(chan struct{}, 10)
	s := startServer(t, connection.Options{Limit: 3}, func(h *http.Server) { reportIdle(h, idle) }, nil)
	var callers []*caller
	_, whole := request("/short", "")
	for range 3 {
		time.Sleep(5 * time.Millisecond) // the listener knows to the millisecond since when they are idle
		c := s.dial()
		c.send(whole)
		c.expect(t, http.StatusOK, "/short ")
		<-idle
		callers = append(callers, c)
	}
	next := s.dial()
	next.send(whole)
	next.expect(t, http.StatusOK, "/short ")
	if _, shed := s.listener.Connections(); shed != 1 {
		t.Errorf("%d connections were closed for one caller", shed)
	}
	callers[0].expectEnd(t)
	for _, c := range callers[1:] {
		c.send(whole)
		c.expect(t, http.StatusOK, "/short ")
	}
}
