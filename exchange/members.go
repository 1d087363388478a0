package exchange

import (
	"net/netip"

	"lovageshift"
	"lovageshift/wire"
)

const (
	// Another entry is live if a state update was received from it less than this many milliseconds ago. One that is not
	// live may have stopped, or may be cut off and still running.
	liveTimeoutMillis lovageshift.Millis = 700
	// A member from which no state update has been received for more than this many milliseconds is removed from the list,
	// if more than half of the known entries, this one included, are live.
	forgetMillis lovageshift.Millis = 12_000
	// Most addresses of members in one state update. The limit keeps its size from growing with the number of entries.
	maxListed = 24
)

// member is another entry and what its last state update contained.
type member struct {
	address     netip.Addr
	incarnation uint64             // of its last state update; random, drawn when its node was created
	sequence    uint64             // of its last state update, counted from 1 in each incarnation
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
	// Known is the number of entries that are taken to be running, whether or not they can be reached. The method
	// members.counts says which these are.
	Known int
	// Live is the number of known entries, other than those that are leaving, from which a state update was received
	// within the last 700 ms, plus this one.
	Live int
}

// members is the list of the other entries.
type members struct {
	self   netip.Addr
	others map[netip.Addr]*member
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
	}
	return other
}

// counts returns the numbers of known and of live entries. A member that is leaving counts as neither. A member from which
// no state update was ever received counts as known only as long as this entry has received none from any member. In every
// case, Known is at least the number of seeds or, if that is lower, the number of all listed members plus this entry.
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

// expire removes the members from which no state update has been received for more than forgetMillis. For a member
// from which none was ever received, the time counts from when it was added. It removes none unless more than half of the known entries
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
// from which a state update was received within the last forgetMillis/2. If there are more such members, the choice
// differs from call to call, so that over several updates a receiver learns of all of them. Other entries remove a
// stopped member only after forgetMillis. By then this entry normally no longer lists it, so they do not add it again.
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
