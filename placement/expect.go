package placement

import (
	"math"

	"lovageshift"
)

// A request that cannot get a slot in time is refused within this share of its objective, if the expected wait shows it.
const earlyShare = 1.0 / 8

// recordHold counts a slot at the target that this entry assigned at the given time, 0 if it did not, and that is released.
func (t *targetState) recordHold(now, grantedAt lovageshift.Millis) {
	if grantedAt == 0 {
		return
	}
	hold := float64(max(now-grantedAt, 1))
	t.meanHold = movingAverage(t.meanHold, hold, ewmaWeight)
	t.averages.meanHold = movingAverage(t.averages.meanHold, hold, ratioWeight)
}

// freedPerSecond estimates how many slots of the group come free in a second, 0 if it is not known or not used (see Policy):
// at each target as many as requests run there, divided by the time for which its slots were held on average. Unlike the
// grants of the last second, it does not count the slots that were free when a burst began, and which its first requests
// have filled.
func (s *Scheduler) freedPerSecond(group GroupID) float64 {
	if !s.policy.EarlyRefusals {
		return 0
	}
	freed := 0.0
	for _, t := range s.groups[group] {
		hold := t.meanHold
		if hold == 0 {
			hold = t.averages.meanHold
		}
		if hold == 0 {
			return 0
		}
		freed += float64(t.running()) * 1000 / hold
	}
	return freed
}

// margin returns the time by which the wait behind ahead others may exceed the expected one: its standard deviation if
// slots come free independently of each other. A new request is only queued if that leaves it time for a slot, as its
// caller is better served by an early refusal than by a late one. Once an eighth of its objective has passed, it stays for
// as long as it may get a slot. Requests that were refused before are not repeated again, so they have no margin.
func (s *Scheduler) margin(now lovageshift.Millis, w *Waiter, expected lovageshift.Millis, ahead int) lovageshift.Millis {
	if !s.policy.EarlyRefusals || w.job.RefusedBefore || now > w.job.earlyUntil(w.submittedAt) {
		return 0
	}
	return lovageshift.Millis(float64(expected) * math.Sqrt(float64(ahead)) / float64(ahead+1))
}

// earlyUntil returns the end of the time in which a refusal is early, for a job that was submitted at the given time.
func (j *Job) earlyUntil(submittedAt lovageshift.Millis) lovageshift.Millis {
	return max(submittedAt, j.Arrived+lovageshift.Millis(float64(j.Objective)*earlyShare))
}

// recordRefusal counts a waiter that is refused. It no longer counts as an arrival: it takes no slot of this group, and if
// its entry asks another group, it counts there.
func (q *queue) recordRefusal(now lovageshift.Millis, w *Waiter) {
	q.resuming.recordRefusal(w)
	q.takeBack(w)
	q.arrivals[w.job.Rank].remove(now, w.submittedAt, 1)
}
