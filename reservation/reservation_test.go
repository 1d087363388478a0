package reservation_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/membership"
	"lovageshift/placement"
	"lovageshift/quota"
	"lovageshift/reservation"
	"lovageshift/wire"
)

const pool catalog.ServiceID = "pool"

// network carries datagrams between the clients of a test, except those for which lose returns true.
type network struct {
	mutex   sync.Mutex
	clients map[netip.Addr]*reservation.Client
	lose    func(packet *wire.EntryPacket) bool
	clock   lovageshift.Clock
}

// testEntry is an entry with its own scheduler; it implements reservation.Peers.
type testEntry struct {
	network   *network
	self      netip.Addr
	scheduler *placement.Scheduler
	client    *reservation.Client
}

func (e *testEntry) Self() netip.Addr { return e.self }

func (e *testEntry) Processor(netip.Addr) lovageshift.Millicores { return 0 }

func (e *testEntry) Live() (others []netip.Addr) {
	e.network.mutex.Lock()
	defer e.network.mutex.Unlock()
	for address := range e.network.clients {
		if address != e.self {
			others = append(others, address)
		}
	}
	return others
}

func (e *testEntry) Send(to netip.Addr, packet *wire.EntryPacket) {
	e.network.mutex.Lock()
	receiver, lost := e.network.clients[to], e.network.lose != nil && e.network.lose(packet)
	e.network.mutex.Unlock()
	if receiver == nil || lost {
		return
	}
	// The packet arrives with a delay, as in a network: Send may be called by a scheduler's onDecision, which must not
	// call a scheduler.
	time.AfterFunc(time.Millisecond, func() { receiver.HandlePacket(e.network.clock.Now(), e.self, packet) })
}

func newNetwork(count, targets, slots int) (*network, []*testEntry) {
	n := &network{clients: map[netip.Addr]*reservation.Client{}, clock: lovageshift.NewClock()}
	byID := map[lovageshift.TargetID]*catalog.Target{}
	for i := range targets {
		id := lovageshift.TargetID(rune('a' + i))
		byID[id] = &catalog.Target{ID: id, Service: pool, Slots: slots, Address: "10.0.0.1:1"}
	}
	view := catalog.NewView(catalog.New(1, catalog.Limits{}, []*catalog.Service{{ID: pool, Engine: true}}, nil, nil), byID, nil)
	var entries []*testEntry
	for i := range count {
		e := &testEntry{network: n, self: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), scheduler: placement.NewScheduler(placement.ColdBounds{})}
		e.scheduler.SetPolicy(placement.Policy{FairShares: true, EarlyRefusals: true})
		e.scheduler.SetEntries(count, count, 0)
		e.scheduler.SetView(n.clock.Now(), view)
		e.client = reservation.NewClient(e.scheduler, n.clock, nil)
		e.client.SetPeers(e)
		n.clients[e.self] = e.client
		entries = append(entries, e)
	}
	return n, entries
}

// coordinatorAndOther returns the entry that coordinates pool/0, the only group, and another entry.
func coordinatorAndOther(entries []*testEntry) (coordinator, other *testEntry) {
	for _, e := range entries {
		score := membership.Score("pool/0", e.self.String())
		if coordinator == nil || score > membership.Score("pool/0", coordinator.self.String()) {
			coordinator = e
		}
	}
	for _, e := range entries {
		if e != coordinator {
			other = e
		}
	}
	return coordinator, other
}

func (e *testEntry) reserve(maxWait lovageshift.Millis) placement.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	now := e.network.clock.Now()
	return e.client.Reserve(ctx, &placement.Job{
		Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + maxWait,
	})
}

// TestCoordinatorCountsForAll runs on virtual time, as its cases wait for the timeouts of reservation requests.
func TestCoordinatorCountsForAll(t *testing.T) {
	synctest.Test(t, testCoordinator)
}

func testCoordinator(t *testing.T) {
	Convey("All entries together never hold more slots than the targets have, with no datagram lost, every 7th or every 3rd", t, func() {
		for _, lossInterval := range []int{0, 7, 3} {
			n, entries := newNetwork(3, 2, 2)
			sent := 0
			n.lose = func(*wire.EntryPacket) bool {
				sent++
				return lossInterval > 0 && sent%lossInterval == 0
			}
			var slots []*placement.Slot
			for i := range 6 {
				if decision := entries[i%3].reserve(50); decision.Slot != nil {
					slots = append(slots, decision.Slot)
				}
			}
			So(len(slots), ShouldBeLessThanOrEqualTo, 4)
			if lossInterval == 0 {
				So(slots, ShouldHaveLength, 4)
			}
		}
	})
	Convey("A slot that one entry releases is granted to another", t, func() {
		_, entries := newNetwork(3, 1, 1)
		coordinator, other := coordinatorAndOther(entries)
		first := other.reserve(100)
		So(first.Slot, ShouldNotBeNil)
		So(coordinator.reserve(20).Slot, ShouldBeNil)
		other.scheduler.Release(other.network.clock.Now(), first.Slot, placement.Result{Outcome: placement.Served})
		So(coordinator.reserve(3000).Slot, ShouldNotBeNil)
	})
	Convey("While the coordinator is unresponsive, an entry gets a slot from another entry or its own scheduler", t, func() {
		n, entries := newNetwork(3, 1, 4)
		coordinator, other := coordinatorAndOther(entries)
		n.mutex.Lock()
		n.clients[coordinator.self] = reservation.NewClient(placement.NewScheduler(placement.ColdBounds{}), n.clock, nil)
		n.clients[coordinator.self].SetPeers(&testEntry{network: &network{}, self: coordinator.self})
		n.mutex.Unlock()
		So(other.reserve(500).Slot, ShouldNotBeNil)
	})
	Convey("When the context of a queued job ends, its reservation at the coordinator is ended and gets no slot", t, func() {
		_, entries := newNetwork(2, 1, 1)
		coordinator, other := coordinatorAndOther(entries)
		holder := coordinator.reserve(100)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		now := other.network.clock.Now()
		decision := other.client.Reserve(ctx, &placement.Job{Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + 10_000})
		So(decision.Refusal.Reason, ShouldEqual, lovageshift.ReasonDeadline)
		time.Sleep(20 * time.Millisecond)
		coordinator.scheduler.Release(coordinator.network.clock.Now(), holder.Slot, placement.Result{Outcome: placement.Served})
		So(coordinator.reserve(3000).Slot, ShouldNotBeNil)
	})
}

// TestAccountsReachTheCoordinator guards against requests for slots that do not tell their account.
func TestAccountsReachTheCoordinator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A request of another account does not wait for all earlier ones of one account", t, func() {
			_, entries := newNetwork(2, 1, 1)
			coordinator, other := coordinatorAndOther(entries)
			holder := coordinator.reserve(0)
			var served []quota.AccountHash
			var group errgroup.Group
			for _, account := range []quota.AccountHash{1, 1, 1, 2} {
				group.Go(func() error {
					decision := other.client.Reserve(t.Context(), &placement.Job{Service: pool, Account: account, QueueDeadline: 1 << 40})
					served = append(served, account)
					other.scheduler.Release(1, decision.Slot, placement.Result{})
					return nil
				})
				time.Sleep(5 * time.Millisecond)
			}
			coordinator.scheduler.Release(1, holder.Slot, placement.Result{})
			So(group.Wait(), ShouldBeNil)
			So(served, ShouldResemble, []quota.AccountHash{1, 2, 1, 1})
		})
	})
}

func TestColdTargetsHaveTwoCoordinators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("If all entries get a reservation request for the group of a cold target, only the group's coordinator and its backup grant a slot", t, func() {
			n, entries := newNetwork(6, 0, 0)
			service := &catalog.Service{ID: pool, ColdPerSecond: 20}
			cold := &catalog.Target{ID: "a", Service: pool, Slots: 100, Address: "10.0.0.1:1", ColdUntil: n.clock.Now() + 60_000}
			view := catalog.NewView(catalog.New(1, catalog.Limits{}, []*catalog.Service{service}, nil, nil), map[lovageshift.TargetID]*catalog.Target{"a": cold}, nil)
			granted := map[uint64]bool{}
			n.lose = func(packet *wire.EntryPacket) bool {
				if reply := packet.GetReply(); reply != nil && reply.State == wire.ReserveState_RESERVE_STATE_PLACED {
					granted[reply.Id] = true
				}
				return false
			}
			_, requester := coordinatorAndOther(entries)
			for i, e := range entries {
				e.scheduler.SetView(n.clock.Now(), view)
				request := &wire.ReserveAsk{Id: uint64(i + 1), Group: "pool/0", PatienceMillis: 100, ObjectiveMillis: 500}
				e.client.HandlePacket(n.clock.Now(), requester.self, &wire.EntryPacket{Body: &wire.EntryPacket_Ask{Ask: request}})
			}
			synctest.Wait()
			So(len(granted), ShouldEqual, 2)
		})
	})
}
