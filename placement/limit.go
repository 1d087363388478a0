package placement

import (
	"cmp"
	"slices"

	"lovageshift"
)

const (
	// How long a limit that a target named stays in force if the target answers no request.
	limitTTL lovageshift.Millis = 600_000
	// A target is sent at least this many requests per second, as only its response shows that it has no limit any more.
	minLimit = 0.2
	// Requests that a target may get at once, as a share of those of one second, but at least minLimitBurst.
	limitBurstShare = 0.25
	minLimitBurst   = 2
	// A target with a limit has slots to spare but few requests to fill them with. A request of less work than the average
	// one gets such a target only if the full burst may be sent, so that the longer ones go there first.
	minLevelForShort = minLimitBurst
	// Taken off the cost of a target with a limit for a request of at least the average work.
	limitedDiscount = 0.5
	// A backup assigns up to this share of a target's limit. It does so beside the coordinator if only some entries find the
	// coordinator unresponsive.
	backupLimitShare = 0.4
	// How long an entry reports a limit after a response to it last named it, and how many it reports at most.
	limitReportMillis lovageshift.Millis = 10_000
	maxReportedLimits                    = 64
	millisPerSecond                      = 1000
)

// Role is what an entry is to a group of targets.
type Role int

// The roles. Only a Coordinator and a Backup assign targets that are cold or limited.
const (
	Other Role = iota
	Backup
	Coordinator
)

// Limit is the number of requests per second that a target takes from all entries together, as its responses name it.
type Limit struct {
	// PerSecond is the limit if Named is set. A response that names none ends the limit.
	PerSecond float64
	Named     bool
}

// LimitReport is a limit as one entry reports it to the others.
type LimitReport struct {
	Limit
	Target TargetHash
	// Born is the start of the target's incarnation, as in catalog.Target.
	Born int64
	Age  lovageshift.Millis // milliseconds since the response
}

// limitState is the limit of one incarnation of a target, as known to one entry.
type limitState struct {
	Limit
	// respondedAt is when an entry received the newest response that named the limit or no longer did, receivedAt when this
	// entry last received one, 0 if it never did.
	respondedAt lovageshift.Millis
	receivedAt  lovageshift.Millis
	// assigned bounds what this entry assigns to any entry's requests. accepted bounds this entry's own requests to which an
	// entry that does not know the limit has assigned the target.
	assigned tokenBucket
	accepted tokenBucket
}

// tokenBucket counts the requests that may be sent now, beginning with none.
type tokenBucket struct {
	level   float64
	updated lovageshift.Millis
}

// refill adds what has accrued at the rate per second.
func (b *tokenBucket) refill(now lovageshift.Millis, rate float64) {
	burst := max(minLimitBurst, rate*limitBurstShare)
	b.level = min(burst, b.level+rate*float64(now-b.updated)/millisPerSecond)
	b.updated = now
}

// has reports whether the number of requests may be sent at the rate per second.
func (b *tokenBucket) has(now lovageshift.Millis, rate, count float64) bool {
	b.refill(now, rate)
	return b.level >= count
}

func (b *tokenBucket) take() { b.level-- }

// inForce reports whether the limit binds the entries.
func (l *limitState) inForce(now lovageshift.Millis) bool {
	return l.Named && now-l.respondedAt < limitTTL
}

// rate returns the requests per second that all entries together may send.
func (l *limitState) rate() float64 { return max(l.PerSecond, minLimit) }

// learn applies the limit of a response, unless a newer one is known. It returns whether the limit changed.
func (l *limitState) learn(now, respondedAt lovageshift.Millis, limit Limit) bool {
	if respondedAt < l.respondedAt || (!limit.Named && !l.Named) {
		return false
	}
	changed := l.Limit != limit
	if limit.Named && !l.Named {
		l.assigned, l.accepted = tokenBucket{updated: now}, tokenBucket{updated: now}
	}
	l.Limit, l.respondedAt = limit, respondedAt
	return changed
}

// RecordLimit records the limit that a response from the slot's target names or leaves out, and returns whether it changed.
func (s *Scheduler) RecordLimit(now lovageshift.Millis, slot *Slot, limit Limit) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	state := &slot.state.limit
	if limit.Named || state.Named {
		state.receivedAt = now
	}
	return state.learn(now, now, limit)
}

// Limits returns the limits of responses that this entry has lately received, the newest first.
func (s *Scheduler) Limits(now lovageshift.Millis) []LimitReport {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var reports []LimitReport
	for hash, t := range s.byHash {
		if t.limit.receivedAt > 0 && now-t.limit.receivedAt < limitReportMillis {
			reports = append(reports, LimitReport{Limit: t.limit.Limit, Target: hash, Born: t.Born, Age: now - t.limit.respondedAt})
		}
	}
	slices.SortFunc(reports, func(a, b LimitReport) int { return cmp.Compare(a.Age, b.Age) })
	return reports[:min(len(reports), maxReportedLimits)]
}

// MergeLimits applies the result of another entry's Limits.
func (s *Scheduler) MergeLimits(now lovageshift.Millis, reports []LimitReport) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for _, report := range reports {
		if t := s.byHash[report.Target]; t != nil && t.Born == report.Born && report.Age >= 0 {
			t.limit.learn(now, now-report.Age, report.Limit)
		}
	}
}

// withinLimit reports whether this entry may assign a target with a limit to the waiter. Without a quorum, it takes its
// even share of the limit, as entries that are cut off from it may do the same.
func (s *Scheduler) withinLimit(now lovageshift.Millis, t *targetState, w *Waiter) bool {
	count := 1.0
	if t.averages.isShort(w.job) {
		count = minLevelForShort
	}
	switch {
	case !s.quorum:
		return t.limit.assigned.has(now, s.evenShare(t), count)
	case w.role == Coordinator:
		return t.limit.assigned.has(now, t.limit.rate(), count)
	case w.role == Backup:
		return t.limit.assigned.has(now, t.limit.rate()*backupLimitShare, count)
	default:
		return false
	}
}

// evenShare returns one entry's even share of a target's limit, in requests per second.
func (s *Scheduler) evenShare(t *targetState) float64 {
	return t.limit.rate() / float64(s.knownEntries)
}

// acceptsGrant reports whether this entry may use a slot that another one granted. The other one may not know the target's
// limit, as it has just started or has an earlier build. Then this entry takes its even share only.
func (s *Scheduler) acceptsGrant(now lovageshift.Millis, t *targetState, keepsLimit bool) bool {
	if keepsLimit || !t.limit.inForce(now) {
		return true
	}
	if !t.limit.accepted.has(now, s.evenShare(t), 1) {
		return false
	}
	t.limit.accepted.take()
	return true
}
