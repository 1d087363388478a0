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
			a.apply(config)
			a.mutex.Unlock()
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// apply puts a configuration into effect; a.mutex must be held.
func (a *Agent) apply(config *lovageshift.Config) {
	if a.config == config {
		return
	}
	previous := a.config
	a.config = config
	now := a.node.Now()
	a.applyLimits(&config.Limits)
	a.interTokenBound = tightestInterTokenBound(config)
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
	a.notifyWatchers()
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

// applyTargetList records since when this agent owns the shares and idempotency keys that the list of targets assigns
// to it.
func (a *Agent) applyTargetList(config *lovageshift.Config) {
	all := membership.AllTargets(config)
	a.issuerTenure.Activate(all, a.ownedSince(config))
	a.issuer.DropUnowned(func(account lovageshift.AccountID, share grant.ShareIndex) bool {
		return grant.IssuerOf(account, share, all) == a.options.Target
	})
	self := config.Targets[a.options.Target]
	if self != nil && self.Kind == lovageshift.KindService {
		a.homeTenure.Activate(membership.RouteTargets(config, self.Route), a.ownedSince(config))
	}
}

// ownedSince returns from when on no owner under an earlier list of targets acts: a process that cannot confirm its
// list stops after limits.confirmMillis. This incarnation owns nothing before its own start.
func (a *Agent) ownedSince(config *lovageshift.Config) lovageshift.Millis {
	return max(a.node.TargetListSince()+config.Limits.ConfirmMillis, 1)
}

// improveTenures moves the start of ownership back if peers have since reported that they have had the list of targets
// for longer; a.mutex must be held.
func (a *Agent) improveTenures() {
	since := a.ownedSince(a.config)
	a.issuerTenure.Backdate(since)
	a.homeTenure.Backdate(since)
}

// wallTime converts a time of this process's clock to wall time.
func (a *Agent) wallTime(at lovageshift.Millis) lovageshift.Millis {
	return a.options.Clock.Wall() - a.node.Now() + at
}

// applyShareCounts treats the shares of an account as newly owned when its bucket is divided into another number of
// them: until limits.confirmMillis have passed, another process may still act on the earlier configuration.
func (a *Agent) applyShareCounts(previous, config *lovageshift.Config, now lovageshift.Millis) {
	for id, reshared := range a.resharedAt {
		if now > reshared+retention {
			delete(a.resharedAt, id)
		}
	}
	if previous == nil {
		return
	}
	for id, account := range config.Accounts {
		prior := previous.Accounts[id]
		if prior != nil && grant.ShareCount(prior, &previous.Limits) != grant.ShareCount(account, &config.Limits) {
			a.resharedAt[id] = now + config.Limits.ConfirmMillis
		}
	}
}

func (a *Agent) applyTarget(target *lovageshift.Target) {
	a.limiter.SetLimits(target.ColdLimit, target.MaxRunning)
	a.queue.SetMaxWaiting(target.MaxWaiting)
	if a.address != target.Address {
		a.address = target.Address
		a.engine = a.options.Connect(target.Address)
	}
}

// enforceConfig refuses the queued requests of a target out of service and ends all requests of withdrawn keys.
func (a *Agent) enforceConfig(config *lovageshift.Config) {
	if !config.TargetInService(a.options.Target) {
		a.refuseWaiting(lovageshift.ReasonTargetOutOfService)
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

// refuseWaiting refuses all queued requests; a.mutex must be held.
func (a *Agent) refuseWaiting(reason lovageshift.Reason) {
	waiting := append([]*admission.Request(nil), a.queue.Waiting()...)
	for _, w := range waiting {
		if a.queue.Withdraw(w) {
			a.jobs[w].decide(lovageshift.NotRun(reason, "the target takes no new work"))
		}
	}
}
