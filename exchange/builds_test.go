package exchange_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"google.golang.org/protobuf/proto"

	"lovageshift/wire"
)

// peerSocket is a socket that stands for another entry.
type peerSocket struct {
	net.PacketConn
	to net.Addr
}

func newPeerSocket(port uint16, address, to string) *peerSocket {
	socket, err := net.ListenPacket("udp4", netip.AddrPortFrom(netip.MustParseAddr(address), port).String())
	So(err, ShouldBeNil)
	return &peerSocket{socket, net.UDPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(to), port))}
}

func (s *peerSocket) send(content []byte) {
	_, err := s.WriteTo(content, s.to)
	So(err, ShouldBeNil)
}

func (s *peerSocket) sendUpdate(update *wire.EntryNews) {
	content, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: update}})
	So(err, ShouldBeNil)
	s.send(content)
}

// receive returns the next state update, of at most count, that the condition accepts, or nil.
func (s *peerSocket) receive(count int, condition func(*wire.EntryNews) bool) *wire.EntryNews {
	buffer := make([]byte, 16<<10)
	for range count {
		size, _, err := s.ReadFrom(buffer)
		So(err, ShouldBeNil)
		packet := &wire.EntryPacket{}
		So(proto.Unmarshal(buffer[:size], packet), ShouldBeNil)
		if condition(packet.GetNews()) {
			return packet.GetNews()
		}
	}
	return nil
}

// During a rolling restart with a new build, processes of both builds exchange state updates.
func TestUpdatesOfAnEarlierBuild(t *testing.T) {
	Convey("A process that does not understand partial lists of accounts gets complete ones only", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		earlier := newPeerSocket(port, "127.0.0.2", "127.0.0.1")
		defer func() { _ = earlier.Close() }()
		earlier.sendUpdate(&wire.EntryNews{Incarnation: 1, Sequence: 1})
		So(earlier.receive(30, func(u *wire.EntryNews) bool { return u.ChangedAccountsOnly }), ShouldBeNil)
	})
	Convey("A process that understands them gets them soon", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		present := newPeerSocket(port, "127.0.0.2", "127.0.0.1")
		defer func() { _ = present.Close() }()
		present.sendUpdate(&wire.EntryNews{Incarnation: 1, Sequence: 1, AcceptsChangedAccounts: true})
		So(present.receive(60, func(u *wire.EntryNews) bool { return u.ChangedAccountsOnly }), ShouldNotBeNil)
	})
	Convey("The members that a process of an earlier build lists are sent updates too", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		earlier := newPeerSocket(port, "127.0.0.2", "127.0.0.1")
		defer func() { _ = earlier.Close() }()
		listed := newPeerSocket(port, "127.0.0.3", "127.0.0.1")
		defer func() { _ = listed.Close() }()
		earlier.sendUpdate(&wire.EntryNews{Incarnation: 1, Sequence: 1, Members: []uint32{0x7f000003}})
		So(listed.receive(1, func(*wire.EntryNews) bool { return true }), ShouldNotBeNil)
	})
}

// An entry that started later than the receiver has used nothing before its first update; of others that is not known.
func TestFirstUpdateOfRestartedEntry(t *testing.T) {
	address := netip.MustParseAddr("127.0.0.2")
	for uptime, isKnown := range map[uint64]bool{0: false, 1: true, 1 << 40: false} {
		Convey(fmt.Sprintf("Its use before is known only if it started later: it has run for %d ms", uptime), t, func() {
			port := freePort()
			e := newEntry(port, "127.0.0.1")
			defer e.stop()
			sender := newPeerSocket(port, "127.0.0.2", "127.0.0.1")
			defer func() { _ = sender.Close() }()
			time.Sleep(20 * time.Millisecond)
			sender.sendUpdate(&wire.EntryNews{Incarnation: 1, Sequence: 1, UptimeMillis: uptime, Accounts: []*wire.AccountUse{{Account: 9, Used: 500}}})
			So(e.eventually(func(r *recorder) bool { return r.updates[address] != nil }), ShouldBeTrue)
			So(e.previous != nil, ShouldEqual, isKnown)
			if isKnown {
				use, known := e.previous.Of(9)
				So(use, ShouldBeNil)
				So(known, ShouldBeTrue)
			}
		})
	}
}

// The socket's buffer holds a batch, so that the entry gets each datagram however slow it is.
const (
	invalidBatches    = 20
	datagramsPerBatch = 100
)

// Whatever arrives at the port must neither stop the entry nor make another one look live.
func TestInvalidDatagrams(t *testing.T) {
	Convey("Random bytes, truncated updates and lists of different lengths are survived", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		sender := newPeerSocket(port, "127.0.0.2", "127.0.0.1")
		defer func() { _ = sender.Close() }()
		valid, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: &wire.EntryNews{
			Incarnation: 1, Sequence: 1, MemberSteps: []uint32{0x7f000004, 1, 1}, MemberSequences: []uint32{1, 2, 3},
		}}})
		So(err, ShouldBeNil)
		random := rand.New(rand.NewPCG(1, 2))
		address := netip.MustParseAddr("127.0.0.2")
		for batch := range uint64(invalidBatches) {
			for range datagramsPerBatch {
				content := append([]byte(nil), valid[:random.IntN(len(valid)+1)]...)
				for range random.IntN(4) {
					if len(content) > 0 {
						content[random.IntN(len(content))] = byte(random.Uint32())
					}
				}
				sender.send(content)
			}
			So(e.eventually(func(r *recorder) bool {
				sender.sendUpdate(&wire.EntryNews{Incarnation: 2, Sequence: batch + 1, MemberSteps: []uint32{0x7f000005, 1}, MemberSequences: []uint32{9}})
				return r.updates[address].GetIncarnation() == 2 && r.updates[address].GetSequence() == batch+1
			}), ShouldBeTrue)
		}
	})
	Convey("A heartbeat of an earlier incarnation that others still pass on does not hide a restarted entry", t, func() {
		port := freePort()
		e := newEntry(port, "127.0.0.1")
		defer e.stop()
		restarted := newPeerSocket(port, "127.0.0.2", "127.0.0.1")
		defer func() { _ = restarted.Close() }()
		other := newPeerSocket(port, "127.0.0.3", "127.0.0.1")
		defer func() { _ = other.Close() }()
		restarted.sendUpdate(&wire.EntryNews{Incarnation: 1, Sequence: 5000})
		restarted.sendUpdate(&wire.EntryNews{Incarnation: 2, Sequence: 1})
		address := netip.MustParseAddr("127.0.0.2")
		So(e.eventually(func(r *recorder) bool { return r.updates[address].GetIncarnation() == 2 }), ShouldBeTrue)
		listing := func(sequence uint64, heartbeat uint32) *wire.EntryNews {
			return &wire.EntryNews{Incarnation: 1, Sequence: sequence, MemberSteps: []uint32{0x7f000002}, MemberSequences: []uint32{heartbeat}}
		}
		other.sendUpdate(listing(1, 5000))
		// Newer heartbeats of the present incarnation still count: the restarted entry stays live by them alone.
		for sequence := range uint64(12) {
			other.sendUpdate(listing(sequence+2, uint32(sequence+2)))
			So(e.eventually(func(r *recorder) bool {
				return r.updates[netip.MustParseAddr("127.0.0.3")].GetSequence() == sequence+2
			}), ShouldBeTrue)
			So(e.node.Live(), ShouldContain, address)
			time.Sleep(100 * time.Millisecond)
		}
	})
}
