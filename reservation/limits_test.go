package reservation_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/placement"
)

// From the contact time after it named a limit, a target may get in limitWindow limitOvershoot times what the limit allows and
// limitSlack more, through entries that got such a response notifiedMillis before.
const (
	limitWindow    lovageshift.Millis = 4000
	limitOvershoot                    = 1.5
	limitSlack                        = 5
	notifiedMillis lovageshift.Millis = 500
)

// limitScenario is an installation some of whose targets name a limit from namedMillis on.
type limitScenario struct {
	entries, targets, limited int
	perSecond                 float64
	load                      float64 // requests per second and entry
	contact                   lovageshift.Millis
	oldBuilds                 int                // entries that know of no limits
	faultEvery                lovageshift.Millis // mean time between restarts and cuts of entries, 0 for none
	freezes                   bool               // entries freeze, too
}

const (
	namedMillis    lovageshift.Millis = 1000
	limitRunMillis lovageshift.Millis = 11_000
)

// limitArrival is a request at a target through an entry that the rule covers.
type limitArrival struct {
	target int
	at     lovageshift.Millis
}

type limitSimulation struct {
	limitScenario
	*simulation
	arrivals []limitArrival // guarded by mutex
	// serveOne sends one request, mergeUpdate applies what one entry tells another in a state update.
	serveOne    func(e *simEntry, service lovageshift.Millis)
	mergeUpdate func(now lovageshift.Millis, from, to *placement.Scheduler)
}

func newLimitSimulation(s limitScenario, seed uint64) *limitSimulation {
	sim := &limitSimulation{
		limitScenario: s, simulation: newSimulation(s.entries, s.oldBuilds, simTargets(s.targets, 8), limitRunMillis, seed),
	}
	sim.serveOne = sim.serve
	sim.mergeUpdate = func(now lovageshift.Millis, from, to *placement.Scheduler) { to.MergeLimits(now, from.Limits(now)) }
	for _, e := range sim.all {
		e.faultAt = -s.contact
	}
	return sim
}

// run plays the scenario and returns once all requests have ended.
func (s *limitSimulation) run() {
	for _, e := range s.all {
		s.group.Go(func() error {
			s.runTicks(e, func(now lovageshift.Millis, own *placement.Scheduler) { s.update(now, e, own) })
			return nil
		})
		s.group.Go(func() error { s.generate(e); return nil })
	}
	s.group.Go(func() error { s.injectFaults(); return nil })
	_ = s.group.Wait()
}

// update applies what the entry tells the entries whose turn it is.
func (s *limitSimulation) update(now lovageshift.Millis, e *simEntry, own *placement.Scheduler) {
	s.sendUpdate(now, e, func(receiver *simEntry, scheduler *placement.Scheduler) {
		if !receiver.old && !e.old {
			s.mergeUpdate(now, own, scheduler)
		}
	})
}

// generate sends requests through an entry.
func (s *limitSimulation) generate(e *simEntry) {
	for s.running() {
		s.pause(time.Duration(float64(time.Second) / s.load))
		service := lovageshift.Millis(100 + s.intN(400))
		s.group.Go(func() error { s.serveOne(e, service); return nil })
	}
}

// serve sends one request: it reserves a slot, reaches the target, gets a response header and later the end.
func (s *limitSimulation) serve(e *simEntry, service lovageshift.Millis) {
	s.mutex.Lock()
	client, scheduler, notified := e.client, e.scheduler, e.notified
	s.mutex.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	now := s.clock.Now()
	decision := client.Reserve(ctx, &placement.Job{Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + 500})
	slot := decision.Slot
	if slot == nil {
		return
	}
	var target int
	_, _ = fmt.Sscanf(string(slot.Target.ID), "t-%d", &target)
	s.mutex.Lock()
	now = s.clock.Now()
	notifiedAt, knows := notified[target]
	if knows && now-notifiedAt >= notifiedMillis && !e.old && now-e.faultAt >= s.contact && now >= e.cutTo {
		s.arrivals = append(s.arrivals, limitArrival{target, now - s.started})
	}
	s.mutex.Unlock()
	time.Sleep(20 * time.Millisecond)
	now = s.clock.Now()
	named := target < s.limited && now-s.started >= namedMillis
	if named {
		s.mutex.Lock()
		if _, found := notified[target]; !found {
			notified[target] = now
		}
		s.mutex.Unlock()
	}
	if !e.old {
		limit := placement.Limit{Named: named}
		if named {
			limit.PerSecond = s.perSecond
		}
		scheduler.RecordLimit(now, slot, limit)
	}
	time.Sleep(service.Duration())
	scheduler.Release(s.clock.Now(), slot, placement.Result{Outcome: placement.Served, FirstEvent: 20})
}

// injectFaults restarts and freezes entries, and cuts them off from the others.
func (s *limitSimulation) injectFaults() {
	for s.faultEvery > 0 && s.running() {
		s.mutex.Lock()
		e := s.all[s.random.IntN(len(s.all))]
		now := s.clock.Now()
		switch kind := s.random.IntN(2); {
		case s.freezes && s.random.IntN(3) == 0:
			e.frozenTo = now + 2500
		case kind == 0:
			e.restart(now)
		default:
			e.cut(now, 2500)
		}
		s.mutex.Unlock()
		s.pause(s.faultEvery.Duration())
	}
}

// most returns the highest number of requests at a target with a limit in any window that the rule covers.
func (s *limitSimulation) most() int {
	most := 0
	for target := range s.limited {
		var times []lovageshift.Millis
		for _, arrival := range s.arrivals {
			if arrival.target == target && arrival.at >= namedMillis+s.contact {
				times = append(times, arrival.at)
			}
		}
		slices.Sort(times)
		from := 0
		for i, at := range times {
			for at-times[from] >= limitWindow {
				from++
			}
			most = max(most, i-from+1)
		}
	}
	return most
}

func drawLimitScenario(t *rapid.T) limitScenario {
	s := limitScenario{
		entries:   rapid.SampledFrom([]int{1, 2, 3, 3, 3, 3, 4, 4, 4, 8, 8, 23, 23, 103}).Draw(t, "entries"),
		targets:   rapid.SampledFrom([]int{3, 6, 12}).Draw(t, "targets"),
		perSecond: rapid.SampledFrom([]float64{0, 0.3, 1.9, 2.4, 6, 15}).Draw(t, "perSecond"),
		contact:   3000,
	}
	s.limited = rapid.IntRange(1, s.targets).Draw(t, "limited")
	s.load = rapid.Float64Range(10, 90).Draw(t, "load") / float64(s.entries)
	if s.entries > 34 {
		s.contact = 5000
	}
	return s
}

// drawFaultyScenario draws an installation with faults of entries and with earlier builds. All entries together get
// load requests a second. At least the given number of targets are not of the kind that the scenario is about.
func drawFaultyScenario(t *rapid.T, load float64, others int) limitScenario {
	s := limitScenario{
		freezes: true,
		entries: rapid.SampledFrom([]int{1, 3, 3, 3, 8, 8, 30, 103}).Draw(t, "entries"),
		targets: rapid.SampledFrom([]int{3, 6, 12}).Draw(t, "targets"),
	}
	s.limited = rapid.IntRange(1, s.targets-others).Draw(t, "limited")
	s.load = load / float64(s.entries)
	s.oldBuilds = rapid.IntRange(0, s.entries/2).Draw(t, "oldBuilds")
	s.faultEvery = lovageshift.Millis(rapid.IntRange(8000, 60_000).Draw(t, "faultEvery") / s.entries)
	return s
}

func checkLimits(t *rapid.T, test *testing.T, s limitScenario) {
	seed := rapid.Uint64().Draw(t, "seed")
	var sim *limitSimulation
	synctest.Test(test, func(*testing.T) {
		sim = newLimitSimulation(s, seed)
		sim.run()
	})
	allowed := int(limitOvershoot*s.perSecond*limitWindow.Seconds()) + limitSlack
	if most := sim.most(); most > allowed {
		t.Fatalf("%d requests in %d ms at a target with a limit of %v a second, %d allowed", most, limitWindow, s.perSecond, allowed)
	}
}

// TestTargetLimitOverAllEntries guards against entries that together exceed the limit that a target names.
func TestTargetLimitOverAllEntries(test *testing.T) {
	rapid.Check(test, func(t *rapid.T) { checkLimits(t, test, drawLimitScenario(t)) })
}

// TestTargetLimitUnderFaults guards against the same while entries restart, are cut off or run an earlier build.
func TestTargetLimitUnderFaults(test *testing.T) {
	rapid.Check(test, func(t *rapid.T) {
		s := drawLimitScenario(t)
		s.faultEvery = lovageshift.Millis(rapid.IntRange(8000, 60_000).Draw(t, "faultEvery") / s.entries)
		s.oldBuilds = rapid.IntRange(0, s.entries/2).Draw(t, "oldBuilds")
		checkLimits(t, test, s)
	})
}
