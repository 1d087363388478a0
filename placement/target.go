package placement

import (
	"net/netip"

	"lovageshift"
	"lovageshift/catalog"
)

const (
	// A target that refused a connection gets no request for this long.
	connectBackoffMillis lovageshift.Millis = 1000
	// A target that rejected a request gets no other for this long.
	refusalBackoffMillis lovageshift.Millis = 50
	// Slots assumed for a target if neither it nor its service says how many requests it runs at once.
	defaultSlots = 16
	// For each so many of its slots, a target of a plain service gets one more request, which waits at the target.
	slotsPerQueued = 2
	// Weight of a new observation in the exponential moving averages.
	ewmaWeight = 0.15
	// Without new requests, the failure average halves in this time, so that the target is tried again.
	failureHalfLifeMillis lovageshift.Millis = 4000
	// Added to a prompt's length in thousands of tokens, for the part of the time to the first event that does not depend
	// on the prompt.
	promptOffset = 0.5
	// promptLatency assumed before any was observed, in milliseconds per thousand prompt tokens.
	initialPromptLatency = 15
	// A reservation that the state updates of its entry do not confirm for this long counts as over: the message that
	// ended it was probably lost.
	unconfirmedMillis lovageshift.Millis = 400
)

// target is what this entry knows about one incarnation of a target.
type target struct {
	*catalog.Target
	service *catalog.Service
	// own counts this entry's requests at the target.
	own int
	// peers holds the load of the other entries that have requests at the target, by their addresses.
	peers map[netip.Addr]*peerLoad
	// peerRunning is the sum of count over peers.
	peerRunning int
	// backoffUntil is until when the target gets no requests.
	backoffUntil lovageshift.Millis
	// failureAverage is the moving average of failures at failureUpdated, from 0 to 1.
	failureAverage float64
	failureUpdated lovageshift.Millis
	// promptLatency is the moving average of the milliseconds to the first event per thousand prompt tokens, 0 if
	// nothing was observed.
	promptLatency float64
	// maybeColdUntil is until when the target may be cold because a connection to it failed or was lost, or by another
	// entry's view.
	maybeColdUntil lovageshift.Millis
	// grantTimes are the times of this entry's grants at the target, to its own requests and to other entries'. They are
	// recorded for targets that are not cold too, as those may turn out to be, but only if the service has a cold rate.
	// belowColdLimit drops those older than coldWindow.
	grantTimes []lovageshift.Millis
}

// peerLoad counts the requests of one other entry at a target.
type peerLoad struct {
	reserved int // slots that this entry granted to the other one
	reported int // requests at the target by the other entry's last state update
	// confirmedAt is when reserved was last no more than reported.
	confirmedAt lovageshift.Millis
}

// count returns the larger of reserved and reported, as either may be the first to include a request.
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

// capacity returns how many requests the target may have at once. An engine gets no more than its slots, as the
// scheduler has no control of a request that waits inside it. A target of a plain service gets some more, as its
// answers take less time than the messages to and from the coordinator.
func (t *target) capacity() int {
	if t.service.Engine {
		return t.slots()
	}
	return t.slots() + t.slots()/slotsPerQueued
}

func (t *target) running() int { return t.own + t.peerRunning }

// updatePeer applies the update to another entry's load at the target and adjusts peerRunning.
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

// failureShare returns the moving average of failures, from 0 to 1, as it has decayed since failureUpdated.
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
func (t *target) recordResult(now lovageshift.Millis, promptTokens lovageshift.Tokens, result Result) {
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
		latency := float64(result.FirstEvent) / promptUnits(promptTokens)
		if t.promptLatency == 0 {
			t.promptLatency = latency
			return
		}
		t.promptLatency += ewmaWeight * (latency - t.promptLatency)
	}
}

// assumeCold treats the target as cold until its service's cold period after the given time: it may have crashed and
// restarted, and its new registration may not be known yet.
func (t *target) assumeCold(from lovageshift.Millis) {
	t.maybeColdUntil = max(t.maybeColdUntil, from+t.service.ColdMillis)
}

// promptUnits returns the thousands of prompt tokens to which the time to the first event is taken to be proportional,
// with promptOffset included.
func promptUnits(promptTokens lovageshift.Tokens) float64 {
	return float64(promptTokens)/1000 + promptOffset
}

// predictFirstEvent returns the expected milliseconds to the first event for a prompt.
func (t *target) predictFirstEvent(promptTokens lovageshift.Tokens) float64 {
	latency := t.promptLatency
	if latency == 0 {
		latency = initialPromptLatency
	}
	return latency * promptUnits(promptTokens)
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

// mayBeCold reports whether the target is cold by this entry's view or may be by maybeColdUntil, so that coldLimit
// applies.
func (t *target) mayBeCold(now lovageshift.Millis) bool {
	return t.service.ColdPerSecond > 0 && now < max(t.ColdUntil, t.maybeColdUntil)
}

// belowColdLimit reports whether fewer than limit requests were granted at the target within coldWindow.
func (t *target) belowColdLimit(now lovageshift.Millis, limit int) bool {
	kept := t.grantTimes[:0]
	for _, at := range t.grantTimes {
		if now-at < coldWindow {
			kept = append(kept, at)
		}
	}
	t.grantTimes = kept
	return len(kept) < limit
}
