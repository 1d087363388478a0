package reservation_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lovageshift"
	"lovageshift/placement"
)

const (
	groupObjective lovageshift.Millis = 800
	// The load is half of what all slots can serve before this time.
	calmMillis     lovageshift.Millis = 3000
	groupRunMillis lovageshift.Millis = 8000
	// The messages to and from two coordinators, some of them repeated, may delay a refusal by this.
	messageMillis lovageshift.Millis = 30
	groupSeeds                       = 4
)

// groupSimulation is an installation whose service has three groups. The targets of the first one hold requests for three
// times as long as the others, so the groups are unevenly loaded.
type groupSimulation struct {
	*simulation
	load   float64 // after calmMillis, as a multiple of what all slots can serve
	groups []placement.GroupID
	slow   map[lovageshift.TargetID]bool

	// Guarded by mutex.
	refused, urgent int // refusals, and those of the most urgent rank
	late            int // refusals of the most urgent rank after more than an eighth of the objective
	avoidable       int // refusals while the coordinator of a group had a free slot and no waiting request
	asked           int // groups asked by refused requests
}

func runGroups(load float64, seed uint64) *groupSimulation {
	s := &groupSimulation{
		simulation: newSimulation(6, 0, simTargets(50, 4), groupRunMillis, seed), load: load,
		groups: []placement.GroupID{"pool/0", "pool/1", "pool/2"}, slow: map[lovageshift.TargetID]bool{},
	}
	scratch := placement.NewScheduler(placement.ColdBounds{})
	scratch.SetView(0, s.view)
	for granted := true; granted; {
		scratch.Submit(0, s.groups[0], placement.Coordinator, &placement.Job{Service: pool}, func(d placement.Decision) {
			if granted = d.Slot != nil; granted {
				s.slow[d.Slot.Target.ID] = true
			}
		})
	}
	for _, e := range s.all {
		s.group.Go(func() error {
			s.runTicks(e, func(now lovageshift.Millis, from *placement.Scheduler) { s.reportRunning(now, e, from) })
			return nil
		})
	}
	s.group.Go(func() error { s.generate(); return nil })
	_ = s.group.Wait()
	return s
}

// generate sends requests of two ranks through entries at random.
func (s *groupSimulation) generate() {
	perSecond := float64(4*(50-len(s.slow))) + float64(4*len(s.slow))/3
	for s.running() {
		load := 0.5
		if s.elapsed() >= calmMillis {
			load = s.load
		}
		s.pause(time.Duration(float64(time.Second) / (load * perSecond)))
		e, rank := s.all[s.intN(len(s.all))], lovageshift.Rank(s.intN(2))
		s.group.Go(func() error { s.serve(e, rank); return nil })
	}
}

func (s *groupSimulation) serve(e *simEntry, rank lovageshift.Rank) {
	now := s.clock.Now()
	job := &placement.Job{Service: pool, Rank: rank, Arrived: now, Objective: groupObjective, Deadline: now + 12_000}
	job.LimitWait()
	decision := e.client.Reserve(context.Background(), job)
	if decision.Slot == nil {
		s.recordRefusal(e, job, decision.Groups)
		return
	}
	mean := time.Second
	if s.slow[decision.Slot.Target.ID] {
		mean *= 3
	}
	s.pause(mean)
	e.scheduler.Release(s.clock.Now(), decision.Slot, placement.Result{Outcome: placement.Served, FirstEvent: 20})
}

func (s *groupSimulation) recordRefusal(e *simEntry, job *placement.Job, groups int) {
	now, free := s.clock.Now(), false
	for i, group := range s.groups {
		for _, other := range s.all {
			if other.self == e.client.First(string(group), 1)[0] {
				load := other.scheduler.LoadElsewhere(now, job, s.groups[(i+1)%3], s.groups[(i+2)%3])
				free = free || load.Free > 0 && load.Waiting == 0
			}
		}
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.refused++
	s.asked += groups
	if free {
		s.avoidable++
	}
	if job.Rank == 0 {
		s.urgent++
		if now-job.Arrived > groupObjective/8+messageMillis {
			s.late++
		}
	}
}

// runSeeds returns the sums of the counts of runs with the load.
func runSeeds(t *testing.T, load float64) *groupSimulation {
	sum := &groupSimulation{}
	for seed := range uint64(groupSeeds) {
		synctest.Test(t, func(*testing.T) {
			s := runGroups(load, seed)
			sum.refused, sum.urgent, sum.late = sum.refused+s.refused, sum.urgent+s.urgent, sum.late+s.late
			sum.avoidable, sum.asked = sum.avoidable+s.avoidable, sum.asked+s.asked
		})
	}
	return sum
}

// atMostOneOf fails if more than one of the given number of refusals is a wrong one.
func atMostOneOf(t *testing.T, oneOf, wrong, all int, what string) {
	t.Logf("%s: %d of %d, one of %d allowed", what, wrong, all, oneOf)
	if wrong*oneOf > all {
		t.Fail()
	}
}

// TestRefusalsWhileOtherGroupsHaveSlots guards against refusals for want of capacity while another group has a free slot.
// Messages that are lost or under way may hide one.
func TestRefusalsWhileOtherGroupsHaveSlots(t *testing.T) {
	s := runSeeds(t, 1.1)
	atMostOneOf(t, 10, s.avoidable, s.refused, "refused while a slot was free")
}

// TestRefusalsInBursts guards against requests of the most urgent rank that wait without a prospect at the begin of a burst,
// and against asking twice for each request when coordinators are busiest. One of six waits exceeds its expectation by a
// standard deviation.
func TestRefusalsInBursts(t *testing.T) {
	s := runSeeds(t, 3)
	atMostOneOf(t, 6, s.late, s.urgent, "refused late")
	atMostOneOf(t, 2, s.asked-s.refused, s.refused, "asked a second group")
}
