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

// applyConfig applies a configuration to the agent's state. It does nothing if that configuration is already applied;
// a.mutex must be held.
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
			// Engines whose desired state has changed load their weights in groups of about limits.weightLoadsAtOnce.
			a.sequencer.Stagger(now, order.RolloutPosition(target.ID, previous, config), config.Limits.WeightLoadsAtOnce)
		}
	} else {
		klog.Warningf("agent %s: the configuration does not name this target", a.options.Target)
	}
	a.enforceConfig(config)
	a.notifyLoadChanged()
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

// applyTargetList records the lists of targets that decide which shares and idempotency keys this agent owns, and drops
// the buckets of shares that it no longer owns. Shares are distributed among the agents of all targets, and idempotency
// keys among those of one route's targets, as only calls to plain services have such keys.
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

// ownedSince returns the time, on this process's clock, from which on this agent may act as an owner under the list of
// targets in force: limits.confirmMillis after the earliest time at which this process or a peer is known to have had
// that list in force. An agent that still uses an earlier list by then has not been able to confirm its configuration
// for that long and so starts no new work, unless limits.unconfirmedPolicy allows it. The result is at least 1, the
// start of this process's clock, as this incarnation owns nothing before.
func (a *Agent) ownedSince(config *lovageshift.Config) lovageshift.Millis {
	return max(a.node.TargetListSince()+config.Limits.ConfirmMillis, 1)
}

// backdateOwnership moves the start of the ownership back if, since applyTargetList, a peer has reported that the
// present list of targets came into force there earlier than known before; a.mutex must be held.
func (a *Agent) backdateOwnership() {
	since := a.ownedSince(a.config)
	a.shareOwnership.Backdate(since)
	a.idempotencyOwnership.Backdate(since)
}

// wallTime converts a time of this process's clock to wall time.
func (a *Agent) wallTime(at lovageshift.Millis) lovageshift.Millis {
	return a.options.Clock.Wall() - a.node.Now() + at
}

// applyShareCounts finds the accounts whose number of shares has changed. Until limits.confirmMillis after the change,
// another process may still use the earlier number, so issueLease treats their shares as owned only from then on.
func (a *Agent) applyShareCounts(previous, config *lovageshift.Config, now lovageshift.Millis) {
	for id, settledAt := range a.shareCountSettledAt {
		if now > settledAt+retention {
			delete(a.shareCountSettledAt, id)
		}
	}
	if previous == nil {
		return
	}
	for id, account := range config.Accounts {
		prior := previous.Accounts[id]
		if prior != nil && grant.ShareCount(prior, &previous.Limits) != grant.ShareCount(account, &config.Limits) {
			a.shareCountSettledAt[id] = now + config.Limits.ConfirmMillis
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
// that the configuration no longer permits (see job.permitted); a.mutex must be held.
func (a *Agent) enforceConfig(config *lovageshift.Config) {
	if !config.TargetInService(a.options.Target) {
		a.refuseQueued(lovageshift.ReasonTargetOutOfService)
	}
	for request, j := range a.jobs {
		if j.permitted(config) {
			continue
		}
		refusal := lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key was withdrawn")
		if a.queue.Withdraw(request) {
			j.decide(refusal)
			continue
		}
		// The request is no longer queued, so the target may have received a part of it.
		refusal.Outcome = lovageshift.OutcomeUnknown
		j.abort(refusal)
	}
}

// refuseQueued refuses all queued requests; a.mutex must be held.
func (a *Agent) refuseQueued(reason lovageshift.Reason) {
	waiting := append([]*admission.Request(nil), a.queue.Waiting()...)
	for _, request := range waiting {
		if a.queue.Withdraw(request) {
			a.jobs[request].decide(lovageshift.NotRun(reason, "the target takes no new work"))
		}
	}
}
