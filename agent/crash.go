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
	// Timeout for reading an engine's load report after a failure or, in a poll, for reading the report and the
	// prefix-cache events together.
	probeTimeout = 500 * time.Millisecond
	// Interval between polls of a target that is down (see Agent.targetDown).
	downPollInterval = 100 * time.Millisecond
)

// checkForCrash reports, after the request of a job failed, whether the target has crashed or was already known to be
// down. The target counts as crashed if its load report cannot be read, or shows another incarnation than the last report
// read before. Then every request that was running at the call of checkForCrash becomes a suspect (see package
// quarantine). If the target was already down, the failed request does: no earlier check may have known of it. Plain
// services are checked in the same way.
func (a *Agent) checkForCrash(j *job) bool {
	a.mutex.Lock()
	running := a.sentJobs()
	client, knownIncarnation := a.client, a.engineLoad.Incarnation
	alreadyDown := a.targetDown
	a.mutex.Unlock()
	if alreadyDown {
		a.recordCrash([]*job{j})
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	load, err := client.FetchLoad(ctx)
	if err == nil && (knownIncarnation == "" || load.Incarnation == knownIncarnation) {
		return false
	}
	a.recordCrash(running)
	return true
}

// sentJobs returns the admitted jobs of whose requests the target may have received a part; a.mutex must be held.
func (a *Agent) sentJobs() []*job {
	var sent []*job
	for request, j := range a.jobs {
		if request.Running() && j.maybeSent.Load() {
			sent = append(sent, j)
		}
	}
	return sent
}

// recordCrash marks the target as down and counts one crash, in the metrics unless it is already down, and for each job
// that no earlier call counted: another failed request may have detected the same crash.
func (a *Agent) recordCrash(running []*job) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	suspects := newSuspects(running)
	if !a.targetDown {
		a.setTargetDown()
		a.options.Metrics.Add(metrics.EngineCrashes, "engine", 1)
		klog.Warningf("agent %s: the target crashed; %d running requests are suspects", a.options.Target, len(suspects))
	}
	a.node.RecordCrashes(suspects)
}

// newSuspects marks the jobs as suspects and returns the fingerprints, other than 0, of those that were not marked before
// and of whose requests the target may have received a part; Agent.mutex must be held.
func newSuspects(jobs []*job) []lovageshift.Fingerprint {
	var fingerprints []lovageshift.Fingerprint
	for _, j := range jobs {
		if j.suspect || !j.maybeSent.Load() || j.request.Fingerprint == 0 {
			continue
		}
		j.suspect = true
		fingerprints = append(fingerprints, j.request.Fingerprint)
	}
	return fingerprints
}

// setTargetDown marks the target as down, refuses the queued requests, resets the concurrency limiter to the target's
// cold limit (see admission.ConcurrencyLimiter), drops the engine's load report and starts a new cache epoch; a.mutex
// must be held.
func (a *Agent) setTargetDown() {
	a.targetDown = true
	a.limiter.ResetToCold()
	a.cacheEpoch++
	a.engineLoad = engine.LoadReport{}
	a.refuseQueued(lovageshift.ReasonTargetFailing)
	a.notifyLoadChanged()
}

// recordUnreachable marks a target as down to which no connection could be opened. Unlike recordCrash, it counts no
// crash and makes no request a suspect. Requests that run at the target count once they fail.
func (a *Agent) recordUnreachable() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.targetDown {
		a.setTargetDown()
	}
}

// recordFailure counts a failure of the target: a response that is missing, broken off, invalid or too large. From
// failuresToResetLimit failures on without a complete response in between, each resets the concurrency limiter to the
// cold limit.
func (a *Agent) recordFailure() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.consecutiveFailures++
	if a.consecutiveFailures >= failuresToResetLimit {
		a.limiter.ResetToCold()
		a.notifyLoadChanged()
	}
}

// observeEngineIncarnation records the engine's incarnation, which a load report or a response names; a plain service
// has none, and an empty one is ignored. If the engine has restarted, its prefix cache is empty, and the concurrency
// limiter is reset to the cold limit.
func (a *Agent) observeEngineIncarnation(incarnation string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.limiter.ObserveEngine(incarnation) {
		a.cacheEpoch++
		a.options.Metrics.Add(metrics.ColdResets, "newIncarnation", 1)
		a.notifyLoadChanged()
	}
}

// pollTarget polls the target until the context ends. A plain service has nothing to read: if it is down, the next poll
// counts it as up again.
func (a *Agent) pollTarget(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mutex.Lock()
		client, down, target := a.client, a.targetDown, a.targetConfig()
		a.mutex.Unlock()
		if client != nil && target != nil && target.Kind == lovageshift.KindEngine {
			a.pollEngine(ctx, client)
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

// pollEngine reads an engine's load report and then its prefix-cache events, and sends it an order if one is due. If
// the report cannot be read, it does nothing.
func (a *Agent) pollEngine(ctx context.Context, client TargetClient) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := client.FetchLoad(ctx)
	if err != nil {
		return
	}
	a.observeEngineIncarnation(load.Incarnation)
	a.recordLoad(load)
	a.readCacheEvents(ctx, client)
	a.sendOrder(client, load)
}

// recordLoad records the load report, empty for a plain service, of a target that is up.
func (a *Agent) recordLoad(load engine.LoadReport) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.engineLoad = load
	if a.targetDown {
		a.targetDown = false
		a.notifyLoadChanged()
		a.wakeAdmission()
	}
}

// readCacheEvents reads the prefix-cache events after those read before, only to see whether any are missing in
// between. If so, it starts a new cache epoch, as the contents of the prefix cache are then uncertain. The first read,
// from sequence number 0, has none before it.
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

// sendOrder sends the engine an order to load a model or take on a role (see package order) if its load report does not
// show the configured state and an order is due. It waits until the engine has carried the order out, for at most
// order.WeightLoadMillis; polling pauses meanwhile.
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
