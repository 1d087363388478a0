package placement

import (
	"math/rand/v2"
	"slices"

	"lovageshift"
)

const (
	// A refused request is told to retry after this many times its expected wait.
	retryFactor = 2
	// The shortest and the longest such time, before it is spread at random.
	retryMin lovageshift.Millis = 600
	retryMax lovageshift.Millis = 3000
	// A target with a larger share of failures costs so much that normally it is chosen only if all other eligible ones
	// are as bad.
	failureShareLimit = 0.3
	// Added to the cost of a target in another availability zone, as a share of the load of a full target.
	crossZoneCost = 0.1
	// The cost of a failing target is multiplied by 1 plus this many times its share of failures.
	failureWeight = 4
)

// choose returns the eligible target of lowest cost for the waiter's job, or nil if no target of its group is eligible.
func (s *Scheduler) choose(now lovageshift.Millis, w *Waiter) *target {
	var best *target
	var lowest float64
	for _, t := range s.groups[w.group] {
		if !s.eligible(now, t, w) {
			continue
		}
		c := cost(now, t, w.job)
		if best == nil || c < lowest {
			best, lowest = t, c
		}
	}
	return best
}

// eligible reports whether the target may get the waiter's job now.
func (s *Scheduler) eligible(now lovageshift.Millis, t *target, w *Waiter) bool {
	switch {
	case now < t.backoffUntil:
		return false
	case t.mayBeCold(now) && !(w.mayAssignCold && s.quorum && t.belowColdLimit(now, s.coldLimit(t))):
		return false
	case t.running() >= t.capacity():
		return false
	default:
		return !slices.Contains(w.job.Tried, HashOf(t.ID))
	}
}

// coldLimit returns how many requests this entry may assign to a cold target within coldWindow.
func (s *Scheduler) coldLimit(t *target) int {
	total := t.service.ColdPerSecond*s.coldBounds.ColdOvershoot + s.coldBounds.ColdSlack
	return max(int(total*coldShare), 1)
}

// cost rates a target for the job: its load with the job as a share of its slots, plus the expected time to the first
// event as a share of the job's objective, raised for another zone and for failures.
func cost(now lovageshift.Millis, t *target, job *Job) float64 {
	total := float64(t.running()+1)/float64(t.slots()) +
		t.predictFirstEvent(job.PromptTokens)/float64(max(job.Objective, 1))
	if t.Zone != job.Zone {
		total += crossZoneCost
	}
	if share := t.failureShare(now); share > 0.05 {
		total *= 1 + failureWeight*share
		if share > failureShareLimit {
			total += 10
		}
	}
	return total
}

// newRefusal returns the refusal of a job. Its RetryAfter is the time until a slot is probably free, spread at random
// by up to a quarter either way, so that requests refused together are not repeated together.
func (s *Scheduler) newRefusal(now lovageshift.Millis, group GroupID, job *Job, expected lovageshift.Millis, ahead int) *Refusal {
	reason := lovageshift.ReasonShed
	if len(s.groups[group]) == 0 {
		reason = lovageshift.ReasonNoTarget
	}
	after := min(max(retryFactor*expected, retryMin), retryMax)
	spread := lovageshift.Millis(rand.Int64N(int64(after)/2 + 1))
	return &Refusal{
		Reason: reason, RetryAfter: after - after/4 + spread, Waited: now - job.Arrived, ExpectedWait: expected, Ahead: ahead,
	}
}
