package placement

import (
	"net/netip"

	"lovageshift"
	"lovageshift/catalog"
)

const (
	// A target to which no connection could be established (Unreachable) gets no request for this long.
	connectBackoffMillis lovageshift.Millis = 1000
	// A target that rejected a request (Refused) gets no other for this long.
	refusalBackoffMillis lovageshift.Millis = 50
	// Number of slots of a target if neither its registration nor its service says how many requests it runs at once.
	defaultSlots = 16
	// A target of a plain service gets one request more for every slotsPerQueued of its slots. These requests wait at
	// the target.
	slotsPerQueued = 2
	// Weight of a new value in the exponential moving averages failureAverage and promptLatency.
	ewmaWeight = 0.15
	// The time in which the failure average halves while no request ends at the target, so that the target is tried
	// again.
	failureHalfLifeMillis lovageshift.Millis = 4000
	// Added to a prompt's length in thousands of tokens, for the part of the time to the first event that does not
	// depend on the prompt.
	promptOffset = 0.5
	// The value used for promptLatency before the first measurement, in milliseconds per thousand prompt tokens.
	initialPromptLatency = 15
	// If the state updates of an entry report fewer requests at a target than it has reserved there for longer than
	// this, the messages that ended the excess reservations were probably lost, and these are dropped.
	unconfirmedMillis lovageshift.Millis = 400
)

// targetState is what this entry knows about one incarnation of a target.
type targetState struct {
	*catalog.Target
	service *catalog.Service
	// own counts the slots that this entry holds at the target for its own requests.
	own int
	// peers holds the load of the other entries that have requests at the target, by the entries' addresses.
	peers map[netip.Addr]*peerLoad
	// peerRunning is the sum of peerLoad.count over peers.
	peerRunning int
	// backoffUntil is the time before which the target gets no requests.
	backoffUntil lovageshift.Millis
	// failureAverage is the moving average of the share of failed requests, from 0 to 1, as of failureUpdated. The
	// function failureShare returns its current value.
	failureAverage float64
	failureUpdated lovageshift.Millis
	// promptLatency is the moving average of the milliseconds to the first event per unit of promptUnits (a thousand
	// prompt tokens), 0 before the first measurement.
	promptLatency float64
	// maybeColdUntil is the time until which the target may be cold although this entry's view does not say so: a
	// connection to it failed or was lost, or another entry reported it as cold.
	maybeColdUntil lovageshift.Millis
	// grantTimes are the times at which this entry granted slots at the target, to its own requests and to other
	// entries'. If the service has a ColdPerSecond, they are also recorded while the target is not known to be cold, as
	// it may turn out to have been cold then. belowColdLimit drops those older than coldWindow.
	grantTimes []lovageshift.Millis
}

// peerLoad counts the requests of one other entry at a target.
type peerLoad struct {
	reserved int // slots that this entry granted to the other one
	reported int // requests at the target by the other entry's last state update
	// confirmedAt is the last time at which reserved was found to be no more than reported.
	confirmedAt lovageshift.Millis
}

// count returns the larger of reserved and reported, as a new request is included in one of them before the other.
func (l *peerLoad) count() int { return max(l.reserved, l.reported) }

func newTargetState(registered *catalog.Target, service *catalog.Service) *targetState {
	return &targetState{Target: registered, service: service, peers: map[netip.Addr]*peerLoad{}}
}

func (t *targetState) slots() int {
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
// scheduler has no control over the requests that wait inside it. A target of a plain service gets some more, as its
// answers take less time than the messages to and from the coordinator, during which its slots would be idle.
func (t *targetState) capacity() int {
	if t.service.Engine {
		return t.slots()
	}
	return t.slots() + t.slots()/slotsPerQueued
}

func (t *targetState) running() int { return t.own + t.peerRunning }

// updatePeer applies the update to another entry's load at the target and adjusts peerRunning.
func (t *targetState) updatePeer(now lovageshift.Millis, from netip.Addr, update func(*peerLoad)) {
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

// failureShare returns the current value of failureAverage, which decays from failureUpdated on: it halves in each
// failureHalfLifeMillis, linearly within it, and is 0 after 8 of them.
func (t *targetState) failureShare(now lovageshift.Millis) float64 {
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

// recordResult updates the target's backoff, maybeColdUntil and moving averages by how a request ended.
func (t *targetState) recordResult(now lovageshift.Millis, promptTokens lovageshift.Tokens, result Result) {
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

// assumeCold treats the target as cold for its service's ColdMillis from the given time on, as the target may have
// crashed and restarted without its new registration being known here yet.
func (t *targetState) assumeCold(from lovageshift.Millis) {
	t.maybeColdUntil = max(t.maybeColdUntil, from+t.service.ColdMillis)
}

// promptUnits returns the size to which the time to the first event is taken to be proportional: the prompt's length in
// thousands of tokens plus promptOffset.
func promptUnits(promptTokens lovageshift.Tokens) float64 {
	return float64(promptTokens)/1000 + promptOffset
}

// predictFirstEvent returns the expected milliseconds to the first event for a prompt.
func (t *targetState) predictFirstEvent(promptTokens lovageshift.Tokens) float64 {
	latency := t.promptLatency
	if latency == 0 {
		latency = initialPromptLatency
	}
	return latency * promptUnits(promptTokens)
}

// observe adds one request, failed or not, to the failure average.
func (t *targetState) observe(now lovageshift.Millis, failed bool) {
	share := t.failureShare(now)
	value := 0.0
	if failed {
		value = 1
	}
	t.failureAverage = share + ewmaWeight*(value-share)
	t.failureUpdated = now
}

// mayBeCold reports whether the target is cold according to this entry's view or may be cold by maybeColdUntil, so that
// coldLimit applies. Without a ColdPerSecond of its service it never is.
func (t *targetState) mayBeCold(now lovageshift.Millis) bool {
	return t.service.ColdPerSecond > 0 && now < max(t.ColdUntil, t.maybeColdUntil)
}

// belowColdLimit reports whether this entry granted fewer than limit slots at the target within coldWindow.
func (t *targetState) belowColdLimit(now lovageshift.Millis, limit int) bool {
	kept := t.grantTimes[:0]
	for _, at := range t.grantTimes {
		if now-at < coldWindow {
			kept = append(kept, at)
		}
	}
	t.grantTimes = kept
	return len(kept) < limit
}
