package entry

import (
	"slices"

	"lovageshift"
	"lovageshift/idempotency"
	"lovageshift/membership"
	"lovageshift/quarantine"
	"lovageshift/routing"
)

// pickTarget chooses one of the eligible targets that have not been tried yet. It returns the target, the incarnation of its
// agent, and how many untried targets there were to choose from.
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

// eligibleTargets returns the targets that may be chosen for the request now: they can run it, accept work, are in service
// and have not been tried yet. It refuses a request that has crashed its targets. It also sets p.routingRequest.Home and,
// for a suspect, p.alone. e.mutex must be held.
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

// suspectTarget returns the target with the highest rendezvous score for the suspect among the candidates, or none if that
// target is not eligible. So all entries with the same candidates send a suspect to the same target.
func suspectTarget(fingerprint lovageshift.Fingerprint, candidates, eligible []lovageshift.TargetID) []lovageshift.TargetID {
	target := membership.Owner("suspect/"+formatFingerprint(fingerprint), candidates)
	if slices.Contains(eligible, target) {
		return []lovageshift.TargetID{target}
	}
	return nil
}

// candidates returns the targets in service whose agents the entry watches and that serve such requests, in order of their
// IDs. Whether they accept work now does not matter. e.mutex must be held.
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

// canServe reports whether the target serves such requests: as a replica of the request's route, or as an engine with its
// model and adapter that does both prefill and decode.
func canServe(target *lovageshift.Target, p *pendingRequest) bool {
	if p.route != nil {
		return target.Kind == lovageshift.KindService && target.Route == p.route.ID
	}
	return target.Kind == lovageshift.KindEngine && target.Model == p.model &&
		target.Adapter == p.adapter && target.Role == "mixed"
}
