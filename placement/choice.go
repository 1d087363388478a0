package placement

import (
	"math/rand/v2"
	"slices"

	"lovageshift"
)

const (
	// A refused request is told to come back after this many times the wait that it would have had.
	retryFactor = 2
	// When to come back at the earliest and at the latest.
	retryMin lovageshift.Millis = 600
	retryMax lovageshift.Millis = 3000
	// A target with more failures than this is used only if all others are as bad.
	failingLimit = 0.3
	// What crossing to another zone costs, in parts of a full target.
	zoneCost = 0.1
	// How much a failing target's cost rises with its share of failures.
	failingWeight = 4
)

// choose returns the target for a ticket's job, or nil if none has room.
func (d *Scheduler) choose(now lovageshift.Millis, ticket *Waiter) *target {
	var best *target
	var least float64
	for _, known := range d.groups[ticket.group] {
		if !d.open(now, known, ticket) {
			continue
		}
		cost := cost(now, known, ticket.job)
		if best == nil || cost < least {
			best, least = known, cost
		}
	}
	return best
}

// open reports whether the target may get the job now.
func (d *Scheduler) open(now lovageshift.Millis, known *target, ticket *Waiter) bool {
	switch {
	case now < known.restUntil:
		return false
	case known.mayBeCold(now) && !(ticket.keeper && d.quorum && known.coldRoom(now, d.coldLimit(known))):
		return false
	case known.running() >= known.places():
		return false
	default:
		return !slices.Contains(ticket.job.Tried, HashOf(known.ID))
	}
}

func (d *Scheduler) coldLimit(known *target) int {
	all := known.service.ColdPerSecond*d.bounds.ColdOvershoot + d.bounds.ColdSlack
	return max(int(all*coldShare), 1)
}

// cost is what the job would cost at the target: its time to the first event, and its load.
func cost(now lovageshift.Millis, known *target, job *Job) float64 {
	cost := float64(known.running()+1)/float64(known.slots()) + known.firstEvent(job.PromptTokens)/float64(max(job.Objective, 1))
	if known.Zone != job.Zone {
		cost += zoneCost
	}
	if share := known.failures(now); share > 0.05 {
		cost *= 1 + failingWeight*share
		if share > failingLimit {
			cost += 10
		}
	}
	return cost
}

// refuse tells when there is probably room, spread so that those refused together do not return together.
func (d *Scheduler) refuse(now lovageshift.Millis, group GroupID, job *Job, expected lovageshift.Millis, ahead int) *Refusal {
	reason := lovageshift.ReasonShed
	if len(d.groups[group]) == 0 {
		reason = lovageshift.ReasonNoTarget
	}
	after := min(max(retryFactor*expected, retryMin), retryMax)
	spread := lovageshift.Millis(rand.Int64N(int64(after)/2 + 1))
	return &Refusal{
		Reason: reason, RetryAfter: after - after/4 + spread, Waited: now - job.Arrived, ExpectedWait: expected, Ahead: ahead,
	}
}
