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

// waitForSaid sends requests until one reaches a target whose answers have the header lines, and returns the number of that target.
// The entry may prefer either target for as long as its answers are faster, or send requests to both by turns.
func waitForSaid(s *setup, targets []*strayTarget, lines string, send func() result) int {
	const triesAtOne = 10
	said, tries := 0, 0
	s.waitFor(func() bool {
		if tries++; tries > triesAtOne {
			targets[said].setExtra("")
			said, tries = 1-said, 1
		}
		before := targets[said].arrivals()
		targets[said].setExtra(lines)
		send()
		return targets[said].arrivals() > before
	})
	return said
}

// slowFirst runs the request r1 slowly, so that the entry prefers another target for those that follow.
func slowFirst(e strayExchange) {
	if e.id == "r1" {
		time.Sleep(300 * time.Millisecond)
	}
	e.begin()
}

// TestTargetThatSaysThatItLeaves guards against requests that reach a target after it has said in an answer that it leaves, while
// its record still says that it is ready.
func TestTargetThatSaysThatItLeaves(t *testing.T) {
	paths := []string{"/read/x", "/book/x", "/chat/x", "/resume/x"}
	for name, serve := range map[string]func(strayExchange){
		"answers":                  func(e strayExchange) { e.begin(); e.answer(http.StatusOK) },
		"answers after a slow one": func(e strayExchange) { slowFirst(e); e.answer(http.StatusOK) },
		"failures":                 func(e strayExchange) { e.begin(); e.answer(http.StatusInternalServerError) },
		"refusals":                 func(e strayExchange) { e.refuse(e.id) },
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
				send()
				number := waitForSaid(s, targets, says, send)
				leaving, staying, id := targets[number], targets[1-number], fmt.Sprintf("i-%d", number)
				before := leaving.arrivals()
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
	for when, serve := range map[string]func(strayExchange){"all fast": strayExchange.begin, "the first one slow": slowFirst} {
		Convey("A target refuses a request and wants none for a second, and another one serves them, "+when, t, func() {
			s, targets := newStrayTargets(func(e strayExchange) {
				if e.target.extraLines() != "" {
					e.refuse(e.id)
					return
				}
				serve(e)
				e.answer(http.StatusOK)
			})
			defer s.stop()
			sent := 0
			send := func() result {
				sent++
				return s.send(fmt.Sprintf("r%d", sent), "POST", "/read/x", "abc")
			}
			send()
			number := waitForSaid(s, targets, "Retry-After: 1.0\r\n", send)
			refusedAt := time.Now()
			full, other := targets[number], targets[1-number]
			before := full.arrivals()
			for time.Since(refusedAt) < 900*time.Millisecond {
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
}
