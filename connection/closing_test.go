package connection_test

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"lovageshift/connection"
	"lovageshift/delivery"
)

// Guards against a report that leaves out connections whose caller got only an interim answer.
func TestInterimAnswersAreNoAnswers(t *testing.T) {
	t.Parallel()
	s := startServer(t, connection.Options{}, nil, nil)
	caller := s.dial()
	caller.send("POST /next HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	interim := make([]byte, len("HTTP/1.1 100 Continue\r\n\r\n"))
	if _, err := io.ReadFull(caller.answers, interim); err != nil {
		t.Fatal(err)
	}
	s.listener.Abort()
	if s.reports(caller) != 1 {
		t.Fatal("the connection was not reported as closed without an answer")
	}
}

// Guards against an answer that the caller loses since its connection is reset while it still sends.
func TestAnswersBeforeUnreadBodiesArriveWhole(t *testing.T) {
	t.Parallel()
	for _, limit := range []int{0, 1} { // a full listener closes connections earlier
		t.Run(strconv.Itoa(limit), func(t *testing.T) {
			t.Parallel()
			answer := strings.Repeat("refused ", 8<<10)
			s := startServer(t, connection.Options{Limit: limit}, func(h *http.Server) {
				h.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, answer) })
			}, nil)
			caller := s.dial()
			if limit > 0 {
				_ = s.dial()
			}
			// The caller sends all before it reads, more than the kernel holds, and more than the server reads after an answer.
			caller.send("POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: 33554432\r\n\r\n")
			caller.send(strings.Repeat("x", 32<<20))
			caller.expect(t, http.StatusOK, answer)
			caller.expectEnd(t)
		})
	}
}

// Guards against connections that stay open for callers that never close them, and against closing them at once.
func TestConnectionsWaitForTheirCallersToClose(t *testing.T) {
	t.Parallel()
	s := startServer(t, connection.Options{}, nil, nil)
	s.closes.Store(true)
	stays, closes := s.dial(), s.dial()
	_, whole := request("/next", "body")
	for _, c := range []*caller{stays, closes} {
		c.send(whole)
		c.expect(t, http.StatusOK, "/next body")
		c.expectEnd(t)
	}
	ended := time.Now()
	if open, _ := s.listener.Connections(); open != 2 {
		t.Errorf("%d connections are open, want 2", open)
	}
	_ = closes.Close()
	waitFor(t, func() bool { open, _ := s.listener.Connections(); return open == 1 })
	s.checkNothingLeft()
	if waited := time.Since(ended); waited < 500*time.Millisecond {
		t.Errorf("the connection was closed after %v", waited)
	}
}

// Guards against an answer whose end only the connection's end shows, that looks whole although it was broken off, and against one
// that is reset although it is whole. Other answers end in order if they are broken off, as their framing shows that.
func TestAnswersThatEndWithTheConnection(t *testing.T) {
	t.Parallel()
	const (
		part = "part"
		rest = " and rest"
	)
	for _, version := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, breaks := range []bool{false, true} {
			t.Run(version+map[bool]string{false: "", true: " broken off"}[breaks], func(t *testing.T) {
				t.Parallel()
				received := make(chan struct{})
				s := startServer(t, connection.Options{}, func(h *http.Server) {
					h.ConnContext = delivery.ConnContext
					h.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						answer := delivery.New(w, r)
						_ = answer.Begin(http.StatusOK, -1)
						_, _ = io.WriteString(w, part)
						answer.Flush()
						<-received
						if breaks {
							answer.Break()
						}
						_, _ = io.WriteString(w, rest)
						_ = answer.End()
					})
				}, nil)
				caller := s.dial()
				caller.send("GET / " + version + "\r\nHost: h\r\nConnection: close\r\n\r\n")
				response, err := http.ReadResponse(caller.answers, nil)
				if err != nil {
					t.Fatal(err)
				}
				begin := make([]byte, len(part))
				if _, err := io.ReadFull(response.Body, begin); err != nil || string(begin) != part {
					t.Fatalf("got %q, error %v", begin, err)
				}
				close(received)
				end, err := io.ReadAll(response.Body)
				switch {
				case !breaks && (err != nil || string(end) != rest):
					t.Errorf("got %q, error %v; want %q", end, err, rest)
				case breaks && version == "HTTP/1.0" && !errors.Is(err, syscall.ECONNRESET):
					t.Errorf("got the error %v, want a reset", err)
				case breaks && version == "HTTP/1.1" && !errors.Is(err, io.ErrUnexpectedEOF):
					t.Errorf("got the error %v, want %v", err, io.ErrUnexpectedEOF)
				}
				_ = caller.Close()
				s.checkNothingLeft()
			})
		}
	}
}

// Guards against a connection that is left open or not reported after its handler panicked.
func TestHandlersThatPanic(t *testing.T) {
	t.Parallel()
	s := startServer(t, connection.Options{}, func(h *http.Server) {
		h.Handler = http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}, nil)
	caller := s.dial()
	_, whole := request("/next", "body")
	caller.send(whole)
	waitFor(t, func() bool { return s.reports(caller) == 1 })
	caller.expectEnd(t)
	_ = caller.Close()
	s.checkNothingLeft()
}

// Guards against a caller of HTTP/1.0 that waits for the end of its connection, or loses a connection that it wants to keep.
func TestHTTP10(t *testing.T) {
	t.Parallel()
	s := startServer(t, connection.Options{}, nil, nil)
	closes, keeps := s.dial(), s.dial()
	closes.send("GET /a HTTP/1.0\r\n\r\n")
	closes.expect(t, http.StatusOK, "/a ")
	closes.expectEnd(t)
	for range 2 {
		keeps.send("GET /a HTTP/1.0\r\nConnection: keep-alive\r\n\r\n")
		keeps.expect(t, http.StatusOK, "/a ")
	}
}
