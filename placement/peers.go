package placement

import (
	"net/netip"

	"lovageshift"
)

// peerLoad counts the requests of one other entry at a target.
type peerLoad struct {
	reserved int // slots that this entry granted to the other one
	reported PeerRunning
	// confirmedAt is the last time at which reserved was found to be no more than was reported.
	confirmedAt lovageshift.Millis
}

// PeerRunning is the number of requests that another entry has at a target, as its last state update reports.
type PeerRunning struct {
	Running int
	// GrantedHere is how many of them have a slot that this entry granted, UnknownGrants if the other entry does not
	// report that.
	GrantedHere int
}

// UnknownGrants stands for an unknown PeerRunning.GrantedHere.
const UnknownGrants = -1

// count returns the number of the other entry's requests at the target. This entry knows of the slots that it granted
// itself sooner than the other entry reports them: many requests end before the next state update. So only the others are
// counted as reported. If the other entry does not tell them apart, the count is the larger of reserved and reported.
func (l *peerLoad) count() int {
	if l.reported.GrantedHere == UnknownGrants {
		return max(l.reserved, l.reported.Running)
	}
	return l.reserved + max(l.reported.Running-l.reported.GrantedHere, 0)
}

// confirmed returns how many slots granted by this entry the other entry reports.
func (l *peerLoad) confirmed() int {
	if l.reported.GrantedHere == UnknownGrants {
		return l.reported.Running
	}
	return l.reported.GrantedHere
}

// updatePeer applies the update to another entry's load at the target and adjusts peerRunning.
func (t *targetState) updatePeer(now lovageshift.Millis, from netip.Addr, update func(*peerLoad)) {
	l := t.peers[from]
	if l == nil {
		l = &peerLoad{confirmedAt: now}
		t.peers[from] = l
	}
	t.peerRunning -= l.count()
	update(l)
	t.peerRunning += l.count()
	if l.reserved <= l.confirmed() {
		l.confirmedAt = now
	}
	if l.count() == 0 {
		delete(t.peers, from)
	}
}

func (t *targetState) releaseGranted(granter netip.Addr) {
	t.ownByGranter[granter]--
	if t.ownByGranter[granter] == 0 {
		delete(t.ownByGranter, granter)
	}
}

// OwnLoad is the number of this entry's requests at a target.
type OwnLoad struct {
	Running int
	// Granted is how many of them have a slot that the entry at Granter granted: of the other entries the one that granted
	// most. Both are zero if this entry assigned all of them itself.
	Granter netip.Addr
	Granted int
}

// OwnRunning returns this entry's requests at each target that has any, as its state updates report them.
func (s *Scheduler) OwnRunning() map[TargetHash]OwnLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running := map[TargetHash]OwnLoad{}
	for hash, t := range s.byHash {
		if t.own == 0 {
			continue
		}
		load := OwnLoad{Running: t.own}
		for granter, count := range t.ownByGranter {
			if count > load.Granted {
				load.Granter, load.Granted = granter, count
			}
		}
		running[hash] = load
	}
	return running
}

// ColdRemaining returns how much longer each target stays cold according to this entry's view, in milliseconds; targets
// that are not cold are left out. It does not include maybeColdUntil, as entries would then keep repeating each other's
// reports after the target had stopped being cold.
func (s *Scheduler) ColdRemaining(now lovageshift.Millis) map[TargetHash]lovageshift.Millis {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cold := map[TargetHash]lovageshift.Millis{}
	for hash, t := range s.byHash {
		if t.service.ColdPerSecond > 0 && t.ColdUntil > now {
			cold[hash] = t.ColdUntil - now
		}
	}
	return cold
}

// MergeCold records the result of another entry's ColdRemaining, as that entry's view may be newer than this one's.
func (s *Scheduler) MergeCold(now lovageshift.Millis, cold map[TargetHash]lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for hash, left := range cold {
		if t := s.byHash[hash]; t != nil {
			t.maybeColdUntil = max(t.maybeColdUntil, now+left)
		}
	}
}

// UpdatePeer records how many requests another entry has at each target, as its state update reports. Reservations of
// that entry are dropped if for longer than unconfirmedMillis it has reported fewer requests at their target than it
// has reserved there.
func (s *Scheduler) UpdatePeer(now lovageshift.Millis, from netip.Addr, running map[TargetHash]PeerRunning) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peerSeenAt[from] = now
	for hash, t := range s.byHash {
		reported := running[hash]
		load := t.peers[from]
		if load == nil && reported.Running == 0 {
			continue
		}
		t.updatePeer(now, from, func(l *peerLoad) { l.reported = reported })
		if load != nil && load.reserved > load.confirmed() && now-load.confirmedAt > unconfirmedMillis {
			s.dropReservations(now, t, from, load.reserved-load.confirmed())
		}
	}
	s.assignAll(now, noWaiter)
}

func (s *Scheduler) forgetPeer(now lovageshift.Millis, from netip.Addr) {
	delete(s.peerSeenAt, from)
	for key := range s.reservations {
		if key.from == from {
			s.dropReservation(key)
		}
	}
	for _, t := range s.byHash {
		if t.peers[from] != nil {
			t.updatePeer(now, from, func(l *peerLoad) { *l = peerLoad{} })
		}
	}
}
