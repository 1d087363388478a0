package placement

import (
	"lovageshift"
	"lovageshift/catalog"
)

func (s *Scheduler) assignService(now lovageshift.Millis, service catalog.ServiceID) {
	for _, group := range s.groupsByService[service] {
		if q := s.queues[group]; q != nil {
			s.assign(now, group, q, noWaiter)
		}
	}
}

func (s *Scheduler) assignAll(now lovageshift.Millis, judge func(*Waiter) bool) {
	for group, q := range s.queues {
		s.assign(now, group, q, judge)
	}
}

// Values of the parameter judge of assign.
func everyWaiter(*Waiter) bool { return true }
func noWaiter(*Waiter) bool    { return false }

// assign gives slots to a group's waiting requests in the order of the queue, after promote has moved forward those
// that the credit of their rank covers. Of those for which judge returns true, it refuses the ones that are expected to
// get no slot by their queue deadline, and those of a version that no target has. A request is judged when it is submitted
// and at each Tick. To judge all of them whenever a slot comes free would take most of a small VM's processor in an overload.
func (s *Scheduler) assign(now lovageshift.Millis, group GroupID, q *queue, judge func(*Waiter) bool) {
	if len(q.waiters) == 0 {
		return
	}
	q.arrange()
	q.promoteResuming(now)
	q.promote()
	free := s.freeTargets(now, group)
	freed := s.freedPerSecond(group)
	ahead := 0
	aheadByRank := map[lovageshift.Rank]int{}
	q.removeIf(func(w *Waiter) (remove, granted bool) {
		if chosen := s.choose(now, free, w, w.wellEnough); chosen != nil {
			s.grant(now, q, w, chosen)
			return true, true
		}
		if judge(w) {
			expected := q.expectedWait(now, w.job, ahead, aheadByRank[w.job.Rank], freed)
			if s.mustGiveUp(now, w, expected, ahead) {
				s.giveUp(now, q, w, free, expected, ahead)
				return true, false
			}
		}
		ahead++
		aheadByRank[w.job.Rank]++
		return false, false
	})
}

// mustGiveUp reports whether a waiter behind ahead others leaves the queue, as it is expected to get no slot in time, or as no target
// has the version that it needs.
func (s *Scheduler) mustGiveUp(now lovageshift.Millis, w *Waiter, expected lovageshift.Millis, ahead int) bool {
	if w.job.HasVersion && !s.hasTarget(w.group, w.job) {
		return true
	}
	return w.waitIsOver(now, expected+s.margin(now, w, expected, ahead))
}

// waitIsOver reports whether a waiter that is expected to wait for so long leaves the queue. One that goes on with a stream
// waits until its queue deadline: what was read and written for it so far is lost otherwise.
func (w *Waiter) waitIsOver(now, expected lovageshift.Millis) bool {
	if w.job.Resumes {
		expected = 0
	}
	return now+expected >= w.job.QueueDeadline
}

// giveUp ends the wait of a request that is expected to get no slot in time. It gets a free target at which it is expected
// to be late, but complete by its deadline, or else a refusal.
func (s *Scheduler) giveUp(now lovageshift.Millis, q *queue, w *Waiter, free []*targetState, expected lovageshift.Millis, ahead int) {
	if chosen := s.choose(now, free, w, (*targetState).completesInTime); chosen != nil {
		s.grant(now, q, w, chosen)
		return
	}
	w.done = true
	q.recordRefusal(now, w)
	w.onDecision(now, nil, s.newRefusal(now, w, expected, ahead))
}

func (s *Scheduler) grant(now lovageshift.Millis, q *queue, w *Waiter, chosen *targetState) {
	q.recordGrant(now, w)
	chosen.averages.meanWork = movingAverage(chosen.averages.meanWork, workOf(w.job), ratioWeight)
	if chosen.limit.inForce(now) {
		chosen.limit.assigned.take()
	}
	if chosen.service.ColdPerSecond > 0 {
		chosen.grantTimes = append(chosen.grantTimes, now)
	}
	w.done = true
	w.onDecision(now, chosen, nil)
}
