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
	probeTimeout = 500 * time.Millisecond
	// How often an engine that is down is asked for its load report.
	probeInterval = 100 * time.Millisecond
)

// checkForCrash determines after a failed call whether the engine crashed: it gives no load report, or has another
// incarnation. If so, every request that was running is a suspect.
func (a *Agent) checkForCrash() bool {
	a.mutex.Lock()
	suspects := a.runningFingerprints()
	target, knownIncarnation := a.engine, a.engineLoad.Incarnation
	alreadyDown := a.engineDown
	a.mutex.Unlock()
	if alreadyDown {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	load, err := target.FetchLoad(ctx)
	if err == nil && (knownIncarnation == "" || load.Incarnation == knownIncarnation) {
		return false
	}
	a.recordCrash(suspects)
	return true
}

func (a *Agent) runningFingerprints() []lovageshift.Fingerprint {
	var fingerprints []lovageshift.Fingerprint
	for w, j := range a.jobs {
		if w.Running() && j.sent.Load() && w.Fingerprint != 0 {
			fingerprints = append(fingerprints, w.Fingerprint)
		}
	}
	return fingerprints
}

// recordCrash counts a crash and its suspects once, for the first call that notices it.
func (a *Agent) recordCrash(suspects []lovageshift.Fingerprint) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.engineDown {
		return
	}
	a.setEngineDown()
	a.options.Metrics.Add(metrics.EngineCrashes, "engine", 1)
	klog.Warningf("agent %s: the engine crashed with %d requests running", a.options.Target, len(suspects))
	a.node.RecordCrashes(suspects)
}

// setEngineDown refuses the queued requests and forgets the engine's state; a.mutex must be held.
func (a *Agent) setEngineDown() {
	a.engineDown = true
	a.limiter.ResetToCold()
	a.cacheEpoch++
	a.engineLoad = engine.LoadReport{}
	a.refuseWaiting(lovageshift.ReasonTargetFailing)
	a.notifyWatchers()
}

// markEngineDown records that the engine cannot be reached, without suspecting any request.
func (a *Agent) markEngineDown() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.engineDown {
		a.setEngineDown()
	}
}

// recordFailure counts a failure; failuresToReset of them in a row reset the target to its cold limit.
func (a *Agent) recordFailure() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.consecutiveFailures++
	if a.consecutiveFailures >= failuresToReset {
		a.limiter.ResetToCold()
		a.notifyWatchers()
	}
}

// observeEngine records the engine's incarnation; a new one is cold and has an empty prefix cache.
func (a *Agent) observeEngine(incarnation string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.limiter.ObserveEngine(incarnation) {
		a.cacheEpoch++
		a.options.Metrics.Add(metrics.ColdResets, "newIncarnation", 1)
		a.notifyWatchers()
	}
}

// pollEngine reads the engine's load report and prefix-cache events and gives it orders. A plain service has none of
// these: once it is down, it takes requests again at the next poll.
func (a *Agent) pollEngine(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mutex.Lock()
		target, down, self := a.engine, a.engineDown, a.targetConfig()
		a.mutex.Unlock()
		if target != nil && self != nil && self.Kind == lovageshift.KindEngine {
			a.readLoadReport(ctx, target)
		} else if down {
			a.recordLoad(engine.LoadReport{})
		}
		wait := a.node.Jitter(loadReportInterval)
		if down {
			wait = probeInterval
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

func (a *Agent) readLoadReport(ctx context.Context, target Engine) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := target.FetchLoad(ctx)
	if err != nil {
		return
	}
	a.observeEngine(load.Incarnation)
	a.recordLoad(load)
	a.readCacheEvents(ctx, target)
	a.sendOrder(target, load)
}

// recordLoad records the engine's load report, which also shows that the engine is up.
func (a *Agent) recordLoad(load engine.LoadReport) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.engineLoad = load
	if a.engineDown {
		a.engineDown = false
		a.notifyWatchers()
		a.wakeAdmission()
	}
}

// readCacheEvents starts a new cache epoch after a gap in the events, as the contents of the prefix cache are then
// uncertain.
func (a *Agent) readCacheEvents(ctx context.Context, target Engine) {
	a.mutex.Lock()
	from := a.cacheSequence
	a.mutex.Unlock()
	events, err := target.FetchCacheEvents(ctx, from)
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

// sendOrder gives the engine at most one order and waits until it has ended.
func (a *Agent) sendOrder(target Engine, load engine.LoadReport) {
	a.mutex.Lock()
	self := a.targetConfig()
	if self == nil || !a.node.AllowsNewWork() {
		a.mutex.Unlock()
		return
	}
	next, due := a.sequencer.Next(a.node.Now(), a.options.Clock.Wall(), a.config.Revision, order.Desired(self), load)
	a.mutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), order.WeightLoadMillis.Duration())
	defer cancel()
	err := target.SendOrder(ctx, next)
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
