package placement

import (
	"slices"

	"lovageshift"
)

// GroupLoad sums up the load of some groups of a service, as far as an entry knows it.
type GroupLoad struct {
	// Groups is how many groups the other fields cover.
	Groups int
	// Free is how many slots are free at targets that can run the job, by state updates and the entry's own requests; a
	// group that was full by a more recent reply has none.
	Free int
	// Waiting is how many requests are known to wait for a slot, by recent replies of coordinators and the entry's own queues.
	Waiting int
}

// LoadElsewhere returns the load of the groups of the job's service other than those that were asked for a slot.
func (s *Scheduler) LoadElsewhere(now lovageshift.Millis, job *Job, asked ...GroupID) GroupLoad {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var load GroupLoad
	for _, group := range s.groupsByService[job.Service] {
		if slices.Contains(asked, group) {
			continue
		}
		load.Groups++
		load.Waiting += s.knownWaiting(now, group)
		load.Free += s.freeIn(now, group, job)
	}
	return load
}

// freeIn returns how many slots of the group are known to be free at targets that may run the job of this entry.
func (s *Scheduler) freeIn(now lovageshift.Millis, group GroupID, job *Job) int {
	if s.reports[group].isFull(now) {
		return 0
	}
	free := 0
	for _, t := range s.groups[group] {
		if s.mayRun(now, t, job) && now >= t.backoffUntil {
			free += max(t.capacity()-t.running(), 0)
		}
	}
	return free
}

// mayRun reports whether the target can run the job of this entry, was not tried for it and wants requests of this entry.
func (s *Scheduler) mayRun(now lovageshift.Millis, t *targetState, job *Job) bool {
	return job.fits(t) && !job.hasTried(t) && now >= t.unavailable.openAt()
}

// waitingIn returns how many requests wait in this entry's queue of the group.
func (s *Scheduler) waitingIn(group GroupID) int {
	if q := s.queues[group]; q != nil {
		return len(q.waiters)
	}
	return 0
}
