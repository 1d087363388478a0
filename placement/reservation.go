package placement

import (
	"cmp"
	"net/netip"
	"slices"

	"lovageshift"
)

// reservationKey identifies a reservation: by the entry that requested it and that entry's id for it.
type reservationKey struct {
	from netip.Addr
	id   uint64
}

// reservation is another entry's request for a slot, in the state that reply tells: waiting, granted or refused.
type reservation struct {
	waiter *Waiter
	target *targetState // nil if none is granted
	job    *Job
	at     lovageshift.Millis // when the slot was first requested
	// grantedAt is when the slot was granted, 0 if it was not.
	grantedAt lovageshift.Millis
	reply     Reply // the current answer to a repeated request
}

// Reply is the answer of an entry's scheduler, normally the coordinator's, to another entry that requested a slot.
type Reply struct {
	// Granted reports whether the slot is granted, at Target. If it is false and Refusal is nil, the request still
	// waits.
	Granted bool
	Target  TargetHash
	// Born is the time at which the target's incarnation started, as in catalog.Target.
	Born int64
	// Running is how many requests of all entries were at the target, as far as the granting entry knew, when the
	// target was chosen.
	Running int
	// KeepsLimit is set if the granting entry knows the limit that the target named.
	KeepsLimit bool
	Refusal    *Refusal
}

// Reserve handles another entry's request for a slot, as Submit does for a request of this entry. A repeated request,
// one with the same id, takes no second slot and gets the current reply. If the first reply says that the request
// waits, onDecision is called once with the decision, unless the reservation is ended or dropped before. It must not
// call the scheduler.
func (s *Scheduler) Reserve(now lovageshift.Millis, from netip.Addr, id uint64, group GroupID, role Role, job *Job, onDecision func(Reply)) Reply {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := reservationKey{from, id}
	if existing := s.reservations[key]; existing != nil {
		return existing.reply
	}
	if _, ended := s.endedAt[key]; ended {
		// This is a repeated request that arrived after the end of its reservation. A slot granted to it would never be
		// released.
		return Reply{Refusal: &Refusal{Reason: lovageshift.ReasonDeadline}}
	}
	s.peerSeenAt[from] = max(s.peerSeenAt[from], now)
	r := &reservation{job: job, at: now}
	s.reservations[key] = r
	submitting := true
	r.waiter = s.submit(now, group, role, job, false, func(at lovageshift.Millis, chosen *targetState, refusal *Refusal) {
		r.reply = Reply{Refusal: refusal}
		if chosen != nil {
			r.target, r.grantedAt = chosen, at
			r.reply = Reply{
				Granted: true, Target: HashOf(chosen.ID), Born: chosen.Born, Running: chosen.running(),
				KeepsLimit: chosen.limit.inForce(at),
			}
			chosen.updatePeer(at, from, func(l *peerLoad) { l.reserved++ })
		}
		if !submitting {
			onDecision(r.reply)
		}
	})
	submitting = false
	return r.reply
}

// EndReservation handles another entry's message that its reservation, granted or waiting, is over. A granted slot
// becomes free, and the result is recorded for its target.
func (s *Scheduler) EndReservation(now lovageshift.Millis, from netip.Addr, id uint64, result Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	key := reservationKey{from, id}
	s.endedAt[key] = now
	r := s.reservations[key]
	if r == nil {
		return
	}
	t := r.target
	s.dropReservation(key)
	if t != nil {
		t.recordHold(now, r.grantedAt)
		t.recordResult(now, r.job.PromptTokens, result)
		s.assignService(now, t.Service)
	}
}

func (s *Scheduler) dropReservation(key reservationKey) {
	r := s.reservations[key]
	delete(s.reservations, key)
	if !r.waiter.done {
		s.cancel(r.waiter)
	}
	if r.target != nil {
		r.target.updatePeer(r.at, key.from, func(l *peerLoad) { l.reserved = max(l.reserved-1, 0) })
	}
}

// dropReservations drops up to count of an entry's reservations at a target, the oldest first, whose end messages were
// probably lost. Reservations requested within the last unconfirmedMillis are kept, as the entry's state updates may
// not include their requests yet.
func (s *Scheduler) dropReservations(now lovageshift.Millis, t *targetState, from netip.Addr, count int) {
	var keys []reservationKey
	for key, r := range s.reservations {
		if key.from == from && r.target == t && now-r.at > unconfirmedMillis {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b reservationKey) int { return cmp.Compare(s.reservations[a].at, s.reservations[b].at) })
	for _, key := range keys[:min(count, len(keys))] {
		s.dropReservation(key)
	}
}

// sweep deletes end times that are older than peerTimeoutMillis, and refused reservations that were first requested
// longer ago than that, as both are only kept to answer repeated requests.
func (s *Scheduler) sweep(now lovageshift.Millis) {
	for key, at := range s.endedAt {
		if now-at > peerTimeoutMillis {
			delete(s.endedAt, key)
		}
	}
	for key, r := range s.reservations {
		if r.reply.Refusal != nil && now-r.at > peerTimeoutMillis {
			s.dropReservation(key)
		}
	}
}
