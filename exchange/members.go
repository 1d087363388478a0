package exchange

import (
	"math/rand/v2"
	"net/netip"
	"slices"

	"lovageshift"
	"lovageshift/wire"
)

const (
	// Another entry is live if a newer heartbeat of it became known less than this many milliseconds ago. One that is not
	// live may have stopped, or may be cut off and still running.
	liveTimeoutMillis lovageshift.Millis = 700
	// A member whose heartbeat has not become newer for more than this many milliseconds is removed from the list, if more
	// than half of the known entries, this one included, are live.
	forgetMillis lovageshift.Millis = 12_000
)

// member is another entry and what its last state update contained.
type member struct {
	address     netip.Addr
	incarnation uint64             // of its last state update; random, drawn when its node was created
	sequence    uint64             // of its last state update
	receivedAt  lovageshift.Millis // when its last state update was received; 0 before the first
	learnedAt   lovageshift.Millis // when it was added to the list
	leaving     bool
	// heartbeat is the sequence of its newest state update that is known of, and aliveAt when that became known, from the
	// member itself or from another entry; 0 before the first.
	heartbeat uint64
	aliveAt   lovageshift.Millis
	// sentAt is the time on the member's clock at which it sent its last state update. The next state update to the member
	// echoes it.
	sentAt uint64
	usage  *AccountUsage // as of its last state update, nil before the first
	// firstReceivedAt is when the first state update of its incarnation was received.
	firstReceivedAt lovageshift.Millis
	processor       lovageshift.Millicores // capacity of its VM's processor, 0 if it is not known
	// acceptsChanges is set if it understands state updates that hold only the accounts whose use changed.
	acceptsChanges bool
}

// MemberCounts holds the numbers of known, live and reporting entries at one moment, this one included.
type MemberCounts struct {
	// Known is the number of entries that are taken to be running, whether or not they can be reached. The method
	// members.counts says which these are.
	Known int
	// Live is the number of known entries, other than those that are leaving, of which a newer heartbeat became known
	// within the last 700 ms, plus this one.
	Live int
	// Reporting is the number of live entries from which a state update was itself received within ReportTimeout, plus this
	// one. An entry that is live but cut off from this one does not report.
	Reporting int
	// RoundIntervals is in how many intervals an entry sends an update to every other.
	RoundIntervals int
	// ReportTimeout is how long after its last state update an entry counts as reporting.
	ReportTimeout lovageshift.Millis
}

// Round returns the time in which an entry sends an update to every other.
func (c MemberCounts) Round() lovageshift.Millis { return roundTime(c.RoundIntervals) }

// members is the list of the other entries.
type members struct {
	self   netip.Addr
	others map[netip.Addr]*member
	// sorted holds the addresses of the members in ascending order.
	sorted []netip.Addr
	// order holds the members in the order in which they are sent state updates. It is random, so that the updates of all
	// entries to one member are spread over time. newest holds those that have not been sent any; they come first.
	order  []netip.Addr
	newest []netip.Addr
	// seedCount is the number of seeds, the entries named in the settings, which may include this one. MemberCounts.Known
	// is at least this number, unless the listed members and this entry are fewer.
	seedCount int
	// receivedAny is true once a state update has been received from any other entry.
	receivedAny bool
}

func newMembers(self netip.Addr) *members {
	return &members{self: self, others: map[netip.Addr]*member{}}
}

// learn returns the member at an address and adds it to the list if it is new. The address is a seed, is listed in a
// state update or is that of a state update's sender. The method returns nil for this entry's own address and for an invalid
// one.
func (m *members) learn(now lovageshift.Millis, address netip.Addr) *member {
	if address == m.self || !address.IsValid() {
		return nil
	}
	other := m.others[address]
	if other == nil {
		other = &member{address: address, learnedAt: now}
		m.others[address] = other
		m.order = slices.Insert(m.order, rand.IntN(len(m.order)+1), address)
		m.newest = append(m.newest, address)
		m.insertSorted(address)
	}
	return other
}

// next returns the members to which the next state update is sent: up to count, new ones first, then those whose turn is
// due longest.
func (m *members) next(count int) []*member {
	var due []*member
	add := func(address netip.Addr) {
		if other := m.others[address]; other != nil && !slices.Contains(due, other) {
			due = append(due, other)
		}
	}
	for len(due) < count && len(m.newest) > 0 {
		add(m.newest[0])
		m.newest = m.newest[1:]
	}
	for range m.order {
		if len(due) == count {
			break
		}
		address := m.order[0]
		m.order = append(m.order[1:], address)
		add(address)
	}
	return due
}

// all returns the members in no order.
func (m *members) all() []*member {
	list := make([]*member, 0, len(m.others))
	for _, other := range m.others {
		list = append(list, other)
	}
	return list
}

// live returns the addresses of the members that are live.
func (m *members) live(now lovageshift.Millis) []netip.Addr {
	var live []netip.Addr
	for address, other := range m.others {
		if other.live(now) {
			live = append(live, address)
		}
	}
	return live
}

func (o *member) live(now lovageshift.Millis) bool {
	return o.aliveAt > 0 && now-o.aliveAt < liveTimeoutMillis && !o.leaving
}

// counts returns the numbers of known, live and reporting entries. A member that is leaving counts as none of them. A
// member of which no heartbeat ever became known counts as known only as long as this entry has received no state update
// from any member. In every case, Known is at least the number of seeds or, if that is lower, the number of all listed
// members plus this entry.
func (m *members) counts(now lovageshift.Millis) MemberCounts {
	counts := MemberCounts{Known: 1, Live: 1, Reporting: 1, ReportTimeout: reportTimeout(len(m.others)), RoundIntervals: roundIntervals(len(m.others))}
	for _, other := range m.others {
		if other.leaving || (other.aliveAt == 0 && m.receivedAny) {
			continue
		}
		counts.Known++
		if !other.live(now) {
			continue
		}
		counts.Live++
		if other.receivedAt > 0 && now-other.receivedAt < counts.ReportTimeout {
			counts.Reporting++
		}
	}
	counts.Known = max(counts.Known, min(m.seedCount, len(m.others)+1))
	return counts
}

// expire removes the members whose heartbeat has not become newer for more than forgetMillis. For a member of which none
// ever became known, the time counts from when it was added. It removes none unless more than half of the known entries
// are live: an entry that is cut off with a minority must assume that all others are still running.
func (m *members) expire(now lovageshift.Millis) {
	counts := m.counts(now)
	if counts.Live*2 <= counts.Known {
		return
	}
	for address, other := range m.others {
		last := max(other.aliveAt, other.learnedAt)
		if now-last > forgetMillis {
			delete(m.others, address)
			is := func(a netip.Addr) bool { return a == address }
			m.order, m.sorted = slices.DeleteFunc(m.order, is), slices.DeleteFunc(m.sorted, is)
		}
	}
}

// record stores the fields of a member's own state update that the list keeps. It returns the account use that the
// member's preceding update reported. For the first update received from its incarnation, the result is nil unless that
// incarnation is new and started after this entry, which then does not know any of its use: the result is no use. An older
// incarnation may have been known before, and what it used in its whole past says nothing of what it used lately.
func (m *members) record(now lovageshift.Millis, other *member, update *wire.EntryNews) *AccountUsage {
	silence := now - other.receivedAt
	if other.incarnation != update.Incarnation {
		other.usage, other.firstReceivedAt, silence = nil, now, 0
		uptime := lovageshift.Millis(update.UptimeMillis)
		if uptime > 0 && uptime < min(now, newIncarnationMillis+reportTimeout(len(m.others))) {
			other.usage = &AccountUsage{Complete: true, New: true}
		}
	}
	previous := other.usage.before(silence)
	other.usage = previous.merge(update)
	other.incarnation, other.sequence = update.Incarnation, update.Sequence
	other.receivedAt, other.leaving, other.sentAt = now, update.Leaving, update.SentAt
	other.acceptsChanges, other.processor = update.AcceptsChangedAccounts, lovageshift.Millicores(update.ProcessorMillicores)
	other.beat(now, update.Sequence)
	m.receivedAny = true
	return previous
}
