package connection_test

import (
	"net/http"
	"testing"
	"time"

	"lovageshift/connection"
)

const (
	idleTimeout   = 300 * time.Millisecond
	headerTimeout = 900 * time.Millisecond
)

// startIdleServer starts a server with the timeouts, and returns a caller that got an answer from it just now.
func startIdleServer(t *testing.T) (*server, *caller) {
	s := startServer(t, connection.Options{HeaderTimeout: headerTimeout}, func(h *http.Server) {
		h.IdleTimeout, h.ReadHeaderTimeout = idleTimeout, headerTimeout
	}, nil)
	c := s.dial()
	_, whole := request("/first", "")
	c.send(whole)
	c.expect(t, http.StatusOK, "/first ")
	return s, c
}

// Guards against an idle timeout that ends a connection on which a header has begun to arrive before it.
func TestHeadersThatComeAroundTheIdleTimeoutAreServed(t *testing.T) {
	t.Parallel()
	header, whole := request("/next", "body")
	for _, before := range []time.Duration{0, idleTimeout / 2, idleTimeout - 20*time.Millisecond, idleTimeout - time.Millisecond, idleTimeout} {
		for _, pause := range []time.Duration{0, idleTimeout} {
			t.Run(before.String()+" "+pause.String(), func(t *testing.T) {
				t.Parallel()
				s, c := startIdleServer(t)
				time.Sleep(before)
				c.send(whole[:len(header)/2])
				time.Sleep(pause)
				c.send(whole[len(header)/2:])
				status, body, err := c.answer()
				if err == nil && status == http.StatusOK && body == "/next body" {
					return
				}
				s.mutex.Lock()
				defer s.mutex.Unlock()
				// Of a request that crosses the end, at most a byte is read.
				if _, first := request("/first", ""); s.received[c.LocalAddr().String()] > len(first)+1 {
					t.Fatalf("got %d %q, error %v for a request that began to arrive", status, body, err)
				}
			})
		}
	}
}

// Guards against a header whose pieces each put off the header timeout, and against one that the idle timeout bounds.
func TestDrippingHeadersEndByTheHeaderTimeout(t *testing.T) {
	t.Parallel()
	for _, answered := range []bool{false, true} {
		t.Run(map[bool]string{false: "first request", true: "next request"}[answered], func(t *testing.T) {
			t.Parallel()
			s, c := startIdleServer(t)
			if !answered {
				c = s.dial()
			}
			_, whole := request("/drips", "")
			begun := time.Now()
			for i := range whole {
				c.send(whole[i : i+1])
				_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				if _, err := c.answers.Peek(1); err == nil {
					break
				}
			}
			_ = c.SetReadDeadline(time.Now().Add(patience))
			c.expect(t, http.StatusRequestTimeout, "slow\n")
			c.expectEnd(t)
			if took := time.Since(begun); took < headerTimeout-10*time.Millisecond || s.runs("/drips") > 0 {
				t.Errorf("the header ended after %v, the handler ran %d times", took, s.runs("/drips"))
			}
		})
	}
}
