package exchange

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"slices"

	"lovageshift"
	"lovageshift/wire"
)

const (
	// Entries pass on only this many of the lower bits of a state update's sequence. At ten updates a second they repeat
	// after half an hour.
	heartbeatBits = 14
	heartbeatMask = 1<<heartbeatBits - 1
	// A state update lists a quarter of the members, but at least minListed. Each heartbeat then becomes known everywhere
	// within the live timeout, at up to a thousand entries, and datagrams stay small.
	listedShare = 4
	minListed   = 64
	// A heartbeat that was passed on may be ahead of the member's last own state update by the updates that the member can
	// have sent since then, and by this many. One that is further ahead stems from an earlier incarnation.
	maxAhead = 20
)

// beat records that the member was running when it sent the state update with the sequence.
func (o *member) beat(now lovageshift.Millis, sequence uint64) {
	o.heartbeat, o.aliveAt = sequence, now
}

// passedOn applies a heartbeat that another entry passed on: the lower bits of the sequence of a state update. It does
// nothing if the heartbeat is not newer than the newest known one.
func (o *member) passedOn(now lovageshift.Millis, bits uint32) {
	if o.aliveAt == 0 {
		o.beat(now, uint64(bits))
		return
	}
	ahead := (uint64(bits) - o.heartbeat) & heartbeatMask
	if ahead == 0 || ahead > heartbeatMask/2 {
		return
	}
	sequence := o.heartbeat + ahead
	if o.receivedAt > 0 {
		possible := o.sequence + uint64((now-o.receivedAt)/sendIntervalMillis) + maxAhead
		if sequence > possible {
			return
		}
	}
	o.beat(now, sequence)
}

// list adds some members and their newest heartbeats to a state update: those that are not leaving and of which a newer
// heartbeat became known within the last forgetMillis/2. It begins at a random member, so that over several updates a
// receiver learns of all of them. Other entries remove a stopped member only after forgetMillis. By then this entry
// normally no longer lists it, so they do not add it again.
func (m *members) list(now lovageshift.Millis, update *wire.EntryNews) {
	if len(m.sorted) == 0 {
		return
	}
	count := max(minListed, len(m.sorted)/listedShare)
	first := rand.IntN(len(m.sorted))
	last := uint32(0)
	for i := range m.sorted {
		other := m.others[m.sorted[(first+i)%len(m.sorted)]]
		if other.aliveAt == 0 || now-other.aliveAt >= forgetMillis/2 || other.leaving {
			continue
		}
		number := IPv4Number(other.address)
		update.MemberSteps = append(update.MemberSteps, number-last)
		update.MemberSequences = append(update.MemberSequences, uint32(other.heartbeat&heartbeatMask))
		last = number
		if len(update.MemberSteps) == count {
			return
		}
	}
}

// learnListed adds the members that a state update lists and applies their heartbeats.
func (m *members) learnListed(now lovageshift.Millis, update *wire.EntryNews) {
	for _, number := range update.Members {
		m.learn(now, IPv4Address(number))
	}
	number := uint32(0)
	for i, step := range update.MemberSteps {
		number += step
		if other := m.learn(now, IPv4Address(number)); other != nil && i < len(update.MemberSequences) {
			other.passedOn(now, update.MemberSequences[i])
		}
	}
}

// insertSorted adds an address to the sorted list of members.
func (m *members) insertSorted(address netip.Addr) {
	at, _ := slices.BinarySearchFunc(m.sorted, address, netip.Addr.Compare)
	m.sorted = slices.Insert(m.sorted, at, address)
}

// IPv4Number returns an IPv4 address as the number that stands for it in messages, 0 for an invalid address.
func IPv4Number(address netip.Addr) uint32 {
	if !address.Is4() {
		return 0
	}
	octets := address.As4()
	return binary.BigEndian.Uint32(octets[:])
}

// IPv4Address returns the address for which the number stands.
func IPv4Address(number uint32) netip.Addr {
	var octets [4]byte
	binary.BigEndian.PutUint32(octets[:], number)
	return netip.AddrFrom4(octets)
}
