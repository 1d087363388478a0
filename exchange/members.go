package exchange

import (
	"net/netip"

	"lovageshift"
	"lovageshift/wire"
)

const (
	// An entry from which nothing has been received for this long is not live: it may have stopped, or be cut off and
	// still running.
	liveTimeoutMillis lovageshift.Millis = 700
	// An entry from which nothing has been received for this long is removed, if most entries are live.
	forgetMillis lovageshift.Millis = 12_000
	// Members listed in one datagram, so that its size does not grow with the number of entries.
	maxListed = 24
)

// member is another entry.
type member struct {
	address     netip.Addr
	incarnation uint64
	sequence    uint64
	receivedAt  lovageshift.Millis // last state update; 0 before the first
	learnedAt   lovageshift.Millis // when its address was first learned
	leaving     bool
	// sentAt is the member's own time in its last state update, which is echoed to it.
	sentAt   uint64
	accounts map[uint32]*wire.AccountUse // last reported use, by account hash
}

// MemberCounts is the number of entries at one moment, this one included.
type MemberCounts struct {
	// Known is the number of entries that may be running.
	Known int
	// Live is the number of these from which a state update was received within the last 700 ms.
	Live int
}

// members is the list of the other entries.
type members struct {
	self   netip.Addr
	others map[netip.Addr]*member
	// seedCount is the number of entries named in the settings, which is the least that may be running before anything
	// has been received.
	seedCount int
	// receivedAny is set once a state update has been received from any other entry.
	receivedAny bool
}

func newMembers(self netip.Addr) *members {
	return &members{self: self, others: map[netip.Addr]*member{}}
}

// learn returns the member at an address, which the settings or another entry named, and adds it if it is new. It
// returns nil for this entry's own address and for an invalid one.
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

// counts counts the members that are not leaving. One from which nothing was ever received counts as known only until a
// state update has been received from any other. Known is at least the number of seeds, or of all listed entries if
// these are fewer.
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

// expire removes members from which nothing has been received for forgetMillis. It removes none unless more than half
// of the known entries are live: an entry cut off with a minority must assume that all others are still running.
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

// recent returns the addresses of at most maxListed members that are not leaving and were received from within half of
// forgetMillis. If there are more, the choice differs from call to call.
func (m *members) recent(now lovageshift.Millis) []netip.Addr {
	var addresses []netip.Addr
	for address, other := range m.others { // map order differs from call to call
		if len(addresses) == maxListed {
			break
		}
		if other.receivedAt > 0 && now-other.receivedAt < forgetMillis/2 && !other.leaving {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
