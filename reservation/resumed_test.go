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

// loss is what breaks streams off.
type loss int

const (
	connectionsReset loss = iota // the streams' callers lose their connections
	entriesLost                  // half of the entries restart, and the streams through them break off
	targetsReplaced              // most targets of the newest version are replaced by a newer one, and their streams break off
)

// resumeScenario is an installation in which streams break off all at once, again and again, and callers take them up.
type resumeScenario struct {
	entries, targets, slots int
	// fewer is the number of targets of the version that fewer targets have.
	fewer int
	// load is the work that arrives as a multiple of what all slots together can do.
	load     float64
	loss     loss
	retries  int // how often a caller repeats an attempt that was refused
	old      int // entries of an earlier build, which know of no streams that go on
	duration lovageshift.Millis
}

const (
	streamRank    lovageshift.Rank   = 1
	lossInterval  lovageshift.Millis = 3000
	callerTimeout lovageshift.Millis = 12_000
	objective     lovageshift.Millis = 300
	// A caller whose stream breaks off notices it within this time.
	longestPause lovageshift.Millis = 2400
)

// kinds are the kinds of requests: their rank, their share and the mean time for which they hold a slot.
var kinds = []struct {
	rank  lovageshift.Rank
	share int // in hundredths
	hold  lovageshift.Millis
}{{0, 30, 900}, {streamRank, 26, 1100}, {2, 44, 150}}

// tally counts attempts of callers that were to begin, or to go on with, a stream, and those that did.
type tally struct{ asked, served int }

func (t tally) share() float64 { return float64(t.served) / float64(max(t.asked, 1)) }

type resumeSimulation struct {
	resumeScenario
	*simulation

	// Guarded by mutex.
	begun, resumed tally // of streams of all ranks
	// breaks is closed when streams break off, and then replaced.
	breaks chan struct{}
	lost   map[*simEntry]bool // the entries whose streams break off
	// version is the number of the newest version of the targets' software.
	version int
}

func newResumeSimulation(s resumeScenario, seed uint64) *resumeSimulation {
	sim := &resumeSimulation{resumeScenario: s, breaks: make(chan struct{}), version: 2}
	targets := simTargets(s.targets, s.slots, sim.newestVersion())
	for _, target := range targets[:s.fewer] {
		target.Version = "v1"
	}
	sim.simulation = newSimulation(s.entries, s.old, targets, s.duration, seed)
	return sim
}

func (s *resumeSimulation) run() {
	for _, e := range s.all {
		s.group.Go(func() error {
			s.runTicks(e, func(now lovageshift.Millis, from *placement.Scheduler) { s.reportRunning(now, e, from) })
			return nil
		})
	}
	s.group.Go(func() error { s.generate(); return nil })
	s.group.Go(func() error { s.breakStreams(); return nil })
	_ = s.group.Wait()
}

// reportRunning sends the requests at each target to the entries whose turn it is.
func (s *simulation) reportRunning(now lovageshift.Millis, e *simEntry, from *placement.Scheduler) {
	own := from.OwnRunning()
	s.sendUpdate(now, e, func(receiver *simEntry, to *placement.Scheduler) {
		running := map[placement.TargetHash]placement.PeerRunning{}
		for hash, load := range own {
			reported := placement.PeerRunning{Running: load.Running}
			if load.Granter == receiver.self {
				reported.GrantedHere = load.Granted
			}
			running[hash] = reported
		}
		to.UpdatePeer(now, e.self, running)
	})
}

// generate sends requests through entries at random.
func (s *resumeSimulation) generate() {
	mean := 0.0
	for _, kind := range kinds {
		mean += float64(kind.share) / 100 * kind.hold.Seconds()
	}
	perSecond := s.load * float64(s.targets*s.slots) / mean
	for s.running() {
		s.pause(time.Duration(float64(time.Second) / perSecond))
		e, drawn := s.all[s.intN(len(s.all))], s.intN(100)
		for _, kind := range kinds {
			if drawn < kind.share {
				hold := kind.hold/4 + lovageshift.Millis(s.intN(int(kind.hold)*3/2))
				s.group.Go(func() error { s.call(e, kind.rank, hold); return nil })
				break
			}
			drawn -= kind.share
		}
	}
}

// breakStreams breaks streams off at intervals.
func (s *resumeSimulation) breakStreams() {
	for s.running() {
		time.Sleep(lossInterval.Duration())
		s.mutex.Lock()
		s.lost = map[*simEntry]bool{}
		for i, e := range s.all {
			s.lost[e] = s.loss == connectionsReset || s.loss == entriesLost && i%2 == 0
			if s.loss == entriesLost && s.lost[e] {
				e.restart(s.clock.Now())
			}
		}
		if s.loss == targetsReplaced {
			s.replaceTargets()
		}
		close(s.breaks)
		s.breaks = make(chan struct{})
		view := s.view
		s.mutex.Unlock()
		for _, e := range s.all {
			_, scheduler := e.current()
			scheduler.SetView(s.clock.Now(), view)
		}
	}
}

// replaceTargets replaces all targets by ones of a newer version, but for a few of the newest one. The caller must hold mutex.
func (s *resumeSimulation) replaceTargets() {
	newest := s.newestVersion()
	s.version++
	byID := map[lovageshift.TargetID]*catalog.Target{}
	kept := 0
	for _, target := range s.view.Targets {
		if target.Version == newest && kept < s.fewer {
			byID[target.ID] = target
			kept++
			continue
		}
		next := *target
		next.ID = lovageshift.TargetID(fmt.Sprintf("%s-%d", target.ID, s.version))
		next.Version = s.newestVersion()
		byID[next.ID] = &next
	}
	s.view = catalog.NewView(s.view.Catalog, byID, nil)
}

func (s *resumeSimulation) newestVersion() lovageshift.SoftwareVersion {
	return lovageshift.SoftwareVersion(fmt.Sprintf("v%d", s.version))
}

// isServed reports whether targets of the version are in service.
func (s *resumeSimulation) isServed(version lovageshift.SoftwareVersion) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, target := range s.view.Targets {
		if target.Version == version {
			return true
		}
	}
	return false
}

// heldSlot is a slot with the scheduler that has to get it back.
type heldSlot struct {
	*placement.Slot
	scheduler *placement.Scheduler
}

// call is a caller's request: one that is refused is repeated once, and a stream that breaks off is taken up.
func (s *resumeSimulation) call(e *simEntry, rank lovageshift.Rank, hold lovageshift.Millis) {
	deadline := s.clock.Now() + callerTimeout
	job := placement.Job{Rank: rank, Deadline: deadline}
	var slot *heldSlot
	for attempt := range 2 {
		job.RefusedBefore = attempt > 0
		if slot = s.attempt(&e, job); slot != nil {
			break
		}
	}
	s.count(&s.begun, slot != nil)
	for slot != nil && rank == streamRank {
		var broken bool
		if hold, broken = s.hold(e, slot, hold); !broken {
			return
		}
		time.Sleep(time.Duration(20+s.intN(int(longestPause))) * time.Millisecond)
		slot = s.takeUp(&e, placement.Job{Rank: rank, Deadline: deadline, Resumes: true, HasVersion: true, Version: slot.Target.Version})
	}
	if slot != nil {
		s.hold(e, slot, hold)
	}
}

// takeUp is a caller's attempts to go on with a stream at an entry, which becomes another one each time.
func (s *resumeSimulation) takeUp(e **simEntry, job placement.Job) *heldSlot {
	counts := false
	for range s.retries + 1 {
		*e = s.all[s.intN(len(s.all))]
		counts = counts || !(*e).old && s.isServed(job.Version)
		if slot := s.attempt(e, job); slot != nil {
			s.count(&s.resumed, true)
			return slot
		}
	}
	if counts && s.isServed(job.Version) {
		s.count(&s.resumed, false)
	}
	return nil
}

func (s *resumeSimulation) count(t *tally, served bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t.asked++
	if served {
		t.served++
	}
}

// attempt requests a slot. After a refusal it waits for as long as the caller is told, and names another entry.
func (s *resumeSimulation) attempt(e **simEntry, job placement.Job) *heldSlot {
	client, scheduler := (*e).current()
	ctx, cancel := context.WithTimeout(context.Background(), (job.Deadline - s.clock.Now()).Duration())
	defer cancel()
	job.Service, job.Arrived, job.Objective = pool, s.clock.Now(), objective
	if (*e).old {
		job.Resumes = false
		job.QueueDeadline = job.Arrived + objective/2
	} else {
		job.LimitWait()
	}
	decision := client.Reserve(ctx, &job)
	if decision.Slot != nil {
		return &heldSlot{decision.Slot, scheduler}
	}
	after := min(decision.Refusal.RetryAfter, (job.Deadline-s.clock.Now())/3)
	time.Sleep(max(after, 1).Duration())
	*e = s.all[s.intN(len(s.all))]
	return nil
}

// hold keeps the slot for the time, or until the stream breaks off. It returns the time that is left then.
func (s *resumeSimulation) hold(e *simEntry, slot *heldSlot, hold lovageshift.Millis) (lovageshift.Millis, bool) {
	began := s.clock.Now()
	timer := time.NewTimer(hold.Duration())
	defer timer.Stop()
	for {
		s.mutex.Lock()
		breaks := s.breaks
		s.mutex.Unlock()
		select {
		case <-timer.C:
			slot.scheduler.Release(s.clock.Now(), slot.Slot, placement.Result{Outcome: placement.Served, FirstEvent: 30})
			return 0, false
		case <-breaks:
		}
		s.mutex.Lock()
		lost := s.lost[e] || s.view.Targets[slot.Target.ID] == nil
		s.mutex.Unlock()
		if !lost {
			continue
		}
		if s.loss != entriesLost {
			slot.scheduler.Release(s.clock.Now(), slot.Slot, placement.Result{Outcome: placement.Abandoned})
		}
		return hold - (s.clock.Now() - began), true
	}
}

// Of the streams that callers take up again, at least half as large a share goes on as of the new ones begins.
const leastShareOfNew = 0.5

func (s resumeScenario) play(test *testing.T, seed uint64) *resumeSimulation {
	var sim *resumeSimulation
	synctest.Test(test, func(*testing.T) {
		sim = newResumeSimulation(s, seed)
		sim.run()
	})
	return sim
}

func (s *resumeSimulation) tooFewGoOn() bool {
	return s.resumed.asked >= 12 && s.resumed.share() < leastShareOfNew*s.begun.share()
}

// TestStreamsThatCallersTakeUpGoOnUnderLoad guards against refusing most streams that callers take up while new ones begin.
func TestStreamsThatCallersTakeUpGoOnUnderLoad(test *testing.T) {
	for name, s := range map[string]resumeScenario{
		"3 entries, connections reset":     {entries: 3, targets: 12, slots: 15, fewer: 3, loss: connectionsReset},
		"3 entries, some lost":             {entries: 3, targets: 12, slots: 15, fewer: 3, loss: entriesLost},
		"3 entries, targets replaced":      {entries: 3, targets: 12, slots: 15, fewer: 3, loss: targetsReplaced},
		"30 entries, targets replaced":     {entries: 30, targets: 54, slots: 3, fewer: 4, loss: targetsReplaced},
		"103 entries, some of them lost":   {entries: 103, targets: 96, slots: 1, fewer: 10, loss: entriesLost},
		"103 entries, a half of old build": {entries: 103, targets: 96, slots: 1, fewer: 10, loss: connectionsReset, old: 51},
	} {
		s.load, s.retries, s.duration = 2, 1, 4500
		sim := s.play(test, 1)
		test.Logf("%s: %d of %d streams went on, %d of %d new ones began", name, sim.resumed.served, sim.resumed.asked, sim.begun.served, sim.begun.asked)
		if sim.tooFewGoOn() {
			test.Errorf("%s: too few streams went on", name)
		}
	}
}

// TestStreamsThatCallersTakeUpGoOnInAnyInstallation guards against the same with random installations and earlier builds.
func TestStreamsThatCallersTakeUpGoOnInAnyInstallation(test *testing.T) {
	rapid.Check(test, func(t *rapid.T) {
		s := resumeScenario{
			entries:  rapid.SampledFrom([]int{1, 2, 3, 3, 4, 8}).Draw(t, "entries"),
			targets:  rapid.SampledFrom([]int{4, 6, 12}).Draw(t, "targets"),
			slots:    rapid.SampledFrom([]int{2, 4, 6}).Draw(t, "slots"),
			load:     rapid.Float64Range(0.5, 2.5).Draw(t, "load"),
			loss:     rapid.SampledFrom([]loss{connectionsReset, entriesLost, targetsReplaced}).Draw(t, "loss"),
			retries:  rapid.IntRange(1, 3).Draw(t, "retries"),
			duration: 4500,
		}
		s.fewer = rapid.IntRange(2, s.targets/2).Draw(t, "fewer")
		s.old = rapid.IntRange(0, s.entries/2).Draw(t, "old")
		sim := s.play(test, rapid.Uint64().Draw(t, "seed"))
		if sim.tooFewGoOn() {
			t.Fatalf("%d of %d streams went on, %d of %d new ones began", sim.resumed.served, sim.resumed.asked, sim.begun.served, sim.begun.asked)
		}
	})
}
