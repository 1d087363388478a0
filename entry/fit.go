package entry

import (
	"slices"

	"lovageshift"
	"lovageshift/idempotency"
	"lovageshift/membership"
	"lovageshift/quarantine"
	"lovageshift/routing"
)

// pick chooses a fit target that was not asked yet; it returns how many there were.
func (e *Entry) pick(w *work) (*lovageshift.Target, lovageshift.Incarnation, int, *lovageshift.Refusal) {
	config := e.node.Revisions.Config()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	fit, refusal := e.fit(config, w)
	if refusal != nil {
		return nil, 0, 0, refusal
	}
	if len(fit) == 0 {
		return nil, 0, 0, lovageshift.NotRun(lovageshift.ReasonNoTarget, "no fit target takes work now").WithRetryAfter(1000)
	}
	id := e.options.Policy.Pick(e.node.Now(), e.board, fit, w.request, e.random)
	incarnation, _ := e.board.Accepts(id)
	return config.Targets[id], incarnation, len(fit), nil
}

// fit needs the lock; it returns the targets that may run the work and were not asked yet.
func (e *Entry) fit(config *lovageshift.Config, w *work) ([]lovageshift.TargetID, *lovageshift.Refusal) {
	candidates := e.configured(config, w)
	if w.idempotencyKey != "" {
		key := idempotency.Key{Account: w.accountID(), Text: w.idempotencyKey}
		candidates = []lovageshift.TargetID{key.Home(membership.RouteTargets(config, w.route.ID))}
	}
	w.request.Home = routing.HomeOf(candidates, w.request)
	fit := candidates[:0:0]
	for _, id := range candidates {
		_, takes := e.board.Accepts(id)
		if takes && config.TargetInService(id) && !slices.Contains(w.asked, id) {
			fit = append(fit, id)
		}
	}
	switch e.node.CheckSuspect(w.fingerprint) {
	case quarantine.Refused:
		return nil, lovageshift.NotRun(lovageshift.ReasonQuarantined, "this request has crashed its targets")
	case quarantine.Alone:
		w.alone = true
		return suspectsPlace(w.fingerprint, candidates, fit), nil
	default:
		return e.staying(fit), nil
	}
}

// suspectsPlace leaves only the one place where every entry sends this suspect.
func suspectsPlace(fingerprint lovageshift.Fingerprint, candidates, fit []lovageshift.TargetID) []lovageshift.TargetID {
	place := membership.Owner("suspect/"+fingerprintText(fingerprint), candidates)
	if slices.Contains(fit, place) {
		return []lovageshift.TargetID{place}
	}
	return nil
}

// configured returns the targets in service that can run the work at all.
func (e *Entry) configured(config *lovageshift.Config, w *work) []lovageshift.TargetID {
	var ids []lovageshift.TargetID
	for id := range e.links {
		target := config.Targets[id]
		if target != nil && config.TargetInService(id) && suits(target, w) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func suits(target *lovageshift.Target, w *work) bool {
	if w.route != nil {
		return target.Kind == lovageshift.KindService && target.Route == w.route.ID
	}
	return target.Kind == lovageshift.KindEngine && target.Model == w.model &&
		target.Adapter == w.adapter && target.Role == "mixed"
}
