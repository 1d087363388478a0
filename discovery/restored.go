package discovery

import (
	"lovageshift"
	"lovageshift/platform"
)

// restored is what a return of the store from an older copy has left open until the time settleAt (Clock.Now).
type restored struct {
	settleAt lovageshift.Millis
	// held are the records of targets that had been removed before the store returned, and those that seem older than what was
	// known of the target.
	held map[lovageshift.TargetID]platform.Item
	// zones are the availability zones out of service of which the store has no record.
	zones map[lovageshift.ZoneID]bool
}

// Restore applies a complete list of the records of a store that came back from an older copy. What the list lacks or holds
// may be out of date until it is written again, so until restoreGraceMillis after the return the local copy keeps what it knew: a target
// that was removed stays so unless it writes a record, and a zone out of service stays so unless the operator writes of it.
// A target that the list lacks lapses, as after an outage. The catalog changes only to a newer version.
func (r *Records) Restore(now lovageshift.Millis, items []platform.Item) {
	r.restore(now, now, listing{items: items})
}

// restore is Restore with a list that may be a part, of a store that has been back since returnedAt.
func (r *Records) restore(now, returnedAt lovageshift.Millis, list listing) {
	r.restored = restored{
		settleAt: returnedAt + restoreGraceMillis,
		held:     map[lovageshift.TargetID]platform.Item{},
		zones:    map[lovageshift.ZoneID]bool{},
	}
	r.forgetRevisions()
	for _, item := range list.items {
		if !r.hold(item) {
			r.Apply(now, now, item)
			r.holdOutdated(item)
		}
	}
	for id := range r.targets {
		if _, listed := r.revisions[id]; !listed {
			r.revisions[id] = 0 // older than any record of the new era
		}
	}
	for _, zone := range r.missing(now, now, list) {
		r.restored.zones[zone] = true
	}
}

// hold keeps back the record of a target that had been removed, if it is no newer than the last one before the removal.
func (r *Records) hold(item platform.Item) bool {
	record, name := platform.Classify(item.Key)
	if record != platform.RecordTarget {
		return false
	}
	id := lovageshift.TargetID(name)
	last, wasRemoved := r.gone[id]
	target, err := decodeTarget(id, item)
	if !wasRemoved || err != nil || target.Born > last.born || target.Born == last.born && target.Sequence > last.sequence {
		return false
	}
	r.restored.held[id] = item
	return true
}

// holdOutdated keeps the record of a target of which another one is known, after Apply.
func (r *Records) holdOutdated(item platform.Item) {
	record, name := platform.Classify(item.Key)
	id := lovageshift.TargetID(name)
	known := r.targets[id]
	if record != platform.RecordTarget || known == nil {
		return
	}
	if target, err := decodeTarget(id, item); err == nil && (target.Born < known.Born || target.Sequence < known.Sequence) {
		r.restored.held[id] = item
	}
}

// settleRestored takes over what the store still has, or still lacks, restoreGraceMillis after its return. It reports
// whether that changed a target or a zone.
func (r *Records) settleRestored(now lovageshift.Millis) bool {
	if now < r.restored.settleAt {
		return false
	}
	changed := false
	for id, item := range r.restored.held {
		r.revisions[id] = 0
		r.Apply(now, 0, item)
		changed = true
	}
	for zone := range r.restored.zones {
		r.restoreZone(now, zone)
		changed = true
	}
	r.restored = restored{}
	return changed
}
