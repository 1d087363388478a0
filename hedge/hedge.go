package hedge

import (
	"sync"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/retry"
)

const (
	// MaxShare is the largest share of extra attempts that an operator may allow.
	MaxShare = 0.5
	// Length of the sliding window over which the share of extra attempts is kept.
	limitWindow lovageshift.Millis = 10_000
	// No second attempt is sent before this share of the objective, as a response that arrives by then meets its objective.
	minDelayShare = 0.1
	// A second attempt is sent at the latest after this many medians of the measured times. If one target in ten is slow, the
	// quantile of the share is one of its responses and would be too late.
	maxDelayMedians = 3
	// The smallest quantile of the measured times after which a second attempt is sent. A larger share is kept for times at
	// which more responses than usual are slow.
	minQuantile = 0.9
	// No second attempt is sent in this last part of the time from the first attempt to the deadline, or when less than
	// minMediansLeft medians of the measured times are left.
	lastPart       = 0.25
	minMediansLeft = 2
	// After a request waited for a slot or was refused one, its service gets no second attempts for this long.
	shortageMillis lovageshift.Millis = 1000
	// A request has waited for a slot if it took longer than this share of its objective to get one, and longer than a request
	// to another entry and its reply take.
	shortageShare                    = 0.1
	minShortage   lovageshift.Millis = 10
)

// Verdict says what became of a second attempt. It is the label value of the metric and the log line.
type Verdict string

// The verdicts. A second attempt is sent for Allowed only.
const (
	Allowed Verdict = "sent"
	// Won second attempts gave the response that the caller got.
	Won Verdict = "won"
	// Limited ones would exceed the operator's share, OverBudget ones the retries that all entries together may send.
	Limited    Verdict = "limited"
	OverBudget Verdict = "overBudget"
	// Late ones would be sent in the last part of the time to the deadline.
	Late Verdict = "late"
	// NoCapacity ones found no suitable free slot, or requests have lately waited for slots.
	NoCapacity Verdict = "noCapacity"
	// Unfit ones must not be sent for other reasons: the key, the request or the target may no longer be used.
	Unfit Verdict = "unfit"
)

// Attempt describes the first attempt of a request.
type Attempt struct {
	Service catalog.ServiceID
	Size    SizeClass
	// Objective is the time from the request's arrival to the response that it should meet.
	Objective lovageshift.Millis
	// SentAt is when the attempt began, Deadline when the response must be complete, 0 for no bound.
	SentAt   lovageshift.Millis
	Deadline lovageshift.Millis
}

// Policy decides on the second attempts of one entry. It is safe for concurrent use.
type Policy struct {
	limit *retry.WindowBudget

	mutex sync.Mutex
	times *times
	// shortAt is when a request of each service last waited for a slot or was refused one.
	shortAt map[catalog.ServiceID]lovageshift.Millis
}

// New returns a policy without measured times. The share, above 0 and at most MaxShare, is that of the second attempts in the
// requests of a service that may get one, in any window of limitWindow.
func New(share float64) *Policy {
	return &Policy{
		limit: retry.NewWindowBudget(retry.Bounds{Ratio: share, Window: limitWindow}),
		times: newTimes(max(1-share, minQuantile)), shortAt: map[catalog.ServiceID]lovageshift.Millis{},
	}
}

// RecordRequest counts a request that may get a second attempt, once whatever the number of its attempts.
func (p *Policy) RecordRequest(now lovageshift.Millis, service catalog.ServiceID) {
	p.limit.RecordRequest(now, string(service))
}

// RecordFirstByte records the time from sending a request until the first byte of its response. For an attempt that was
// canceled before, it is the time until then.
func (p *Policy) RecordFirstByte(now lovageshift.Millis, service catalog.ServiceID, size SizeClass, took lovageshift.Millis) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.times.record(now, series{service, size}, took)
}

// RecordSlot records how long a request waited for its slot, and whether it was refused one.
func (p *Policy) RecordSlot(now lovageshift.Millis, service catalog.ServiceID, objective, waited lovageshift.Millis, refused bool) {
	if !refused && waited <= max(shareOf(objective, shortageShare), minShortage) {
		return
	}
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.shortAt[service] = now
}

// Delay returns how long after the attempt began a second one is due, and false if there is none: too few times are known, or
// it would come in the last part of the time to the deadline.
func (p *Policy) Delay(now lovageshift.Millis, a Attempt) (lovageshift.Millis, bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.times.measured(now, series{a.Service, a.Size})
	if !m.known {
		return 0, false
	}
	delay := max(min(m.late, maxDelayMedians*m.median), shareOf(a.Objective, minDelayShare), 1)
	return delay, a.inTime(a.SentAt+delay, m)
}

// Allow decides whether the second attempt of a request may be sent now. If it is Allowed, it counts toward the share,
// whether or not it is sent then, so that the number of slots that are asked for is limited too.
func (p *Policy) Allow(now lovageshift.Millis, a Attempt) Verdict {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	m := p.times.measured(now, series{a.Service, a.Size})
	shortAt, short := p.shortAt[a.Service]
	switch {
	case !a.inTime(now, m):
		return Late
	case short && now-shortAt < shortageMillis:
		return NoCapacity
	case !p.limit.Spend(now, string(a.Service)):
		return Limited
	default:
		return Allowed
	}
}

// inTime reports whether a second attempt that begins at the given time leaves enough of the time to the deadline.
func (a Attempt) inTime(at lovageshift.Millis, m measurement) bool {
	if a.Deadline == 0 {
		return true
	}
	left := a.Deadline - at
	return left >= shareOf(a.Deadline-a.SentAt, lastPart) && left >= minMediansLeft*m.median
}

func shareOf(whole lovageshift.Millis, share float64) lovageshift.Millis {
	return lovageshift.Millis(float64(whole) * share)
}
