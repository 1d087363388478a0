package gateway_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/standin"
)

// TestTargetThatSaysThatItLeaves guards against requests that reach a target after it has said in an answer that it leaves, while
// its record still says that it is ready.
func TestTargetThatSaysThatItLeaves(t *testing.T) {
	paths := []string{"/read/x", "/book/x", "/chat/x", "/resume/x"}
	for name, serve := range map[string]func(strayExchange){
		"answers":  func(e strayExchange) { e.begin(); e.answer(http.StatusOK) },
		"failures": func(e strayExchange) { e.begin(); e.answer(http.StatusInternalServerError) },
		"refusals": func(e strayExchange) { e.refuse(e.id) },
	} {
		for i, path := range paths {
			if name == "refusals" && i > 0 {
				continue // each request waits for as long as it may
			}
			Convey("A target says that it leaves in "+name+" of "+path, t, func() {
				s, targets := newStrayTargets(serve)
				defer s.stop()
				const says = standin.HeaderLeaving + ": 1\r\n"
				sent := 0
				send := func() result {
					sent++
					return s.send(fmt.Sprintf("r%d", sent), "POST", path, "abc")
				}
				leaving, staying, id := targets[0], targets[1], "i-0"
				before := leaving.arrivals()
				if send(); leaving.arrivals() == before {
					leaving, staying, id = targets[1], targets[0], "i-1" // the one that is sent requests first
				}
				leaving.setExtra(says)
				before = leaving.arrivals()
				s.waitFor(func() bool { send(); return leaving.arrivals() > before })
				before = leaving.arrivals()
				others := staying.arrivals()
				for range 5 {
					send()
				}
				leaving.register(s, id, 1, 2)
				for range 5 {
					send()
				}
				So(leaving.arrivals(), ShouldEqual, before)
				So(staying.arrivals(), ShouldBeGreaterThan, others)
				So(s.gateway.StateUpdate(lovageshift.NewClock().Now()).LeavingTargets, ShouldHaveLength, 1)
				leaving.setExtra("")
				leaving.register(s, id, 2, 1)
				staying.setExtra(says)
				s.waitFor(func() bool { send(); return leaving.arrivals() > before })
			})
		}
	}
}

// TestTargetThatWantsNoRequests guards against requests that reach a target through an entry to which it has said, with a
// refusal, for how long it wants none.
func TestTargetThatWantsNoRequests(t *testing.T) {
	Convey("A target refuses a request and wants none for a second, and another one serves them", t, func() {
		s, targets := newStrayTargets(func(e strayExchange) {
			if e.target.extraLines() != "" {
				e.refuse(e.id)
				return
			}
			e.begin()
			e.answer(http.StatusOK)
		})
		defer s.stop()
		sent := 0
		send := func() result {
			sent++
			return s.send(fmt.Sprintf("r%d", sent), "POST", "/read/x", "abc")
		}
		full, other := targets[0], targets[1]
		before := full.arrivals()
		if send(); full.arrivals() == before {
			full, other = targets[1], targets[0]
		}
		full.setExtra("Retry-After: 1.0\r\n")
		before = full.arrivals()
		s.waitFor(func() bool { send(); return full.arrivals() > before })
		told := time.Now()
		before = full.arrivals()
		for time.Since(told) < 900*time.Millisecond {
			So(send().status, ShouldEqual, http.StatusOK)
		}
		So(full.arrivals(), ShouldEqual, before)
		other.setExtra("Retry-After: 5\r\n")
		send()
		got := send()
		So(got.status, ShouldEqual, http.StatusServiceUnavailable)
		So(got.header.Get("Retry-After"), ShouldNotBeEmpty)
		full.setExtra("")
		s.waitFor(func() bool { return send().status == http.StatusOK })
		So(full.arrivals(), ShouldBeGreaterThan, before)
	})
}
