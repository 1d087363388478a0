package reservation_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/reservation"
	"lovageshift/wire"
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
	namedMillis       lovageshift.Millis = 1000
	limitRunMillis    lovageshift.Millis = 11_000
	limitUpdateMillis lovageshift.Millis = 100
	limitReceivers                       = 17 // of an update
	liveMillis        lovageshift.Millis = 700
)

// limitEntry is an entry whose incarnations follow one another. It is the Peers of each of them.
type limitEntry struct {
	sim    *limitSimulation
	number int
	self   netip.Addr
	old    bool

	// Guarded by sim.mutex.
	scheduler *placement.Scheduler
	client    *reservation.Client
	cutFrom   lovageshift.Millis
	cutTo     lovageshift.Millis
	frozenTo  lovageshift.Millis // it does nothing before
	faultAt   lovageshift.Millis // the end of its last fault
	next      int                // the next receiver of an update
	notified  map[int]lovageshift.Millis
}

// limitArrival is a request at a target through an entry that the rule covers.
type limitArrival struct {
	target int
	at     lovageshift.Millis
}

type limitSimulation struct {
	limitScenario
	clock    lovageshift.Clock
	view     *catalog.View
	mutex    sync.Mutex
	random   *rand.Rand
	all      []*limitEntry
	arrivals []limitArrival
	group    errgroup.Group
	// serveOne sends one request, mergeUpdate applies what one entry tells another in a state update.
	serveOne    func(e *limitEntry, started, service lovageshift.Millis)
	mergeUpdate func(now lovageshift.Millis, from, to *placement.Scheduler)
}

func (e *limitEntry) Self() netip.Addr                            { return e.self }
func (e *limitEntry) Processor(netip.Addr) lovageshift.Millicores { return 0 }

// Live returns the entries that are not known to be cut off.
func (e *limitEntry) Live() (others []netip.Addr) {
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

func (e *limitEntry) isCutFor(now, atLeast lovageshift.Millis) bool {
	return now < e.cutTo && now-e.cutFrom >= atLeast
}

// Send delivers a packet after a millisecond, or once the receiver is not frozen any more, unless it is lost.
func (e *limitEntry) Send(to netip.Addr, packet *wire.EntryPacket) {
	s := e.sim
	s.mutex.Lock()
	now := s.clock.Now()
	index := slices.IndexFunc(s.all, func(other *limitEntry) bool { return other.self == to })
	receiver := s.all[index]
	lost := e.isCutFor(now, 0) || receiver.isCutFor(now, 0) || s.random.Float64() < 0.02
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
func (e *limitEntry) restart(now lovageshift.Millis) {
	e.scheduler = placement.NewScheduler(placement.ColdBounds{})
	e.scheduler.SetEntries(e.sim.entries, e.sim.entries, 0)
	e.scheduler.SetView(now, e.sim.view)
	e.client = reservation.NewClient(e.scheduler, e.sim.clock, nil)
	e.client.SetPeers(e)
	e.faultAt, e.notified = now, map[int]lovageshift.Millis{}
}

func newLimitSimulation(s limitScenario, seed uint64) *limitSimulation {
	sim := &limitSimulation{limitScenario: s, clock: lovageshift.NewClock(), random: rand.New(rand.NewPCG(seed, 2))}
	byID := map[lovageshift.TargetID]*catalog.Target{}
	for i := range s.targets {
		id := lovageshift.TargetID(fmt.Sprintf("t-%d", i))
		byID[id] = &catalog.Target{ID: id, Service: pool, Slots: 8, Address: "10.0.0.1:1"}
	}
	sim.serveOne = sim.serve
	sim.mergeUpdate = func(now lovageshift.Millis, from, to *placement.Scheduler) { to.MergeLimits(now, from.Limits(now)) }
	sim.view = catalog.NewView(catalog.New(1, catalog.Limits{}, []*catalog.Service{{ID: pool, Engine: true}}, nil, nil), byID, nil)
	for i := range s.entries {
		e := &limitEntry{sim: sim, number: i, self: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), old: i < s.oldBuilds, next: i}
		e.restart(0)
		e.faultAt = -s.contact
		sim.all = append(sim.all, e)
	}
	return sim
}

// run plays the scenario and returns once all requests have ended.
func (s *limitSimulation) run() {
	started := s.clock.Now()
	for _, e := range s.all {
		s.group.Go(func() error { s.tick(e, started); return nil })
		s.group.Go(func() error { s.generate(e, started); return nil })
	}
	s.group.Go(func() error { s.injectFaults(started); return nil })
	_ = s.group.Wait()
}

func (s *limitSimulation) running(started lovageshift.Millis) bool {
	return s.clock.Now()-started < limitRunMillis
}

// tick lets an entry's scheduler judge its queue and sends its updates.
func (s *limitSimulation) tick(e *limitEntry, started lovageshift.Millis) {
	for step := 0; s.running(started); step++ {
		e.awaitThaw()
		s.mutex.Lock()
		scheduler := e.scheduler
		s.mutex.Unlock()
		now := s.clock.Now()
		scheduler.Tick(now)
		if step%5 == 0 {
			scheduler.SetEntries(s.entries, len(e.Live())+1, 0)
			s.sendUpdate(now, e, scheduler)
		}
		time.Sleep(limitUpdateMillis.Duration() / 5)
	}
}

// awaitThaw returns once the entry is not frozen.
func (e *limitEntry) awaitThaw() {
	e.sim.mutex.Lock()
	left := e.frozenTo - e.sim.clock.Now()
	e.sim.mutex.Unlock()
	if left > 0 {
		time.Sleep(left.Duration())
	}
}

// sendUpdate sends an update to the entries whose turn it is.
func (s *limitSimulation) sendUpdate(now lovageshift.Millis, e *limitEntry, own *placement.Scheduler) {
	for range min(limitReceivers, s.entries-1) {
		s.mutex.Lock()
		e.next = (e.next + 1) % s.entries
		if e.next == e.number {
			e.next = (e.next + 1) % s.entries
		}
		receiver := s.all[e.next]
		scheduler := receiver.scheduler
		lost := receiver.old || now < receiver.frozenTo || e.isCutFor(now, 0) || receiver.isCutFor(now, 0) || s.random.Float64() < 0.03
		s.mutex.Unlock()
		if !lost && !e.old {
			s.mergeUpdate(now, own, scheduler)
		}
	}
}

// generate sends requests through an entry.
func (s *limitSimulation) generate(e *limitEntry, started lovageshift.Millis) {
	for s.running(started) {
		s.mutex.Lock()
		pause := s.random.ExpFloat64() / s.load
		service := lovageshift.Millis(100 + s.random.IntN(400))
		s.mutex.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Second)))
		s.group.Go(func() error { s.serveOne(e, started, service); return nil })
	}
}

// serve sends one request: it reserves a slot, reaches the target, gets a response header and later the end.
func (s *limitSimulation) serve(e *limitEntry, started, service lovageshift.Millis) {
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
		s.arrivals = append(s.arrivals, limitArrival{target, now - started})
	}
	s.mutex.Unlock()
	time.Sleep(20 * time.Millisecond)
	now = s.clock.Now()
	named := target < s.limited && now-started >= namedMillis
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
func (s *limitSimulation) injectFaults(started lovageshift.Millis) {
	for s.faultEvery > 0 && s.running(started) {
		s.mutex.Lock()
		pause := s.random.ExpFloat64() * float64(s.faultEvery)
		e := s.all[s.random.IntN(len(s.all))]
		now := s.clock.Now()
		switch kind := s.random.IntN(2); {
		case s.freezes && s.random.IntN(3) == 0:
			e.frozenTo = now + 2500
		case kind == 0:
			e.restart(now)
		default:
			e.cutFrom, e.cutTo = now, now+2500
			e.faultAt = e.cutTo
		}
		s.mutex.Unlock()
		time.Sleep(time.Duration(pause * float64(time.Millisecond)))
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
