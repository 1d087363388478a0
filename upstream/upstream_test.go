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
	signed = "HTTP/1.1 200 OK\r\n" + standin.HeaderSignature + ": s\r\n"
	head   = signed + standin.HeaderRequestID + ": r1\r\n"
)

// script is a target that answers each request on a connection with the next of its texts; "" closes the connection.
type script struct {
	listener net.Listener
	tasks    errgroup.Group
	target   *catalog.Target
	pool     *upstream.Pool
	opened   int
}

func newScript(answers ...string) *script {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	counts, err := metrics.New()
	So(err, ShouldBeNil)
	s := &script{listener: listener, pool: upstream.NewPool(lovageshift.NewClock(), counts)}
	s.target = &catalog.Target{ID: "i-1", Address: listener.Addr().String()}
	s.tasks.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			s.opened++
			answers = serve(c, answers)
		}
	})
	return s
}

func serve(c net.Conn, answers []string) []string {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for len(answers) > 0 {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return answers
		}
		_, _ = io.Copy(io.Discard, request.Body)
		answer := answers[0]
		answers = answers[1:]
		_, _ = io.WriteString(c, answer)
		if !strings.Contains(answer, "Content-Length") && !strings.Contains(answer, "chunked") {
			return answers
		}
	}
	return answers
}

func (s *script) close() {
	_ = s.listener.Close()
	s.pool.Expire(func(lovageshift.TargetID, int64) bool { return false })
	_ = s.tasks.Wait()
}

func (s *script) send() (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	answer, err := s.pool.Send(ctx, s.target, 10, &upstream.Request{
		ID: "r1", Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: []byte("abc"), HasBody: true, Repeatable: true,
	})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := answer.ReadBody()
	return string(body), err
}

func TestAnswers(t *testing.T) {
	whole := head + "Content-Length: 2\r\n\r\nok"
	cases := map[string]struct {
		answer string
		body   string
		err    error
	}{
		"whole, with a length":            {whole, "ok", nil},
		"whole, in chunks":                {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", nil},
		"whole, up to its end":            {head + "Connection: close\r\n\r\nok", "ok", nil},
		"after an interim answer":         {"HTTP/1.1 100 Continue\r\n\r\n" + whole, "ok", nil},
		"after one to another request":    {"HTTP/1.1 200 OK\r\nLovageshift-Request-Id: r0\r\nContent-Length: 3\r\n\r\nold" + whole, "ok", nil},
		"cut short":                       {head + "Content-Length: 3\r\n\r\nok", "", upstream.ErrConnectionLost},
		"cut between chunks":              {head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "", upstream.ErrConnectionLost},
		"none":                            {"", "", upstream.ErrConnectionLost},
		"no HTTP":                         {"hello\r\n\r\n", "", upstream.ErrInvalidResponse},
		"a success without its signature": {"HTTP/1.1 200 OK\r\nLovageshift-Request-Id: r1\r\nContent-Length: 2\r\n\r\nok", "", upstream.ErrInvalidResponse},
		"a success without its request":   {signed + "Content-Length: 2\r\n\r\nok", "", upstream.ErrInvalidResponse},
		"an encoded body":                 {head + "Content-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok", "", upstream.ErrInvalidResponse},
		"only answers to other requests":  {strings.Repeat("HTTP/1.1 200 OK\r\nLovageshift-Request-Id: r0\r\nContent-Length: 0\r\n\r\n", 3), "", upstream.ErrInvalidResponse},
	}
	for name, expected := range cases {
		Convey("An answer: "+name, t, func() {
			s := newScript(expected.answer)
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
	whole := head + "Content-Length: 2\r\n\r\nok"
	Convey("A connection is kept after a whole answer", t, func() {
		s := newScript(whole, whole, whole)
		defer s.close()
		for range 3 {
			_, err := s.send()
			So(err, ShouldBeNil)
		}
		So(s.opened, ShouldEqual, 1)
	})
	Convey("One with more bytes than its answer is not", t, func() {
		s := newScript(whole+"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nextra", whole)
		defer s.close()
		for range 2 {
			body, err := s.send()
			So(err, ShouldBeNil)
			So(body, ShouldEqual, "ok")
		}
		So(s.opened, ShouldEqual, 2)
	})
	Convey("A refused connection has sent nothing", t, func() {
		s := newScript()
		s.close()
		_, err := s.send()
		So(errors.Is(err, upstream.ErrNotSent), ShouldBeTrue)
	})
}

func TestEvents(t *testing.T) {
	read := func(body string) (ids []string, err error) {
		s := newScript(head + "Connection: close\r\n\r\n" + body)
		defer s.close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		answer, err := s.pool.Send(ctx, s.target, 10, &upstream.Request{ID: "r1", Method: "GET", URI: "/x", Host: "h", Header: http.Header{}})
		So(err, ShouldBeNil)
		defer answer.Close()
		events := answer.Events()
		for {
			event, err := events.Next()
			if err != nil {
				return ids, err
			}
			So(string(event.Raw), ShouldEndWith, "\n\n")
			ids = append(ids, event.ID)
		}
	}
	Convey("Whole events come out one by one", t, func() {
		ids, err := read("id: 1\ndata: a\n\nid: 2\ndata: b\ndata: " + strings.Repeat("c", 20_000) + "\n\n")
		So(errors.Is(err, io.EOF), ShouldBeTrue)
		So(ids, ShouldResemble, []string{"1", "2"})
	})
	Convey("An event that breaks off does not", t, func() {
		ids, err := read("id: 1\ndata: a\n\nid: 2\ndata")
		So(errors.Is(err, upstream.ErrConnectionLost), ShouldBeTrue)
		So(ids, ShouldResemble, []string{"1"})
	})
}
