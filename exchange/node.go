package exchange

import (
	"context"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/metrics"
	"lovageshift/wire"
)

const (
	// Messages go out at this interval, or slower among many entries.
	intervalMillis lovageshift.Millis = 100
	// Each further entry slows the interval down by this, which bounds an entry's messages a second.
	perMemberMillis lovageshift.Millis = 6
	maxDatagram                        = 8 << 10
	// A leaving entry says so several times, as datagrams may be lost.
	farewells = 3
)

// State is the part of an entry that the others hear of.
type State interface {
	// StateUpdate returns what to tell.
	StateUpdate(now lovageshift.Millis) *wire.EntryNews
	// ApplyPeerUpdate takes in another entry's news; before holds its last, or nil for a new incarnation. The news were sent after
	// the time echoed, on the clock that counts suspended time; 0 if that is not known.
	ApplyPeerUpdate(now lovageshift.Millis, from netip.Addr, before *AccountUsage, echoed lovageshift.Millis, news *wire.EntryNews)
	// SetMemberCounts takes in how many entries there are.
	SetMemberCounts(now lovageshift.Millis, census MemberCounts)
	// HandlePacket takes in a datagram that holds no news.
	HandlePacket(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket)
}

// AccountUsage is what an entry last said of the client accounts, by account hash.
type AccountUsage struct {
	ByHash map[uint32]*wire.AccountUse
}

// Node sends and receives news.
type Node struct {
	state  State
	clock  lovageshift.Clock
	log    *eventlog.Log
	counts *metrics.Metrics
	port   uint16

	packets net.PacketConn
	// started is this incarnation's first time on the clock that counts suspended time.
	started lovageshift.Millis

	mutex    sync.Mutex
	members  *members
	sequence uint64
	identity uint64
	leaving  bool
}

// Options are what a node needs.
type Options struct {
	Self    netip.Addr
	Port    uint16
	State   State
	Clock   lovageshift.Clock
	Log     *eventlog.Log
	Metrics *metrics.Metrics
	Conn net.PacketConn
}

// NewNode returns a node that has met nobody; its incarnation is random.
func NewNode(options Options) *Node {
	return &Node{
		state:    options.State,
		clock:    options.Clock,
		log:      options.Log,
		counts:   options.Metrics,
		port:     options.Port,
		packets:  options.Conn,
		started:  options.Clock.SinceBoot(),
		members:  newMembers(options.Self),
		identity: rand.Uint64(),
	}
}

// SetSeeds takes over the entries that the settings name.
func (n *Node) SetSeeds(seeds []string) {
	now := n.clock.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.members.seeds = len(seeds)
	for _, seed := range seeds {
		if address, err := netip.ParseAddr(seed); err == nil {
			n.members.learn(now, address)
		}
	}
}

// Leave makes the node say that it takes no more part.
func (n *Node) Leave() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leaving = true
}

// Run exchanges datagrams until the context ends, and closes the packet connection.
func (n *Node) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error { return n.receive(ctx) })
	tasks.Go(func() error {
		defer func() { _ = n.packets.Close() }()
		n.sendAll(ctx)
		return nil
	})
	return tasks.Wait()
}

// Self returns this entry's own address.
func (n *Node) Self() netip.Addr { return n.members.self }

// Live returns the addresses of the other entries that were heard lately and stay.
func (n *Node) Live() []netip.Addr {
	now := n.clock.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var heard []netip.Addr
	for address, other := range n.members.others {
		if other.heard > 0 && now-other.heard < silentMillis && !other.leaving {
			heard = append(heard, address)
		}
	}
	return heard
}

// Send sends one datagram to another entry; it may be lost.
func (n *Node) Send(to netip.Addr, packet *wire.EntryPacket) {
	content, err := proto.Marshal(packet)
	if err != nil {
		n.log.Info("datagramNotSent", "error", err.Error())
		return
	}
	n.write(to, content)
}

func (n *Node) write(to netip.Addr, content []byte) {
	if _, err := n.packets.WriteTo(content, net.UDPAddrFromAddrPort(netip.AddrPortFrom(to, n.port))); err != nil {
		n.counts.Add(metrics.PeerMessages, "failed", 1)
		return
	}
	n.counts.Add(metrics.PeerMessages, "sent", 1)
}

func (n *Node) sendAll(ctx context.Context) {
	for ctx.Err() == nil {
		n.send()
		lovageshift.Pause(ctx, n.interval().Duration())
	}
	n.Leave()
	for range farewells {
		n.send()
	}
}

func (n *Node) interval() lovageshift.Millis {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return max(intervalMillis, perMemberMillis*lovageshift.Millis(len(n.members.others)))
}

func (n *Node) send() {
	now := n.clock.Now()
	news := n.state.StateUpdate(now)
	n.mutex.Lock()
	n.sequence++
	news.Incarnation, news.Sequence, news.Leaving = n.identity, n.sequence, n.leaving
	for _, address := range n.members.lately(now) {
		news.Members = append(news.Members, number(address))
	}
	news.SentAt = uint64(n.clock.SinceBoot())
	heard := make(map[netip.Addr]uint64, len(n.members.others))
	for address, other := range n.members.others {
		heard[address] = other.sentAt
	}
	n.members.expire(now)
	census := n.members.census(now)
	n.mutex.Unlock()
	n.state.SetMemberCounts(now, census)
	content, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: news}})
	if err != nil {
		n.log.Info("datagramNotSent", "error", err.Error())
		return
	}
	for address, sentAt := range heard {
		n.write(address, append(content[:len(content):len(content)], echo(sentAt)...))
	}
}

// echo returns the part of a message that differs from receiver to receiver; encoded fields may follow each other.
func echo(sentAt uint64) []byte {
	content, err := proto.Marshal(&wire.EntryPacket{EchoedAt: sentAt})
	if err != nil {
		panic(err) // a number always has an encoding
	}
	return content
}

func (n *Node) receive(ctx context.Context) error {
	buffer := make([]byte, maxDatagram)
	for {
		size, from, err := n.packets.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			n.log.Info("datagramNotRead", "error", err.Error())
			lovageshift.Pause(ctx, 10*time.Millisecond)
			continue
		}
		address, err := senderOf(from)
		if err != nil {
			n.counts.Add(metrics.PeerMessages, "foreign", 1)
			continue
		}
		packet := &wire.EntryPacket{}
		if err := proto.Unmarshal(buffer[:size], packet); err != nil {
			n.counts.Add(metrics.PeerMessages, "unreadable", 1)
			continue
		}
		n.counts.Add(metrics.PeerMessages, "received", 1)
		if news := packet.GetNews(); news != nil {
			n.take(address, news, n.echoed(packet.EchoedAt))
			continue
		}
		n.state.HandlePacket(n.clock.Now(), address, packet)
	}
}

// number returns an IPv4 address as it stands in messages.
func number(address netip.Addr) uint32 {
	four := address.As4()
	return binary.BigEndian.Uint32(four[:])
}

// echoed returns the last of this entry's times that the sender had, 0 if it had none of this incarnation. An earlier
// machine at this address may have had another clock.
func (n *Node) echoed(sentAt uint64) lovageshift.Millis {
	if sentAt < uint64(n.started) || sentAt > uint64(n.clock.SinceBoot()) {
		return 0
	}
	return lovageshift.Millis(sentAt)
}

func senderOf(from net.Addr) (netip.Addr, error) {
	sender, err := netip.ParseAddrPort(from.String())
	if err != nil {
		return netip.Addr{}, trace.Wrap(err, "sender of a datagram")
	}
	return sender.Addr().Unmap(), nil
}

func (n *Node) take(from netip.Addr, news *wire.EntryNews, echoed lovageshift.Millis) {
	now := n.clock.Now()
	n.mutex.Lock()
	other := n.members.learn(now, from)
	if other == nil {
		n.mutex.Unlock()
		return
	}
	fresh := other.incarnation != news.Incarnation
	if !fresh && news.Sequence <= other.sequence {
		n.mutex.Unlock()
		return
	}
	silent := now - other.heard
	returned := fresh || silent >= silentMillis
	before := n.remember(now, other, news, fresh)
	for _, known := range news.Members {
		var four [4]byte
		binary.BigEndian.PutUint32(four[:], known)
		n.members.learn(now, netip.AddrFrom4(four))
	}
	census := n.members.census(now)
	n.mutex.Unlock()
	if returned {
		n.log.Info("entryHeard", "peer", from.String(), "newIncarnation", fresh, "silentMillis", silent,
			"known", census.Known, "heard", census.Live)
	}
	if news.Leaving {
		n.log.Info("entryLeaving", "peer", from.String())
	}
	n.state.ApplyPeerUpdate(now, from, before, echoed, news)
}

// remember keeps the news and returns what the same incarnation said before, or nil.
func (n *Node) remember(now lovageshift.Millis, other *member, news *wire.EntryNews, fresh bool) *AccountUsage {
	var before *AccountUsage
	if !fresh {
		before = &AccountUsage{ByHash: other.accounts}
	}
	other.incarnation, other.sequence = news.Incarnation, news.Sequence
	other.heard, other.leaving, other.sentAt = now, news.Leaving, news.SentAt
	n.members.met = true
	other.accounts = make(map[uint32]*wire.AccountUse, len(news.Accounts))
	for _, use := range news.Accounts {
		other.accounts[use.Account] = use
	}
	return before
}
