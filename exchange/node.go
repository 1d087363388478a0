package exchange

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/metrics"
	"lovageshift/wire"
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
	// Collectors returns the entries that are sent a state update in every interval, not only when it is their turn. They
	// may include this one.
	Collectors() []netip.Addr
	// HandlePacket handles a datagram that holds no state update, such as a reservation request.
	HandlePacket(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket)
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
	// processor is the processor capacity of this entry's VM.
	processor lovageshift.Millicores
	// startedAt is when this incarnation started, by Clock.SinceBoot.
	startedAt lovageshift.Millis

	// mutex guards the fields below.
	mutex       sync.Mutex
	members     *members
	changes     changeTracker
	collectors  []netip.Addr // the last result of State.Collectors
	sequence    uint64
	incarnation uint64
	leaving     bool
}

// Options configure a Node.
type Options struct {
	Self netip.Addr // this entry's IPv4 address
	// Processor is the processor capacity of this entry's VM, 0 if it is not known.
	Processor lovageshift.Millicores
	Port      uint16 // UDP port of every entry
	State     State
	Clock     lovageshift.Clock
	Log       *eventlog.Log
	Metrics   *metrics.Metrics
	Conn      net.PacketConn // listens on Self and Port; Node.Run closes it
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
		processor:   options.Processor,
		startedAt:   options.Clock.SinceBoot(),
		members:     newMembers(options.Self),
		incarnation: rand.Uint64(),
		// The sequence goes on where an earlier incarnation at this address ended, if the wall clock is right.
		sequence: uint64(options.Clock.Wall() / sendIntervalMillis),
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

// Live returns the addresses of the other entries that are not leaving and of which a newer heartbeat became known within
// the last 700 ms.
func (n *Node) Live() []netip.Addr {
	now := n.clock.Now()
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.members.live(now)
}

// Processor returns the processor capacity of the VM of this or another entry, 0 if it is not known.
func (n *Node) Processor(address netip.Addr) lovageshift.Millicores {
	if address == n.Self() {
		return n.processor
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if other := n.members.others[address]; other != nil {
		return other.processor
	}
	return 0
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

// Incarnation returns the random number of this incarnation.
func (n *Node) Incarnation() uint64 { return n.incarnation }

// Reported returns the incarnation of another entry and the use of accounts that it has reported, nil if it has reported
// none. The usage must not be changed.
func (n *Node) Reported(address netip.Addr) (uint64, *AccountUsage) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	other := n.members.others[address]
	if other == nil {
		return 0, nil
	}
	return other.incarnation, other.usage
}
