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

// recorder is a State that records what a node passes to it.
type recorder struct {
	mutex    sync.Mutex
	updates  map[netip.Addr]*wire.EntryNews // last update, by sender
	previous *exchange.AccountUsage         // that came with the last update
	counts   exchange.MemberCounts
	echoedAt lovageshift.Millis // highest echoed time that came with an update
	refused  uint32             // the only fingerprint in the field Refused of its own updates
}

func (r *recorder) StateUpdate(lovageshift.Millis) *wire.EntryNews {
	return &wire.EntryNews{Refused: []uint32{r.refused}}
}

func (r *recorder) ApplyPeerUpdate(_ lovageshift.Millis, from netip.Addr, previous *exchange.AccountUsage, echoedAt lovageshift.Millis, update *wire.EntryNews) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.updates[from], r.previous = update, previous
	r.echoedAt = max(r.echoedAt, echoedAt)
}

func (r *recorder) SetMemberCounts(_ lovageshift.Millis, counts exchange.MemberCounts) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.counts = counts
}

func (r *recorder) Collectors() []netip.Addr { return nil }

func (r *recorder) HandlePacket(lovageshift.Millis, netip.Addr, *wire.EntryPacket) {}

// knownAndLive reports whether the last counts have these numbers, with all live entries reporting.
func (r *recorder) knownAndLive(known, live int) bool {
	return r.counts.Known == known && r.counts.Live == live && r.counts.Reporting == live
}

// eventually reports whether the condition holds within about 30 s.
func (r *recorder) eventually(condition func(*recorder) bool) bool {
	for range 3000 {
		r.mutex.Lock()
		met := condition(r)
		r.mutex.Unlock()
		if met {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// entry is a running node on its own loopback address, with its State.
type entry struct {
	*recorder
	node *exchange.Node
	stop func()
}

// newEntry starts an entry with the seeds. The caller must call its stop, which returns once the entry has stopped.
func newEntry(port uint16, address string, seeds ...string) *entry {
	conn, err := net.ListenPacket("udp4", netip.AddrPortFrom(netip.MustParseAddr(address), port).String())
	So(err, ShouldBeNil)
	metricSet, err := metrics.New()
	So(err, ShouldBeNil)
	e := &entry{recorder: &recorder{updates: map[netip.Addr]*wire.EntryNews{}, refused: 7}}
	e.node = exchange.NewNode(exchange.Options{
		Self: netip.MustParseAddr(address), Port: port, State: e.recorder, Clock: lovageshift.NewClock(), Metrics: metricSet, Conn: conn,
	})
	e.node.SetSeeds(seeds)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return e.node.Run(ctx) })
	e.stop = func() {
		cancel()
		_ = group.Wait()
	}
	return e
}

func TestEchoFromAnotherClock(t *testing.T) {
	Convey("An echoed time from before this entry's start or in the future is passed to the State as 0", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		socket, err := net.ListenPacket("udp4", netip.AddrPortFrom(netip.MustParseAddr("127.0.0.2"), port).String())
		So(err, ShouldBeNil)
		defer func() { _ = socket.Close() }()
		now := uint64(lovageshift.NewClock().SinceBoot())
		for i, echoedAt := range []uint64{1, now + 600_000} { // milliseconds since boot
			update := &wire.EntryNews{Incarnation: 1, Sequence: uint64(i + 1)}
			content, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: update}, EchoedAt: echoedAt})
			So(err, ShouldBeNil)
			_, err = socket.WriteTo(content, net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port)))
			So(err, ShouldBeNil)
			address := netip.MustParseAddr("127.0.0.2")
			So(e.eventually(func(r *recorder) bool { return r.updates[address].GetSequence() == uint64(i+1) }), ShouldBeTrue)
		}
		So(e.echoedAt, ShouldEqual, lovageshift.Millis(0))
	})
}

func TestDatagramSize(t *testing.T) {
	Convey("With 200 other entries, a datagram lists only some of them, stays below 256 bytes and echoes no other time than the receiver's", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		var sockets []net.PacketConn
		for i := range 200 {
			address := netip.AddrFrom4([4]byte{127, 0, 5, byte(i + 1)})
			socket, err := net.ListenPacket("udp4", netip.AddrPortFrom(address, port).String())
			So(err, ShouldBeNil)
			defer func() { _ = socket.Close() }()
			sockets = append(sockets, socket)
		}
		to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port))
		sendUpdate := func(i int) {
			update := &wire.EntryNews{Incarnation: uint64(i + 1), Sequence: 1, SentAt: uint64(1000 + i)}
			content, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: update}})
			So(err, ShouldBeNil)
			_, err = sockets[i].WriteTo(content, to)
			So(err, ShouldBeNil)
		}
		for i := range sockets {
			sendUpdate(i)
		}
		So(e.eventually(func(r *recorder) bool { return len(r.updates) == len(sockets) }), ShouldBeTrue)
		buffer := make([]byte, 16<<10)
		for i, socket := range sockets {
			// The first datagrams, which echo 0, may have been sent before this socket's update was received.
			for range 3 {
				size, _, err := socket.ReadFrom(buffer)
				So(err, ShouldBeNil)
				So(size, ShouldBeLessThan, 256)
				packet := &wire.EntryPacket{}
				So(proto.Unmarshal(buffer[:size], packet), ShouldBeNil)
				So(packet.EchoedAt, ShouldBeIn, uint64(0), uint64(1000+i))
				So(packet.GetNews().Sequence, ShouldBeGreaterThan, 0)
			}
		}
	})
}

// freePort returns a UDP port that is free on 127.0.0.1.
func freePort() uint16 {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	So(err, ShouldBeNil)
	defer func() { _ = conn.Close() }()
	return conn.LocalAddr().(*net.UDPAddr).AddrPort().Port()
}

func TestMembership(t *testing.T) {
	Convey("Entries that have one seed in common learn of all others and notice when one leaves", t, func() {
		port := freePort()
		first := newEntry(port, "127.0.0.1", "127.0.0.1")
		second := newEntry(port, "127.0.0.2", "127.0.0.1")
		third := newEntry(port, "127.0.0.3", "127.0.0.1")
		defer first.stop()
		defer third.stop()
		for _, e := range []*entry{first, second, third} {
			So(e.eventually(func(r *recorder) bool { return r.knownAndLive(3, 3) }), ShouldBeTrue)
			So(e.eventually(func(r *recorder) bool { return len(r.updates) == 2 }), ShouldBeTrue)
			So(e.eventually(func(r *recorder) bool { return r.echoedAt > 0 }), ShouldBeTrue)
		}
		second.stop()
		for _, e := range []*entry{first, third} {
			So(e.eventually(func(r *recorder) bool { return r.knownAndLive(2, 2) }), ShouldBeTrue)
		}
		So(first.node.Live(), ShouldResemble, []netip.Addr{netip.MustParseAddr("127.0.0.3")})
	})
	Convey("An entry that has received no state update counts all its seeds as known, and only itself as live", t, func() {
		alone := newEntry(freePort(), "127.0.0.1", "127.0.0.1", "127.0.0.2", "127.0.0.3")
		defer alone.stop()
		So(alone.eventually(func(r *recorder) bool { return r.knownAndLive(3, 1) }), ShouldBeTrue)
	})
}
