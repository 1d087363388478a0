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
	probeTimeout  = 500 * time.Millisecond
	probeInterval = 100 * time.Millisecond
)

// investigate finds out after a broken call whether the engine crashed. If so all that ran is suspect.
func (a *Agent) investigate() bool {
	a.mutex.Lock()
	suspects := a.runningFingerprints()
	target, known := a.engine, a.report.Incarnation
	crashedAlready := a.down
	a.mutex.Unlock()
	if crashedAlready {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	load, err := target.Load(ctx)
	if err == nil && (known == "" || load.Incarnation == known) {
		return false
	}
	a.declareCrash(suspects)
	return true
}

func (a *Agent) runningFingerprints() []lovageshift.Fingerprint {
	var fingerprints []lovageshift.Fingerprint
	for ticket, j := range a.jobs {
		if ticket.Running() && j.sent.Load() && ticket.Fingerprint != 0 {
			fingerprints = append(fingerprints, ticket.Fingerprint)
		}
	}
	return fingerprints
}

// declareCrash is done once for each crash, by whichever call notices first.
func (a *Agent) declareCrash(suspects []lovageshift.Fingerprint) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.down {
		return
	}
	a.setDown()
	a.options.Metrics.Add(metrics.Crashes, "engine", 1)
	klog.Warningf("agent %s: the engine crashed with %d requests running", a.options.Target, len(suspects))
	a.node.RecordCrashes(suspects)
}

// setDown needs the lock.
func (a *Agent) setDown() {
	a.down = true
	a.warmth.ResetToCold()
	a.doubts++
	a.report = engine.Load{}
	a.refuseWaiting(lovageshift.ReasonTargetFailing)
	a.notify()
}

func (a *Agent) engineDown() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.down {
		a.setDown()
	}
}

// fail counts a failure; an engine that keeps failing falls back to its cold limit.
func (a *Agent) fail() {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.failures++
	if a.failures >= failuresToDoubt {
		a.warmth.ResetToCold()
		a.notify()
	}
}

// noteEngine takes in the engine's incarnation; a new one is cold and has an empty cache.
func (a *Agent) noteEngine(incarnation string) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.warmth.ObserveEngine(incarnation) {
		a.doubts++
		a.options.Metrics.Add(metrics.ColdStarts, "newIncarnation", 1)
		a.notify()
	}
}

// reportLoop reads the engine's report and cache events and gives orders.
func (a *Agent) reportLoop(ctx context.Context) error {
	for ctx.Err() == nil {
		a.mutex.Lock()
		target, down, self := a.engine, a.down, a.self()
		a.mutex.Unlock()
		if target != nil && self != nil && self.Kind == lovageshift.KindEngine {
			a.readReport(ctx, target)
		} else if down {
			a.recovered(engine.Load{})
		}
		wait := a.node.Jitter(reportInterval)
		if down {
			wait = probeInterval
		}
		lovageshift.Pause(ctx, wait)
	}
	return nil
}

// self needs the lock.
func (a *Agent) self() *lovageshift.Target {
	if a.config == nil {
		return nil
	}
	return a.config.Targets[a.options.Target]
}

func (a *Agent) readReport(ctx context.Context, target Engine) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	load, err := target.Load(ctx)
	if err != nil {
		return
	}
	a.noteEngine(load.Incarnation)
	a.recovered(load)
	a.followCache(ctx, target)
	a.giveOrder(target, load)
}

func (a *Agent) recovered(load engine.Load) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.report = load
	if a.down {
		a.down = false
		a.notify()
		a.poke()
	}
}

// followCache doubts what is known of the prefix cache after a gap in its events.
func (a *Agent) followCache(ctx context.Context, target Engine) {
	a.mutex.Lock()
	from := a.cacheAt
	a.mutex.Unlock()
	events, err := target.Cache(ctx, from)
	if err != nil {
		return
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if events.First != from && from != 0 {
		a.doubts++
	}
	a.cacheAt = events.Next
}

// giveOrder gives the target at most one order and waits for its end.
func (a *Agent) giveOrder(target Engine, load engine.Load) {
	a.mutex.Lock()
	self := a.self()
	if self == nil || !a.node.AllowsNewWork() {
		a.mutex.Unlock()
		return
	}
	next, due := a.desk.Next(a.node.Now(), a.options.Clock.Wall(), a.config.Revision, order.Desired(self), load)
	a.mutex.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), order.WeightLoadMillis.Duration())
	defer cancel()
	err := target.Order(ctx, next)
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.desk.RecordEnd(a.node.Now(), err)
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
