package placement

import (
	"slices"

	"lovageshift"
)

const (
	// Grants and arrivals are counted over a sliding window of this length, in steps of rateStep.
	rateWindow lovageshift.Millis = 1000
	rateStep   lovageshift.Millis = 100
	rateSteps                     = int64(rateWindow / rateStep)
	// When a request is granted without being promoted, each less urgent rank earns this share of its work as credit. The
	// cost to urgent requests is small, and less urgent ones are not starved in a long overload.
	guaranteedShare = 0.025
	// Lower bounds of the rate at which slots are assumed to come free for a request: as a share of the rate of all
	// grants, and in slots a second.
	minRateShare = 0.02
	minRate      = 0.1
	// The guaranteed share is granted in whole requests, so a request may wait for it up to this many times the average.
	guaranteedWaitFactor = 2
	// The most credit that a rank can have, in multiples of the work of the request that earned it last.
	maxCredit = 2
	// An engine reads about this many prompt tokens in the time in which it makes one output token.
	promptPerOutput = 500
)

// queue holds a group's waiting requests in the order in which they get slots: promoted ones first, then by rank.
// Within a rank, those that were not refused before are first, as they can still meet their objective; then the order
// of submission decides.
type queue struct {
	waiters []*Waiter
	// grants counts the granted requests, grantedWork sums up their work as estimated by workOf.
	grants      rateMeter
	grantedWork rateMeter
	// arrivals counts the submitted requests of each rank.
	arrivals map[lovageshift.Rank]*rateMeter
	// credit is the guaranteed work that each rank has earned and not used, in output tokens.
	credit map[lovageshift.Rank]float64
}

func newQueue() *queue {
	return &queue{arrivals: map[lovageshift.Rank]*rateMeter{}, credit: map[lovageshift.Rank]float64{}}
}

func (q *queue) push(now lovageshift.Millis, w *Waiter) {
	rank := w.job.Rank
	if q.arrivals[rank] == nil {
		q.arrivals[rank] = &rateMeter{}
	}
	q.arrivals[rank].add(now, 1)
	q.insert(w)
}

func (q *queue) insert(w *Waiter) {
	at, _ := slices.BinarySearchFunc(q.waiters, w, compareWaiters)
	q.waiters = slices.Insert(q.waiters, at, w)
}

// workOf estimates how long a job holds its slot, in multiples of the time that an engine takes for one output token.
func workOf(job *Job) float64 {
	return 1 + float64(job.OutputTokens) + float64(job.PromptTokens)/promptPerOutput
}

// recordGrant counts a grant. Unless the request was promoted, it credits the less urgent ranks with their guaranteed
// share of its work.
func (q *queue) recordGrant(now lovageshift.Millis, w *Waiter) {
	work := workOf(w.job)
	q.grants.add(now, 1)
	q.grantedWork.add(now, int(work))
	if w.promoted {
		return
	}
	for rank := range q.arrivals {
		if rank > w.job.Rank {
			q.credit[rank] = min(q.credit[rank]+work*guaranteedShare, work*maxCredit)
		}
	}
}

// promote moves the first request of each rank to the front if the rank's credit covers the request's work, and repeats
// this while any credit suffices. The request at the front of the queue needs no promotion.
func (q *queue) promote() {
	for {
		var chosen *Waiter
		for i, w := range q.waiters {
			first := i > 0 && q.waiters[i-1].job.Rank < w.job.Rank
			if first && !w.promoted && workOf(w.job) <= q.credit[w.job.Rank] {
				chosen = w
				break
			}
		}
		if chosen == nil {
			return
		}
		q.credit[chosen.job.Rank] -= workOf(chosen.job)
		q.remove(chosen)
		chosen.promoted = true
		q.insert(chosen)
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
		return int(a.job.Rank - b.job.Rank)
	case a.job.RefusedBefore != b.job.RefusedBefore:
		if b.job.RefusedBefore {
			return -1
		}
		return 1
	case a.number < b.number:
		return -1
	case a.number > b.number:
		return 1
	default:
		return 0
	}
}

func (q *queue) remove(w *Waiter) {
	if at := slices.Index(q.waiters, w); at >= 0 {
		q.waiters = slices.Delete(q.waiters, at, at+1)
	}
}

// removeIf visits the waiters in order and removes those for which the function returns true.
func (q *queue) removeIf(visit func(*Waiter) bool) {
	if len(q.waiters) > 0 {
		q.waiters = slices.DeleteFunc(q.waiters, visit)
	}
}

// expectedWait estimates how long a job will wait behind ahead others, of which aheadOfSameRank have its rank. Slots
// come free at the rate of the last second, and more urgent requests that arrive meanwhile take theirs first. The
// guaranteed share of the job's rank may give it a slot earlier.
func (q *queue) expectedWait(now lovageshift.Millis, job *Job, ahead, aheadOfSameRank int) lovageshift.Millis {
	all := q.grants.perSecond(now)
	available := all
	for rank, arrivals := range q.arrivals {
		if rank < job.Rank {
			available -= arrivals.perSecond(now)
		}
	}
	// Even if more urgent requests take all slots, some of those requests leave the queue early.
	available = max(available, minRateShare*all, minRate)
	wait := float64(ahead+1) / available
	if guaranteed := q.grantedWork.perSecond(now) * guaranteedShare / workOf(job); guaranteed > 0 {
		wait = min(wait, guaranteedWaitFactor*float64(aheadOfSameRank+1)/guaranteed)
	}
	return lovageshift.Millis(wait * 1000)
}

// rateMeter sums amounts over the last rateWindow, which it divides into steps.
type rateMeter struct {
	step   int64          // number of the newest step, counted from time 0
	counts [rateSteps]int // sum of each step, at its number modulo rateSteps
}

// advance clears the steps that have left the window.
func (m *rateMeter) advance(now lovageshift.Millis) {
	step := int64(now / rateStep)
	for next := max(m.step+1, step-rateSteps+1); next <= step; next++ {
		m.counts[next%rateSteps] = 0
	}
	m.step = max(step, m.step)
}

func (m *rateMeter) add(now lovageshift.Millis, amount int) {
	m.advance(now)
	m.counts[m.step%rateSteps] += amount
}

func (m *rateMeter) perSecond(now lovageshift.Millis) float64 {
	m.advance(now)
	total := 0
	for _, count := range m.counts {
		total += count
	}
	return float64(total) / rateWindow.Seconds()
}
