package exchange

import (
	"net/netip"

	"lovageshift"
	"lovageshift/wire"
)

const (
	// An entry that was not heard for so long may be cut off and still at work.
	silentMillis lovageshift.Millis = 700
	// An entry that was not heard for so long is no longer counted, if most others are heard.
	goneMillis lovageshift.Millis = 12_000
	// Members that one message names, so that messages do not grow with their number.
	maxNamed = 24
)

// member is another entry.
type member struct {
	address     netip.Addr
	incarnation uint64
	sequence    uint64
	heard       lovageshift.Millis // 0 until the first message
	known       lovageshift.Millis // when its address was first learnt
	leaving     bool
	// sentAt is the member's own time of its last message.
	sentAt   uint64
	accounts map[uint32]*wire.AccountUse
}

// MemberCounts counts the entries at one moment.
type MemberCounts struct {
	// Known entries, this one included, may be at work.
	Known int
	// Live of these, this one included, were heard lately.
	Live int
}

// members is the list of the other entries.
type members struct {
	self   netip.Addr
	others map[netip.Addr]*member
	// seeds is how many entries the settings name, the least that may be at work before any is heard.
	seeds int
	// met tells that some other entry was heard since the start.
	met bool
}

func newMembers(self netip.Addr) *members {
	return &members{self: self, others: map[netip.Addr]*member{}}
}

// learn adds an address that was named by the settings or by another entry.
func (m *members) learn(now lovageshift.Millis, address netip.Addr) *member {
	if address == m.self || !address.IsValid() {
		return nil
	}
	known := m.others[address]
	if known == nil {
		known = &member{address: address, known: now}
		m.others[address] = known
	}
	return known
}

// census counts the members; an entry that never spoke counts only while this one has met nobody.
func (m *members) census(now lovageshift.Millis) MemberCounts {
	census := MemberCounts{Known: 1, Live: 1}
	for _, other := range m.others {
		if other.leaving || (other.heard == 0 && m.met) {
			continue
		}
		census.Known++
		if other.heard > 0 && now-other.heard < silentMillis {
			census.Live++
		}
	}
	census.Known = max(census.Known, min(m.seeds, len(m.others)+1))
	return census
}

// expire forgets entries that are long silent; a minority forgets nobody, as the others may all be at work.
func (m *members) expire(now lovageshift.Millis) {
	census := m.census(now)
	if census.Live*2 <= census.Known {
		return
	}
	for address, other := range m.others {
		last := max(other.heard, other.known)
		if now-last > goneMillis {
			delete(m.others, address)
		}
	}
}

// lately returns the addresses of some members heard within the time that they count, others each time.
func (m *members) lately(now lovageshift.Millis) []netip.Addr {
	var addresses []netip.Addr
	for address, other := range m.others { // in another order each time
		if len(addresses) == maxNamed {
			break
		}
		if other.heard > 0 && now-other.heard < goneMillis/2 && !other.leaving {
			addresses = append(addresses, address)
		}
	}
	return addresses
}
