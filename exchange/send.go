package exchange

import (
	"context"
	"net/netip"
	"slices"

	"google.golang.org/protobuf/proto"

	"lovageshift"
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
	// How many times an entry that stops announces to every member that it leaves. One announcement may be lost.
	leaveUpdates = 3
)

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

// roundTime returns how long a round of so many intervals takes.
func roundTime(intervals int) lovageshift.Millis {
	return sendIntervalMillis * lovageshift.Millis(intervals)
}

// reportTimeout returns how long after its last state update an entry counts as reporting.
func reportTimeout(listed int) lovageshift.Millis {
	return max(liveTimeoutMillis, 2*roundTime(roundIntervals(listed))+reportSlackMillis)
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
