package placement

import (
	"cmp"
	"slices"

	"lovageshift"
)

const (
	// When a request gets a slot without being promoted, every less urgent rank (one of a higher number) is credited
	// with this share of the request's work (see workOf). The cost to urgent requests is small, and less urgent ones
	// are not starved in a long overload.
	guaranteedShare = 0.025
	// Lower bounds of the rate at which a request is assumed to be offered free slots (see queue.expectedWait): as a
	// share of the rate of all grants, and in slots a second.
	minRateShare = 0.02
	minRate      = 0.1
	// A request gets a slot by the guaranteed share of its rank only when the rank's credit covers all of the request's
	// work, so its wait may be up to this many times the average that follows from the share.
	guaranteedWaitFactor = 2
	// The most credit that a rank can have, in multiples of the work of the request by whose grant it was last
	// credited.
	maxCredit = 2
	// An engine processes about this many prompt tokens in the time in which it generates one output token.
	promptPerOutput = 500
)

// queue holds a group's waiting requests. They get slots in this order: promoted ones first (see promote), then by rank,
// the smallest number first. Within a rank, the accounts that were served the least for their weight are first (see
// sharing); those that do not wait are last (see Waiter.isSpare). Of one account, requests that were not refused before are
// first, as they can still meet their objective; then the order of submission decides.
type queue struct {
	// waiters holds the requests in that order, but for the accounts (see compareWaiters).
	waiters []*Waiter
	// order holds the waiters in the whole order if arranged is set, see arrange.
	order    []*Waiter
	arranged bool
	// shares divides the slots of each rank among the accounts.
	shares map[lovageshift.Rank]*sharing
	// resuming is the share of the requests that go on with streams.
	resuming resumingShare
	// grants counts the requests that got a slot, grantedWork sums up their work as estimated by workOf.
	grants      rateMeter
	grantedWork rateMeter
	// arrivals counts the submitted requests of each rank.
	arrivals map[lovageshift.Rank]*rateMeter
	// credit is the work that each rank is guaranteed and has not used yet, in the unit of workOf. A rank with enough
	// credit gets a slot before more urgent ranks.
	credit map[lovageshift.Rank]float64
}

func newQueue() *queue {
	return &queue{
		shares:   map[lovageshift.Rank]*sharing{},
		arrivals: map[lovageshift.Rank]*rateMeter{}, credit: map[lovageshift.Rank]float64{},
	}
}

func (q *queue) push(now lovageshift.Millis, w *Waiter) {
	rank := w.job.Rank
	if q.arrivals[rank] == nil {
		q.arrivals[rank] = &rateMeter{}
	}
	q.arrivals[rank].add(now, 1)
	q.resuming.recordArrival(now, w)
	q.enterShares(now, w)
	q.insert(w)
}

func (q *queue) insert(w *Waiter) {
	q.arranged = false
	at, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, at, w)
}

// workOf estimates how long a job holds its slot, in multiples of the time that an engine takes for one output token.
func workOf(job *Job) float64 {
	output := job.ExpectedOutput
	if output == 0 {
		output = job.OutputTokens
	}
	return 1 + float64(output) + float64(job.PromptTokens)/promptPerOutput
}

// recordGrant counts the slot given to a request, for its account too. Unless the request was promoted, it credits each less
// urgent rank that has submitted requests so far with guaranteedShare of the request's work.
func (q *queue) recordGrant(now lovageshift.Millis, w *Waiter) {
	work := workOf(w.job)
	q.grants.add(now, 1)
	q.grantedWork.add(now, int(work))
	if !w.promoted {
		w.share.RaiseFloor(w.account.Served())
		w.chargeShare(1)
	}
	if !w.job.Resumes {
		if !w.isSpare() {
			q.resuming.grants.add(now, 1)
		}
	} else if !w.promoted {
		q.resuming.settle(w)
	}
	if w.promoted {
		return
	}
	for rank := range q.arrivals {
		if rank > w.job.Rank {
			q.credit[rank] = min(q.credit[rank]+work*guaranteedShare, work*maxCredit)
		}
	}
}

// promote makes the first request of a rank one of the promoted ones, which are at the front, if the rank's credit
// covers the request's work, and deducts the work from the credit. It considers only requests directly behind one of a
// more urgent rank, as the others are not delayed by that rank. It repeats this until no credit suffices.
func (q *queue) promote() {
	for {
		var chosen *Waiter
		for i, w := range q.order {
			first := i > 0 && q.order[i-1].job.Rank < w.job.Rank
			if first && !w.promoted && !w.isSpare() && workOf(w.job) <= q.credit[w.job.Rank] {
				chosen = w
				break
			}
		}
		if chosen == nil {
			return
		}
		chosen.credited = workOf(chosen.job)
		q.credit[chosen.job.Rank] -= chosen.credited
		chosen.share.RaiseFloor(chosen.account.Served())
		q.putFirst(chosen)
	}
}

// putFirst makes a waiter one of the promoted ones, and counts its work as served to its account, so that the next one of its
// rank may be that of another account.
func (q *queue) putFirst(w *Waiter) {
	q.resuming.settle(w)
	w.chargeShare(1)
	q.remove(w)
	w.promoted = true
	q.insert(w)
	q.arrange()
}

// takeBack reverts what was counted for a promoted waiter that leaves the queue without a slot.
func (q *queue) takeBack(w *Waiter) {
	if w.promoted {
		w.chargeShare(-1)
		q.credit[w.job.Rank] += w.credited
	}
}

func compareWaiters(a, b *Waiter) int {
	switch {
	case a.promoted != b.promoted:
		if a.promoted {
			return -1
		}
		return 1
	case a.job.Rank != b.job.Rank:
		return cmp.Compare(a.job.Rank, b.job.Rank)
	case a.isSpare() != b.isSpare():
		if b.isSpare() {
			return -1
		}
		return 1
	case a.job.RefusedBefore != b.job.RefusedBefore:
		if b.job.RefusedBefore {
			return -1
		}
		return 1
	default:
		return cmp.Compare(a.number, b.number)
	}
}

func (q *queue) remove(w *Waiter) {
	q.arranged = false
	if at := slices.Index(q.waiters, w); at >= 0 {
		q.waiters = slices.Delete(q.waiters, at, at+1)
	}
}

// removeIf calls visit for the waiters in the order of arrange, which must have been called, and removes those for which it
// returns true. The others stay arranged if these were the first, were not promoted and got slots.
func (q *queue) removeIf(visit func(*Waiter) (remove, granted bool)) {
	removed := 0
	for i, w := range q.order {
		remove, granted := visit(w)
		if remove {
			w.leaveShares()
			q.arranged = q.arranged && granted && !w.promoted && i == removed
			removed++
		}
	}
	if removed > 0 {
		isDone := func(w *Waiter) bool { return w.done }
		q.waiters, q.order = slices.DeleteFunc(q.waiters, isDone), slices.DeleteFunc(q.order, isDone)
	}
}

// expectedWait estimates how much longer a job will wait behind ahead others, of which aheadOfSameRank have its rank.
// It assumes that slots come free at the rate at which they were granted in the last second, or at the rate freed a second
// if that is known and lower, or there was no grant, and that more urgent requests keep arriving at the rate of the last
// second and get those slots first. The guaranteed share of the job's rank may shorten the wait.
func (q *queue) expectedWait(now lovageshift.Millis, job *Job, ahead, aheadOfSameRank int, freed float64) lovageshift.Millis {
	granted := q.grants.perSecond(now)
	all := granted
	switch {
	case freed > 0 && granted == 0: // all slots were taken earlier
		all = freed
	case freed > 0:
		all = min(all, freed)
	}
	available := all
	for rank, arrivals := range q.arrivals {
		if rank < job.Rank {
			available -= arrivals.perSecond(now)
		}
	}
	// Even if more urgent requests arrive at a higher rate than slots come free, not all of them get a slot: some leave
	// the queue early, canceled or refused.
	available = max(available, minRateShare*all, minRate)
	wait := float64(ahead+1) / available
	if guaranteed := q.grantedWork.perSecond(now) * all / max(granted, 1) * guaranteedShare / workOf(job); guaranteed > 0 {
		wait = min(wait, guaranteedWaitFactor*float64(aheadOfSameRank+1)/guaranteed)
	}
	return lovageshift.Millis(wait * 1000)
}
