package exchange

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
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
	// Interval at which an entry sends state updates.
	sendIntervalMillis lovageshift.Millis = 100
	// Each interval, an entry sends to the next members of the list only: one for each this many milliseconds of the
	// interval. This limits the number of datagrams that an entry sends and receives per second.
	perMemberMillis lovageshift.Millis = 6
	// An entry counts as reporting until two rounds and this many milliseconds after its last state update, so that a
	// single lost one does not matter. In a round, every member gets one update.
	reportSlackMillis lovageshift.Millis = 150
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

func (n *Node) sendLoop(ctx context.Context) {
	for ctx.Err() == nil {
		n.sendUpdate(n.nextMembers)
		lovageshift.Pause(ctx, sendIntervalMillis.Duration())
	}
	n.Leave()
	for range leaveUpdates {
		n.sendUpdate(n.allMembers)
	}
}

// membersPerInterval returns to how many of the listed members an update is sent in each interval.
func membersPerInterval(listed int) int {
	return min(listed, int(sendIntervalMillis/perMemberMillis)+1)
}

// roundIntervals returns the number of intervals in which every member gets one update.
func roundIntervals(listed int) int {
	if listed == 0 {
		return 1
	}
	perInterval := membersPerInterval(listed)
	return (listed + perInterval - 1) / perInterval
}

// reportTimeout returns how long after its last state update an entry counts as reporting.
func reportTimeout(listed int) lovageshift.Millis {
	round := sendIntervalMillis * lovageshift.Millis(roundIntervals(listed))
	return max(liveTimeoutMillis, 2*round+reportSlackMillis)
}

// nextMembers returns the members whose turn it is and the collectors. The caller must hold n.mutex.
func (n *Node) nextMembers() []*member {
	due := n.members.next(membersPerInterval(len(n.members.others)))
	for _, address := range n.collectors {
		if other := n.members.others[address]; other != nil && !slices.Contains(due, other) {
			due = append(due, other)
		}
	}
	return due
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

// allMembers returns all members. The caller must hold n.mutex.
func (n *Node) allMembers() []*member { return n.members.all() }

// addressedUpdate is a datagram to one member: a state update that goes to other members too, and the time to echo.
type addressedUpdate struct {
	to      netip.Addr
	content []byte
	sentAt  uint64
}

// sendUpdate sends one state update to the members that the function receivers returns. It also removes from the list the
// members that members.expire finds expired.
func (n *Node) sendUpdate(receivers func() []*member) {
	now := n.clock.Now()
	update, collectors := n.state.StateUpdate(now), n.state.Collectors()
	n.mutex.Lock()
	n.collectors = collectors
	updates, err := n.prepareUpdates(now, update, receivers())
	n.members.expire(now)
	counts := n.members.counts(now)
	n.mutex.Unlock()
	n.state.SetMemberCounts(now, counts)
	if err != nil {
		n.log.Info("datagramNotSent", "error", err.Error())
		return
	}
	for _, u := range updates {
		n.writeTo(u.to, append(u.content[:len(u.content):len(u.content)], encodeEcho(u.sentAt)...))
	}
}

// prepareUpdates completes the state update and encodes it for the receivers: with all accounts for some of them, with
// those whose use changed lately for the others. The caller must hold n.mutex.
func (n *Node) prepareUpdates(now lovageshift.Millis, update *wire.EntryNews, receivers []*member) ([]addressedUpdate, error) {
	n.sequence++
	update.Incarnation, update.Sequence, update.Leaving = n.incarnation, n.sequence, n.leaving
	update.AcceptsChangedAccounts, update.ProcessorMillicores = true, uint32(n.processor)
	update.SentAt, update.UptimeMillis = uint64(n.clock.SinceBoot()), uint64(now)
	n.members.list(now, update)
	roundTicks := roundIntervals(len(n.members.others))
	n.changes.add(update, roundTicks)
	update.Refused = n.changes.allRefused()
	var forComplete, forChanges []*member
	for _, other := range receivers {
		if n.needsCompleteList(now, other, roundTicks) {
			forComplete = append(forComplete, other)
		} else {
			forChanges = append(forChanges, other)
		}
	}
	updates, err := appendUpdates(nil, update, forComplete)
	if err != nil {
		return nil, err
	}
	update.Accounts, update.ChangedAccountsOnly = n.changes.changed(update.Accounts, roundTicks), true
	return appendUpdates(updates, update, forChanges)
}

// appendUpdates encodes the state update, if there are receivers, and appends a datagram for each of them.
func appendUpdates(updates []addressedUpdate, update *wire.EntryNews, receivers []*member) ([]addressedUpdate, error) {
	if len(receivers) == 0 {
		return updates, nil
	}
	content, err := proto.Marshal(&wire.EntryPacket{Body: &wire.EntryPacket_News{News: update}})
	if err != nil {
		return nil, err
	}
	for _, other := range receivers {
		updates = append(updates, addressedUpdate{other.address, content, other.sentAt})
	}
	return updates, nil
}

// needsCompleteList reports whether a member has to get all accounts: if it may lack an earlier complete list, and in
// some rounds in any case. The caller must hold n.mutex.
func (n *Node) needsCompleteList(now lovageshift.Millis, other *member, roundTicks int) bool {
	round := n.changes.tick / uint64(roundTicks)
	isNew := other.receivedAt == 0 || now-other.firstReceivedAt < reportTimeout(len(n.members.others))
	return !other.acceptsChanges || isNew || round%roundsPerCompleteList == 0
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
	wasLive, silent := other.live(now), now-other.aliveAt // silent is now if nothing was known of it before
	previous := n.members.record(now, other, update)
	n.members.learnListed(now, update)
	counts := n.members.counts(now)
	n.mutex.Unlock()
	if newIncarnation || !wasLive {
		n.log.Info("entryHeard", "peer", from.String(), "newIncarnation", newIncarnation, "silentMillis", silent,
			"known", counts.Known, "heard", counts.Live)
	}
	if update.Leaving {
		n.log.Info("entryLeaving", "peer", from.String())
	}
	n.state.ApplyPeerUpdate(now, from, previous, echoedAt, update)
}
