package connection_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"lovageshift"
	"lovageshift/connection"
	"lovageshift/framing"
)

const (
	// patience bounds every wait for something that must happen, on a busy machine.
	patience = 5 * time.Second
	// runPath is the path of requests that run until server.finish is called.
	runPath = "/run"
)

// server is an HTTP server behind the listener, as the entries assemble it.
type server struct {
	t        *testing.T
	address  string
	listener *connection.Listener
	http     *http.Server
	// closes makes the handler ask callers to close their connections.
	closes atomic.Bool
	finish func()
	// outer returns the listener that the http.Server accepts from, given the one of package framing; nil for that one.
	outer func(net.Listener) net.Listener
	// stop ends the server, and may be called more than once.
	stop func()

	mutex      sync.Mutex // guards the fields below
	received   map[string]int
	handled    map[string]int
	unanswered []connection.Unanswered
}

// startServer starts a server. The options need no callbacks, clock or answers. The listener accepts from the one that wrap returns,
// nil for none.
func startServer(
	t *testing.T, options connection.Options, configure func(*http.Server), wrap func(net.Listener) net.Listener,
) *server {
	t.Helper()
	s := newServer(t, options, configure, wrap)
	s.serve()
	return s
}

// newServer returns a server that accepts no connection before serve is called.
func newServer(
	t *testing.T, options connection.Options, configure func(*http.Server), wrap func(net.Listener) net.Listener,
) *server {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &server{t: t, address: inner.Addr().String(), received: map[string]int{}, handled: map[string]int{}}
	options.Clock, options.OnUnanswered = lovageshift.NewClock(), s.recordUnanswered
	if options.OnFull == nil {
		options.OnFull = func() {}
	}
	options.TooSlow = connection.Encode(http.StatusRequestTimeout, http.Header{}, "slow\n")
	options.Stopping = connection.Encode(http.StatusServiceUnavailable, http.Header{}, "stopping\n")
	accepting := net.Listener(countingListener{inner, s})
	if wrap != nil {
		accepting = wrap(accepting)
	}
	s.listener = connection.NewListener(accepting, options)
	running := make(chan struct{})
	s.finish = sync.OnceFunc(func() { close(running) })
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.handle(w, r, running) })
	s.http = &http.Server{ConnState: s.listener.ConnState, Handler: handler, ErrorLog: log.New(io.Discard, "", 0)}
	if configure != nil {
		configure(s.http)
	}
	return s
}

// serve accepts connections until the server is stopped.
func (s *server) serve() {
	var tasks sync.WaitGroup
	var framed net.Listener = &framing.Listener{Listener: s.listener, HeaderLimit: func() int { return 16 << 10 }}
	if s.outer != nil {
		framed = s.outer(framed)
	}
	tasks.Go(func() { _ = s.http.Serve(framed) })
	s.stop = sync.OnceFunc(func() {
		s.finish()
		s.listener.Abort()
		_ = s.http.Close()
		tasks.Wait()
	})
	s.t.Cleanup(s.stop)
}

func (s *server) handle(w http.ResponseWriter, r *http.Request, running chan struct{}) {
	s.mutex.Lock()
	s.handled[r.URL.Path]++
	s.mutex.Unlock()
	if r.URL.Path == runPath {
		<-running
	}
	if s.closes.Load() {
		w.Header().Set("Connection", "close")
	}
	body, _ := io.ReadAll(r.Body)
	_, _ = io.WriteString(w, r.URL.Path+" "+string(body))
}

func (s *server) recordUnanswered(c connection.Unanswered) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.unanswered = append(s.unanswered, c)
}

// runs returns how often the handler was called for the path.
func (s *server) runs(path string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.handled[path]
}

// reports returns how many connections of the caller were reported as closed without an answer.
func (s *server) reports(c *caller) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	count := 0
	for _, report := range s.unanswered {
		if report.Caller == c.LocalAddr().String() {
			count++
		}
	}
	return count
}

// checkNothingLeft fails the test unless all connections end.
func (s *server) checkNothingLeft() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	if !s.listener.Wait(ctx) {
		open, _ := s.listener.Connections()
		s.t.Errorf("%d connections are left", open)
	}
}

// countingListener counts the bytes that the server has received from each caller.
type countingListener struct {
	net.Listener
	server *server
}

func (l countingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countingConn{accepted.(*net.TCPConn), l.server}, nil
}

func (l countingListener) SetDeadline(deadline time.Time) error {
	return l.Listener.(*net.TCPListener).SetDeadline(deadline)
}

type countingConn struct {
	*net.TCPConn
	server *server
}

func (c countingConn) Read(into []byte) (int, error) {
	count, err := c.TCPConn.Read(into)
	c.server.mutex.Lock()
	defer c.server.mutex.Unlock()
	c.server.received[c.RemoteAddr().String()] += count
	return count, err
}

// caller is a caller's side of a connection.
type caller struct {
	net.Conn
	server  *server
	answers *bufio.Reader
	sent    int
}

func (s *server) dial() *caller {
	s.t.Helper()
	raw, err := net.Dial("tcp", s.address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = raw.Close() })
	return newCaller(s, raw)
}

func newCaller(s *server, raw net.Conn) *caller {
	_ = raw.SetReadDeadline(time.Now().Add(2 * patience))
	return &caller{Conn: raw, server: s, answers: bufio.NewReader(raw)}
}

// send sends the text, and does not wait until it is received.
func (c *caller) send(text string) {
	count, _ := io.WriteString(c.Conn, text)
	c.sent += count
}

// deliver sends the text and waits until the server has received it.
func (c *caller) deliver(text string) {
	c.server.t.Helper()
	c.send(text)
	waitFor(c.server.t, func() bool {
		c.server.mutex.Lock()
		defer c.server.mutex.Unlock()
		return c.server.received[c.LocalAddr().String()] == c.sent
	})
}

// answer reads an answer and returns its status and body. The error is one of an answer that is not whole.
func (c *caller) answer() (status int, body string, err error) {
	response, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, "", err
	}
	content, err := io.ReadAll(response.Body)
	return response.StatusCode, string(content), err
}

// expect fails the test unless the next answer is whole and has the status and the body.
func (c *caller) expect(t *testing.T, status int, body string) {
	t.Helper()
	gotStatus, gotBody, err := c.answer()
	if err != nil || gotStatus != status || gotBody != body {
		t.Fatalf("got %d %q, error %v; want %d %q", gotStatus, gotBody, err, status, body)
	}
}

// expectEnd fails the test unless the connection ends in order, with no more bytes.
func (c *caller) expectEnd(t *testing.T) {
	t.Helper()
	if part, err := c.answers.Peek(1); !errors.Is(err, io.EOF) {
		t.Fatalf("got %q, error %v; want the end of the connection", part, err)
	}
}

// request returns a request with the path and body.
func request(path, body string) (header, whole string) {
	recorded := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	recorded.Header.Set("User-Agent", "t")
	var encoded strings.Builder
	_ = recorded.Write(&encoded)
	whole = encoded.String()
	return whole[:len(whole)-len(body)], whole
}

func waitFor(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met in time")
		}
	}
}
