package reservation_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/placement"
)

// Between half a second after a target has told an entry for how long it wants no requests and the end of that time, at most
// lateRequests may reach it through the entry.
const (
	toldMillis   lovageshift.Millis = 500
	lateRequests                    = 2
	// The full targets refuse all requests from saidMillis until then.
	fullUntilMillis lovageshift.Millis = 6000
)

// notice is an answer in which a target wants no requests of an entry for some time.
type notice struct {
	toldKey
	at, wanted lovageshift.Millis
	late       int
}

// unavailableSimulation is an installation some of whose targets refuse requests and say for how long they want none.
type unavailableSimulation struct {
	*leavingSimulation
	notices []*notice
	// accepted counts the requests that the full targets accept after fullUntilMillis, mostAtOnce the most requests at one of
	// them within 100 ms after that time.
	accepted   int
	mostAtOnce int
	buckets    map[lovageshift.TargetID]map[lovageshift.Millis]int
}

func newUnavailableSimulation(s limitScenario, seed uint64) *unavailableSimulation {
	sim := &unavailableSimulation{leavingSimulation: newLeavingSimulation(s, false, seed), buckets: map[lovageshift.TargetID]map[lovageshift.Millis]int{}}
	sim.serveOne = sim.serveUnavailable
	sim.mergeUpdate = func(lovageshift.Millis, *placement.Scheduler, *placement.Scheduler) {}
	return sim
}

// serveUnavailable sends one request, as a gateway does: what is known of the target is checked again just before.
func (s *unavailableSimulation) serveUnavailable(e *simEntry, service lovageshift.Millis) {
	s.mutex.Lock()
	client, scheduler := e.client, e.scheduler
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	now := s.clock.Now()
	slot := client.Reserve(ctx, &placement.Job{Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + 500}).Slot
	if slot == nil {
		return
	}
	id, born := slot.Target.ID, slot.Target.Born
	e.awaitThaw()
	if scheduler.IsUnavailable(s.clock.Now(), id, born) {
		scheduler.Release(s.clock.Now(), slot, placement.Result{Outcome: placement.Abandoned})
		return
	}
	s.arrive(toldKey{scheduler, id, born}, s.elapsed())
	time.Sleep(20 * time.Millisecond)
	e.awaitThaw()
	now = s.clock.Now()
	since := now - s.started
	if s.isLeaving(id) && since >= saidMillis && since < fullUntilMillis {
		s.mutex.Lock()
		wanted := lovageshift.Millis(300 + s.random.IntN(3000))
		if !e.old {
			s.notices = append(s.notices, &notice{toldKey{scheduler, id, born}, since, wanted, 0})
		}
		s.mutex.Unlock()
		if !e.old {
			scheduler.RecordUnavailable(now, id, born, wanted)
		}
		scheduler.Release(now, slot, placement.Result{Outcome: placement.Refused})
		return
	}
	if !e.old {
		scheduler.RecordAccepted(now, id, born)
	}
	time.Sleep(service.Duration())
	scheduler.Release(s.clock.Now(), slot, placement.Result{Outcome: placement.Served, FirstEvent: 20})
}

// arrive counts a request that reaches a target.
func (s *unavailableSimulation) arrive(key toldKey, since lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, n := range s.notices {
		if n.toldKey == key && since >= n.at+toldMillis && since < n.at+n.wanted {
			n.late++
		}
	}
	if !s.isLeaving(key.target) || since < fullUntilMillis {
		return
	}
	s.accepted++
	if s.buckets[key.target] == nil {
		s.buckets[key.target] = map[lovageshift.Millis]int{}
	}
	s.buckets[key.target][since/100]++
	s.mostAtOnce = max(s.mostAtOnce, s.buckets[key.target][since/100])
}

func (s limitScenario) playUnavailable(test *testing.T, flaps bool, seed uint64) *unavailableSimulation {
	var sim *unavailableSimulation
	synctest.Test(test, func(*testing.T) {
		sim = newUnavailableSimulation(s, seed)
		for _, e := range sim.all {
			if flaps {
				sim.group.Go(func() error { sim.changeViews(e); return nil })
			}
		}
		sim.run()
	})
	return sim
}

// TestFullTargetsGetNoRequests guards against requests that an entry sends to a target within the time for which the target
// wants none, and against a target that gets none after it.
func TestFullTargetsGetNoRequests(test *testing.T) {
	rapid.Check(test, func(t *rapid.T) {
		s := drawFaultyScenario(t, 90, 0)
		sim := s.playUnavailable(test, rapid.Bool().Draw(t, "flaps"), rapid.Uint64().Draw(t, "seed"))
		for _, n := range sim.notices {
			if n.late > lateRequests {
				t.Fatalf("%d requests reached %s within %d ms after %d ms, when it wanted none", n.late, n.target, n.wanted, n.at)
			}
		}
		if sim.accepted == 0 {
			t.Fatalf("no request reached the targets after they were full")
		}
	})
}

// TestEntriesDoNotReturnTogether guards against entries that all send requests at once to a target that was full.
func TestEntriesDoNotReturnTogether(test *testing.T) {
	for _, entries := range []int{3, 30, 103} {
		s := limitScenario{entries: entries, targets: 6, limited: 6, load: 300 / float64(entries)}
		sim := s.playUnavailable(test, false, 1)
		test.Logf("%d entries: %d requests after the targets were full, at most %d at one in 100 ms", entries, sim.accepted, sim.mostAtOnce)
		if sim.mostAtOnce > 16 || sim.accepted < 100 {
			test.Errorf("%d entries: at most %d requests at once, %d in all", entries, sim.mostAtOnce, sim.accepted)
		}
	}
}

// TestWaitForFullTargets guards against callers that wait in vain, or are refused in vain, while all targets are full. It runs
// on virtual time.
func TestWaitForFullTargets(t *testing.T) {
	synctest.Test(t, testWaitForFullTargets)
}

func testWaitForFullTargets(t *testing.T) {
	for _, entries := range []int{1, 3} {
		setup := func(wanted ...lovageshift.Millis) (*testEntry, lovageshift.Millis) {
			n, list := newNetwork(entries, 2, 4)
			e := list[0]
			if entries > 1 {
				_, e = coordinatorAndOther(list)
			}
			now := n.clock.Now()
			for i, left := range wanted {
				e.scheduler.RecordUnavailable(now, lovageshift.TargetID(rune('a'+i)), 0, left)
			}
			return e, now
		}
		Convey(fmt.Sprintf("%d entries: a request that cannot wait is refused at once, until the first target takes requests", entries), t, func() {
			e, began := setup(2000, 9000)
			decision := e.reserve(500)
			So(decision.Slot, ShouldBeNil)
			So(e.network.clock.Now(), ShouldEqual, began)
			So(decision.Refusal.RetryAfter, ShouldBeBetweenOrEqual, 2000, 2500)
			So(decision.Refusal.Obstacles, ShouldResemble, placement.Obstacles{Unavailable: 2, UnavailableFor: decision.Refusal.RetryAfter})
		})
		Convey(fmt.Sprintf("%d entries: one that can wait gets a slot as soon as the first target takes requests", entries), t, func() {
			e, began := setup(400, 9000)
			decision := e.reserve(1000)
			So(decision.Slot, ShouldNotBeNil)
			So(decision.Slot.Target.ID, ShouldEqual, lovageshift.TargetID("a"))
			So(e.network.clock.Now()-began, ShouldBeBetweenOrEqual, 400, 510)
		})
		Convey(fmt.Sprintf("%d entries: the other target gets the requests, and a refusal tells what keeps them from the first", entries), t, func() {
			e, began := setup(9000)
			for range 4 {
				decision := e.reserve(500)
				So(decision.Slot, ShouldNotBeNil)
				So(decision.Slot.Target.ID, ShouldEqual, lovageshift.TargetID("b"))
			}
			So(e.network.clock.Now()-began, ShouldBeLessThan, 20)
			obstacles := e.reserve(10).Refusal.Obstacles
			So(obstacles.Unavailable, ShouldEqual, 1)
			So(obstacles.UnavailableFor, ShouldBeBetweenOrEqual, 8000, 10_000)
			So(obstacles.Tried, ShouldEqual, 0)
			So(obstacles.Full, ShouldEqual, 1)
		})
	}
}
