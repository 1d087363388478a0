package exchange

import (
	"net/netip"

	"lovageshift"
	"lovageshift/wire"
)

const (
	// An entry from which no state update has been received for this long is not live: it may have stopped, or be cut off
	// and still running.
	liveTimeoutMillis lovageshift.Millis = 700
	// An entry from which no state update has been received for this long is removed from the list, if more than half of
	// the known entries are live.
	forgetMillis lovageshift.Millis = 12_000
	// Most members listed in one state update, so that its size does not grow with the number of entries.
	maxListed = 24
)

// member is another entry and what its last state update contained.
type member struct {
	address     netip.Addr
	incarnation uint64
	sequence    uint64
	receivedAt  lovageshift.Millis // when its last state update was received; 0 before the first
	learnedAt   lovageshift.Millis // when it was added to the list
	leaving     bool
	// sentAt is the time on the member's clock at which it sent its last state update. The next state update to the member
	// echoes it.
	sentAt   uint64
	accounts map[uint32]*wire.AccountUse // its use of client accounts, by account hash
}

// MemberCounts holds the numbers of known and of live entries at one moment, this one included.
type MemberCounts struct {
	// Known is the number of entries that may be running, whether or not they can be reached.
	Known int
	// Live is the number of known entries from which a state update was received within the last 700 ms, plus this one.
	Live int
}

// members is the list of the other entries.
type members struct {
	self   netip.Addr
	others map[netip.Addr]*member
	// seedCount is the number of seeds, the entries named in the settings. MemberCounts.Known is at least this
	// number, unless fewer entries are listed.
	seedCount int
	// receivedAny is set once a state update has been received from any other entry.
	receivedAny bool
}

func newMembers(self netip.Addr) *members {
	return &members{self: self, others: map[netip.Addr]*member{}}
}

// learn returns the member at an address and adds it to the list if it is new. The address is a seed, was named by another
// entry or is that of a sender. Learn returns nil for this entry's own address and for an invalid one.
func (m *members) learn(now lovageshift.Millis, address netip.Addr) *member {
	if address == m.self || !address.IsValid() {
		return nil
	}
	other := m.others[address]
	if other == nil {
		other = &member{address: address, learnedAt: now}
		m.others[address] = other
	}
	return other
}

// counts returns the numbers of known and of live entries. A member that is leaving counts as neither. A member from which
// no state update was ever received counts as known only until one has been received from any member. In every case,
// Known is at least the number of seeds or, if that is lower, the number of all listed members plus this entry.
func (m *members) counts(now lovageshift.Millis) MemberCounts {
	counts := MemberCounts{Known: 1, Live: 1}
	for _, other := range m.others {
		if other.leaving || (other.receivedAt == 0 && m.receivedAny) {
			continue
		}
		counts.Known++
		if other.receivedAt > 0 && now-other.receivedAt < liveTimeoutMillis {
			counts.Live++
		}
	}
	counts.Known = max(counts.Known, min(m.seedCount, len(m.others)+1))
	return counts
}

// expire removes the members from which no state update has been received for more than forgetMillis. For a member that
// has sent none yet, the time counts from when it was added. It removes none unless more than half of the known entries
// are live: an entry that is cut off with a minority must assume that all others are still running.
func (m *members) expire(now lovageshift.Millis) {
	counts := m.counts(now)
	if counts.Live*2 <= counts.Known {
		return
	}
	for address, other := range m.others {
		last := max(other.receivedAt, other.learnedAt)
		if now-last > forgetMillis {
			delete(m.others, address)
		}
	}
}

// recent returns the addresses to list in a state update: those of at most maxListed members that are not leaving and
// from which a state update was received within half of forgetMillis. If there are more, the choice differs from call to
// call, so that a receiver learns of all in time. As half of forgetMillis is shorter than forgetMillis, a stopped member
// is normally no longer listed by the time other entries remove it, and so is not added again.
func (m *members) recent(now lovageshift.Millis) []netip.Addr {
	var addresses []netip.Addr
	for address, other := range m.others { // the order of a map differs from call to call
		if len(addresses) == maxListed {
			break
		}
		if other.receivedAt > 0 && now-other.receivedAt < forgetMillis/2 && !other.leaving {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
