package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/standin"
)

// rawTarget is a target that answers each request with the bytes of a script and then ends the connection.
type rawTarget struct {
	response string // sent after the status line and the headers that name the request
	reset    bool   // ends the connection with a reset
	// pieces are sent after the response, each after a pause.
	pieces []string
	pause  time.Duration
}

func (t *rawTarget) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	if hasNoReport(w, request) {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	c, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: s\r\nRaw: 1\r\n%s",
		standin.HeaderRequestID, request.Header.Get(standin.HeaderRequestID), standin.HeaderSignature, t.response)
	for _, piece := range t.pieces {
		time.Sleep(t.pause)
		if _, err := io.WriteString(c, piece); err != nil {
			return
		}
	}
	if !t.reset {
		return
	}
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}

// hasNoReport answers a call for the target's report, which names no request, that there is none.
func hasNoReport(w http.ResponseWriter, request *http.Request) bool {
	if request.Header.Get(standin.HeaderRequestID) != "" {
		return false
	}
	w.WriteHeader(http.StatusNotFound)
	return true
}

// newRawSetup returns an entry whose only target answers with the bytes of the script.
func newRawSetup(target *rawTarget) (*setup, func()) {
	replica := plainReplica("i-1")
	s := newSetup(replica)
	server := httptest.NewServer(target)
	s.store.Put(replica.Key(), replica.Record(standin.Registration{Address: server.Listener.Addr().String(), Zone: "zone-a", Born: 2, Sequence: 1}))
	s.waitFor(func() bool { return s.send("r0", "GET", "/read/x", "").body != "done by i-1" })
	return s, func() {
		s.stop()
		server.CloseClientConnections()
		server.Close()
	}
}

// rawAnswer is an answer as bytes: its status and what follows the headers that name the request.
type rawAnswer struct{ status, rest string }

// newScriptedSetup returns an entry with as many targets as there are answers. Whichever targets get the requests, the first
// request is answered with the first answer, the second one with the second, and all later ones with the last. Each answer ends
// with its connection.
func newScriptedSetup(answers ...rawAnswer) (*setup, func()) {
	var next atomic.Int64
	s := newSetup()
	var closers []func()
	for number := range answers {
		replica := plainReplica(fmt.Sprintf("i-%d", number))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
			if hasNoReport(w, request) {
				return
			}
			c, _, err := w.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			answer := answers[min(int(next.Add(1)), len(answers))-1]
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s\r\n%s: %s\r\n%s: s\r\n%s", answer.status,
				standin.HeaderRequestID, request.Header.Get(standin.HeaderRequestID), standin.HeaderSignature, answer.rest)
		}))
		closers = append(closers, server.CloseClientConnections, server.Close)
		s.store.Put(replica.Key(), replica.Record(standin.Registration{Address: server.Listener.Addr().String(), Zone: "zone-a", Born: 1, Sequence: 1}))
	}
	s.waitFor(func() bool { return len(s.tracker.View().Targets) == len(answers) })
	return s, func() {
		s.stop()
		for _, closer := range closers {
			closer()
		}
	}
}

// A body with neither a length nor chunks ends with its connection. As the end of the caller's connection would prove nothing,
// the caller must get a length or chunks.
func TestBodiesThatEndWithTheConnection(t *testing.T) {
	const events = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	withEnd := func(got result, body string) {
		So(got.status, ShouldEqual, 200)
		So(got.complete, ShouldBeTrue)
		So(got.chunked || got.header.Get("Content-Length") == fmt.Sprint(len(body)), ShouldBeTrue)
		So(got.closes, ShouldBeFalse)
		So(got.body, ShouldEqual, body)
	}
	Convey("A plain body that ends with the target's connection reaches the caller with its length", t, func() {
		s, stop := newRawSetup(&rawTarget{response: "Connection: close\r\n\r\nhalf or whole"})
		defer stop()
		withEnd(s.send("r1", "POST", "/book/x", ""), "half or whole")
	})
	Convey("A stream that ends with the target's connection reaches the caller in chunks", t, func() {
		s, stop := newRawSetup(&rawTarget{response: "Content-Type: text/event-stream\r\n\r\n" + events})
		defer stop()
		withEnd(s.send("r1", "POST", "/chat/x", ""), events)
	})
	Convey("A stream whose target resets its connection does not look complete to the caller", t, func() {
		s, stop := newRawSetup(&rawTarget{response: "Content-Type: text/event-stream\r\n\r\n" + events, reset: true})
		defer stop()
		got := s.send("r1", "POST", "/chat/x", "")
		So(got.complete, ShouldBeFalse)
	})
	Convey("A plain body whose target resets its connection is not forwarded", t, func() {
		s, stop := newRawSetup(&rawTarget{response: "\r\nhalf", reset: true})
		defer stop()
		So(s.send("r1", "POST", "/book/x", "").status, ShouldEqual, 502)
	})
	Convey("A stream whose target ends its connection within an event does not look complete to the caller", t, func() {
		s, stop := newRawSetup(&rawTarget{response: "Content-Type: text/event-stream\r\n\r\n" + events + "id: 3\nda"})
		defer stop()
		So(s.send("r1", "POST", "/chat/x", "").complete, ShouldBeFalse)
	})
}

// A large body is forwarded as it arrives, so that it need not be held in memory.
func TestLargeBodies(t *testing.T) {
	content := strings.Repeat("0123456789abcdef", 64<<10) // 1 MiB
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(content))
	Convey("A large body arrives complete, with its length", t, func() {
		s, stop := newRawSetup(&rawTarget{response: length + content})
		defer stop()
		got := s.send("r1", "POST", "/book/x", "")
		So(got.complete, ShouldBeTrue)
		So(got.body == content, ShouldBeTrue)
		So(got.header.Get("Content-Length"), ShouldEqual, fmt.Sprint(len(content)))
	})
	Convey("A large body in chunks arrives complete", t, func() {
		chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(content), content)
		s, stop := newRawSetup(&rawTarget{response: "Transfer-Encoding: chunked\r\n\r\n" + chunk})
		defer stop()
		got := s.send("r1", "POST", "/book/x", "")
		So(got.complete, ShouldBeTrue)
		So(got.body == content, ShouldBeTrue)
	})
	truncated := map[string]rawTarget{
		"with a length":         {response: length + content[1:]},
		"in chunks":             {response: "Transfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n", len(content), content)},
		"with the connection":   {response: "\r\n" + content, reset: true},
		"above the largest one": {response: "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat(fmt.Sprintf("%x\r\n%s\r\n", len(content), content), 17)},
	}
	for name, target := range truncated {
		Convey("A large body that breaks off does not look complete: "+name, t, func() {
			s, stop := newRawSetup(&target)
			defer stop()
			got := s.send("r1", "POST", "/book/x", "")
			So(got.status == http.StatusOK && got.complete, ShouldBeFalse)
		})
	}
}

// A stalled stream that still sends bytes now and then holds a slot until the caller's deadline unless its progress is
// measured in complete events.
func TestStalledStreams(t *testing.T) {
	slowly := func(pieces []string, pause time.Duration) *rawTarget {
		return &rawTarget{response: "Content-Type: text/event-stream\r\n\r\n", pieces: pieces, pause: pause}
	}
	pieces := func(count int, piece string) []string { return slices.Repeat([]string{piece}, count) }
	Convey("A slow but sound stream is not cut", t, func() {
		s, stop := newRawSetup(slowly(pieces(4, "data: a\n\n"), 1500*time.Millisecond))
		defer stop()
		got := s.send("r1", "POST", "/paced/x", "")
		So(got.complete, ShouldBeTrue)
		So(strings.Count(got.body, "data: a"), ShouldEqual, 4)
	})
	stalls := map[string]string{"bytes of an incomplete event": "d", "lines of an incomplete event": "data: a\n", "comments": ": still here\n\n"}
	for name, piece := range stalls {
		Convey("A stream that sends only this after its first event is ended: "+name, t, func() {
			s, stop := newRawSetup(slowly(append([]string{"data: a\n\n"}, pieces(60, piece)...), 200*time.Millisecond))
			defer stop()
			started := time.Now()
			got := s.send("r1", "POST", "/paced/x", "")
			So(got.status, ShouldEqual, 200)
			So(got.complete, ShouldBeFalse)
			So(time.Since(started), ShouldBeBetween, 2*time.Second, 4*time.Second)
		})
	}
}

// Guards against a stop that ends an answer because its target is silent for a time.
func TestSilentStreamsAreNotEndedDuringAStop(t *testing.T) {
	Convey("A stream whose target is silent for longer than a stall goes on while the entry stops", t, func() {
		s, stop := newRawSetup(&rawTarget{
			response: "Content-Type: text/event-stream\r\n\r\n", pieces: slices.Repeat([]string{"data: a\n\n"}, 2), pause: 3 * time.Second,
		})
		defer stop()
		time.AfterFunc(500*time.Millisecond, s.gateway.Drain)
		got := s.send("r1", "POST", "/paced/x", "")
		So(got.complete, ShouldBeTrue)
		So(strings.Count(got.body, "data: a"), ShouldEqual, 2)
	})
}
