package exchange_test

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lovageshift"
	"lovageshift/exchange"
	"lovageshift/metrics"
	"lovageshift/wire"
)

// state records what a node hears.
type state struct {
	mutex  sync.Mutex
	heard  map[netip.Addr]*wire.EntryNews
	census exchange.MemberCounts
	echoed lovageshift.Millis
	marked uint32
}

func (s *state) StateUpdate(lovageshift.Millis) *wire.EntryNews {
	return &wire.EntryNews{Refused: []uint32{s.marked}}
}

func (s *state) ApplyPeerUpdate(_ lovageshift.Millis, from netip.Addr, _ *exchange.AccountUsage, echoed lovageshift.Millis, news *wire.EntryNews) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.heard[from] = news
	s.echoed = max(s.echoed, echoed)
}

func (s *state) SetMemberCounts(_ lovageshift.Millis, census exchange.MemberCounts) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.census = census
}

func (s *state) HandlePacket(lovageshift.Millis, netip.Addr, *wire.EntryPacket) {}

func (s *state) knows(holds func(*state) bool) bool {
	for range 3000 {
		s.mutex.Lock()
		held := holds(s)
		s.mutex.Unlock()
		if held {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// entry is a node on its own loopback address.
type entry struct {
	*state
	node *exchange.Node
	stop func()
}

func newEntry(port uint16, address string, seeds ...string) *entry {
	packets, err := net.ListenPacket("udp4", netip.AddrPortFrom(netip.MustParseAddr(address), port).String())
	So(err, ShouldBeNil)
	counts, err := metrics.New()
	So(err, ShouldBeNil)
	e := &entry{state: &state{heard: map[netip.Addr]*wire.EntryNews{}, marked: 7}}
	e.node = exchange.NewNode(exchange.Options{
		Self: netip.MustParseAddr(address), Port: port, State: e.state, Clock: lovageshift.NewClock(), Metrics: counts, Conn: packets,
	})
	e.node.SetSeeds(seeds)
	ctx, cancel := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return e.node.Run(ctx) })
	e.stop = func() {
		cancel()
		_ = tasks.Wait()
	}
	return e
}

func TestEchoesOfAnotherClock(t *testing.T) {
	Convey("A time that this entry cannot have sent confirms nothing", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		socket, err := net.ListenPacket("udp4", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), port).String())
		So(err, ShouldBeNil)
		defer func() { _ = socket.Close() }()
		now := uint64(lovageshift.NewClock().SinceBoot())
		for number, echoed := range []uint64{1, now + 600_000} {
			news := &wire.EntryNews{Incarnation: 1, Sequence: uint64(number + 1)}
			content, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: news}, EchoedAt: echoed})
			So(err, ShouldBeNil)
			_, err = socket.WriteTo(content, net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)))
			So(err, ShouldBeNil)
			address := netip.MustParseAddr("127.0.0.2")
			So(e.knows(func(s *state) bool { return s.heard[address].GetSequence() == uint64(number+1) }), ShouldBeTrue)
		}
		So(e.echoed, ShouldEqual, lovageshift.Millis(0))
	})
}

func TestMessagesStaySmall(t *testing.T) {
	Convey("Among 200 entries a message names some of them, and returns to each its own time", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		var sockets []net.PacketConn
		for number := range 200 {
			address := netip.AddrFrom4([4]byte{127, 0, 5, byte(number + 1)})
			socket, err := net.ListenPacket("udp4", netip.AddrPortFrom(address, port).String())
			So(err, ShouldBeNil)
			defer func() { _ = socket.Close() }()
			sockets = append(sockets, socket)
		}
		to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port))
		tell := func(number int) {
			news := &wire.EntryNews{Incarnation: uint64(number + 1), Sequence: 1, SentAt: uint64(1000 + number)}
			content, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: news}})
			So(err, ShouldBeNil)
			_, err = sockets[number].WriteTo(content, to)
			So(err, ShouldBeNil)
		}
		for number := range sockets {
			tell(number)
		}
		So(e.knows(func(s *state) bool { return len(s.heard) == len(sockets) }), ShouldBeTrue)
		buffer := make([]byte, 16<<10)
		for number, socket := range sockets {
			// The first messages may have been sent before all were heard.
			for range 3 {
				size, _, err := socket.ReadFrom(buffer)
				So(err, ShouldBeNil)
				So(size, ShouldBeLessThan, 256)
				packet := &wire.EntryPacket{}
				So(proto.Unmarshal(buffer[:size], packet), ShouldBeNil)
				So(packet.EchoedAt, ShouldBeIn, uint64(0), uint64(1000+number))
				So(packet.GetNews().Sequence, ShouldBeGreaterThan, 0)
			}
		}
	})
}

func freePort() uint16 {
	packets, err := net.ListenPacket("udp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = packets.Close() }()
	return packets.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

func TestEntriesFindEachOther(t *testing.T) {
	Convey("Entries that know one seed learn of all others, and of those that leave", t, func() {
		port := freePort()
		first := newEntry(port, "127.0.0.1", "127.0.0.1")
		second := newEntry(port, "127.0.0.2", "127.0.0.1")
		third := newEntry(port, "127.0.0.3", "127.0.0.1")
		defer first.stop()
		defer third.stop()
		for _, e := range []*entry{first, second, third} {
			So(e.knows(func(s *state) bool { return s.census == exchange.MemberCounts{Known: 3, Live: 3} }), ShouldBeTrue)
			So(e.knows(func(s *state) bool { return len(s.heard) == 2 }), ShouldBeTrue)
			So(e.knows(func(s *state) bool { return s.echoed > 0 }), ShouldBeTrue)
		}
		second.stop()
		for _, e := range []*entry{first, third} {
			So(e.knows(func(s *state) bool { return s.census == exchange.MemberCounts{Known: 2, Live: 2} }), ShouldBeTrue)
		}
		So(first.node.Live(), ShouldResemble, []netip.Addr{netip.MustParseAddr("127.0.0.3")})
	})
	Convey("An entry that meets nobody counts its seeds as at work", t, func() {
		alone := newEntry(freePort(), "127.0.0.1", "127.0.0.1", "127.0.0.2", "127.0.0.3")
		defer alone.stop()
		So(alone.knows(func(s *state) bool { return s.census == exchange.MemberCounts{Known: 3, Live: 1} }), ShouldBeTrue)
	})
}
