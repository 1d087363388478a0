package placement

import (
	"cmp"
	"slices"

	"lovageshift"
	"lovageshift/membership"
)

const (
	// An incarnation of which a response to this entry said that it leaves gets no request for this long.
	leavingTTL lovageshift.Millis = 3_600_000
	// What another entry reports of such a response binds for this long after the response, so that a wrong report does not
	// bind for good.
	reportedLeavingTTL lovageshift.Millis = 10_000
	// How long an entry reports such a response, and how many it reports at most.
	leavingReportMillis = reportedLeavingTTL
	maxReportedLeaving  = 64
)

// incarnation identifies one start of a target.
type incarnation struct {
	target TargetHash
	born   int64
}

func (t *targetState) incarnation() incarnation { return incarnation{HashOf(t.ID), t.Born} }

// leavingState is what this entry knows about an incarnation that leaves.
type leavingState struct {
	// receivedAt is when this entry last received a response of the target that says so, if received is set.
	receivedAt lovageshift.Millis
	received   bool
	// until is when the target may get requests again.
	until lovageshift.Millis
}

// LeavingReport is a response that says that its target leaves, as one entry reports it to the others.
type LeavingReport struct {
	Target TargetHash
	// Born is the start of the target's incarnation, as in catalog.Target.
	Born int64
	Age  lovageshift.Millis // milliseconds since the response
}

// RecordLeaving records a response to this entry which says that its target leaves, and returns whether that is new. The
// target gets no request from then on, whatever its record says, until it starts anew.
func (s *Scheduler) RecordLeaving(now lovageshift.Millis, id lovageshift.TargetID, born int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state, isNew := s.setLeaving(incarnation{HashOf(id), born}, now+leavingTTL)
	state.receivedAt, state.received = now, true
	return isNew
}

// setLeaving takes the incarnation out of its group until the given time. It returns its state, and whether it is new.
func (s *Scheduler) setLeaving(leaving incarnation, until lovageshift.Millis) (*leavingState, bool) {
	state := s.leaving[leaving]
	isNew := state == nil
	if isNew {
		state = &leavingState{}
		s.leaving[leaving] = state
		if t := s.byHash[leaving.target]; t != nil && t.Born == leaving.born {
			group := s.groupOf(t)
			s.groups[group] = slices.DeleteFunc(s.groups[group], func(other *targetState) bool { return other == t })
			s.leavingTargets[group] = append(s.leavingTargets[group], t)
		}
	}
	state.until = max(state.until, until)
	return state, isNew
}

func (s *Scheduler) isLeaving(t *targetState) bool { return s.leaving[t.incarnation()] != nil }

// IsLeaving reports whether the incarnation of the target is known to leave.
func (s *Scheduler) IsLeaving(id lovageshift.TargetID, born int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.leaving[incarnation{HashOf(id), born}] != nil
}

// groupOf returns the group of the target, also if it must not get new requests.
func (s *Scheduler) groupOf(t *targetState) GroupID {
	return membership.OwnerOf(string(t.ID), s.groupsByService[t.Service], func(g GroupID) string { return string(g) })
}

// Leaving returns the responses that this entry has lately received from targets that leave, the newest first.
func (s *Scheduler) Leaving(now lovageshift.Millis) []LeavingReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var reports []LeavingReport
	for leaving, state := range s.leaving {
		if state.received && now-state.receivedAt < leavingReportMillis {
			reports = append(reports, LeavingReport{Target: leaving.target, Born: leaving.born, Age: now - state.receivedAt})
		}
	}
	slices.SortFunc(reports, func(a, b LeavingReport) int { return cmp.Compare(a.Age, b.Age) })
	return reports[:min(len(reports), maxReportedLeaving)]
}

// MergeLeaving applies the result of another entry's Leaving. It returns the targets that were not known to leave.
func (s *Scheduler) MergeLeaving(now lovageshift.Millis, reports []LeavingReport) []lovageshift.TargetID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var learned []lovageshift.TargetID
	for _, report := range reports {
		t := s.byHash[report.Target]
		inTime := report.Age >= 0 && report.Age < reportedLeavingTTL
		if t == nil || t.Born != report.Born || !inTime {
			continue
		}
		if _, isNew := s.setLeaving(t.incarnation(), now-report.Age+reportedLeavingTTL); isNew {
			learned = append(learned, t.ID)
		}
	}
	return learned
}

// sweepLeaving forgets the incarnations that may get requests again.
func (s *Scheduler) sweepLeaving(now lovageshift.Millis) {
	forgotten := false
	for leaving, state := range s.leaving {
		if now >= state.until {
			delete(s.leaving, leaving)
			forgotten = true
		}
	}
	if forgotten && s.view != nil {
		s.regroup(s.view)
	}
}
