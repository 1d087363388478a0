package placement

import (
	"slices"

	"lovageshift"
)

const (
	// The cost of a target whose share of failures exceeds this limit is raised by 10, so that normally it is chosen
	// only if the shares of all other eligible targets exceed it too.
	failureShareLimit = 0.3
	// Added to the cost of a target in another availability zone than the request's entry. A full target has a load of
	// 1 in the cost.
	crossZoneCost = 0.1
	// The cost of a target whose share of failures exceeds 0.05 is multiplied by 1 plus this many times the share.
	failureWeight = 4
)

// freeTargets returns the targets of a group that are in no backoff and have capacity left.
func (s *Scheduler) freeTargets(now lovageshift.Millis, group GroupID) []*targetState {
	var free []*targetState
	for _, t := range s.groups[group] {
		if now >= t.backoffUntil && t.running() < t.capacity() {
			free = append(free, t)
		}
	}
	return free
}

// prediction tells whether a target is expected to serve a job well enough.
type prediction func(t *targetState, now lovageshift.Millis, job *Job) bool

// anyTarget is the prediction that every target serves the job well enough.
func anyTarget(*targetState, lovageshift.Millis, *Job) bool { return true }

// choose returns the eligible one of the free targets with the lowest cost, as computed by the function cost, of those that
// are expected to serve the waiter's job well enough. It returns nil if there is none.
func (s *Scheduler) choose(now lovageshift.Millis, free []*targetState, w *Waiter, wellEnough prediction) *targetState {
	var best *targetState
	var lowest float64
	for _, t := range free {
		if !s.eligible(now, t, w) || !wellEnough(t, now, w.job) {
			continue
		}
		c := cost(now, t, w.job)
		if best == nil || c < lowest {
			best, lowest = t, c
		}
	}
	return best
}

// eligible reports whether a target may get the waiter's job now: it can run the job and nothing keeps the job from it, see
// obstacleAt.
func (s *Scheduler) eligible(now lovageshift.Millis, t *targetState, w *Waiter) bool {
	return w.job.fits(t) && s.obstacleAt(now, t, w) == noObstacle
}

// mayAssignCold reports whether this entry may assign a target that may be cold to the waiter.
func (s *Scheduler) mayAssignCold(now lovageshift.Millis, t *targetState, w *Waiter) bool {
	return w.role != Other && s.quorum && t.belowColdLimit(now, s.coldLimit(t))
}

// bestPrediction returns the prediction that a job's target has to fulfil if possible: the strictest one that some targets
// of the group fulfil. Targets that are busy count too, but not those in a backoff or, for this entry's own job, unavailable ones.
func (s *Scheduler) bestPrediction(now lovageshift.Millis, group GroupID, job *Job, own bool) prediction {
	for _, strict := range []prediction{(*targetState).onTime, (*targetState).completesInTime} {
		for _, t := range s.groups[group] {
			if own && now < t.unavailable.openAt() {
				continue
			}
			if now >= t.backoffUntil && job.fits(t) && strict(t, now, job) {
				return strict
			}
		}
	}
	return anyTarget
}

// coldLimit returns how many requests this entry may assign to a cold target within coldWindow: its share of
// ColdBounds, but at least 1.
func (s *Scheduler) coldLimit(t *targetState) int {
	total := t.service.ColdPerSecond*s.coldBounds.ColdOvershoot + s.coldBounds.ColdSlack
	return max(int(total*coldShare), 1)
}

// cost returns the cost of running the job at the target, which has no unit; choose takes the target of lowest cost.
// The cost is the sum of the target's load with the job, as a share of its slots, of the expected time to the first
// event, as a share of the job's objective, and of crossZoneCost for a target in another zone. A larger share of
// failures than 0.05 raises it.
func cost(now lovageshift.Millis, t *targetState, job *Job) float64 {
	total := float64(t.running()+1)/float64(t.slots()) +
		t.predictFirstEvent(job.PromptTokens)/float64(max(job.Objective, 1))
	if t.Zone != job.Zone {
		total += crossZoneCost
	}
	if t.limit.inForce(now) && !t.averages.isShort(job) {
		total -= limitedDiscount
	}
	if share := t.failureShare(now); share > 0.05 {
		total *= 1 + failureWeight*share
		if share > failureShareLimit {
			total += 10
		}
	}
	return total
}

// hasTarget reports whether a target of the group can run the job.
func (s *Scheduler) hasTarget(group GroupID, job *Job) bool {
	return slices.ContainsFunc(s.groups[group], job.fits)
}
