package entry

import (
	"slices"

	"lovageshift"
	"lovageshift/idempotency"
	"lovageshift/membership"
	"lovageshift/quarantine"
	"lovageshift/routing"
)

// pickTarget chooses one of the targets that eligibleTargets returns. It returns the chosen target, the incarnation of its
// agent, and the number of targets to choose from, including the chosen one.
func (e *Entry) pickTarget(p *pendingRequest) (*lovageshift.Target, lovageshift.Incarnation, int, *lovageshift.Refusal) {
	config := e.node.Revisions.Config()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	untried, refusal := e.eligibleTargets(config, p)
	if refusal != nil {
		return nil, 0, 0, refusal
	}
	if len(untried) == 0 {
		return nil, 0, 0, lovageshift.NotRun(lovageshift.ReasonNoTarget, "no fit target takes work now").WithRetryAfter(1000)
	}
	id := e.options.Policy.Pick(e.node.Now(), e.loads, untried, p.routingRequest, e.random)
	incarnation, _ := e.loads.Accepts(id)
	return config.Targets[id], incarnation, len(untried), nil
}

// eligibleTargets returns the targets to which the request may be dispatched now: candidates that accept work, are in service
// and have not been tried yet, without those whose VMs are leaving if others remain. For a suspect (package quarantine) it
// returns at most one target. It refuses a request during which targets have crashed too often. It also sets
// p.routingRequest.Home and, for a suspect, p.alone. e.mutex must be held.
func (e *Entry) eligibleTargets(config *lovageshift.Config, p *pendingRequest) ([]lovageshift.TargetID, *lovageshift.Refusal) {
	candidates := e.candidates(config, p)
	if p.idempotencyKey != "" {
		// Only the agent of one target may run calls with this key.
		callKey := idempotency.Key{Account: p.accountID(), Text: p.idempotencyKey}
		candidates = []lovageshift.TargetID{callKey.Home(membership.RouteTargets(config, p.route.ID))}
	}
	p.routingRequest.Home = routing.HomeOf(candidates, p.routingRequest)
	eligible := candidates[:0:0]
	for _, id := range candidates {
		_, acceptsWork := e.loads.Accepts(id)
		if acceptsWork && config.TargetInService(id) && !slices.Contains(p.tried, id) {
			eligible = append(eligible, id)
		}
	}
	switch e.node.CheckSuspect(p.fingerprint) {
	case quarantine.Refused:
		return nil, lovageshift.NotRun(lovageshift.ReasonQuarantined, "this request has crashed its targets")
	case quarantine.Alone:
		p.alone = true
		return suspectTarget(p.fingerprint, candidates, eligible), nil
	default:
		return e.excludeLeaving(eligible), nil
	}
}

// suspectTarget returns the only target to which a suspect may be dispatched, or none if that target is not eligible. It is the
// candidate with the highest rendezvous score for the fingerprint, so that all entries with the same candidates dispatch the
// suspect to the same target.
func suspectTarget(fingerprint lovageshift.Fingerprint, candidates, eligible []lovageshift.TargetID) []lovageshift.TargetID {
	target := membership.Owner("suspect/"+fingerprint.String(), candidates)
	if slices.Contains(eligible, target) {
		return []lovageshift.TargetID{target}
	}
	return nil
}

// candidates returns, in order of their IDs, the targets of the subset that are in service and can run the request, whether or
// not they accept work now. e.mutex must be held.
func (e *Entry) candidates(config *lovageshift.Config, p *pendingRequest) []lovageshift.TargetID {
	var ids []lovageshift.TargetID
	for id := range e.links {
		target := config.Targets[id]
		if target != nil && config.TargetInService(id) && canServe(target, p) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// canServe reports whether the target can run the request. A call to a plain service needs a replica of the service behind its
// route. A completion request needs an engine that runs the requested model and adapter and does both prefill and decode.
func canServe(target *lovageshift.Target, p *pendingRequest) bool {
	if p.route != nil {
		return target.Kind == lovageshift.KindService && target.Route == p.route.ID
	}
	return target.Kind == lovageshift.KindEngine && target.Model == p.model &&
		target.Adapter == p.adapter && target.Role == "mixed"
}
