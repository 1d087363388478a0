package placement

import "lovageshift"

const (
	// A reply that a request is queued or refused shows for this long that its group has no free slot. State updates are as
	// old on average, so beyond this they are as good.
	fullReportTTL lovageshift.Millis = 50
	// A refusal shows for at most this long that its group serves no request in time, unless newer state updates show free
	// slots: the rates by which the wait was estimated change with each burst.
	refusalReportTTL lovageshift.Millis = 250
	// A second group is asked only if a request may wait for a slot for this long at least. A coordinator's reply to the
	// first or the repeated message arrives within it.
	minSecondWait lovageshift.Millis = 60
	// The weight of a target without known free slots in the choice of a group, as other entries report the end of their
	// requests only with a delay.
	fullTargetWeight = 0.1
)

// groupReport is what the replies of a group's coordinator to this entry, or its own decisions, show of the group's load.
type groupReport struct {
	// fullAt is when a reply last said that no slot was free, 0 if a later one granted a slot.
	fullAt lovageshift.Millis
	// waiting is how many requests waited at fullAt, according to that reply.
	waiting int
	// refused is the job that was refused at refusedAt, as it was expected to get no slot before slotAt.
	refused   *Job
	refusedAt lovageshift.Millis
	slotAt    lovageshift.Millis
}

// RecordQueued records that the group's coordinator queued a request of this entry, as no slot was free.
func (s *Scheduler) RecordQueued(now lovageshift.Millis, group GroupID) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if report := s.reportOf(group); report != nil {
		if !report.isFull(now) {
			report.waiting = 0
		}
		report.fullAt, report.waiting = now, max(report.waiting, 1)
	}
}

// RecordDecision records the decision of the group's coordinator on a job of this entry. Refusals that hold only for the
// targets that the job can run at say nothing of the group.
func (s *Scheduler) RecordDecision(now lovageshift.Millis, group GroupID, job *Job, decision Decision) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	report := s.reportOf(group)
	switch {
	case report == nil:
	case decision.Slot != nil:
		report.fullAt, report.waiting = 0, 0
	case decision.Refusal == nil, decision.Refusal.Reason != lovageshift.ReasonShed, job.HasVersion, len(job.Tried) > 0:
	default:
		report.fullAt, report.waiting = now, decision.Refusal.Ahead
		if report.refused == nil || now-report.refusedAt > refusalReportTTL || !report.refused.goesBefore(job) {
			refused := *job
			report.refused, report.refusedAt, report.slotAt = &refused, now, now+decision.Refusal.ExpectedWait
		}
	}
}

// reportOf returns the report on a group of the view, nil for another one. There are no more reports than groups.
func (s *Scheduler) reportOf(group GroupID) *groupReport {
	report := s.reports[group]
	if report == nil && len(s.groups[group]) > 0 {
		report = &groupReport{}
		s.reports[group] = report
	}
	return report
}

// evictReports deletes the reports on groups that the view does not have any more.
func (s *Scheduler) evictReports() {
	for group := range s.reports {
		if len(s.groups[group]) == 0 {
			delete(s.reports, group)
		}
	}
}

// goesBefore reports whether the job gets a slot before another one that is submitted at the same time.
func (j *Job) goesBefore(other *Job) bool {
	if j.Rank != other.Rank {
		return j.Rank < other.Rank
	}
	return !j.RefusedBefore && other.RefusedBefore
}

// isFull reports whether a reply has lately shown that no slot was free.
func (r *groupReport) isFull(now lovageshift.Millis) bool {
	return r != nil && r.fullAt > 0 && now-r.fullAt < fullReportTTL
}

// refuses reports whether the group has lately refused a job that does not go behind this one, is not expected to have a
// slot by this one's queue deadline and has none free by newer state updates.
func (s *Scheduler) refuses(now lovageshift.Millis, group GroupID, job *Job) bool {
	r := s.reports[group]
	if r == nil || r.refused == nil || now-r.refusedAt >= refusalReportTTL || job.goesBefore(r.refused) || r.slotAt < job.QueueDeadline {
		return false
	}
	return r.isFull(now) || s.freeIn(now, group, job) == 0
}

// PickGroup returns the group of the job's service in which to request a slot, or "" if the service has no targets. The
// probability of a group is nearly proportional to its free slots, at targets that can run the job and were not tried for
// it, if point is uniformly random in [0, 1). Groups that lately refused such a job are left out if there are others.
func (s *Scheduler) PickGroup(job *Job, point float64) GroupID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	groups := s.groupsByService[job.Service]
	if len(groups) < 2 {
		return firstGroup(groups)
	}
	now := max(s.tickedAt, job.Arrived)
	mayServe := func(group GroupID) bool { return !s.refuses(now, group, job) }
	if picked := s.drawGroup(now, job, point, mayServe); picked != "" {
		return picked
	}
	if picked := s.drawGroup(now, job, point, func(GroupID) bool { return true }); picked != "" {
		return picked
	}
	return groups[len(groups)-1]
}

// SecondGroup returns a group in which to request a slot after the refusal of another one, drawn like that of PickGroup, or
// "" if the job may not wait for long enough or if all others are known to be full or to have refused such a job lately.
func (s *Scheduler) SecondGroup(now lovageshift.Millis, job *Job, asked GroupID, point float64) GroupID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if job.QueueDeadline-now < minSecondWait {
		return ""
	}
	return s.drawGroup(now, job, point, func(group GroupID) bool {
		return group != asked && !s.refuses(now, group, job) && !s.reports[group].isFull(now) && s.waitingIn(group) == 0
	})
}

// drawGroup draws one of the admitted groups of the job's service by their weights, "" if none has a target for the job.
func (s *Scheduler) drawGroup(now lovageshift.Millis, job *Job, point float64, admitted func(GroupID) bool) GroupID {
	groups := s.groupsByService[job.Service]
	weights := make([]float64, len(groups))
	total := 0.0
	for i, group := range groups {
		if admitted(group) {
			weights[i] = s.weightOf(now, group, job)
			total += weights[i]
		}
	}
	rest := point * total
	last := GroupID("")
	for i, group := range groups {
		if weights[i] == 0 {
			continue
		}
		last = group
		rest -= weights[i]
		if rest < 0 {
			break
		}
	}
	return last
}

// weightOf returns the weight of a group in the choice for a job: its free slots at targets that may run the job, none of
// them if a reply has shown more lately than the state updates that there are none, and a little for each other target.
func (s *Scheduler) weightOf(now lovageshift.Millis, group GroupID, job *Job) float64 {
	isFull := s.reports[group].isFull(now) || s.waitingIn(group) > 0
	weight := 0.0
	for _, t := range s.groups[group] {
		if !s.mayRun(now, t, job) {
			continue
		}
		weight += fullTargetWeight
		if !isFull {
			weight += float64(max(t.slots()-t.running(), 0))
		}
	}
	return weight
}

func firstGroup(groups []GroupID) GroupID {
	if len(groups) == 0 {
		return ""
	}
	return groups[0]
}

// knownWaiting returns how many requests wait in a group, by this entry's own queue or a recent reply.
func (s *Scheduler) knownWaiting(now lovageshift.Millis, group GroupID) int {
	waiting := s.waitingIn(group)
	if report := s.reports[group]; report.isFull(now) {
		waiting = max(waiting, report.waiting)
	}
	return waiting
}
