package placement

import (
	"math/rand/v2"

	"lovageshift"
)

const (
	// Refusal.RetryAfter is this many times Refusal.ExpectedWait, within retryMin and retryMax. A wait that is estimated by the
	// rates of the last second is not known further ahead than retryMax.
	retryFactor = 2
	// Bounds of Refusal.RetryAfter before newRefusal spreads it at random.
	retryMin lovageshift.Millis = 600
	retryMax lovageshift.Millis = 3000
)

// Refusal says why a job got no slot.
type Refusal struct {
	Reason lovageshift.Reason
	// RetryAfter is how long the caller should wait before it repeats the request, spread at random (see newRefusal); 0
	// if not known.
	RetryAfter lovageshift.Millis
	// Waited is the time from the request's arrival to the refusal.
	Waited lovageshift.Millis
	// ExpectedWait is how much longer the request was expected to wait in the queue at its refusal, and Ahead how many
	// waiting requests were before it there.
	ExpectedWait lovageshift.Millis
	Ahead        int
	// AboveShare reports whether the job's account was above its share of the slots, see Waiter.aboveShare.
	AboveShare bool
	// Obstacles says what kept the job from the targets that can run it, as far as the refusing entry knew them.
	Obstacles Obstacles
	// Elsewhere is the load of the service's groups that were not asked, as far as the entry of the job knew it.
	Elsewhere GroupLoad
}

// Obstacles counts the targets of a group that can run a refused job, by what kept the job from them. A target counts under
// the first that applies, in the order of the fields.
type Obstacles struct {
	// Leaving have said in a response that they leave.
	Leaving int
	// Unavailable want no requests from the entry of the job for some time, the first of them for UnavailableFor.
	Unavailable    int
	UnavailableFor lovageshift.Millis
	// Tried had been assigned to the job before. Backoff have lately refused a request or a connection. MayHaveRestarted may
	// have another software version by now than the job needs.
	Tried, Backoff, MayHaveRestarted int
	// Cold and Limited are at the rate that they sustain. Full have no free slot. Free have one, but other requests go first.
	Cold, Limited, Full, Free int
}

// addUnavailable counts a target that is unavailable for the given time.
func (o *Obstacles) addUnavailable(left lovageshift.Millis) {
	if o.Unavailable == 0 || left < o.UnavailableFor {
		o.UnavailableFor = left
	}
	o.Unavailable++
}

// newRefusal returns the refusal of a job that would have to wait for the expected time behind ahead others. RetryAfter
// is spread at random by up to a quarter either way, so that requests refused together are not repeated together, but is
// never before a slot is expected.
func (s *Scheduler) newRefusal(now lovageshift.Millis, w *Waiter, expected lovageshift.Millis, ahead int) *Refusal {
	reason := lovageshift.ReasonShed
	if !s.hasTarget(w.group, w.job) {
		reason = lovageshift.ReasonNoTarget
	}
	after := min(max(retryFactor*expected, retryMin), retryMax)
	if w.job.Resumes {
		after = retryMin // the caller has waited for long already
	}
	spread := lovageshift.Millis(rand.Int64N(int64(after)/2 + 1))
	retryAfter := after - after/4 + spread
	if !w.job.Resumes {
		retryAfter = max(retryAfter, min(expected, retryMax))
	}
	return &Refusal{
		Reason: reason, RetryAfter: retryAfter, Waited: now - w.job.Arrived, ExpectedWait: expected, Ahead: ahead,
		AboveShare: w.aboveShare(), Obstacles: s.obstacles(now, w),
	}
}

// obstacle names what keeps a job from a target that can run it.
type obstacle string

// The obstacles, in the order in which they are looked for; see Obstacles.
const (
	obstacleTried       obstacle = "tried"
	obstacleUnavailable obstacle = "unavailable"
	obstacleBackoff     obstacle = "backoff"
	obstacleRestarted   obstacle = "mayHaveRestarted"
	obstacleCold        obstacle = "cold"
	obstacleLimited     obstacle = "limited"
	obstacleFull        obstacle = "full"
	noObstacle          obstacle = ""
)

// obstacleAt returns what keeps the waiter's job from a target that can run it, noObstacle if nothing does.
func (s *Scheduler) obstacleAt(now lovageshift.Millis, t *targetState, w *Waiter) obstacle {
	switch {
	case w.job.hasTried(t):
		return obstacleTried
	case w.own && now < t.unavailable.openAt():
		return obstacleUnavailable
	case now < t.backoffUntil:
		return obstacleBackoff
	case w.job.HasVersion && s.doubts(now, t):
		return obstacleRestarted
	case t.mayBeCold(now) && !s.mayAssignCold(now, t, w):
		return obstacleCold
	case t.limit.inForce(now) && !s.withinLimit(now, t, w):
		return obstacleLimited
	case t.running() >= t.capacity():
		return obstacleFull
	default:
		return noObstacle
	}
}

// obstacles returns what keeps the waiter's job from the targets of its group.
func (s *Scheduler) obstacles(now lovageshift.Millis, w *Waiter) Obstacles {
	var o Obstacles
	o.Leaving = s.countLeaving(w.group, w.job)
	for _, t := range s.groups[w.group] {
		if !w.job.fits(t) {
			continue
		}
		switch s.obstacleAt(now, t, w) {
		case obstacleTried:
			o.Tried++
		case obstacleUnavailable:
			o.addUnavailable(t.unavailable.openAt() - now)
		case obstacleBackoff:
			o.Backoff++
		case obstacleRestarted:
			o.MayHaveRestarted++
		case obstacleCold:
			o.Cold++
		case obstacleLimited:
			o.Limited++
		case obstacleFull:
			o.Full++
		default:
			o.Free++
		}
	}
	return o
}
