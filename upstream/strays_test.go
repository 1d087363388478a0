package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/standin"
	"lovageshift/upstream"
)

// notRun is a response with the status that says that a request did not run; "" leaves the request out.
func notRun(status int, id string) string {
	line := ""
	if id != "" {
		line = standin.HeaderRequestID + ": " + id + "\r\n"
	}
	return fmt.Sprintf("HTTP/1.1 %d Refused\r\n%s%s: 1\r\nContent-Length: 0\r\n\r\n", status, line, standin.HeaderNotRun)
}

func answered(id string) string {
	return signed + standin.HeaderRequestID + ": " + id + "\r\nContent-Length: 2\r\n\r\nok"
}

// strayTarget refuses the first request of each connection, runs all later ones and writes the refusal again before it
// answers one of them.
type strayTarget struct {
	*connTarget
	mutex sync.Mutex
	// ran counts the requests that were run, by their ids.
	ran map[string]int
	// opened counts the connections.
	opened int
}

// newStrayTarget returns a target that names the request in the second copy of a refusal as the function says, and writes
// it when the next request has arrived, or the delay after the first copy if that is not 0.
func newStrayTarget(delay time.Duration, named func(refused string) string) *strayTarget {
	s := &strayTarget{ran: map[string]int{}}
	s.connTarget = newConnTarget(func(c net.Conn) {
		reader := bufio.NewReader(c)
		s.count(func() { s.opened++ })
		refused := ""
		for first := true; ; first = false {
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get(standin.HeaderRequestID)
			if first {
				refused = id
				_, _ = io.WriteString(c, notRun(http.StatusServiceUnavailable, id))
				if delay > 0 {
					time.Sleep(delay)
					_, _ = io.WriteString(c, notRun(http.StatusServiceUnavailable, named(refused)))
				}
				continue
			}
			s.count(func() { s.ran[id]++ })
			if delay == 0 {
				_, _ = io.WriteString(c, notRun(http.StatusServiceUnavailable, named(refused)))
			}
			_, _ = io.WriteString(c, answered(id))
		}
	})
	return s
}

func (s *strayTarget) count(change func()) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	change()
}

// A target may write an earlier refusal once more on a kept connection. It must not be taken for that of a later request,
// which the target runs.
func TestEarlierRefusalsWrittenAgain(t *testing.T) {
	same := func(refused string) string { return refused }
	none := func(string) string { return "" }
	other := func(string) string { return "another" }
	delays := []time.Duration{0, time.Millisecond, 20 * time.Millisecond, 400 * time.Millisecond}
	for name, c := range map[string]struct {
		named  func(refused string) string
		second string // the id of the second request
	}{
		"with its id":                          {same, "r2"},
		"with its id, which is used once more": {same, "r1"},
		"without an id":                        {none, "r2"},
		"with the id of another request":       {other, "r2"},
	} {
		for _, delay := range delays {
			for _, repeatable := range []bool{true, false} {
				Convey(fmt.Sprintf("A refusal is written again %s, after %v, repeatable %v", name, delay, repeatable), t, func() {
					target := newStrayTarget(delay, c.named)
					pool := newPool()
					first, err := outcomeOf(pool, target.connTarget, "r1", repeatable)
					So(err, ShouldBeNil)
					So(first, ShouldBeTrue)
					time.Sleep(delay / 2)
					second, err := outcomeOf(pool, target.connTarget, c.second, repeatable)
					time.Sleep(5 * time.Millisecond)
					pool.Expire(noneInUse)
					target.close()
					if err == nil && second {
						So(target.ran[c.second], ShouldEqual, 0)
					}
					So(errors.Is(err, upstream.ErrNotSent) && target.ran[c.second] > 0, ShouldBeFalse)
				})
			}
		}
	}
}

// noneInUse closes all idle connections when it is passed to Pool.Expire.
func noneInUse(lovageshift.TargetID, int64) bool { return false }

// outcomeOf sends a request, reads the response and reports whether it says that the request did not run.
func outcomeOf(pool *upstream.Pool, target *connTarget, id string, repeatable bool) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	header := http.Header{standin.HeaderRequestID: {id}}
	response, err := pool.Send(ctx, target.registered(), 10, &upstream.Request{ID: id, Method: "POST", URI: "/x", Host: "h", Header: header, HasBody: true, Repeatable: repeatable})
	if err != nil {
		return false, err
	}
	defer response.Close()
	_, _, err = response.ReadBody()
	return response.Decoded.NotRun, err
}

// A response shows what became of a request only if it names this request, and in one way.
func TestResponsesThatProveNothing(t *testing.T) {
	ours := standin.HeaderRequestID + ": r1\r\n"
	theirs := standin.HeaderRequestID + ": r0\r\n"
	refusal := standin.HeaderNotRun + ": 1\r\n"
	for name, response := range map[string]string{
		"refusal without an id":            "HTTP/1.1 503 Refused\r\n" + refusal + "Content-Length: 0\r\n\r\n",
		"421 without an id":                "HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
		"refusal with an empty id":         "HTTP/1.1 503 Refused\r\n" + standin.HeaderRequestID + ": \r\n" + refusal + "Content-Length: 0\r\n\r\n",
		"refusal with two ids":             "HTTP/1.1 503 Refused\r\n" + ours + theirs + refusal + "Content-Length: 0\r\n\r\n",
		"failure without an id":            "HTTP/1.1 500 Failed\r\n" + standin.HeaderSignature + ": s\r\nContent-Length: 0\r\n\r\n",
		"success that says it did not run": header + refusal + "Content-Length: 2\r\n\r\nok",
		"redirect that says so":            "HTTP/1.1 302 Found\r\n" + ours + refusal + "Content-Length: 0\r\n\r\n",
		"id in a trailer":                  "HTTP/1.1 503 Refused\r\n" + refusal + "Transfer-Encoding: chunked\r\nTrailer: " + standin.HeaderRequestID + "\r\n\r\n0\r\n" + ours + "\r\n",
		"id in an interim response":        "HTTP/1.1 103 Early Hints\r\n" + ours + refusal + "\r\nHTTP/1.1 503 Refused\r\n" + refusal + "Content-Length: 0\r\n\r\n",
	} {
		Convey("The outcome is unknown after: "+name, t, func() {
			s := newScriptedTarget(response)
			defer s.close()
			_, err := s.send()
			So(errors.Is(err, upstream.ErrInvalidResponse), ShouldBeTrue)
			So(errors.Is(err, upstream.ErrNotSent), ShouldBeFalse)
		})
	}
}

// The header of a response to a GET request does not tell how long the one to a HEAD request is, nor the other way round.
func TestLateBodyIsNoResponseToHead(t *testing.T) {
	Convey("A late response with a body that looks like a refusal is not taken for one", t, func() {
		inner := notRun(http.StatusServiceUnavailable, "r1")
		s := newScriptedTarget(signed + standin.HeaderRequestID + ": r0\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(inner)) + inner)
		defer s.close()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := s.pool.Send(ctx, s.target, 10, &upstream.Request{ID: "r1", Method: http.MethodHead, URI: "/x", Host: "h", Header: http.Header{}, Repeatable: true})
		So(errors.Is(err, upstream.ErrInvalidResponse), ShouldBeTrue)
	})
}

// After a response to another request, nothing shows how many more of them the target will write.
func TestConnectionOutOfTurnIsClosed(t *testing.T) {
	Convey("A connection that brought a response to another request is not used again", t, func() {
		target := newStrayTarget(0, func(refused string) string { return refused })
		pool := newPool()
		for _, id := range []string{"r1", "r2", "r3"} {
			_, err := outcomeOf(pool, target.connTarget, id, true)
			So(err, ShouldBeNil)
		}
		pool.Expire(noneInUse)
		target.close()
		So(target.opened, ShouldEqual, 2)
	})
}
