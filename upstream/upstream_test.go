package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/metrics"
	"lovageshift/standin"
	"lovageshift/upstream"
)

const (
	// Beginning of a successful response that is signed but has no request ID.
	signed = "HTTP/1.1 200 OK\r\n" + standin.HeaderSignature + ": s\r\n"
	// Beginning of a valid response to request r1.
	header = signed + standin.HeaderRequestID + ": r1\r\n"
)

// scriptedTarget is a target that sends the next of its scripted responses to each request. After a response that is
// neither chunked nor has a Content-Length, it closes the connection.
type scriptedTarget struct {
	listener net.Listener
	tasks    errgroup.Group
	target   *catalog.Target
	pool     *upstream.Pool
	// opened is the number of connections that the target has accepted.
	opened int
}

func newScriptedTarget(responses ...string) *scriptedTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	s := &scriptedTarget{listener: listener, pool: newPool()}
	s.target = &catalog.Target{ID: "i-1", Address: listener.Addr().String()}
	s.tasks.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			s.opened++
			responses = serve(c, responses)
		}
	})
	return s
}

// connTarget is a target that passes each connection to a function, on a goroutine of its own, and then closes it.
type connTarget struct {
	listener net.Listener
	tasks    errgroup.Group
}

func newConnTarget(serve func(net.Conn)) *connTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t := &connTarget{listener: listener}
	t.tasks.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			t.tasks.Go(func() error {
				defer func() { _ = c.Close() }()
				serve(c)
				return nil
			})
		}
	})
	return t
}

// registered returns the target as the view has it.
func (t *connTarget) registered() *catalog.Target {
	return &catalog.Target{ID: "i-1", Address: t.listener.Addr().String()}
}

// close waits until all connections have ended.
func (t *connTarget) close() {
	_ = t.listener.Close()
	_ = t.tasks.Wait()
}

func newPool() *upstream.Pool {
	m, err := metrics.New()
	So(err, ShouldBeNil)
	return upstream.NewPool(lovageshift.NewClock(), m)
}

// serve answers the requests on a connection and returns the responses that have not been sent.
func serve(c net.Conn, responses []string) []string {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for len(responses) > 0 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return responses
		}
		_, _ = io.Copy(io.Discard, request.Body)
		response := responses[0]
		responses = responses[1:]
		_, _ = io.WriteString(c, response)
		if !strings.Contains(response, "Content-Length") && !strings.Contains(response, "chunked") {
			return responses
		}
	}
	return responses
}

func (s *scriptedTarget) close() {
	_ = s.listener.Close()
	s.pool.Expire(func(lovageshift.TargetID, int64) bool { return false })
	_ = s.tasks.Wait()
}

// send sends a repeatable request with the ID r1 and returns the body of the response.
func (s *scriptedTarget) send() (string, error) { return s.sendAs("r1") }

// sendAs sends a repeatable request with the ID and returns the body of the response.
func (s *scriptedTarget) sendAs(id string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	response, err := s.pool.Send(ctx, s.target, 10, &upstream.Request{
		ID: id, Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("abc"), HasBody: true, Repeatable: true,
	})
	if err != nil {
		return "", err
	}
	defer response.Close()
	body, _, err := response.ReadBody()
	return string(body), err
}

func TestResponses(t *testing.T) {
	complete := header + "Content-Length: 2\r\n\r\nok"
	cases := map[string]struct {
		response string
		body     string
		err      error
	}{
		"complete, with a length":               {complete, "ok", nil},
		"complete, in chunks":                   {header + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", nil},
		"complete, until the connection closes": {header + "Connection: close\r\n\r\nok", "ok", nil},
		"after an interim response":             {"HTTP/1.1 100 Continue\r\n\r\n" + complete, "ok", nil},
		"after a response to another request":   {"HTTP/1.1 200 OK\r\nLovageshift-Request-Id: r0\r\nContent-Length: 3\r\n\r\nold" + complete, "ok", nil},
		"truncated body":                        {header + "Content-Length: 3\r\n\r\nok", "", upstream.ErrConnectionLost},
		"truncated between chunks":              {header + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", upstream.ErrConnectionLost},
		"no response":                           {"", "", upstream.ErrConnectionLost},
		"not HTTP":                              {"hello\r\n\r\n", "", upstream.ErrInvalidResponse},
		"success without a signature":           {"HTTP/1.1 200 OK\r\nLovageshift-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok", "", upstream.ErrInvalidResponse},
		"success without a request ID":          {signed + "Content-Length: 2\r\n\r\nok", "", upstream.ErrInvalidResponse},
		"encoded body":                          {header + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", "", upstream.ErrInvalidResponse},
		"only responses to other requests":      {strings.Repeat("HTTP/1.1 200 OK\r\nLovageshift-Request-Id: r0\r\nContent-Length: 0\r\n\r\n", 3), "", upstream.ErrInvalidResponse},
	}
	for name, expected := range cases {
		Convey("Response: "+name, t, func() {
			s := newScriptedTarget(expected.response)
			defer s.close()
			body, err := s.send()
			if expected.err == nil {
				So(err, ShouldBeNil)
				So(body, ShouldEqual, expected.body)
				return
			}
			So(errors.Is(err, expected.err), ShouldBeTrue)
			So(errors.Is(err, upstream.ErrNotSent), ShouldBeFalse)
		})
	}
}

func TestConnections(t *testing.T) {
	ids := []string{"r1", "r2", "r3"}
	complete := func(id string) string {
		return signed + standin.HeaderRequestID + ": " + id + "\r\nContent-Length: 2\r\n\r\nok"
	}
	Convey("A connection is reused after a complete response", t, func() {
		s := newScriptedTarget(complete("r1"), complete("r2"), complete("r3"))
		defer s.close()
		for _, id := range ids {
			_, err := s.sendAs(id)
			So(err, ShouldBeNil)
		}
		So(s.opened, ShouldEqual, 1)
	})
	Convey("A connection with bytes after its response is not reused", t, func() {
		s := newScriptedTarget(complete("r1")+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", complete("r2"))
		defer s.close()
		for _, id := range ids[:2] {
			body, err := s.sendAs(id)
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
		So(s.opened, ShouldEqual, 2)
	})
	Convey("A refused connection is reported as not sent", t, func() {
		s := newScriptedTarget()
		s.close()
		_, err := s.send()
		So(errors.Is(err, upstream.ErrNotSent), ShouldBeTrue)
	})
}

func TestEvents(t *testing.T) {
	read := func(body string) (ids []string, err error) {
		s := newScriptedTarget(header + "Connection: close\r\n\r\n" + body)
		defer s.close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		response, err := s.pool.Send(ctx, s.target, 10, &upstream.Request{ID: "r1", Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
		So(err, ShouldBeNil)
		defer response.Close()
		events := response.Events()
		for {
			event, err := events.Next()
			if err != nil {
				return ids, err
			}
			So(string(event.Raw), ShouldEndWith, "\n\n")
			ids = append(ids, event.ID)
		}
	}
	Convey("Complete events are returned one by one", t, func() {
		ids, err := read("id: 1\ndata: a\n\nid: 2\ndata: b\ndata: " + strings.Repeat("c", 20_000) + "\n\n")
		So(errors.Is(err, io.EOF), ShouldBeTrue)
		So(ids, ShouldResemble, []string{"1", "2"})
	})
	Convey("A truncated event is not returned", t, func() {
		ids, err := read("id: 1\ndata: a\n\nid: 2\ndata")
		So(errors.Is(err, upstream.ErrConnectionLost), ShouldBeTrue)
		So(ids, ShouldResemble, []string{"1"})
	})
}
