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

// apply needs the lock.
func (a *Agent) apply(config *lovageshift.Config) {
	if a.config == config {
		return
	}
	before := a.config
	a.config = config
	now := a.node.Now()
	a.applyLimits(&config.Limits)
	a.bound = gapBound(config)
	a.applyMembers(config)
	a.applyShares(before, config, now)
	if target := config.Targets[a.options.Target]; target != nil {
		a.applyTarget(target)
		if before != nil {
			a.desk.Stagger(now, order.RolloutPosition(target.ID, before, config), config.Limits.WeightLoadsAtOnce)
		}
	} else {
		klog.Warningf("agent %s: the configuration does not name this target", a.options.Target)
	}
	a.enforce(config)
	a.notify()
	a.poke()
}

func (a *Agent) applyLimits(limits *lovageshift.Limits) {
	a.node.SetSuspectMaxAge(limits.QuarantineMillis)
	a.window.SetMaxTransit(limits.TransitMillis)
	a.keeper.SetTimes(limits.LeaseMillis, limits.TransitMillis)
	a.ledger.SetLimits(ledgerLimits(limits))
}

func ledgerLimits(limits *lovageshift.Limits) idempotency.Limits {
	return idempotency.Limits{
		MaxRecords: limits.IdempotencyRecords, MaxAnswerBytes: answerKept,
		KeyTTL: limits.KeyLifetimeMillis, ClockSkew: limits.ClockSkewMillis,
	}
}

// applyMembers records since when this agent keeps what the list of targets gives it.
func (a *Agent) applyMembers(config *lovageshift.Config) {
	all := membership.AllTargets(config)
	a.keepers.Activate(all, a.ownedSince(config))
	a.keeper.DropUnowned(func(account lovageshift.AccountID, share grant.Share) bool {
		return grant.IssuerOf(account, share, all) == a.options.Target
	})
	self := config.Targets[a.options.Target]
	if self != nil && self.Kind == lovageshift.KindService {
		a.homes.Activate(membership.RouteTargets(config, self.Route), a.ownedSince(config))
	}
}

// ownedSince returns since when no owner under an earlier list can be acting: one that
// cannot confirm its list stops after the limit. This run itself owns nothing earlier than its start.
func (a *Agent) ownedSince(config *lovageshift.Config) lovageshift.Millis {
	return max(a.node.TargetListSince()+config.Limits.ConfirmMillis, 1)
}

// improveTenure needs the lock; peers may have told since that they have had the list for longer.
func (a *Agent) improveTenure() {
	since := a.ownedSince(a.config)
	a.keepers.Backdate(since)
	a.homes.Backdate(since)
}

// wallOf returns the wall time of a time of this process.
func (a *Agent) wallOf(at lovageshift.Millis) lovageshift.Millis {
	return a.options.Clock.Wall() - a.node.Now() + at
}

// applyShares lets the shares of an account rest whose bucket is cut anew.
func (a *Agent) applyShares(before, config *lovageshift.Config, now lovageshift.Millis) {
	for id, settled := range a.moved {
		if now > settled+forgetEntries {
			delete(a.moved, id)
		}
	}
	if before == nil {
		return
	}
	for id, account := range config.Accounts {
		earlier := before.Accounts[id]
		if earlier != nil && grant.ShareCount(earlier, &before.Limits) != grant.ShareCount(account, &config.Limits) {
			a.moved[id] = now + config.Limits.ConfirmMillis
		}
	}
}

func (a *Agent) applyTarget(target *lovageshift.Target) {
	a.warmth.SetLimits(target.ColdLimit, target.MaxRunning)
	a.room.SetMaxWaiting(target.MaxWaiting)
	if a.address != target.Address {
		a.address = target.Address
		a.engine = a.options.Connect(target.Address)
	}
}

// enforce takes waiting work back from a target out of service and ends work of withdrawn keys.
func (a *Agent) enforce(config *lovageshift.Config) {
	if !config.TargetInService(a.options.Target) {
		a.refuseWaiting(lovageshift.ReasonTargetOutOfService)
	}
	for ticket, j := range a.jobs {
		if j.permitted(config) {
			continue
		}
		refusal := lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key was withdrawn")
		if a.room.Withdraw(ticket) {
			j.decide(refusal)
			continue
		}
		refusal.Outcome = lovageshift.OutcomeUnknown
		j.cut(refusal)
	}
}

// refuseWaiting needs the lock.
func (a *Agent) refuseWaiting(reason lovageshift.Reason) {
	waiting := append([]*admission.Waiter(nil), a.room.Waiting()...)
	for _, ticket := range waiting {
		if a.room.Withdraw(ticket) {
			a.jobs[ticket].decide(lovageshift.NotRun(reason, "the target takes no new work"))
		}
	}
}
