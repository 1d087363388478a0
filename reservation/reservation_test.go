package reservation_test

import (
	"context"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/membership"
	"lovageshift/placement"
	"lovageshift/reservation"
	"lovageshift/wire"
)

const pool catalog.ServiceID = "pool"

// network carries datagrams between clients in this process and loses some.
type network struct {
	mutex   sync.Mutex
	clients map[netip.Addr]*reservation.Client
	lose    func(packet *wire.EntryPacket) bool
	clock   lovageshift.Clock
}

type station struct {
	network *network
	self    netip.Addr
	desk    *placement.Scheduler
	client  *reservation.Client
}

func (s *station) Self() netip.Addr { return s.self }

func (s *station) Live() (others []netip.Addr) {
	s.network.mutex.Lock()
	defer s.network.mutex.Unlock()
	for address := range s.network.clients {
		if address != s.self {
			others = append(others, address)
		}
	}
	return others
}

func (s *station) Send(to netip.Addr, packet *wire.EntryPacket) {
	s.network.mutex.Lock()
	receiver, lost := s.network.clients[to], s.network.lose != nil && s.network.lose(packet)
	s.network.mutex.Unlock()
	if receiver == nil || lost {
		return
	}
	// Delivered later, as by a network: a desk must not be called from its own decision.
	time.AfterFunc(time.Millisecond, func() { receiver.HandlePacket(s.network.clock.Now(), s.self, packet) })
}

func newNetwork(count, targets, slots int) (*network, []*station) {
	n := &network{clients: map[netip.Addr]*reservation.Client{}, clock: lovageshift.NewClock()}
	known := map[lovageshift.TargetID]*catalog.Target{}
	for i := range targets {
		id := lovageshift.TargetID(rune('a' + i))
		known[id] = &catalog.Target{ID: id, Service: pool, Slots: slots, Address: "10.0.0.1:1"}
	}
	view := catalog.NewView(catalog.New(1, catalog.Limits{}, []*catalog.Service{{ID: pool, Engine: true}}, nil, nil), known, nil)
	var stations []*station
	for i := range count {
		s := &station{network: n, self: netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), desk: placement.NewScheduler(placement.ColdBounds{})}
		s.desk.SetEntries(count, count)
		s.desk.SetView(n.clock.Now(), view)
		s.client = reservation.NewClient(s.desk, n.clock, nil)
		s.client.SetPeers(s)
		n.clients[s.self] = s.client
		stations = append(stations, s)
	}
	return n, stations
}

// keeper returns the station that keeps the only group, and another one.
func keeper(stations []*station) (kept, other *station) {
	for _, s := range stations {
		score := membership.Score("pool/0", s.self.String())
		if kept == nil || score > membership.Score("pool/0", kept.self.String()) {
			kept = s
		}
	}
	for _, s := range stations {
		if s != kept {
			other = s
		}
	}
	return kept, other
}

func (s *station) reserve(patience lovageshift.Millis) placement.Decision {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	now := s.network.clock.Now()
	return s.client.Reserve(ctx, &placement.Job{
		Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + patience,
	})
}

// TestKeeperCountsForAll runs on virtual time.
func TestKeeperCountsForAll(t *testing.T) {
	synctest.Test(t, testKeeper)
}

func testKeeper(t *testing.T) {
	Convey("Entries together never take more places than there are slots, whatever datagrams are lost", t, func() {
		for _, every := range []int{0, 7, 3} {
			n, stations := newNetwork(3, 2, 2)
			sent := 0
			n.lose = func(*wire.EntryPacket) bool {
				sent++
				return every > 0 && sent%every == 0
			}
			var places []*placement.Slot
			for i := range 6 {
				if decision := stations[i%3].reserve(50); decision.Slot != nil {
					places = append(places, decision.Slot)
				}
			}
			So(len(places), ShouldBeLessThanOrEqualTo, 4)
			if every == 0 {
				So(places, ShouldHaveLength, 4)
			}
		}
	})
	Convey("A place that is returned at one entry is granted to another", t, func() {
		_, stations := newNetwork(3, 1, 1)
		kept, other := keeper(stations)
		first := other.reserve(100)
		So(first.Slot, ShouldNotBeNil)
		So(kept.reserve(20).Slot, ShouldBeNil)
		other.desk.Release(other.network.clock.Now(), first.Slot, placement.Result{Outcome: placement.Served})
		So(kept.reserve(3000).Slot, ShouldNotBeNil)
	})
	Convey("A keeper that is silent is passed over", t, func() {
		n, stations := newNetwork(3, 1, 4)
		kept, other := keeper(stations)
		n.mutex.Lock()
		n.clients[kept.self] = reservation.NewClient(placement.NewScheduler(placement.ColdBounds{}), n.clock, nil)
		n.clients[kept.self].SetPeers(&station{network: &network{}, self: kept.self})
		n.mutex.Unlock()
		So(other.reserve(500).Slot, ShouldNotBeNil)
	})
	Convey("A caller that leaves takes its ask back", t, func() {
		_, stations := newNetwork(2, 1, 1)
		kept, other := keeper(stations)
		held := kept.reserve(100)
		ctx, cancel := context.WithTimeout(context.Background(), 30*time.Millisecond)
		defer cancel()
		now := other.network.clock.Now()
		decision := other.client.Reserve(ctx, &placement.Job{Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + 10_000})
		So(decision.Refusal.Reason, ShouldEqual, lovageshift.ReasonDeadline)
		time.Sleep(20 * time.Millisecond)
		kept.desk.Release(kept.network.clock.Now(), held.Slot, placement.Result{Outcome: placement.Served})
		So(kept.reserve(3000).Slot, ShouldNotBeNil)
	})
}

func TestColdTargetsHaveTwoKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("However many entries are asked, only the keeper and its stand-in share out a cold target", t, func() {
			n, stations := newNetwork(6, 0, 0)
			service := &catalog.Service{ID: pool, ColdPerSecond: 20}
			cold := &catalog.Target{ID: "a", Service: pool, Slots: 100, Address: "10.0.0.1:1", ColdUntil: n.clock.Now() + 60_000}
			view := catalog.NewView(catalog.New(1, catalog.Limits{}, []*catalog.Service{service}, nil, nil), map[lovageshift.TargetID]*catalog.Target{"a": cold}, nil)
			placed := map[uint64]bool{}
			n.lose = func(packet *wire.EntryPacket) bool {
				if reply := packet.GetReply(); reply != nil && reply.State == wire.ReserveState_RESERVE_STATE_PLACED {
					placed[reply.Id] = true
				}
				return false
			}
			_, asker := keeper(stations)
			for number, s := range stations {
				s.desk.SetView(n.clock.Now(), view)
				ask := &wire.ReserveAsk{Id: uint64(number + 1), Group: "pool/0", PatienceMillis: 100, ObjectiveMillis: 500}
				s.client.HandlePacket(n.clock.Now(), asker.self, &wire.EntryPacket{Body: &wire.EntryPacket_Ask{Ask: ask}})
			}
			synctest.Wait()
			So(len(placed), ShouldEqual, 2)
		})
	})
}
