package entry

import (
	"slices"

	"lovageshift"
	"lovageshift/idempotency"
	"lovageshift/membership"
	"lovageshift/quarantine"
	"lovageshift/routing"
)

// pickTarget chooses an eligible target that has not been tried yet. It returns the target, its incarnation and how
// many targets were eligible.
func (e *Entry) pickTarget(p *pendingRequest) (*lovageshift.Target, lovageshift.Incarnation, int, *lovageshift.Refusal) {
	config := e.node.Revisions.Config()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	eligible, refusal := e.eligible(config, p)
	if refusal != nil {
		return nil, 0, 0, refusal
	}
	if len(eligible) == 0 {
		return nil, 0, 0, lovageshift.NotRun(lovageshift.ReasonNoTarget, "no fit target takes work now").WithRetryAfter(1000)
	}
	id := e.options.Policy.Pick(e.node.Now(), e.loads, eligible, p.routingRequest, e.random)
	incarnation, _ := e.loads.Accepts(id)
	return config.Targets[id], incarnation, len(eligible), nil
}

// eligible returns the targets that may run the request and have not been tried yet. It also sets the request's home
// and, for a suspect, alone. e.mutex must be held.
func (e *Entry) eligible(config *lovageshift.Config, p *pendingRequest) ([]lovageshift.TargetID, *lovageshift.Refusal) {
	candidates := e.candidates(config, p)
	if p.idempotencyKey != "" {
		key := idempotency.Key{Account: p.accountID(), Text: p.idempotencyKey}
		candidates = []lovageshift.TargetID{key.Home(membership.RouteTargets(config, p.route.ID))}
	}
	p.routingRequest.Home = routing.HomeOf(candidates, p.routingRequest)
	eligible := candidates[:0:0]
	for _, id := range candidates {
		_, accepts := e.loads.Accepts(id)
		if accepts && config.TargetInService(id) && !slices.Contains(p.tried, id) {
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

// suspectTarget leaves only the one target to which every entry sends this suspect, and none if it is not eligible.
func suspectTarget(fingerprint lovageshift.Fingerprint, candidates, eligible []lovageshift.TargetID) []lovageshift.TargetID {
	target := membership.Owner("suspect/"+formatFingerprint(fingerprint), candidates)
	if slices.Contains(eligible, target) {
		return []lovageshift.TargetID{target}
	}
	return nil
}

// candidates returns the linked targets in service that can run the request at all. e.mutex must be held.
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

// canServe reports whether the target serves the request's route, or its model and adapter in the mixed role.
func canServe(target *lovageshift.Target, p *pendingRequest) bool {
	if p.route != nil {
		return target.Kind == lovageshift.KindService && target.Route == p.route.ID
	}
	return target.Kind == lovageshift.KindEngine && target.Model == p.model &&
		target.Adapter == p.adapter && target.Role == "mixed"
}
