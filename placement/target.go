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
	// A measured tokenMillis counts for this long. A target that is known to be slow gets few streams that could show that
	// it is faster again.
	tokenTTL lovageshift.Millis = 10_000
	// Weight of a new value in the moving average tokenMillis. Few streams are long enough to measure it, and a target that
	// has turned slow should be known as such soon.
	tokenWeight = 0.3
	// Weight of a new value in the moving averages tokenPerPrompt and meanWork, to which all targets of a service contribute.
	ratioWeight = 0.05
	// Estimates of the output are often too low by this factor.
	outputMargin = 2
	// A stream of up to this many events has too few pauses between them to count on.
	fewEvents = 2
	// Pauses between events are uneven, as the target reads other prompts meanwhile. Streams from a target whose mean pause
	// exceeds this share of the longest one allowed are mostly late.
	maxGapShare = 0.5
	// The record of a target that has started again arrives within this time.
	recordDelayMillis lovageshift.Millis = 5000
	// If the state updates of an entry report fewer requests at a target than it has reserved there for longer than
	// this, the messages that ended the excess reservations were probably lost, and these are dropped.
	unconfirmedMillis lovageshift.Millis = 400
)

// targetState is what this entry knows about one incarnation of a target.
type targetState struct {
	*catalog.Target
	service *catalog.Service
	// own counts the slots that this entry holds at the target for its own requests, ownByGranter those of them that each
	// other entry granted.
	own          int
	ownByGranter map[netip.Addr]int
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
	// tokenMillis is the moving average of the milliseconds between two output tokens of a stream, as measured last at
	// tokenMeasuredAt, 0 before the first measurement.
	tokenMillis     float64
	tokenMeasuredAt lovageshift.Millis
	// meanHold is the moving average of the milliseconds for which slots that this entry assigned at the target were held, 0
	// before the first was released.
	meanHold float64
	// averages is shared by the targets of the service.
	averages *serviceAverages
	// maybeColdUntil and lossColdUntil are the times until which the target may be cold although this entry's view does not say
	// so: another entry reported it as cold, and a connection to it failed or was lost.
	maybeColdUntil lovageshift.Millis
	lossColdUntil  lovageshift.Millis
	limit          limitState
	// unavailable is the state of the target's incarnation in Scheduler.unavailable, nil if it has none.
	unavailable *unavailableState
	// lostAt is when a connection to the target last failed, was lost or was found ended, 0 for never: the target may have started
	// again since then, and its new record may not have arrived. unseenAt is when there last was no connection that would have
	// shown that, while the view could not.
	lostAt, unseenAt lovageshift.Millis
	// restarted is set if another incarnation has answered at the target's address.
	restarted bool
	// checkedAt is when the target was last asked for its incarnation, 0 for never, and noReport whether it does not tell.
	checkedAt lovageshift.Millis
	noReport  bool
	// grantTimes are the times at which this entry granted slots at the target, to its own requests and to other
	// entries'. If the service has a ColdPerSecond, they are also recorded while the target is not known to be cold, as
	// it may turn out to have been cold then. belowColdLimit drops those older than coldWindow.
	grantTimes []lovageshift.Millis
}

func newTargetState(registered *catalog.Target, service *catalog.Service, averages *serviceAverages) *targetState {
	return &targetState{Target: registered, service: service, averages: averages, peers: map[netip.Addr]*peerLoad{}, ownByGranter: map[netip.Addr]int{}}
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

// recordResult updates the target's backoff, lossColdUntil and moving averages by how a request ended.
func (t *targetState) recordResult(now lovageshift.Millis, promptTokens lovageshift.Tokens, result Result) {
	switch result.Outcome {
	case Unreachable:
		t.lostAt = now
		t.backoffUntil = now + connectBackoffMillis
		t.assumeCold(t.backoffUntil)
		t.observe(now, true)
	case ConnectionLost:
		t.lostAt = now
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
	if result.TokenMicros > 0 {
		t.observeToken(now, float64(result.TokenMicros)/1000)
	}
	if result.FirstEvent > 0 {
		t.promptLatency = movingAverage(t.promptLatency, float64(result.FirstEvent)/promptUnits(promptTokens), ewmaWeight)
	}
}

// doubtedAt returns the later one of lostAt and unseenAt. A target that does not tell its incarnation is not doubted for the latter:
// nothing could end the doubt for as long as the view cannot.
func (t *targetState) doubtedAt() lovageshift.Millis {
	if t.noReport {
		return t.lostAt
	}
	return max(t.lostAt, t.unseenAt)
}

// mayHaveRestarted reports whether doubtedAt is so late that the record of the target's next incarnation, which may have another
// version of its software, may not have arrived, or whether that is known not to have arrived.
func (t *targetState) mayHaveRestarted(now lovageshift.Millis) bool {
	at := t.doubtedAt()
	return t.restarted || at > 0 && now-at < recordDelayMillis
}

// movingAverage returns an exponential moving average, 0 before its first value, after one more value.
func movingAverage(average, value, weight float64) float64 {
	if average == 0 {
		return value
	}
	return average + weight*(value-average)
}

// assumeCold treats the target as cold for its service's ColdMillis from the given time on, as the target may have
// crashed and restarted without its new registration being known here yet.
func (t *targetState) assumeCold(from lovageshift.Millis) {
	t.lossColdUntil = max(t.lossColdUntil, from+t.service.ColdMillis)
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

// serviceAverages holds averages over a service's targets and requests.
type serviceAverages struct {
	// tokenPerPrompt is the moving average of tokenMillis as a multiple of promptLatency, 0 before the first measurement.
	tokenPerPrompt float64
	// meanWork is the moving average of the work of the requests that got slots, as estimated by workOf, 0 before the first.
	meanWork float64
	// meanHold is the moving average of the milliseconds for which slots that this entry assigned were held, 0 before the
	// first was released.
	meanHold float64
}

// isShort reports whether a job is less work than the average one.
func (s *serviceAverages) isShort(job *Job) bool { return workOf(job) < s.meanWork }

func (t *targetState) observeToken(now lovageshift.Millis, millis float64) {
	if now-t.tokenMeasuredAt > tokenTTL {
		t.tokenMillis = 0
	}
	t.tokenMillis = movingAverage(t.tokenMillis, millis, tokenWeight)
	t.tokenMeasuredAt = now
	if t.promptLatency > 0 {
		t.averages.tokenPerPrompt = movingAverage(t.averages.tokenPerPrompt, t.tokenMillis/t.promptLatency, ratioWeight)
	}
}

// predictToken returns the expected milliseconds between two output tokens: as measured lately or, if no stream was long
// enough to measure it, by the time to the first event. It returns 0 if neither is known.
func (t *targetState) predictToken(now lovageshift.Millis) float64 {
	if t.tokenMillis > 0 && now-t.tokenMeasuredAt <= tokenTTL {
		return t.tokenMillis
	}
	return t.promptLatency * t.averages.tokenPerPrompt
}

// completes reports whether the target is expected to complete the job by its deadline, and with it to spare if the output
// is the margin times as long as expected. It is true as long as the target's speed is not known.
func (t *targetState) completes(now lovageshift.Millis, job *Job, margin float64) bool {
	perToken := t.predictToken(now)
	if perToken == 0 || job.ExpectedOutput == 0 || job.Deadline == 0 {
		return true
	}
	duration := t.predictFirstEvent(job.PromptTokens) + margin*float64(job.ExpectedOutput)*perToken
	return duration <= float64(job.Deadline-now)
}

// completesInTime reports whether the target is expected to complete the job by its deadline.
func (t *targetState) completesInTime(now lovageshift.Millis, job *Job) bool {
	return t.completes(now, job, 1)
}

// onTime reports whether the target is expected to complete the job by its deadline even if the output is longer than
// expected, and without a pause between events that makes it late. A job whose first event is late already counts as any
// other, since a slot at a fast target is of more use to a long answer than to a short one.
func (t *targetState) onTime(now lovageshift.Millis, job *Job) bool {
	if !t.completes(now, job, outputMargin) {
		return false
	}
	eventTokens := max(t.service.EventTokens, 1)
	if job.MaxGap == 0 || int(job.ExpectedOutput) <= fewEvents*eventTokens {
		return true
	}
	return float64(eventTokens)*t.predictToken(now) <= maxGapShare*float64(job.MaxGap)
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

// mayBeCold reports whether the target is cold according to this entry's view or may be cold by maybeColdUntil or
// lossColdUntil, so that coldLimit applies. Without a ColdPerSecond of its service it never is.
func (t *targetState) mayBeCold(now lovageshift.Millis) bool {
	return t.service.ColdPerSecond > 0 && now < max(t.ColdUntil, t.maybeColdUntil, t.lossColdUntil)
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
