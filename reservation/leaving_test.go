package reservation_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// The leaving targets say so in their answers from saidMillis to restartMillis, when they start anew under their ids.
const (
	saidMillis    lovageshift.Millis = 1000
	restartMillis lovageshift.Millis = 8000
	// How often the view of an entry becomes another one.
	viewEvery lovageshift.Millis = 400
)

// leavingSimulation is an installation some of whose targets say in their answers that they leave, while what the store
// says of them changes in any order.
type leavingSimulation struct {
	*limitSimulation
	tells bool // whether entries tell one another

	// Guarded by mutex. told holds what each incarnation of an entry has received, by incarnation of a target.
	told      map[toldKey]bool
	firstTold map[lovageshift.TargetID]lovageshift.Millis // when an entry was first told, since the start
	afterTold int                                         // requests that reach a target through an entry that was told
	afterSaid int                                         // requests that reach a target later than a second after an entry was first told
	restarted int                                         // requests that reach the targets' next incarnations
}

// toldKey is a target's incarnation as told to an entry's incarnation.
type toldKey struct {
	scheduler *placement.Scheduler
	target    lovageshift.TargetID
	born      int64
}

func newLeavingSimulation(s limitScenario, tells bool, seed uint64) *leavingSimulation {
	sim := &leavingSimulation{
		limitSimulation: newLimitSimulation(s, seed), tells: tells,
		told: map[toldKey]bool{}, firstTold: map[lovageshift.TargetID]lovageshift.Millis{},
	}
	sim.serveOne = sim.serveLeaving
	sim.mergeUpdate = func(now lovageshift.Millis, from, to *placement.Scheduler) {
		if tells {
			to.MergeLeaving(now, from.Leaving(now))
		}
	}
	return sim
}

func (s *leavingSimulation) isLeaving(id lovageshift.TargetID) bool {
	var number int
	_, _ = fmt.Sscanf(string(id), "t-%d", &number)
	return number < s.limited
}

// viewAt returns a view of the store: before the restart the leaving targets are ready, draining or gone in it.
func (s *leavingSimulation) viewAt(since lovageshift.Millis, state int) *catalog.View {
	byID := map[lovageshift.TargetID]*catalog.Target{}
	for id, registered := range s.view.Targets {
		copied := *registered
		switch {
		case !s.isLeaving(id):
		case since >= restartMillis:
			copied.Born++
		case state == 1:
			copied.Draining = true
		case state == 2:
			continue
		}
		byID[id] = &copied
	}
	return catalog.NewView(s.view.Catalog, byID, nil)
}

// changeViews gives each entry another view now and then.
func (s *leavingSimulation) changeViews(e *simEntry) {
	for s.running() {
		time.Sleep(viewEvery.Duration())
		e.awaitThaw()
		s.mutex.Lock()
		scheduler, state := e.scheduler, s.random.IntN(4)
		s.mutex.Unlock()
		now := s.clock.Now()
		scheduler.SetView(now, s.viewAt(now-s.started, state))
	}
}

// serveLeaving sends one request, as a gateway does: what is known of the target is checked again just before.
func (s *leavingSimulation) serveLeaving(e *simEntry, service lovageshift.Millis) {
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
	if scheduler.IsLeaving(id, born) {
		scheduler.Release(s.clock.Now(), slot, placement.Result{Outcome: placement.Abandoned})
		return
	}
	s.mutex.Lock()
	since := s.elapsed()
	if s.isLeaving(id) {
		key := toldKey{scheduler, id, born}
		s.count(key, since, born, e.old)
	}
	s.mutex.Unlock()
	time.Sleep(20 * time.Millisecond)
	e.awaitThaw()
	since = s.elapsed()
	if s.isLeaving(id) && born == 0 && since >= saidMillis && !e.old {
		scheduler.RecordLeaving(s.clock.Now(), id, born)
		s.mutex.Lock()
		s.told[toldKey{scheduler, id, born}] = true
		if _, found := s.firstTold[id]; !found {
			s.firstTold[id] = since
		}
		s.mutex.Unlock()
	}
	time.Sleep(service.Duration())
	scheduler.Release(s.clock.Now(), slot, placement.Result{Outcome: placement.Served, FirstEvent: 20})
}

// count counts a request that reaches a leaving target. The caller must hold the mutex.
func (s *leavingSimulation) count(key toldKey, since lovageshift.Millis, born int64, old bool) {
	if s.told[key] {
		s.afterTold++
	}
	first, wasTold := s.firstTold[key.target]
	if born == 0 && wasTold && since >= first+1000 && since < restartMillis && !old {
		s.afterSaid++
	}
	if born > 0 {
		s.restarted++
	}
}

// play runs the simulation in virtual time.
func (s limitScenario) playLeaving(test *testing.T, tells bool, seed uint64) *leavingSimulation {
	var sim *leavingSimulation
	synctest.Test(test, func(*testing.T) {
		sim = newLeavingSimulation(s, tells, seed)
		for _, e := range sim.all {
			sim.group.Go(func() error { sim.changeViews(e); return nil })
		}
		sim.run()
	})
	return sim
}

// TestLeavingTargetsGetNoRequests guards against requests that an entry sends to a target after it has passed on an answer in
// which the target says that it leaves, whatever the store says, and against a target that gets none after it has started anew.
func TestLeavingTargetsGetNoRequests(test *testing.T) {
	rapid.Check(test, func(t *rapid.T) {
		s := drawFaultyScenario(t, 60, 1)
		sim := s.playLeaving(test, rapid.Bool().Draw(t, "tells"), rapid.Uint64().Draw(t, "seed"))
		if sim.afterTold > 0 {
			t.Fatalf("%d requests reached targets through entries that knew that they leave", sim.afterTold)
		}
		if sim.restarted == 0 {
			t.Fatalf("no request reached the targets that started anew")
		}
	})
}

// TestEntriesTellThatTargetsLeave guards against a target that has to tell each entry by itself.
func TestEntriesTellThatTargetsLeave(test *testing.T) {
	for _, entries := range []int{3, 30, 103} {
		s := limitScenario{entries: entries, targets: 12, limited: 4, load: 400 / float64(entries)}
		alone := s.playLeaving(test, false, 1)
		told := s.playLeaving(test, true, 1)
		test.Logf("%d entries: later than 1 s after the first answer %d requests, %d if entries tell one another", entries, alone.afterSaid, told.afterSaid)
		if entries > 3 && told.afterSaid*2 > alone.afterSaid {
			test.Errorf("%d entries: %d requests, %d without reports", entries, told.afterSaid, alone.afterSaid)
		}
	}
}
