package discovery

import (
	"maps"

	"github.com/gravitational/trace"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/platform"
)

const (
	// A target whose record expired while the store was unreachable is removed only this long after the store was found
	// reachable again, unless it registers again before.
	lapseGraceMillis lovageshift.Millis = 2000
	// A draining incarnation is forgotten once its last draining record was applied longer ago than this and the local
	// copy has no target of its id. Until then, another of its records that is read later does not put it back into use.
	drainingRetentionMillis lovageshift.Millis = 60_000
	// For this long after the store came back from an older copy, targets, the store and the operator write again what it
	// lost: targets renew their records, and the store removes those that are not renewed.
	restoreGraceMillis lovageshift.Millis = 5000
)

// Change is one change of an entry's local copy, or a record that was not applied because it was malformed or was the
// removal of the catalog. Outdated records are ignored without a Change.
type Change struct {
	// Kind is the event name in the log and the label value in the metrics, such as "targetSeen".
	Kind string
	// Target and Zone are empty where they do not apply.
	Target lovageshift.TargetID
	Zone   lovageshift.ZoneID
	// Detail says why a record was not applied. It is empty for a change of the local copy.
	Detail string
}

// Records is an entry's local copy of the store's records: the catalog, the targets and the availability zones out of
// service. All times are in milliseconds of the entry's Clock.Now. It is not safe for concurrent use.
type Records struct {
	catalog  *catalog.Catalog
	targets  map[lovageshift.TargetID]*catalog.Target
	zonesOut map[lovageshift.ZoneID]bool
	// revisions holds the store's revision, in its present era, of what is known of each target's record, where it is known:
	// that of the record or a later one before the next change of the record. It is 0 if the record is of an era before.
	revisions map[lovageshift.TargetID]int64
	// draining holds the incarnations that announced their shutdown, each with the time at which its last draining record
	// was applied. No other record of such an incarnation puts it back into use.
	draining map[incarnation]lovageshift.Millis
	// lapsed holds the targets whose record was found removed less than lapseGraceMillis after storeBackAt, the end of the
	// store's last outage. For each it holds the time at which Expire removes the target unless it registers again.
	lapsed map[lovageshift.TargetID]lovageshift.Millis
	// zoneReturnedAt holds when the entry applied the last return to service of each zone.
	zoneReturnedAt map[lovageshift.ZoneID]lovageshift.Millis
	// catalogUnreadable is set if the last record of the catalog was not applied, as it was malformed or removed.
	catalogUnreadable bool
	// gone holds the last incarnations of the targets that were removed, for drainingRetentionMillis.
	gone map[lovageshift.TargetID]goneTarget
	// restored is what the last return of the store from an older copy has left open.
	restored restored
	// odd holds the keys whose last record could not be used and is noted in a Change already.
	odd map[string]bool
	// changes are the changes since the last call of Changes.
	changes []Change
}

// incarnation identifies one run of a target, from a start of its process to the next. Born is catalog.Target.Born.
type incarnation struct {
	id   lovageshift.TargetID
	born int64
}

// goneTarget is the last record of a target before its removal.
type goneTarget struct {
	born, sequence int64
	at             lovageshift.Millis // when it was removed
}

// NewRecords returns an empty copy.
func NewRecords() *Records {
	return &Records{
		targets:        map[lovageshift.TargetID]*catalog.Target{},
		zonesOut:       map[lovageshift.ZoneID]bool{},
		revisions:      map[lovageshift.TargetID]int64{},
		odd:            map[string]bool{},
		draining:       map[incarnation]lovageshift.Millis{},
		lapsed:         map[lovageshift.TargetID]lovageshift.Millis{},
		zoneReturnedAt: map[lovageshift.ZoneID]lovageshift.Millis{},
		gone:           map[lovageshift.TargetID]goneTarget{},
	}
}

// Replace applies a complete list of the store's records. It applies each item. The record of a target that is not in
// the list counts as removed, and a zone that is not in the list as back in service. If the list has no catalog, the
// current one stays. The parameter storeBackAt is as in Apply.
func (r *Records) Replace(now, storeBackAt lovageshift.Millis, items []platform.Item) {
	r.replace(now, storeBackAt, listing{items: items})
}

func (r *Records) replace(now, storeBackAt lovageshift.Millis, list listing) {
	for _, item := range list.items {
		r.Apply(now, storeBackAt, item)
	}
	for _, zone := range r.missing(now, storeBackAt, list) {
		r.restoreZone(now, zone)
	}
}

// missing handles the targets that a list of the records lacks, as far as it covers them, as removed, and returns the
// availability zones out of service that it lacks.
func (r *Records) missing(now, storeBackAt lovageshift.Millis, list listing) []lovageshift.ZoneID {
	listed := map[string]bool{}
	for _, item := range list.items {
		listed[item.Key] = true
	}
	lacks := func(key string) bool { return !listed[key] && list.covers(key) }
	maps.DeleteFunc(r.odd, func(key string, _ bool) bool { return lacks(key) })
	for id := range r.targets {
		if lacks(platform.TargetKey(id)) {
			r.removeTarget(now, storeBackAt, id)
		}
	}
	var zones []lovageshift.ZoneID
	for zone := range r.zonesOut {
		if lacks(platform.ZoneOutKey(zone)) {
			zones = append(zones, zone)
		}
	}
	return zones
}

// Apply applies one record or its removal. The parameter storeBackAt is when the store was last found reachable again
// after an outage, or 0 if there was no outage.
func (r *Records) Apply(now, storeBackAt lovageshift.Millis, item platform.Item) {
	switch record, name := platform.Classify(item.Key); record {
	case platform.RecordCatalog:
		r.applyCatalog(item)
	case platform.RecordTarget:
		delete(r.restored.held, lovageshift.TargetID(name))
		r.applyTarget(now, storeBackAt, lovageshift.TargetID(name), item)
	case platform.RecordZoneOut:
		r.applyZone(now, lovageshift.ZoneID(name), item)
	case platform.RecordOther:
		if item.Key == "" {
			r.noteOdd(item.Key, Change{Kind: "itemSkipped", Detail: item.Unreadable})
		}
	}
}

// noteOdd adds a change for a record that can't be used, unless one was added since the key last had one that can.
func (r *Records) noteOdd(key string, change Change) {
	if !r.odd[key] {
		r.odd[key] = true
		r.addChange(change)
	}
}

// applyCatalog replaces the current catalog if the record's version is higher. It keeps the current one if the record
// was removed or is malformed.
func (r *Records) applyCatalog(item platform.Item) {
	if item.Deleted {
		r.catalogUnreadable = true
		r.noteOdd(item.Key, Change{Kind: "catalogKept", Detail: "the record was removed"})
		return
	}
	decoded, err := decodeCatalog(item)
	r.catalogUnreadable = err != nil
	if err != nil {
		r.noteOdd(item.Key, Change{Kind: "catalogKept", Detail: err.Error()})
		return
	}
	delete(r.odd, item.Key)
	if r.catalog != nil && decoded.Version <= r.catalog.Version {
		return
	}
	r.catalog = decoded
	r.addChange(Change{Kind: "catalog"})
}

func decodeCatalog(item platform.Item) (*catalog.Catalog, error) {
	if item.Unreadable != "" {
		return nil, trace.BadParameter("%s", item.Unreadable)
	}
	return platform.DecodeCatalog(item.Value)
}

// applyTarget applies a target's record unless a later one was applied before: one with a higher revision of the store or,
// where a revision is not known, one of a later incarnation or of the same incarnation with a higher Sequence. A malformed
// record removes the target.
func (r *Records) applyTarget(now, storeBackAt lovageshift.Millis, id lovageshift.TargetID, item platform.Item) {
	if item.Deleted {
		delete(r.odd, item.Key)
		r.removeTarget(now, storeBackAt, id)
		return
	}
	target, err := decodeTarget(id, item)
	if err != nil {
		r.noteOdd(item.Key, Change{Kind: "targetSkipped", Target: id, Detail: err.Error()})
		r.dropTarget(now, id)
		return
	}
	delete(r.odd, item.Key)
	known := r.targets[id]
	same := known != nil && known.Born == target.Born
	if same {
		delete(r.lapsed, id)
	}
	outdated := known != nil && r.isOutdated(known, target, item.Revision)
	if item.Revision > 0 {
		r.revisions[id] = max(r.revisions[id], item.Revision)
	}
	if outdated {
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
	delete(r.gone, id)
	r.targets[id] = target
	switch {
	case !same:
		r.addChange(Change{Kind: "targetSeen", Target: id, Zone: target.Zone})
	case target.Draining && !known.Draining:
		r.addChange(Change{Kind: "targetLeaving", Target: id, Zone: target.Zone})
	}
}

func decodeTarget(id lovageshift.TargetID, item platform.Item) (*catalog.Target, error) {
	if item.Unreadable != "" {
		return nil, trace.Wrap(platform.ErrInvalidTarget, "%s", item.Unreadable)
	}
	return platform.DecodeTarget(string(id), item.Value)
}

// isOutdated reports whether the record adds nothing to the known state of the target. The store's revision decides where it
// is known, as another writer may have written any start and any sequence under the target's id.
func (r *Records) isOutdated(known, target *catalog.Target, revision int64) bool {
	same := known.Born == target.Born
	// A record that was already applied does not change the target. In particular it must not restart the cold period of a
	// target that has warmed up.
	if same && target.Sequence <= known.Sequence && !recordsDiffer(known, target) {
		return true
	}
	if knownRevision, found := r.revisions[target.ID]; found && revision > 0 {
		return revision <= knownRevision
	}
	return known.Born > target.Born || same && target.Sequence < known.Sequence
}

// forgetRevisions prepares the local copy for records of a new era, or of a store whose revisions have gone back.
func (r *Records) forgetRevisions() { clear(r.revisions) }

// recordsDiffer reports whether a target's new record differs from the known state of the same incarnation in a field
// other than Sequence and ColdUntil.
func recordsDiffer(known, target *catalog.Target) bool {
	return known.Address != target.Address || known.Zone != target.Zone || known.Service != target.Service ||
		known.Slots != target.Slots || known.Version != target.Version || known.Draining != target.Draining || known.ColdRemaining != target.ColdRemaining
}

// removeTarget handles the removal of a target's record. Less than lapseGraceMillis after storeBackAt, it marks a
// target that is not draining as lapsed and keeps it for the rest of that time: its record may have expired only
// because the target could not renew it during the outage.
func (r *Records) removeTarget(now, storeBackAt lovageshift.Millis, id lovageshift.TargetID) {
	target := r.targets[id]
	if target == nil {
		return
	}
	if !target.Draining && storeBackAt > 0 && now < storeBackAt+lapseGraceMillis {
		if _, pending := r.lapsed[id]; !pending {
			r.lapsed[id] = storeBackAt + lapseGraceMillis
			r.addChange(Change{Kind: "targetLapsed", Target: id, Zone: target.Zone})
		}
		return
	}
	r.dropTarget(now, id)
}

// dropLapsed removes the targets that have lapsed. It reports whether there were any.
func (r *Records) dropLapsed(now lovageshift.Millis) bool {
	changed := len(r.lapsed) > 0
	for id := range r.lapsed {
		r.dropTarget(now, id)
	}
	return changed
}

// dropTarget removes the target from the local copy at once.
func (r *Records) dropTarget(now lovageshift.Millis, id lovageshift.TargetID) {
	if target := r.targets[id]; target != nil {
		delete(r.targets, id)
		delete(r.revisions, id)
		r.gone[id] = goneTarget{born: target.Born, sequence: target.Sequence, at: now}
		r.addChange(Change{Kind: "targetGone", Target: id, Zone: target.Zone})
	}
	delete(r.lapsed, id)
}

// applyZone takes the zone out of service, or returns it to service if the record was removed.
func (r *Records) applyZone(now lovageshift.Millis, zone lovageshift.ZoneID, item platform.Item) {
	delete(r.restored.zones, zone)
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

// Expire removes the lapsed targets that did not register again in time, settles what a restored store has left open (see
// Restore), and forgets draining and removed incarnations by the rule at drainingRetentionMillis. It reports whether it
// changed a target or a zone.
func (r *Records) Expire(now lovageshift.Millis) bool {
	changed := r.settleRestored(now)
	for id, removeAt := range r.lapsed {
		if now >= removeAt {
			r.dropTarget(now, id)
			changed = true
		}
	}
	for inc, appliedAt := range r.draining {
		if r.targets[inc.id] == nil && now-appliedAt > drainingRetentionMillis {
			delete(r.draining, inc)
		}
	}
	for id, removed := range r.gone {
		if now-removed.at > drainingRetentionMillis {
			delete(r.gone, id)
		}
	}
	return changed
}

// awaitsExpiry reports whether Expire will change a target or a zone soon.
func (r *Records) awaitsExpiry() bool {
	return len(r.lapsed) > 0 || len(r.restored.held) > 0 || len(r.restored.zones) > 0
}

// catalogVersion returns the version of the catalog, 0 if there is none.
func (r *Records) catalogVersion() lovageshift.Revision {
	if r.catalog == nil {
		return 0
	}
	return r.catalog.Version
}

// View returns a snapshot of the records. A target of a zone that came back into service is cold for at least its
// service's cold period (catalog.Service.ColdMillis) from the zone's return.
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

// coldAfterZoneReturn returns the target or, if its zone came back into service less than the service's cold period
// ago, a copy whose ColdUntil is not before the end of that period.
func (r *Records) coldAfterZoneReturn(now lovageshift.Millis, target *catalog.Target) *catalog.Target {
	returnedAt, returned := r.zoneReturnedAt[target.Zone]
	if !returned || r.catalog == nil {
		return target
	}
	service := r.catalog.Service(target.Service)
	if service == nil || returnedAt+service.ColdMillis <= max(now, target.ColdUntil) {
		return target
	}
	cold := *target
	cold.ColdUntil = returnedAt + service.ColdMillis
	return &cold
}

func (r *Records) addChange(change Change) { r.changes = append(r.changes, change) }

// Changes returns the changes since the last call and clears them.
func (r *Records) Changes() []Change {
	changes := r.changes
	r.changes = nil
	return changes
}
