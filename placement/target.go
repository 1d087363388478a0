package placement

import (
	"net/netip"

	"lovageshift"
	"lovageshift/catalog"
)

const (
	// A target that refused a connection gets nothing for this long.
	connectBackoffMillis lovageshift.Millis = 1000
	// A target that rejected a request gets nothing for this long.
	refusalBackoffMillis lovageshift.Millis = 50
	// Slots of a target where neither it nor its service says how many requests it runs at once.
	defaultSlots = 16
	// A target of a plain service gets one request beyond its slots, which waits there, for each so many slots.
	slotsPerQueued = 2
	// Weight of a new observation in the exponential moving averages.
	ewmaWeight = 0.15
	// The failure average halves in this time, so that a target gets tried again.
	failureHalfLifeMillis lovageshift.Millis = 4000
	// Added to a prompt's thousands of tokens, for the part of the time to the first event that does not depend on the
	// prompt.
	promptOffset = 0.5
	// Time to the first event assumed before any was observed, in milliseconds per thousand prompt tokens.
	initialPromptLatency = 15
	// A reservation that the state updates of its entry do not confirm for this long is over: the message that ended it
	// was lost.
	unconfirmedMillis lovageshift.Millis = 400
)

// target is what this entry knows about one incarnation of a target.
type target struct {
	*catalog.Target
	service *catalog.Service
	// own counts this entry's requests at the target.
	own int
	// peers are the requests of other entries.
	peers map[netip.Addr]*peerLoad
	// peerRunning is the sum of the peers' counts.
	peerRunning int
	// backoffUntil is until when the target gets nothing.
	backoffUntil lovageshift.Millis
	// failureAverage is the moving average of failures at failureUpdated, from 0 to 1.
	failureAverage float64
	failureUpdated lovageshift.Millis
	// promptLatency is the moving average of the milliseconds to the first event per thousand prompt tokens, 0 if
	// nothing was observed.
	promptLatency float64
	// assumedColdUntil is until when the target may be cold by what became of its connections, or by another entry's
	// view.
	assumedColdUntil lovageshift.Millis
	// coldSent are the times of the requests sent within coldWindow.
	coldSent []lovageshift.Millis
}

// peerLoad is what one other entry has at a target.
type peerLoad struct {
	reserved int // slots that this entry granted to it
	reported int // running requests by its state updates
	// confirmedAt is when reserved was last no more than reported.
	confirmedAt lovageshift.Millis
}

// count is the larger of the two: either may be known first.
func (l *peerLoad) count() int { return max(l.reserved, l.reported) }

func newTarget(registered *catalog.Target, service *catalog.Service) *target {
	return &target{Target: registered, service: service, peers: map[netip.Addr]*peerLoad{}}
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

// capacity is how many requests the target may have at once: the slots of an engine, as the scheduler has no control of
// a request that waits inside it, and some more at a plain service, whose answers take less time than the way to the
// coordinator.
func (t *target) capacity() int {
	if t.service.Engine {
		return t.slots()
	}
	return t.slots() + t.slots()/slotsPerQueued
}

func (t *target) running() int { return t.own + t.peerRunning }

// updatePeer changes what another entry has at the target and keeps peerRunning in step.
func (t *target) updatePeer(now lovageshift.Millis, from netip.Addr, update func(*peerLoad)) {
	l := t.peers[from]
	if l == nil {
		l = &peerLoad{confirmedAt: now}
		t.peers[from] = l
	}
	t.peerRunning -= l.count()
	update(l)
	t.peerRunning += l.count()
	if l.reserved <= l.reported {
		l.confirmedAt = now
	}
	if l.count() == 0 {
		delete(t.peers, from)
	}
}

// failureShare returns the average share of failed requests, from 0 to 1, decayed to now.
func (t *target) failureShare(now lovageshift.Millis) float64 {
	age := now - t.failureUpdated
	if age >= 8*failureHalfLifeMillis {
		return 0
	}
	share := t.failureAverage
	for ; age >= failureHalfLifeMillis; age -= failureHalfLifeMillis {
		share /= 2
	}
	return share * (1 - 0.5*float64(age)/float64(failureHalfLifeMillis))
}

// recordResult updates the target's backoff, cold state and averages by how a request ended.
func (t *target) recordResult(now lovageshift.Millis, prompt lovageshift.Tokens, result Result) {
	switch result.Outcome {
	case Unreachable:
		t.backoffUntil = now + connectBackoffMillis
		t.assumeCold(t.backoffUntil)
		t.observe(now, true)
	case ConnectionLost:
		t.assumeCold(now)
		t.observe(now, true)
	case Refused:
		t.backoffUntil = now + refusalBackoffMillis
	case Failed:
		t.observe(now, true)
	case Served:
		t.observe(now, false)
	case Abandoned:
	}
	if result.FirstEvent > 0 {
		latency := float64(result.FirstEvent) / promptUnits(prompt)
		if t.promptLatency == 0 {
			t.promptLatency = latency
			return
		}
		t.promptLatency += ewmaWeight * (latency - t.promptLatency)
	}
}

// assumeCold treats the target as cold from the given time: it may have crashed and restarted before its new
// registration is known.
func (t *target) assumeCold(from lovageshift.Millis) {
	t.assumedColdUntil = max(t.assumedColdUntil, from+t.service.ColdMillis)
}

func promptUnits(prompt lovageshift.Tokens) float64 { return float64(prompt)/1000 + promptOffset }

// predictFirstEvent returns the expected milliseconds to the first event for a prompt.
func (t *target) predictFirstEvent(prompt lovageshift.Tokens) float64 {
	latency := t.promptLatency
	if latency == 0 {
		latency = initialPromptLatency
	}
	return latency * promptUnits(prompt)
}

// observe adds one request, failed or not, to the failure average.
func (t *target) observe(now lovageshift.Millis, failed bool) {
	share := t.failureShare(now)
	value := 0.0
	if failed {
		value = 1
	}
	t.failureAverage = share + ewmaWeight*(value-share)
	t.failureUpdated = now
}

// mayBeCold reports whether the limit for cold targets applies.
func (t *target) mayBeCold(now lovageshift.Millis) bool {
	return t.service.ColdPerSecond > 0 && now < max(t.ColdUntil, t.assumedColdUntil)
}

// belowColdLimit reports whether a cold target may get one more request within coldWindow.
func (t *target) belowColdLimit(now lovageshift.Millis, limit int) bool {
	kept := t.coldSent[:0]
	for _, at := range t.coldSent {
		if now-at < coldWindow {
			kept = append(kept, at)
		}
	}
	t.coldSent = kept
	return len(kept) < limit
}
