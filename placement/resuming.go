package placement

import (
	"slices"

	"lovageshift"
)

// Requests that go on with streams are promoted for up to this share of the grants of the last second.
const maxResumingShare = 0.5

// resumingShare gives the requests that go on with streams slots at least as often as new requests get them, whatever the rank
// of either: targets of other versions can serve new ones, and what was done for a stream that does not go on is lost.
type resumingShare struct {
	// arrivals and grants count the submitted new requests and those that got a slot, promotions the promoted requests that go
	// on with streams.
	arrivals, grants, promotions rateMeter
	// owed is the number of grants to which the requests that go on with streams have a right, and waiting how many wait that
	// are not promoted.
	owed    float64
	waiting int
}

func (r *resumingShare) recordArrival(now lovageshift.Millis, w *Waiter) {
	if !w.job.Resumes {
		if !w.isSpare() { // it shows nothing of the new requests that wait
			r.arrivals.add(now, 1)
		}
		return
	}
	r.waiting++
	r.owed = min(r.owed+r.newShare(now), float64(r.waiting))
}

// newShare returns the share of new requests that got a slot lately.
func (r *resumingShare) newShare(now lovageshift.Millis) float64 {
	arrived := r.arrivals.perSecond(now)
	if arrived == 0 {
		return 1
	}
	return min(r.grants.perSecond(now)/arrived, 1)
}

// settle deducts a grant that a waiter gets, by promotion or in the order of the queue.
func (r *resumingShare) settle(w *Waiter) {
	if w.job.Resumes {
		r.owed = max(r.owed-1, 0)
		r.waiting--
	}
}

// recordRefusal counts a waiter that leaves the queue without a slot.
func (r *resumingShare) recordRefusal(w *Waiter) {
	if w.job.Resumes && !w.promoted {
		r.waiting--
	}
}

// promoteResuming promotes requests that go on with streams, in the order of the queue, while grants are owed to them.
func (q *queue) promoteResuming(now lovageshift.Millis) {
	r := &q.resuming
	for r.waiting > 0 && r.owed >= 1 && r.promotions.perSecond(now) <= maxResumingShare*q.grants.perSecond(now) {
		at := slices.IndexFunc(q.order, func(w *Waiter) bool { return w.job.Resumes && !w.promoted })
		if at < 0 {
			return
		}
		r.promotions.add(now, 1)
		q.putFirst(q.order[at])
	}
}
