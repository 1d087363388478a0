package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/metrics"
	"lovageshift/order"
)

const (
	// Timeout for reading an engine's load report or, in a poll, the report and the prefix-cache events together.
	probeTimeout = 500 * time.Millisecond
	// Interval between polls of a target that is down.
	downPollInterval = 100 * time.Millisecond
)

// checkForCrash reports, after a failed request, whether the target has crashed or is already known to be down. It has
// crashed if its load report cannot be read or shows another incarnation than the previous one. Then every request that
// was running becomes a suspect.
func (a *Agent) checkForCrash() bool {
	a.mutex.Lock()
	suspects := a.runningFingerprints()
	client, knownIncarnation := a.client, a.engineLoad.Incarnation
	alreadyDown := a.targetDown
	a.mutex.Unlock()
	if alreadyDown {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	load, err := client.FetchLoad(ctx)
	if err == nil && (knownIncarnation == "" || load.Incarnation == knownIncarnation) {
		return false
	}
	a.recordCrash(suspects)
	return true
}

// runningFingerprints returns the fingerprints, other than 0, of the admitted requests of which the target may have
// received a part; a.mutex must be held.
func (a *Agent) runningFingerprints() []lovageshift.Fingerprint {
	var fingerprints []lovageshift.Fingerprint
	for w, j := range a.jobs {
		if w.Running() && j.maybeSent.Load() && w.Fingerprint != 0 {
			fingerprints = append(fingerprints, w.Fingerprint)
		}
	}
	return fingerprints
}

// recordCrash marks the target as down and counts one crash, in the metrics and for each suspect. It has no effect if
// the target is already down, as another failed request may have detected the same crash.
func (a *Agent) recordCrash(suspects []lovageshift.Fingerprint) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.targetDown {
		return
	}
	a.setTargetDown()
	a.options.Metrics.Add(metrics.EngineCrashes, "engine", 1)
	klog.Warningf("agent %s: the target crashed; %d running requests are suspects", a.options.Target, len(suspects))
	a.node.RecordCrashes(suspects)
}

// setTargetDown marks the target as down, refuses the queued requests, resets the limiter to the cold limit, drops the
// engine's load report and starts a new cache epoch; a.mutex must be held.
func (a *Agent) setTargetDown() {
	a.targetDown = true
	a.limiter.ResetToCold()
	a.cacheEpoch++
	a.engineLoad = engine.LoadReport{}
	a.refuseQueued(lovageshift.ReasonTargetFailing)
	a.publishLoad()
}

// markTargetDown marks a target that cannot be reached as down. Unlike recordCrash, it makes no request a suspect.
func (a *Agent) markTargetDown() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.targetDown {
		a.setTargetDown()
	}
}

// recordFailure counts a failure of the target. From failuresToResetLimit failures in a row on, each resets the limiter
// to the cold limit.
func (a *Agent) recordFailure() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.consecutiveFailures++
	if a.consecutiveFailures >= failuresToResetLimit {
		a.limiter.ResetToCold()
		a.publishLoad()
	}
}

// observeIncarnation records the incarnation that the target reports; it is empty for a plain service. A new
// incarnation of an engine is cold and has an empty prefix cache.
func (a *Agent) observeIncarnation(incarnation string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.limiter.ObserveEngine(incarnation) {
		a.cacheEpoch++
		a.options.Metrics.Add(metrics.ColdResets, "newIncarnation", 1)
		a.publishLoad()
	}
}

// pollTarget regularly reads an engine's load report and prefix-cache events, and sends it the order that is due. A
// plain service has none of these: if it is down, it counts as up again at the next poll.
func (a *Agent) pollTarget(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mutex.Lock()
		client, down, target := a.client, a.targetDown, a.targetConfig()
		a.mutex.Unlock()
		if client != nil && target != nil && target.Kind == lovageshift.KindEngine {
			a.readLoadReport(ctx, client)
		} else if down {
			a.recordLoad(engine.LoadReport{})
		}
		wait := a.node.Jitter(pollInterval)
		if down {
			wait = downPollInterval
		}
		lovageshift.Pause(ctx, wait)
	}
	return nil
}

// targetConfig returns the configuration of this agent's target, or nil; a.mutex must be held.
func (a *Agent) targetConfig() *lovageshift.Target {
	if a.config == nil {
		return nil
	}
	return a.config.Targets[a.options.Target]
}

func (a *Agent) readLoadReport(ctx context.Context, client TargetClient) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := client.FetchLoad(ctx)
	if err != nil {
		return
	}
	a.observeIncarnation(load.Incarnation)
	a.recordLoad(load)
	a.readCacheEvents(ctx, client)
	a.sendOrder(client, load)
}

// recordLoad records a load report, which is empty for a plain service, and that the target is up.
func (a *Agent) recordLoad(load engine.LoadReport) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.engineLoad = load
	if a.targetDown {
		a.targetDown = false
		a.publishLoad()
		a.wakeAdmission()
	}
}

// readCacheEvents reads the prefix-cache events after those read before. If events are missing in between, it starts a
// new cache epoch, as the contents of the prefix cache are then uncertain.
func (a *Agent) readCacheEvents(ctx context.Context, client TargetClient) {
	a.mutex.Lock()
	from := a.cacheSequence
	a.mutex.Unlock()
	events, err := client.FetchCacheEvents(ctx, from)
	if err != nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if events.First != from && from != 0 {
		a.cacheEpoch++
	}
	a.cacheSequence = events.Next
}

// sendOrder sends the engine the order that is due, if any, and waits until the engine has carried it out, for at most
// order.WeightLoadMillis.
func (a *Agent) sendOrder(client TargetClient, load engine.LoadReport) {
	a.mutex.Lock()
	target := a.targetConfig()
	if target == nil || !a.node.AllowsNewWork() {
		a.mutex.Unlock()
		return
	}
	next, due := a.sequencer.Next(a.node.Now(), a.options.Clock.Wall(), a.config.Revision, order.Desired(target), load)
	a.mutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), order.WeightLoadMillis.Duration())
	defer cancel()
	err := client.SendOrder(ctx, next)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.sequencer.RecordEnd(a.node.Now(), err)
	a.options.Metrics.Add(metrics.Orders, orderResult(err), 1)
}

func orderResult(err error) string {
	switch err {
	case nil:
		return "done"
	case engine.ErrOldFencing:
		return "oldFencing"
	case engine.ErrRateLimited:
		return "rateLimited"
	default:
		return "failed"
	}
}
