package reservation_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/reservation"
	"lovageshift/wire"
)

const (
	// An entry that is cut off counts as live for this long.
	liveMillis lovageshift.Millis = 700
	// Interval of an entry's ticks and of its state updates.
	tickMillis   lovageshift.Millis = 20
	updateMillis lovageshift.Millis = 100
	// Most receivers of a state update.
	updateReceivers = 17
	// Shares of the datagrams and of the state updates that are lost.
	datagramLoss = 0.02
	updateLoss   = 0.03
)

// simulation is an installation of entries in virtual time, which exchange datagrams that take a millisecond or are lost.
type simulation struct {
	clock    lovageshift.Clock
	duration lovageshift.Millis
	started  lovageshift.Millis
	group    errgroup.Group

	mutex  sync.Mutex
	view   *catalog.View
	random *rand.Rand
	all    []*simEntry
}

// simEntry is an entry whose incarnations follow one another. It is the Peers of each of them.
type simEntry struct {
	sim    *simulation
	number int
	self   netip.Addr
	old    bool // it has an earlier build

	// Guarded by sim.mutex.
	scheduler *placement.Scheduler
	client    *reservation.Client
	cutFrom   lovageshift.Millis
	cutTo     lovageshift.Millis
	frozenTo  lovageshift.Millis // it does nothing before
	faultAt   lovageshift.Millis // the end of its last fault
	next      int                // the next receiver of an update
	// notified holds when its present incarnation first got a response of each target that the test is about.
	notified map[int]lovageshift.Millis
}

// newSimulation returns a simulation of the entries, oldBuilds of them of an earlier build, and of the targets.
func newSimulation(entries, oldBuilds int, targets []*catalog.Target, duration lovageshift.Millis, seed uint64) *simulation {
	byID := map[lovageshift.TargetID]*catalog.Target{}
	for _, target := range targets {
		byID[target.ID] = target
	}
	service := &catalog.Service{ID: pool, Engine: true}
	sim := &simulation{
		clock: lovageshift.NewClock(), duration: duration, random: rand.New(rand.NewPCG(seed, 2)),
		view: catalog.NewView(catalog.New(1, catalog.Limits{}, []*catalog.Service{service}, nil, nil), byID, nil),
	}
	sim.started = sim.clock.Now()
	for i := range entries {
		e := &simEntry{sim: sim, number: i, self: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), old: i < oldBuilds, next: i}
		sim.all = append(sim.all, e)
	}
	for _, e := range sim.all {
		e.restart(0)
	}
	return sim
}

// simTargets returns targets with the slots, of the software versions in turn.
func simTargets(count, slots int, versions ...lovageshift.SoftwareVersion) []*catalog.Target {
	var targets []*catalog.Target
	for i := range count {
		target := &catalog.Target{ID: lovageshift.TargetID(fmt.Sprintf("t-%d", i)), Service: pool, Slots: slots, Address: "10.0.0.1:1"}
		if len(versions) > 0 {
			target.Version = versions[i%len(versions)]
		}
		targets = append(targets, target)
	}
	return targets
}

func (e *simEntry) Self() netip.Addr                            { return e.self }
func (e *simEntry) Processor(netip.Addr) lovageshift.Millicores { return 0 }

// Live returns the entries that are not known to be cut off.
func (e *simEntry) Live() (others []netip.Addr) {
	e.sim.mutex.Lock()
	defer e.sim.mutex.Unlock()
	now := e.sim.clock.Now()
	for _, other := range e.sim.all {
		known := e.isCutFor(now, liveMillis) || other.isCutFor(now, liveMillis)
		if other != e && !known {
			others = append(others, other.self)
		}
	}
	return others
}

func (e *simEntry) isCutFor(now, atLeast lovageshift.Millis) bool {
	return now < e.cutTo && now-e.cutFrom >= atLeast
}

// Send delivers a packet after a millisecond, or once the receiver is not frozen any more, unless it is lost.
func (e *simEntry) Send(to netip.Addr, packet *wire.EntryPacket) {
	s := e.sim
	s.mutex.Lock()
	now := s.clock.Now()
	index := slices.IndexFunc(s.all, func(other *simEntry) bool { return other.self == to })
	receiver := s.all[index]
	lost := e.isCutFor(now, 0) || receiver.isCutFor(now, 0) || s.random.Float64() < datagramLoss
	delay := max(receiver.frozenTo-now, 0) + 1
	s.mutex.Unlock()
	if lost {
		return
	}
	time.AfterFunc(delay.Duration(), func() {
		s.mutex.Lock()
		client := receiver.client
		s.mutex.Unlock()
		client.HandlePacket(s.clock.Now(), e.self, packet)
	})
}

// restart starts a new incarnation, which knows nothing of the one before. The caller must hold sim.mutex.
func (e *simEntry) restart(now lovageshift.Millis) {
	e.scheduler = placement.NewScheduler(placement.ColdBounds{})
	e.scheduler.SetPolicy(placement.Policy{FairShares: true, EarlyRefusals: true})
	e.scheduler.SetEntries(len(e.sim.all), len(e.sim.all), 0)
	e.scheduler.SetView(now, e.sim.view)
	e.client = reservation.NewClient(e.scheduler, e.sim.clock, nil)
	e.client.SetPeers(e)
	e.faultAt, e.notified = now, map[int]lovageshift.Millis{}
}

// cut cuts the entry off from the others. The caller must hold sim.mutex.
func (e *simEntry) cut(now, duration lovageshift.Millis) {
	e.cutFrom, e.cutTo = now, now+duration
	e.faultAt = e.cutTo
}

// current returns the parts of the entry's present incarnation.
func (e *simEntry) current() (*reservation.Client, *placement.Scheduler) {
	e.sim.mutex.Lock()
	defer e.sim.mutex.Unlock()
	return e.client, e.scheduler
}

// awaitThaw returns once the entry is not frozen.
func (e *simEntry) awaitThaw() {
	e.sim.mutex.Lock()
	left := e.frozenTo - e.sim.clock.Now()
	e.sim.mutex.Unlock()
	if left > 0 {
		time.Sleep(left.Duration())
	}
}

// elapsed returns the time since the start.
func (s *simulation) elapsed() lovageshift.Millis { return s.clock.Now() - s.started }

func (s *simulation) running() bool { return s.elapsed() < s.duration }

// runTicks lets the entry's scheduler judge its queue and, as often as state updates are sent, calls the function with it.
func (s *simulation) runTicks(e *simEntry, update func(now lovageshift.Millis, scheduler *placement.Scheduler)) {
	for step := 0; s.running(); step++ {
		e.awaitThaw()
		_, scheduler := e.current()
		now := s.clock.Now()
		scheduler.Tick(now)
		if step%int(updateMillis/tickMillis) == 0 {
			scheduler.SetEntries(len(s.all), len(e.Live())+1, 0)
			update(now, scheduler)
		}
		time.Sleep(tickMillis.Duration())
	}
}

// sendUpdate calls the function with the schedulers of the entries that get the entry's state update.
func (s *simulation) sendUpdate(now lovageshift.Millis, e *simEntry, deliver func(*simEntry, *placement.Scheduler)) {
	for range min(updateReceivers, len(s.all)-1) {
		s.mutex.Lock()
		e.next = (e.next + 1) % len(s.all)
		if e.next == e.number {
			e.next = (e.next + 1) % len(s.all)
		}
		receiver := s.all[e.next]
		scheduler := receiver.scheduler
		lost := now < receiver.frozenTo || e.isCutFor(now, 0) || receiver.isCutFor(now, 0) || s.random.Float64() < updateLoss
		s.mutex.Unlock()
		if !lost {
			deliver(receiver, scheduler)
		}
	}
}

// pause sleeps for a random time, exponentially distributed around the mean.
func (s *simulation) pause(mean time.Duration) {
	s.mutex.Lock()
	factor := s.random.ExpFloat64()
	s.mutex.Unlock()
	time.Sleep(time.Duration(factor * float64(mean)))
}

func (s *simulation) intN(n int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(n)
}
