package placement

import (
	"cmp"
	"slices"

	"lovageshift"
	"lovageshift/fairshare"
	"lovageshift/quota"
)

const (
	// Weight of requests without an account, of accounts without a rate, and of requests from entries that send no weight:
	// that of an account with the mean rate.
	meanWeight = 1.0
	// Bounds of the weight of an account.
	minWeight = 1e-3
	maxWeight = 1e3
	// The count of an account without a request for this long is dropped. A caller repeats a refused request sooner, so an
	// account that exceeds its share loses its count only by sending less.
	accountTTL lovageshift.Millis = 10_000
)

// sharing divides the slots that a group gives to the requests of one rank among the client accounts, by their weights.
// Each account counts what it was served; the unit is the work of a request (see workOf) divided by the account's weight.
// The floor is what the account of the request granted last had been served before that grant.
type sharing struct {
	*fairshare.Tally[quota.AccountHash]
}

// weightOf returns the job's weight within its bounds.
func weightOf(job *Job) float64 {
	if !(job.Weight > 0) { // also if it is not a number
		return meanWeight
	}
	return min(max(job.Weight, minWeight), maxWeight)
}

// enterShares adds a waiter to those of its account.
func (q *queue) enterShares(now lovageshift.Millis, w *Waiter) {
	rank := w.job.Rank
	if q.shares[rank] == nil {
		q.shares[rank] = &sharing{fairshare.NewTally[quota.AccountHash]()}
	}
	w.share = q.shares[rank]
	w.account = w.share.Enter(now, w.owner)
	w.charge = workOf(w.job) / w.weight
}

// leaveShares removes a waiter that leaves the queue from those of its account.
func (w *Waiter) leaveShares() { w.share.Leave(w.owner) }

// chargeShare counts the work of a waiter that gets a slot, or is promoted, as served to its account that many times. The
// floor follows the grants in the order of the queue and the promotions by credit, which are in the order of the rank. It does
// not follow those of streams that go on: an account with many of them may be far above its share, and the accounts that were
// idle meanwhile are not.
func (w *Waiter) chargeShare(times float64) { w.share.Add(w.owner, times*w.charge) }

// arrange sets queue.order by the waiters. Where a rank had requests of one account only lately, that is the order of
// compareWaiters. A grant to the first of them changes nothing for the others: their account will have been served as much
// before them.
func (q *queue) arrange() {
	if q.arranged {
		return
	}
	q.arranged = true
	q.order = append(q.order[:0], q.waiters...)
	arrangeRanks(q.order)
}

// arrangeRanks arranges waiters that are in the order of compareWaiters.
func arrangeRanks(waiters []*Waiter) {
	for rest := waiters; len(rest) > 0; {
		first, end := rest[0], 0
		several := first.share.Len() > 1
		for ; end < len(rest) && rest[end].promoted == first.promoted && rest[end].job.Rank == first.job.Rank; end++ {
			rest[end].servedBefore = 0
			several = several || rest[end].account != first.account // also if one of them has not entered, see peekShares
		}
		if several && !first.promoted {
			first.share.arrange(rest[:end])
		}
		rest = rest[end:]
	}
}

// arrange orders the waiters of one rank, which are in the order of compareWaiters, by what their accounts will have been
// served before them. Requests of one account keep their order. So a request that was refused before goes after the others
// of its account, but not after all those of accounts that were served more.
func (s *sharing) arrange(waiters []*Waiter) {
	for _, w := range waiters {
		w.account.ClearAhead()
	}
	for _, w := range waiters {
		w.servedBefore = w.account.PutAhead(w.charge)
	}
	slices.SortFunc(waiters, compareShares)
}

// peekShares sets the fields of a waiter that enterShares would set if it were pushed now, without adding it to its account.
func (q *queue) peekShares(w *Waiter) {
	w.share = q.shares[w.job.Rank]
	if w.share == nil {
		w.share = &sharing{fairshare.NewTally[quota.AccountHash]()}
	}
	w.account = w.share.Peek(w.owner)
	w.charge = workOf(w.job) / w.weight
}

// aboveShare reports whether the waiter's account will have been served more than its share before it, if its rank had
// requests of other accounts lately. An account within its share may be ahead of the floor by the last request that it was
// served.
func (w *Waiter) aboveShare() bool { return w.servedBefore > w.share.Floor()+w.charge }

func compareShares(a, b *Waiter) int {
	if a.isSpare() == b.isSpare() && a.servedBefore != b.servedBefore {
		return cmp.Compare(a.servedBefore, b.servedBefore)
	}
	return compareWaiters(a, b)
}

// evictAccounts drops the counts of accounts without recent requests.
func (s *Scheduler) evictAccounts(now lovageshift.Millis) {
	for _, q := range s.queues {
		for rank, share := range q.shares {
			share.Evict(now - accountTTL)
			if share.Len() == 0 {
				delete(q.shares, rank)
			}
		}
	}
}
