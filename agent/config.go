package agent

import (
	"context"

	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/admission"
	"lovageshift/grant"
	"lovageshift/idempotency"
	"lovageshift/membership"
	"lovageshift/order"
)

// followConfig applies each configuration as it comes into force.
func (a *Agent) followConfig(ctx context.Context) error {
	for {
		changed := a.node.Revisions.Changed()
		if config := a.node.Revisions.Config(); config != nil {
			a.mutex.Lock()
			a.applyConfig(config)
			a.mutex.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// applyConfig puts a configuration into effect, unless it already is; a.mutex must be held.
func (a *Agent) applyConfig(config *lovageshift.Config) {
	if a.config == config {
		return
	}
	previous := a.config
	a.config = config
	now := a.node.Now()
	a.applyLimits(&config.Limits)
	a.interTokenLatencyBound = lowestInterTokenLatencyBound(config)
	a.applyTargetList(config)
	a.applyShareCounts(previous, config, now)
	if target := config.Targets[a.options.Target]; target != nil {
		a.applyTarget(target)
		if previous != nil {
			a.sequencer.Stagger(now, order.RolloutPosition(target.ID, previous, config), config.Limits.WeightLoadsAtOnce)
		}
	} else {
		klog.Warningf("agent %s: the configuration does not name this target", a.options.Target)
	}
	a.enforceConfig(config)
	a.publishLoad()
	a.wakeAdmission()
}

func (a *Agent) applyLimits(limits *lovageshift.Limits) {
	a.node.SetSuspectMaxAge(limits.QuarantineMillis)
	a.replayWindow.SetMaxTransit(limits.TransitMillis)
	a.issuer.SetTimes(limits.LeaseMillis, limits.TransitMillis)
	a.ledger.SetLimits(idempotencyLimits(limits))
}

func idempotencyLimits(limits *lovageshift.Limits) idempotency.Limits {
	return idempotency.Limits{
		MaxRecords: limits.IdempotencyRecords, MaxAnswerBytes: maxStoredAnswerBytes,
		KeyTTL: limits.KeyLifetimeMillis, ClockSkew: limits.ClockSkewMillis,
	}
}

// applyTargetList records the list of targets that decides which shares and idempotency keys this agent owns, and drops
// the buckets of shares that it no longer owns. Only the agents of plain services own idempotency keys.
func (a *Agent) applyTargetList(config *lovageshift.Config) {
	all := membership.AllTargets(config)
	a.shareOwnership.Activate(all, a.ownedSince(config))
	a.issuer.DropUnowned(func(account lovageshift.AccountID, share grant.ShareIndex) bool {
		return grant.IssuerOf(account, share, all) == a.options.Target
	})
	target := config.Targets[a.options.Target]
	if target != nil && target.Kind == lovageshift.KindService {
		a.idempotencyOwnership.Activate(membership.RouteTargets(config, target.Route), a.ownedSince(config))
	}
}

// ownedSince returns the time, on this process's clock, from which on no agent acts as an owner under an earlier list
// of targets: limits.confirmMillis after the list in force was published, as an agent that has not confirmed its
// configuration for so long stops, unless limits.unconfirmedPolicy lets it go on. It is at least 1, the start of this
// process's clock, as this incarnation owns nothing before.
func (a *Agent) ownedSince(config *lovageshift.Config) lovageshift.Millis {
	return max(a.node.TargetListSince()+config.Limits.ConfirmMillis, 1)
}

// backdateOwnership moves the start of the ownership under the list of targets in force back if, since applyTargetList,
// peers have reported that they have had that list for longer; a.mutex must be held.
func (a *Agent) backdateOwnership() {
	since := a.ownedSince(a.config)
	a.shareOwnership.Backdate(since)
	a.idempotencyOwnership.Backdate(since)
}

// wallTime converts a time of this process's clock to wall time.
func (a *Agent) wallTime(at lovageshift.Millis) lovageshift.Millis {
	return a.options.Clock.Wall() - a.node.Now() + at
}

// applyShareCounts treats the shares of an account whose number of shares has changed as newly owned from
// limits.confirmMillis after the change: until then, another process may still act on the earlier configuration.
func (a *Agent) applyShareCounts(previous, config *lovageshift.Config, now lovageshift.Millis) {
	for id, since := range a.shareCountSince {
		if now > since+retention {
			delete(a.shareCountSince, id)
		}
	}
	if previous == nil {
		return
	}
	for id, account := range config.Accounts {
		prior := previous.Accounts[id]
		if prior != nil && grant.ShareCount(prior, &previous.Limits) != grant.ShareCount(account, &config.Limits) {
			a.shareCountSince[id] = now + config.Limits.ConfirmMillis
		}
	}
}

func (a *Agent) applyTarget(target *lovageshift.Target) {
	a.limiter.SetLimits(target.ColdLimit, target.MaxRunning)
	a.queue.SetMaxWaiting(target.MaxWaiting)
	if a.address != target.Address {
		a.address = target.Address
		a.client = a.options.NewClient(target.Address)
	}
}

// enforceConfig refuses the queued requests if the target is out of service, and ends each request, queued or running,
// whose API key or open route the configuration no longer permits; a.mutex must be held.
func (a *Agent) enforceConfig(config *lovageshift.Config) {
	if !config.TargetInService(a.options.Target) {
		a.refuseQueued(lovageshift.ReasonTargetOutOfService)
	}
	for w, j := range a.jobs {
		if j.permitted(config) {
			continue
		}
		refusal := lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key was withdrawn")
		if a.queue.Withdraw(w) {
			j.decide(refusal)
			continue
		}
		refusal.Outcome = lovageshift.OutcomeUnknown
		j.abort(refusal)
	}
}

// refuseQueued refuses all queued requests; a.mutex must be held.
func (a *Agent) refuseQueued(reason lovageshift.Reason) {
	waiting := append([]*admission.Request(nil), a.queue.Waiting()...)
	for _, w := range waiting {
		if a.queue.Withdraw(w) {
			a.jobs[w].decide(lovageshift.NotRun(reason, "the target takes no new work"))
		}
	}
}
