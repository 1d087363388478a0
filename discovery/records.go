package discovery

import (
	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/platform"
)

const (
	// A target whose registration lapsed while the store was unreachable has this long after the store's return to
	// register again before it is removed.
	lapseGraceMillis lovageshift.Millis = 2000
	// A draining incarnation is remembered while a target of its id is registered, and at least this long after its last
	// draining record was applied, so that an older record read later does not put it back into use.
	drainingRetentionMillis lovageshift.Millis = 60_000
)

// Change is one change of an entry's local copy, or a record that was not applied.
type Change struct {
	// Kind is the event name in the log and the label value in the metrics, such as "targetSeen".
	Kind string
	// Target and Zone are empty where they do not apply.
	Target lovageshift.TargetID
	Zone   lovageshift.ZoneID
	// Detail says why a record was not applied; it is empty for all other changes.
	Detail string
}

// Records is an entry's local copy of the store's records: the catalog, the targets and the availability zones out of
// service. It is not safe for concurrent use.
type Records struct {
	catalog  *catalog.Catalog
	targets  map[lovageshift.TargetID]*catalog.Target
	zonesOut map[lovageshift.ZoneID]bool
	// draining holds the incarnations that announced their shutdown, with the time at which their last draining record
	// was applied; no other record of such an incarnation puts it back into use.
	draining map[incarnation]lovageshift.Millis
	// lapsed holds the targets whose record was found removed within lapseGraceMillis of the store's return, with the
	// time at which Expire removes them unless they register again.
	lapsed map[lovageshift.TargetID]lovageshift.Millis
	// zoneReturnedAt holds when each zone last came back into service.
	zoneReturnedAt map[lovageshift.ZoneID]lovageshift.Millis
	// changes are those since the last call of Changes.
	changes []Change
}

// incarnation identifies one run of a target, from a start of its process to the next. Born is catalog.Target.Born.
type incarnation struct {
	id   lovageshift.TargetID
	born int64
}

// NewRecords returns an empty copy.
func NewRecords() *Records {
	return &Records{
		targets:        map[lovageshift.TargetID]*catalog.Target{},
		zonesOut:       map[lovageshift.ZoneID]bool{},
		draining:       map[incarnation]lovageshift.Millis{},
		lapsed:         map[lovageshift.TargetID]lovageshift.Millis{},
		zoneReturnedAt: map[lovageshift.ZoneID]lovageshift.Millis{},
	}
}

// Replace applies a complete list of the store's records. It applies each item; a target that is not in the list counts
// as removed from the store, a zone that is not in the list as back in service. Without a catalog in the list, the
// current one stays. storeBackAt is when the store was last found reachable again after an outage.
func (r *Records) Replace(now, storeBackAt lovageshift.Millis, items []platform.Item) {
	targets := map[lovageshift.TargetID]bool{}
	zones := map[lovageshift.ZoneID]bool{}
	for _, item := range items {
		switch record, name := platform.Classify(item.Key); record {
		case platform.RecordTarget:
			targets[lovageshift.TargetID(name)] = true
		case platform.RecordZoneOut:
			zones[lovageshift.ZoneID(name)] = true
		default:
		}
		r.Apply(now, storeBackAt, item)
	}
	for id := range r.targets {
		if !targets[id] {
			r.removeTarget(now, storeBackAt, id)
		}
	}
	for zone := range r.zonesOut {
		if !zones[zone] {
			r.restoreZone(now, zone)
		}
	}
}

// Apply applies one record or its removal; storeBackAt is when the store was last found reachable again after an
// outage.
func (r *Records) Apply(now, storeBackAt lovageshift.Millis, item platform.Item) {
	switch record, name := platform.Classify(item.Key); record {
	case platform.RecordCatalog:
		r.applyCatalog(item)
	case platform.RecordTarget:
		r.applyTarget(now, storeBackAt, lovageshift.TargetID(name), item)
	case platform.RecordZoneOut:
		r.applyZone(now, lovageshift.ZoneID(name), item)
	case platform.RecordOther:
	}
}

// applyCatalog replaces the catalog by one with a higher version. A removed or malformed record leaves the current one
// in place.
func (r *Records) applyCatalog(item platform.Item) {
	if item.Deleted {
		r.addChange(Change{Kind: "catalogKept", Detail: "the record was removed"})
		return
	}
	decoded, err := platform.DecodeCatalog(item.Value)
	if err != nil {
		r.addChange(Change{Kind: "catalogKept", Detail: err.Error()})
		return
	}
	if r.catalog != nil && decoded.Version <= r.catalog.Version {
		return
	}
	r.catalog = decoded
	r.addChange(Change{Kind: "catalog"})
}

// applyTarget applies a target's record unless a newer one was applied before. A malformed record removes the target.
func (r *Records) applyTarget(now, storeBackAt lovageshift.Millis, id lovageshift.TargetID, item platform.Item) {
	if item.Deleted {
		r.removeTarget(now, storeBackAt, id)
		return
	}
	target, err := platform.DecodeTarget(string(id), item.Value)
	if err != nil {
		r.addChange(Change{Kind: "targetSkipped", Target: id, Detail: err.Error()})
		r.dropTarget(id)
		return
	}
	known := r.targets[id]
	if known != nil && known.Born > target.Born {
		return
	}
	same := known != nil && known.Born == target.Born
	if same {
		delete(r.lapsed, id)
	}
	// A record that was already applied changes nothing. In particular it must not restart the cold period of a target
	// that has warmed up.
	if same && target.Sequence <= known.Sequence && !recordsDiffer(known, target) {
		return
	}
	if same && target.Sequence < known.Sequence {
		return
	}
	inc := incarnation{id, target.Born}
	if target.Draining {
		r.draining[inc] = now
	}
	if _, wasDraining := r.draining[inc]; wasDraining {
		target.Draining = true
	}
	target.ColdUntil = now + target.ColdRemaining
	if same {
		target.ColdUntil = max(target.ColdUntil, known.ColdUntil)
	}
	delete(r.lapsed, id)
	r.targets[id] = target
	switch {
	case !same:
		r.addChange(Change{Kind: "targetSeen", Target: id, Zone: target.Zone})
	case target.Draining && !known.Draining:
		r.addChange(Change{Kind: "targetLeaving", Target: id, Zone: target.Zone})
	}
}

// recordsDiffer reports whether two records of one incarnation differ in a field other than Sequence and ColdUntil.
func recordsDiffer(known, target *catalog.Target) bool {
	return known.Address != target.Address || known.Zone != target.Zone || known.Service != target.Service ||
		known.Slots != target.Slots || known.Draining != target.Draining || known.ColdRemaining != target.ColdRemaining
}

// removeTarget handles the removal of a target's record. Within lapseGraceMillis of the store's return from an outage,
// a target that is not draining is kept until the end of that time, as its registration may have expired only because
// it could not be renewed.
func (r *Records) removeTarget(now, storeBackAt lovageshift.Millis, id lovageshift.TargetID) {
	target := r.targets[id]
	if target == nil {
		return
	}
	if !target.Draining && now < storeBackAt+lapseGraceMillis {
		if _, pending := r.lapsed[id]; !pending {
			r.lapsed[id] = storeBackAt + lapseGraceMillis
			r.addChange(Change{Kind: "targetLapsed", Target: id, Zone: target.Zone})
		}
		return
	}
	r.dropTarget(id)
}

// dropTarget removes the target at once.
func (r *Records) dropTarget(id lovageshift.TargetID) {
	if target := r.targets[id]; target != nil {
		delete(r.targets, id)
		r.addChange(Change{Kind: "targetGone", Target: id, Zone: target.Zone})
	}
	delete(r.lapsed, id)
}

// applyZone takes the zone out of service, or returns it to service if the record was removed.
func (r *Records) applyZone(now lovageshift.Millis, zone lovageshift.ZoneID, item platform.Item) {
	if item.Deleted {
		r.restoreZone(now, zone)
		return
	}
	if !r.zonesOut[zone] {
		r.zonesOut[zone] = true
		r.addChange(Change{Kind: "zoneOut", Zone: zone})
	}
}

func (r *Records) restoreZone(now lovageshift.Millis, zone lovageshift.ZoneID) {
	if r.zonesOut[zone] {
		delete(r.zonesOut, zone)
		r.zoneReturnedAt[zone] = now
		r.addChange(Change{Kind: "zoneBack", Zone: zone})
	}
}

// Expire removes lapsed targets that did not register again in time, and forgets draining incarnations as
// drainingRetentionMillis says. It reports whether a target was removed.
func (r *Records) Expire(now lovageshift.Millis) bool {
	changed := false
	for id, until := range r.lapsed {
		if now >= until {
			r.dropTarget(id)
			changed = true
		}
	}
	for inc, at := range r.draining {
		if r.targets[inc.id] == nil && now-at > drainingRetentionMillis {
			delete(r.draining, inc)
		}
	}
	return changed
}

// View returns a snapshot of the records. Targets of a zone that came back into service are cold for at least their
// service's cold period from then on.
func (r *Records) View(now lovageshift.Millis) *catalog.View {
	targets := make(map[lovageshift.TargetID]*catalog.Target, len(r.targets))
	for id, target := range r.targets {
		targets[id] = r.coldAfterZoneReturn(now, target)
	}
	zones := make(map[lovageshift.ZoneID]bool, len(r.zonesOut))
	for zone := range r.zonesOut {
		zones[zone] = true
	}
	return catalog.NewView(r.catalog, targets, zones)
}

// coldAfterZoneReturn returns the target, or a copy with a later ColdUntil while its zone has been back in service for
// less than the service's cold period.
func (r *Records) coldAfterZoneReturn(now lovageshift.Millis, target *catalog.Target) *catalog.Target {
	at, returned := r.zoneReturnedAt[target.Zone]
	if !returned || r.catalog == nil {
		return target
	}
	service := r.catalog.Service(target.Service)
	if service == nil || at+service.ColdMillis <= max(now, target.ColdUntil) {
		return target
	}
	cold := *target
	cold.ColdUntil = at + service.ColdMillis
	return &cold
}

func (r *Records) addChange(change Change) { r.changes = append(r.changes, change) }

// Changes returns the changes since the last call and clears them.
func (r *Records) Changes() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}
