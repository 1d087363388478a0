package placement

import (
	"cmp"
	"net/netip"
	"slices"

	"lovageshift"
)

// leaseKey names an ask of another entry.
type leaseKey struct {
	from netip.Addr
	id   uint64
}

// lease is a place that this entry granted to another one, or its ask that still waits.
type lease struct {
	ticket *Waiter
	target *target
	job    *Job
	at     lovageshift.Millis
	answer Reply
}

// Reply is what a keeper tells an entry that asked for a place.
type Reply struct {
	// Granted tells that Target is granted; if it is false and Refusal nil, the ask still waits.
	Granted bool
	Target  TargetHash
	Born    int64
	Running int
	Refusal *Refusal
}

// Reserve takes in another entry's ask, as Enter does for this entry's own; a repeated one is answered as before. The later
// answer to an ask that waits goes to decided, which must not call the desk.
func (d *Scheduler) Reserve(now lovageshift.Millis, from netip.Addr, id uint64, group GroupID, keeper bool, job *Job, decided func(Reply)) Reply {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	key := leaseKey{from, id}
	if known := d.leases[key]; known != nil {
		return known.answer
	}
	if _, over := d.ended[key]; over {
		// A repeated ask that was overtaken by its own end must not take a place that nobody returns.
		return Reply{Refusal: &Refusal{Reason: lovageshift.ReasonDeadline}}
	}
	d.peers[from] = max(d.peers[from], now)
	granted := &lease{job: job, at: now}
	d.leases[key] = granted
	inside := true
	granted.ticket = d.enter(now, group, keeper, job, func(chosen *target, refusal *Refusal) {
		granted.answer = Reply{Refusal: refusal}
		if chosen != nil {
			granted.target = chosen
			granted.answer = Reply{Granted: true, Target: HashOf(chosen.ID), Born: chosen.Born, Running: chosen.running()}
			chosen.change(now, from, func(s *share) { s.leases++ })
		}
		if !inside {
			decided(granted.answer)
		}
	})
	inside = false
	return granted.answer
}

// EndReservation takes back another entry's place or ask.
func (d *Scheduler) EndReservation(now lovageshift.Millis, from netip.Addr, id uint64, result Result) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	key := leaseKey{from, id}
	d.ended[key] = now
	known := d.leases[key]
	if known == nil {
		return
	}
	ended := known.target
	d.dropLease(key)
	if ended != nil {
		ended.learn(now, known.job.PromptTokens, result)
		d.serveService(now, ended.Service)
	}
}

func (d *Scheduler) dropLease(key leaseKey) {
	known := d.leases[key]
	delete(d.leases, key)
	if !known.ticket.done {
		d.withdraw(known.ticket)
	}
	if known.target != nil {
		known.target.change(known.at, key.from, func(s *share) { s.leases = max(s.leases-1, 0) })
	}
}

// dropLeases drops the oldest leases of an entry at a target, whose end was lost on the way.
func (d *Scheduler) dropLeases(now lovageshift.Millis, known *target, from netip.Addr, count int) {
	var keys []leaseKey
	for key, granted := range d.leases {
		if key.from == from && granted.target == known && now-granted.at > leaseDoubtMillis {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b leaseKey) int { return cmp.Compare(d.leases[a].at, d.leases[b].at) })
	for _, key := range keys[:min(count, len(keys))] {
		d.dropLease(key)
	}
}

// sweep drops what is only kept to answer repeated asks.
func (d *Scheduler) sweep(now lovageshift.Millis) {
	for key, at := range d.ended {
		if now-at > reportMillis {
			delete(d.ended, key)
		}
	}
	for key, known := range d.leases {
		if known.answer.Refusal != nil && now-known.at > reportMillis {
			d.dropLease(key)
		}
	}
}
