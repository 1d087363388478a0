package placement

import (
	"slices"

	"lovageshift"
	"lovageshift/catalog"
)

// Explanation says what a group would answer to a job if it were submitted now, as far as this entry knows.
type Explanation struct {
	Group GroupID `json:"group"`
	// Waiting counts the waiting requests, Ahead those of them that get slots before the job.
	Waiting int `json:"waiting"`
	Ahead   int `json:"ahead"`
	// ExpectedWait is how long the job would wait if no target is free for it.
	ExpectedWait lovageshift.Millis `json:"expectedWaitMillis"`
	// Target is where the job would go at once, "" if nowhere.
	Target lovageshift.TargetID `json:"target,omitempty"`
	// Refused is the reason for which the job would be refused at once, and RetryAfter about how long its caller is to wait
	// then. With neither Target nor Refused it would wait.
	Refused    lovageshift.Reason `json:"refused,omitempty"`
	RetryAfter lovageshift.Millis `json:"retryAfterMillis,omitempty"`
	// Targets are all targets of the group by their ids.
	Targets []TargetExplanation `json:"targets"`
}

// TargetExplanation says why a job would go to a target or not.
type TargetExplanation struct {
	ID   lovageshift.TargetID `json:"id"`
	Zone lovageshift.ZoneID   `json:"zone"`
	// Running counts the requests of all entries at the target, Capacity how many it may have at once.
	Running  int `json:"running"`
	Capacity int `json:"capacity"`
	// FirstEvent is the expected time to the first event, TokenMicros the expected time between two output tokens in
	// microseconds, 0 if it is not known.
	FirstEvent  lovageshift.Millis `json:"firstEventMillis"`
	TokenMicros int64              `json:"tokenMicros"`
	// Cost has no unit. Of the targets without an Obstacle that are expected to serve the job well enough, the one of the
	// lowest cost gets it.
	Cost float64 `json:"cost"`
	// OnTime reports whether the job is expected to meet its deadline there without a pause that makes it late, Completes
	// whether it is expected to meet its deadline.
	OnTime    bool `json:"onTime"`
	Completes bool `json:"completes"`
	// Obstacle names what keeps the job from the target, "" if nothing does.
	Obstacle string `json:"obstacle,omitempty"`
}

// obstacleVersion is the obstacle of a target that has another software version than the job needs.
const obstacleVersion obstacle = "otherVersion"

// GroupsOf returns the groups into which the service's targets are divided.
func (s *Scheduler) GroupsOf(service catalog.ServiceID) []GroupID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.Clone(s.groupsByService[service])
}

// Explain returns what the group would answer to a job of this entry, by the code that decides, and changes nothing.
func (s *Scheduler) Explain(now lovageshift.Millis, group GroupID, role Role, job *Job) Explanation {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	w := s.newWaiter(now, group, role, job, true)
	e := Explanation{Group: group}
	for _, t := range s.groups[group] {
		e.Targets = append(e.Targets, s.explainTarget(now, t, w))
	}
	free := s.freeTargets(now, group)
	chosen := s.choose(now, free, w, w.wellEnough)
	q := s.queues[group]
	if q == nil {
		q = newQueue()
	}
	var aheadOfSameRank int
	e.Waiting = len(q.waiters)
	e.Ahead, aheadOfSameRank = q.ahead(w)
	if chosen == nil {
		e.ExpectedWait = q.expectedWait(now, job, e.Ahead, aheadOfSameRank, s.freedPerSecond(group))
	}
	if chosen == nil && s.mustGiveUp(now, w, e.ExpectedWait, e.Ahead) {
		chosen = s.choose(now, free, w, (*targetState).completesInTime)
		if chosen == nil {
			refusal := s.newRefusal(now, w, e.ExpectedWait, e.Ahead)
			e.Refused, e.RetryAfter = refusal.Reason, refusal.RetryAfter
		}
	}
	if chosen != nil {
		e.Target = chosen.ID
	}
	return e
}

// ahead returns how many of the waiting requests would get slots before a new waiter, and how many of those have its rank.
func (q *queue) ahead(w *Waiter) (all, ofSameRank int) {
	q.peekShares(w)
	order := slices.Clone(q.waiters)
	at, _ := slices.BinarySearchFunc(order, w, compareWaiters)
	order = slices.Insert(order, at, w)
	arrangeRanks(order)
	q.arranged = false // as the new waiter has moved others
	for _, other := range order[:slices.Index(order, w)] {
		if other.job.Rank == w.job.Rank {
			ofSameRank++
		}
		all++
	}
	return all, ofSameRank
}

func (s *Scheduler) explainTarget(now lovageshift.Millis, t *targetState, w *Waiter) TargetExplanation {
	e := TargetExplanation{
		ID: t.ID, Zone: t.Zone, Running: t.running(), Capacity: t.capacity(),
		FirstEvent:  lovageshift.Millis(t.predictFirstEvent(w.job.PromptTokens)),
		TokenMicros: int64(t.predictToken(now) * 1000),
		Cost:        cost(now, t, w.job),
		OnTime:      t.onTime(now, w.job),
		Completes:   t.completesInTime(now, w.job),
		Obstacle:    string(obstacleVersion),
	}
	if w.job.fits(t) {
		e.Obstacle = string(s.obstacleAt(now, t, w))
	}
	return e
}
