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
	// Shortest interval at which an entry sends state updates.
	sendIntervalMillis lovageshift.Millis = 100
	// The interval is at least this many milliseconds for each listed member. As each member is sent one datagram per
	// interval, this limits the number of datagrams that an entry sends per second.
	perMemberMillis lovageshift.Millis = 6
	// Size of the buffer for received datagrams, in bytes. A longer datagram is cut off at this size.
	maxDatagramBytes = 8 << 10
	// How many times an entry that stops announces to every member that it leaves. One announcement may be lost.
	leaveUpdates = 3
)

// State is the part of an entry that provides the state to share and applies the state of the others. Its methods
// may be called concurrently.
type State interface {
	// StateUpdate returns the next state update to send. The node sets the fields Incarnation, Sequence, Leaving, Members
	// and SentAt of it.
	StateUpdate(now lovageshift.Millis) *wire.EntryNews
	// ApplyPeerUpdate applies a state update of the entry at the address from. The parameter previous is the account use
	// that the sender's preceding update reported, or nil if this is the first update received from the sender's
	// incarnation. The parameter echoedAt is when this entry sent the last update that the sender had received from it, by
	// this entry's Clock.SinceBoot, or 0 if that is not known. The sender sent the present update after that time.
	ApplyPeerUpdate(now lovageshift.Millis, from netip.Addr, previous *AccountUsage, echoedAt lovageshift.Millis, update *wire.EntryNews)
	// SetMemberCounts applies the numbers of known and live entries. It is called before each state update is sent, whether
	// or not the numbers have changed.
	SetMemberCounts(now lovageshift.Millis, counts MemberCounts)
	// HandlePacket handles a datagram that holds no state update, such as a reservation request.
	HandlePacket(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket)
}

// AccountUsage is the use of client accounts that a state update reported.
type AccountUsage struct {
	ByHash map[uint32]*wire.AccountUse // by account hash
}

// Node sends this entry's state updates, receives those of the other entries and keeps the list of the other entries. It is safe for
// concurrent use.
type Node struct {
	state   State
	clock   lovageshift.Clock
	log     *eventlog.Log
	metrics *metrics.Metrics
	port    uint16

	conn net.PacketConn
	// startedAt is when this incarnation started, by Clock.SinceBoot.
	startedAt lovageshift.Millis

	// mutex guards the fields below.
	mutex       sync.Mutex
	members     *members
	sequence    uint64
	incarnation uint64
	leaving     bool
}

// Options configure a Node.
type Options struct {
	Self    netip.Addr // this entry's IPv4 address
	Port    uint16     // UDP port of every entry
	State   State
	Clock   lovageshift.Clock
	Log     *eventlog.Log
	Metrics *metrics.Metrics
	Conn    net.PacketConn // listens on Self and Port; Node.Run closes it
}

// NewNode returns a node that knows no other entries yet. Its incarnation is random.
func NewNode(options Options) *Node {
	return &Node{
		state:       options.State,
		clock:       options.Clock,
		log:         options.Log,
		metrics:     options.Metrics,
		port:        options.Port,
		conn:        options.Conn,
		startedAt:   options.Clock.SinceBoot(),
		members:     newMembers(options.Self),
		incarnation: rand.Uint64(),
	}
}

// SetSeeds sets the seeds, the IP addresses of entries that the settings name, and adds them to the list of members. It
// does not remove earlier seeds from the list. This entry's own address and one that cannot be parsed are not added, but
// are included in the number of seeds.
func (n *Node) SetSeeds(seeds []string) {
	now := n.clock.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.members.seedCount = len(seeds)
	for _, seed := range seeds {
		if address, err := netip.ParseAddr(seed); err == nil {
			n.members.learn(now, address)
		}
	}
}

// Leave marks this entry as leaving in all state updates that it sends from now on.
func (n *Node) Leave() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.leaving = true
}

// Run sends and receives datagrams until the context ends, then announces that the entry leaves and closes Options.Conn.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.receiveLoop(ctx) })
	group.Go(func() error {
		defer func() { _ = n.conn.Close() }()
		n.sendLoop(ctx)
		return nil
	})
	return group.Wait()
}

// Self returns this entry's own address.
func (n *Node) Self() netip.Addr { return n.members.self }

// Live returns the addresses of the other entries that are not leaving and from which a state update was received within
// the last 700 ms.
func (n *Node) Live() []netip.Addr {
	now := n.clock.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	var live []netip.Addr
	for address, other := range n.members.others {
		if other.receivedAt > 0 && now-other.receivedAt < liveTimeoutMillis && !other.leaving {
			live = append(live, address)
		}
	}
	return live
}

// Send sends one datagram to another entry. The datagram may be lost.
func (n *Node) Send(to netip.Addr, packet *wire.EntryPacket) {
	content, err := proto.Marshal(packet)
	if err != nil {
		n.log.Info("datagramNotSent", "error", err.Error())
		return
	}
	n.writeTo(to, content)
}

func (n *Node) writeTo(to netip.Addr, content []byte) {
	if _, err := n.conn.WriteTo(content, net.UDPAddrFromAddrPort(netip.AddrPortFrom(to, n.port))); err != nil {
		n.metrics.Add(metrics.PeerMessages, "failed", 1)
		return
	}
	n.metrics.Add(metrics.PeerMessages, "sent", 1)
}

func (n *Node) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.sendUpdate()
		lovageshift.Pause(ctx, n.interval().Duration())
	}
	n.Leave()
	for range leaveUpdates {
		n.sendUpdate()
	}
}

func (n *Node) interval() lovageshift.Millis {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return max(sendIntervalMillis, perMemberMillis*lovageshift.Millis(len(n.members.others)))
}

// sendUpdate sends one state update to every listed member. It also removes from the list the members that
// members.expire finds expired; these still get this update.
func (n *Node) sendUpdate() {
	now := n.clock.Now()
	update := n.state.StateUpdate(now)
	n.mutex.Lock()
	n.sequence++
	update.Incarnation, update.Sequence, update.Leaving = n.incarnation, n.sequence, n.leaving
	for _, address := range n.members.recent(now) {
		update.Members = append(update.Members, ipv4Number(address))
	}
	update.SentAt = uint64(n.clock.SinceBoot())
	// The time to echo to each member: when it sent the last update received from it, by its own clock.
	echoes := make(map[netip.Addr]uint64, len(n.members.others))
	for address, other := range n.members.others {
		echoes[address] = other.sentAt
	}
	n.members.expire(now)
	counts := n.members.counts(now)
	n.mutex.Unlock()
	n.state.SetMemberCounts(now, counts)
	content, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: update}})
	if err != nil {
		n.log.Info("datagramNotSent", "error", err.Error())
		return
	}
	for address, sentAt := range echoes {
		n.writeTo(address, append(content[:len(content):len(content)], encodeEcho(sentAt)...))
	}
}

// encodeEcho encodes the time to echo to one receiver. It is encoded apart from the rest of the datagram, which is the same
// for all receivers. The two parts can be concatenated, as concatenated protobuf messages decode as one.
func encodeEcho(sentAt uint64) []byte {
	content, err := proto.Marshal(&wire.EntryPacket{EchoedAt: sentAt})
	if err != nil {
		panic(err) // a message with a single integer always encodes
	}
	return content
}

func (n *Node) receiveLoop(ctx context.Context) error {
	buffer := make([]byte, maxDatagramBytes)
	for {
		size, from, err := n.conn.ReadFrom(buffer)
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			n.log.Info("datagramNotRead", "error", err.Error())
			lovageshift.Pause(ctx, 10*time.Millisecond)
			continue
		}
		sender, err := senderAddress(from)
		if err != nil {
			n.metrics.Add(metrics.PeerMessages, "foreign", 1)
			continue
		}
		packet := &wire.EntryPacket{}
		if err := proto.Unmarshal(buffer[:size], packet); err != nil {
			n.metrics.Add(metrics.PeerMessages, "unreadable", 1)
			continue
		}
		n.metrics.Add(metrics.PeerMessages, "received", 1)
		if update := packet.GetNews(); update != nil {
			n.handleUpdate(sender, update, n.validEcho(packet.EchoedAt))
			continue
		}
		n.state.HandlePacket(n.clock.Now(), sender, packet)
	}
}

// ipv4Number returns an IPv4 address as the number that stands for it in messages.
func ipv4Number(address netip.Addr) uint32 {
	octets := address.As4()
	return binary.BigEndian.Uint32(octets[:])
}

// validEcho returns the time that a sender echoed, or 0 if it is before this incarnation's start or in the future, so that
// it cannot be a time that this incarnation sent. The sender may echo a time that it received from an earlier VM at this
// address, which had another clock.
func (n *Node) validEcho(echo uint64) lovageshift.Millis {
	if echo < uint64(n.startedAt) || echo > uint64(n.clock.SinceBoot()) {
		return 0
	}
	return lovageshift.Millis(echo)
}

func senderAddress(from net.Addr) (netip.Addr, error) {
	addrPort, err := netip.ParseAddrPort(from.String())
	if err != nil {
		return netip.Addr{}, trace.Wrap(err, "parse the sender's address")
	}
	return addrPort.Addr().Unmap(), nil
}

// handleUpdate applies a state update. It ignores an update that has this entry's own address as its sender, and one that
// is not newer than the last update received from the same incarnation.
func (n *Node) handleUpdate(from netip.Addr, update *wire.EntryNews, echoedAt lovageshift.Millis) {
	now := n.clock.Now()
	n.mutex.Lock()
	other := n.members.learn(now, from)
	if other == nil {
		n.mutex.Unlock()
		return
	}
	newIncarnation := other.incarnation != update.Incarnation
	if !newIncarnation && update.Sequence <= other.sequence { // a duplicate, or received after a later update
		n.mutex.Unlock()
		return
	}
	elapsed := now - other.receivedAt // since the last update of the sender; equal to now if this is its first
	becameLive := newIncarnation || elapsed >= liveTimeoutMillis
	previous := n.record(now, other, update, newIncarnation)
	for _, encoded := range update.Members {
		var octets [4]byte
		binary.BigEndian.PutUint32(octets[:], encoded)
		n.members.learn(now, netip.AddrFrom4(octets))
	}
	counts := n.members.counts(now)
	n.mutex.Unlock()
	if becameLive {
		n.log.Info("entryHeard", "peer", from.String(), "newIncarnation", newIncarnation, "silentMillis", elapsed,
			"known", counts.Known, "heard", counts.Live)
	}
	if update.Leaving {
		n.log.Info("entryLeaving", "peer", from.String())
	}
	n.state.ApplyPeerUpdate(now, from, previous, echoedAt, update)
}

// record stores in a member the fields of its state update that the list keeps. It returns the account use that the
// member's preceding update reported, or nil if newIncarnation is true. The caller must hold n.mutex.
func (n *Node) record(now lovageshift.Millis, other *member, update *wire.EntryNews, newIncarnation bool) *AccountUsage {
	var previous *AccountUsage
	if !newIncarnation {
		previous = &AccountUsage{ByHash: other.accounts}
	}
	other.incarnation, other.sequence = update.Incarnation, update.Sequence
	other.receivedAt, other.leaving, other.sentAt = now, update.Leaving, update.SentAt
	n.members.receivedAny = true
	other.accounts = make(map[uint32]*wire.AccountUse, len(update.Accounts))
	for _, use := range update.Accounts {
		other.accounts[use.Account] = use
	}
	return previous
}
