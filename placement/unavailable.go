package placement

import (
	"math/rand/v2"

	"lovageshift"
)

const (
	// Longest time that an incarnation is believed for which it wants no requests.
	maxUnavailable lovageshift.Millis = 600_000
	// An entry adds up to this share of the time at random, and at most maxUnavailableSpread, so that entries that were told
	// together do not return together.
	unavailableSpreadShare                    = 0.25
	maxUnavailableSpread   lovageshift.Millis = 1000
	// Once the time is over, an entry sends one request in this time until the target accepts one.
	trialInterval lovageshift.Millis = 250
	// Most targets that an entry names to a coordinator as unusable for a request.
	maxUnusable = 64
)

// unavailableState is the word of an incarnation, in a response to this entry, that it wants no requests from this entry for
// some time. Other entries are not bound by it.
type unavailableState struct {
	until lovageshift.Millis
	// nextTrial is when the next request may be sent after until.
	nextTrial lovageshift.Millis
}

// openAt returns when this entry may send the target the next request; 0 if the target is available.
func (u *unavailableState) openAt() lovageshift.Millis {
	if u == nil {
		return 0
	}
	return max(u.until, u.nextTrial)
}

// RecordUnavailable records a response to this entry in which the target wants no requests from it for some time. It returns
// for how long it gets none, 0 if that was known already.
func (s *Scheduler) RecordUnavailable(now lovageshift.Millis, id lovageshift.TargetID, born int64, wanted lovageshift.Millis) lovageshift.Millis {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	wanted = min(wanted, maxUnavailable)
	spread := min(lovageshift.Millis(float64(wanted)*unavailableSpreadShare), maxUnavailableSpread)
	unavailable := incarnation{HashOf(id), born}
	state := s.unavailable[unavailable]
	if state == nil {
		state = &unavailableState{}
		s.unavailable[unavailable] = state
	}
	isKnown := now < state.until
	state.until = max(state.until, now+wanted+lovageshift.Millis(rand.Int64N(int64(spread)+1)))
	if t := s.byHash[unavailable.target]; t != nil && t.Born == born {
		t.unavailable = state
	}
	if isKnown {
		return 0
	}
	return state.until - now
}

// RecordAccepted records that the target has accepted a request of this entry, which ends its trial.
func (s *Scheduler) RecordAccepted(now lovageshift.Millis, id lovageshift.TargetID, born int64) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	accepted := incarnation{HashOf(id), born}
	if state := s.unavailable[accepted]; state != nil && now >= state.until {
		s.endUnavailable(accepted)
	}
}

func (s *Scheduler) endUnavailable(ended incarnation) {
	delete(s.unavailable, ended)
	if t := s.byHash[ended.target]; t != nil && t.Born == ended.born {
		t.unavailable = nil
	}
}

// IsUnavailable reports whether the incarnation of the target wants no requests from this entry now.
func (s *Scheduler) IsUnavailable(now lovageshift.Millis, id lovageshift.TargetID, born int64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := s.unavailable[incarnation{HashOf(id), born}]
	return state != nil && now < state.until
}

// AvailableAt returns when the first target that can run the job and was not tried for it takes a request of this entry
// again, and what keeps the job from the targets until then. The time is 0 if one takes it now or if there is none.
func (s *Scheduler) AvailableAt(now lovageshift.Millis, job *Job) (lovageshift.Millis, Obstacles) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if len(s.unavailable) == 0 {
		return 0, Obstacles{}
	}
	var first lovageshift.Millis
	var o Obstacles
	for _, group := range s.groupsByService[job.Service] {
		for _, t := range s.groups[group] {
			if !job.fits(t) || job.hasTried(t) {
				continue
			}
			at := t.unavailable.openAt()
			if at <= now {
				return 0, Obstacles{}
			}
			o.addUnavailable(at - now)
			if first == 0 || at < first {
				first = at
			}
		}
		o.Leaving += s.countLeaving(group, job)
	}
	return first, o
}

// Unusable returns targets of the group that may not get a request of this entry now, for a coordinator that may not know it.
func (s *Scheduler) Unusable(now lovageshift.Millis, group GroupID) []TargetHash {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var unusable []TargetHash
	for _, t := range s.leavingTargets[group] {
		unusable = append(unusable, HashOf(t.ID))
	}
	if len(s.unavailable) > 0 {
		for _, t := range s.groups[group] {
			if now < t.unavailable.openAt() {
				unusable = append(unusable, HashOf(t.ID))
			}
		}
	}
	return unusable[:min(len(unusable), maxUnusable)]
}

// ExplainRefusal returns the obstacles of a refusal by another entry, to which this one named unusable targets as tried.
func (s *Scheduler) ExplainRefusal(now lovageshift.Millis, group GroupID, job *Job, o Obstacles) Obstacles {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if more := s.countLeaving(group, job) - o.Leaving; more > 0 {
		o.Leaving += more
		o.Tried = max(o.Tried-more, 0)
	}
	if len(s.unavailable) == 0 {
		return o
	}
	for _, t := range s.groups[group] {
		if at := t.unavailable.openAt(); at > now && job.fits(t) && !job.hasTried(t) {
			o.addUnavailable(at - now)
			o.Tried = max(o.Tried-1, 0)
		}
	}
	return o
}

// countLeaving returns how many targets of the group that can run the job leave.
func (s *Scheduler) countLeaving(group GroupID, job *Job) int {
	count := 0
	for _, t := range s.leavingTargets[group] {
		if job.fits(t) {
			count++
		}
	}
	return count
}

// sweepUnavailable forgets the incarnations whose time is long over, so that the state of those that are gone is not kept.
func (s *Scheduler) sweepUnavailable(now lovageshift.Millis) {
	for unavailable, state := range s.unavailable {
		if now-state.until > maxUnavailable {
			s.endUnavailable(unavailable)
		}
	}
}
