package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/standin"
)

// promises are the statuses that tell a caller that its request did not run and never will.
var promises = []int{http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}

// strayTarget is a target that answers the requests on its connections as a function writes it.
type strayTarget struct {
	listener net.Listener
	tasks    errgroup.Group
	mutex    sync.Mutex
	// ran counts the requests that were run, by their ids.
	ran map[string]int
	// arrived counts the requests that arrived.
	arrived int
	// extra are header lines in all answers and refusals.
	extra string
	// refused is the id of the request that was refused last.
	refused string
}

// strayExchange is one request on a connection of a strayTarget.
type strayExchange struct {
	io.Writer
	target *strayTarget
	id     string
	stream bool
	// first is the id of the first request on the connection. arrived counts the target's requests, from 1.
	first   string
	arrived int
}

// refuse writes that the request with the id did not run; "" names none.
func (e strayExchange) refuse(id string) {
	line := ""
	if id != "" {
		line = standin.HeaderRequestID + ": " + id + "\r\n"
	}
	_, _ = fmt.Fprintf(e, "HTTP/1.1 503 Refused\r\n%s%s: 1\r\n%sContent-Length: 0\r\n\r\n", line, standin.HeaderNotRun, e.target.extraLines())
}

// begin runs the request.
func (e strayExchange) begin() {
	e.target.mutex.Lock()
	defer e.target.mutex.Unlock()
	e.target.ran[e.id]++
}

// answer writes the answer to a request that ran, with the status.
func (e strayExchange) answer(status int) {
	body := "ok"
	if e.stream {
		body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
	}
	_, _ = fmt.Fprintf(e, "HTTP/1.1 %d Status\r\n%s: s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, standin.HeaderSignature, standin.HeaderRequestID, e.id, e.target.extraLines(), len(body), body)
}

func newStrayTarget(serve func(strayExchange)) *strayTarget {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	So(err, ShouldBeNil)
	t := &strayTarget{listener: listener, ran: map[string]int{}}
	t.tasks.Go(func() error {
		for {
			c, err := listener.Accept()
			if err != nil {
				return nil
			}
			t.tasks.Go(func() error {
				t.serveConn(c, serve)
				return nil
			})
		}
	})
	return t
}

func (t *strayTarget) serveConn(c net.Conn, serve func(strayExchange)) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	first := ""
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		t.mutex.Lock()
		t.arrived++
		arrived := t.arrived
		t.mutex.Unlock()
		id := request.Header.Get(standin.HeaderRequestID)
		if first == "" {
			first = id
		}
		isStream := strings.HasPrefix(request.URL.Path, "/chat/") || strings.HasPrefix(request.URL.Path, "/resume/")
		serve(strayExchange{Writer: c, target: t, id: id, stream: isStream, first: first, arrived: arrived})
	}
}

// lastRefused returns the id of the request that was refused last, which is the one with the given id if that is not "".
func (t *strayTarget) lastRefused(id string) string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if id != "" {
		t.refused = id
	}
	return t.refused
}

// arrivals returns how many requests have arrived.
func (t *strayTarget) arrivals() int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.arrived
}

func (t *strayTarget) extraLines() string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.extra
}

func (t *strayTarget) setExtra(lines string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.extra = lines
}

// register puts the target's record into the store.
func (t *strayTarget) register(s *setup, id string, born, sequence int64) {
	replica := plainReplica(id)
	s.store.Put(replica.Key(), replica.Record(standin.Registration{Address: t.listener.Addr().String(), Zone: "zone-a", Born: born, Sequence: sequence}))
}

// runs returns how often the request with the id was run.
func (t *strayTarget) runs(id string) int {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.ran[id]
}

// newStraySetup returns an entry with two such targets, and a function that returns how often they ran a request.
func newStraySetup(serve func(strayExchange)) (*setup, func(id string) int) {
	s, targets := newStrayTargets(serve)
	return s, func(id string) int { return targets[0].runs(id) + targets[1].runs(id) }
}

// newStrayTargets returns an entry and the two targets that it sends requests to.
func newStrayTargets(serve func(strayExchange)) (*setup, []*strayTarget) {
	s := newSetup()
	var targets []*strayTarget
	for i := range 2 {
		target := newStrayTarget(serve)
		target.register(s, fmt.Sprintf("i-%d", i), 1, 1)
		targets = append(targets, target)
	}
	stop := s.stop
	s.stop = func() {
		for _, target := range targets {
			_ = target.listener.Close()
		}
		stop()
	}
	written := s.store.Copy().Revision()
	s.waitFor(func() bool { return s.gateway.StateUpdate(lovageshift.NewClock().Now()).StoreRevision >= written })
	sent := 0
	s.waitFor(func() bool {
		sent++
		s.send(fmt.Sprintf("first-%d", sent), "GET", "/read/x", "")
		return targets[0].arrivals()+targets[1].arrivals() > 0
	})
	return s, targets
}

// TestRefusalsOfEarlierRequests guards against callers that are told "not run" of a request that ran, and against unsafe
// requests that run twice, when a target writes an earlier refusal once more on a kept connection.
func TestRefusalsOfEarlierRequests(t *testing.T) {
	named := map[string]func(e strayExchange) string{
		"without an id":                  func(strayExchange) string { return "" },
		"with its id":                    func(e strayExchange) string { return e.target.lastRefused("") },
		"with another's id":              func(strayExchange) string { return "another" },
		"with the connection's first id": func(e strayExchange) string { return e.first },
	}
	for when, delay := range map[string]time.Duration{"before its answer": 0, "20 ms before its answer": 20 * time.Millisecond} {
		for name, nameOf := range named {
			for _, reused := range []bool{false, true} {
				Convey(fmt.Sprintf("A refusal is written again %s, %s to a later request, ids reused %v", name, when, reused), t, func() {
					checkStrays(reused, func(e strayExchange) {
						if e.arrived%4 == 3 {
							e.refuse(e.target.lastRefused(e.id))
							return
						}
						e.begin()
						if e.id != e.first {
							e.refuse(nameOf(e))
						}
						time.Sleep(delay)
						e.answer(http.StatusOK)
					})
				})
			}
		}
	}
}

// checkStrays sends requests one after the other and compares what their callers are told with what ran.
func checkStrays(reused bool, serve func(strayExchange)) {
	s, runs := newStraySetup(serve)
	defer s.stop()
	for i := range 32 {
		path := []string{"/book/x", "/read/x", "/chat/x", "/resume/x"}[i%4]
		unsafeKind := path == "/book/x" || path == "/chat/x"
		id := fmt.Sprintf("r%d", i)
		if reused {
			id = fmt.Sprintf("r%d", i%8)
		}
		before := runs(id)
		got := s.send(id, "POST", path, "abc")
		ran := runs(id) - before
		if unsafeKind {
			So(ran, ShouldBeLessThanOrEqualTo, 1)
		}
		if unsafeKind && slices.Contains(promises, got.status) {
			So(ran, ShouldEqual, 0)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestStatusWithoutItsHeader guards against callers that are told "not run" because a target answers a request that it ran
// with a status that its header does not explain.
func TestStatusWithoutItsHeader(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		Convey(fmt.Sprintf("A target runs requests and answers with status %d", status), t, func() {
			s, runs := newStraySetup(func(e strayExchange) { e.begin(); e.answer(status) })
			defer s.stop()
			for _, path := range []string{"/book/x", "/chat/x"} {
				id := "r" + path
				got := s.send(id, "POST", path, "abc")
				So(runs(id), ShouldEqual, 1)
				So(got.status, ShouldEqual, http.StatusBadGateway)
				So(got.header.Get(standin.HeaderSignature), ShouldBeEmpty)
			}
			So(s.send("safe", "GET", "/read/x", "").status, ShouldEqual, status)
		})
	}
}

// TestLimitOfAnotherTarget guards against a limit, in the answer of the target that has the address by now, that is kept for
// the target that had it before.
func TestLimitOfAnotherTarget(t *testing.T) {
	Convey("A target at the address of another one names a limit", t, func() {
		s, _ := newStraySetup(func(e strayExchange) {
			_, _ = fmt.Fprintf(e, "HTTP/1.1 421 Misdirected\r\n%s: %s\r\n%s: 1\r\n%s: 0.5\r\nContent-Length: 0\r\n\r\n",
				standin.HeaderRequestID, e.id, standin.HeaderNotRun, standin.HeaderLimit)
		})
		defer s.stop()
		So(s.gateway.StateUpdate(lovageshift.NewClock().Now()).Limits, ShouldBeEmpty)
	})
}
