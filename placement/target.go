package placement

import (
	"net/netip"

	"lovageshift"
	"lovageshift/catalog"
)

const (
	// A target that refused a connection gets nothing for this long.
	restMillis lovageshift.Millis = 1000
	// A target that turned a request away gets nothing for this long.
	refusedMillis lovageshift.Millis = 50
	// Used where neither the target nor its service says how many requests it runs at once.
	defaultSlots = 16
	// One more request than the slots for so many slots waits at a plain service.
	plainExtra = 2
	// How much a new observation counts in a moving average.
	learnShare = 0.15
	// Failures are forgotten by half in this time, so that a target gets tried again.
	forgiveMillis lovageshift.Millis = 4000
	// Added to a prompt's thousands of tokens, for the part of the time to the first event that no prompt explains.
	paceBase = 0.5
	// Assumed before anything was observed, in milliseconds per thousand prompt tokens.
	startPace = 15
	// A lease that its entry's news do not confirm for this long has ended without a word.
	leaseDoubtMillis lovageshift.Millis = 400
)

// target is what this entry knows of one incarnation of a target.
type target struct {
	*catalog.Target
	service *catalog.Service
	// mine are this entry's own requests there.
	mine int
	// others are the requests of other entries, by the larger of what they were granted here and what they tell.
	others map[netip.Addr]*share
	// othersSum is the sum of the others' counts.
	othersSum int
	restUntil lovageshift.Millis
	// failing is the share of late failures, from 0 to 1.
	failing   float64
	failingAt lovageshift.Millis
	// pace is the milliseconds to the first event for each thousand prompt tokens.
	pace float64
	// chilledUntil is until when the target may be cold, by what became of its connections.
	chilledUntil lovageshift.Millis
	// coldSent are the times of requests sent in the last second.
	coldSent []lovageshift.Millis
}

// share is what one other entry has at a target.
type share struct {
	leases int
	told   int
	// agreed is when the leases were last no more than what the entry told.
	agreed lovageshift.Millis
}

func (s *share) count() int { return max(s.leases, s.told) }

func newTarget(known *catalog.Target, service *catalog.Service) *target {
	return &target{Target: known, service: service, others: map[netip.Addr]*share{}}
}

func (t *target) slots() int {
	switch {
	case t.Slots > 0:
		return t.Slots
	case t.service.EngineSlots > 0:
		return t.service.EngineSlots
	default:
		return defaultSlots
	}
}

// places is how many requests the target gets at once: an engine's slots, as what waits there is out of our hands, and
// a little more at a plain service, whose answers are shorter than the way to its keeper.
func (t *target) places() int {
	if t.service.Engine {
		return t.slots()
	}
	return t.slots() + t.slots()/plainExtra
}

func (t *target) running() int { return t.mine + t.othersSum }

// change updates what another entry has here.
func (t *target) change(now lovageshift.Millis, from netip.Addr, update func(*share)) {
	s := t.others[from]
	if s == nil {
		s = &share{agreed: now}
		t.others[from] = s
	}
	t.othersSum -= s.count()
	update(s)
	t.othersSum += s.count()
	if s.leases <= s.told {
		s.agreed = now
	}
	if s.count() == 0 {
		delete(t.others, from)
	}
}

// failures returns the share of failures, faded by time.
func (t *target) failures(now lovageshift.Millis) float64 {
	age := now - t.failingAt
	if age >= 8*forgiveMillis {
		return 0
	}
	share := t.failing
	for ; age >= forgiveMillis; age -= forgiveMillis {
		share /= 2
	}
	return share * (1 - 0.5*float64(age)/float64(forgiveMillis))
}

// learn takes in how a request ended.
func (t *target) learn(now lovageshift.Millis, prompt lovageshift.Tokens, result Result) {
	switch result.Outcome {
	case Unreachable:
		t.restUntil = now + restMillis
		t.chill(t.restUntil)
		t.observe(now, true)
	case ConnectionLost:
		t.chill(now)
		t.observe(now, true)
	case Refused:
		t.restUntil = now + refusedMillis
	case Failed:
		t.observe(now, true)
	case Served:
		t.observe(now, false)
	case Abandoned:
	}
	if result.FirstEvent > 0 {
		pace := float64(result.FirstEvent) / paceUnits(prompt)
		if t.pace == 0 {
			t.pace = pace
			return
		}
		t.pace += learnShare * (pace - t.pace)
	}
}

// chill treats the target as cold: it may have crashed and come back before its new record is known.
func (t *target) chill(from lovageshift.Millis) {
	t.chilledUntil = max(t.chilledUntil, from+t.service.ColdMillis)
}

func paceUnits(prompt lovageshift.Tokens) float64 { return float64(prompt)/1000 + paceBase }

// firstEvent predicts the milliseconds to the first event of a prompt.
func (t *target) firstEvent(prompt lovageshift.Tokens) float64 {
	pace := t.pace
	if pace == 0 {
		pace = startPace
	}
	return pace * paceUnits(prompt)
}

func (t *target) observe(now lovageshift.Millis, failed bool) {
	share := t.failures(now)
	value := 0.0
	if failed {
		value = 1
	}
	t.failing = share + learnShare*(value-share)
	t.failingAt = now
}

// mayBeCold reports whether the bound for cold targets applies.
func (t *target) mayBeCold(now lovageshift.Millis) bool {
	return t.service.ColdPerSecond > 0 && now < max(t.ColdUntil, t.chilledUntil)
}

// coldRoom reports whether a cold target may get one more request within the second.
func (t *target) coldRoom(now lovageshift.Millis, limit int) bool {
	kept := t.coldSent[:0]
	for _, at := range t.coldSent {
		if now-at < coldWindow {
			kept = append(kept, at)
		}
	}
	t.coldSent = kept
	return len(kept) < limit
}
