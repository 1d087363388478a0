package discovery

import "lovageshift"

// A catalog that the store has lost counts for this long after an entry that has it reported it. All entries report several
// times in it.
const lostCatalogMillis lovageshift.Millis = 5000

// The own readings of an entry that has heard no other one count only from this long after its start: others that run would have
// reported by then, and they may know that the store has lost what is in force.
const aloneMillis lovageshift.Millis = 700

// Report is what an entry tells the others of its local copy.
type Report struct {
	// Position is the store position of the copy, without a revision before the first read.
	Position lovageshift.StorePosition
	// Catalog is the version of the copy's catalog, 0 if there is none or an entry of an earlier build does not say.
	Catalog lovageshift.Revision
	// Age is the time since the last moment at which the store is known to have had nothing newer than Position. It includes
	// time for which the VM was suspended. It is neverConfirmed if there was no confirmation.
	Age lovageshift.Millis
	// Answered is for how long the store has answered the entry without an outage, and AnsweredAgo how long ago it did so last.
	// Answered is 0 if it has not lately, or an entry of an earlier build does not say.
	Answered, AnsweredAgo lovageshift.Millis
}

// Report returns the present state of the local copy.
func (t *Tracker) Report() Report {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	report := Report{Position: t.position, Catalog: t.catalog, Age: neverConfirmed}
	if t.confirmedAt != 0 {
		report.Age = t.clock.SinceBoot() - t.confirmedAt
	}
	report.Answered, report.AnsweredAgo = t.reportContact()
	return report
}

// Unconfirmed reports whether the view was confirmed longer ago than it ever is while readers reach the store: targets may have
// restarted since then whose records nobody reads.
func (t *Tracker) Unconfirmed() bool { return t.ViewAge() > t.maxUnconfirmed() }

// Confirm takes over another entry's report. Its position was the store's newest at the given time, in milliseconds of this
// entry's Clock.SinceBoot. An older position, or one without an era if this entry's has one, says nothing. If the position
// is newer than that of this entry's local copy, the copy is behind; maxBehindMillis counts from the first such report.
func (t *Tracker) Confirm(at lovageshift.Millis, report Report) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.heardOthers = true
	t.recordReportedContact(at+report.Age, report)
	if report.Position.Era > t.position.Era && report.Answered > 0 {
		t.noteReturn(report.Position.Era, t.clock.Now()-report.Answered)
	}
	order := report.Position.Compare(t.position)
	t.recordReportedCatalog(report)
	if t.lacksCatalog() {
		t.confirmedAt, t.readAt = 0, 0 // what was confirmed is not in force
	}
	t.confirm(t.readAt)
	switch {
	case t.position.Revision == 0 || order < 0:
	case order == 0:
		t.confirm(at)
	case t.behindSince == 0:
		t.behindSince = t.clock.Now()
	}
}

// setPosition sets the store position of the records. The store returned that position to a call sent at sentAt
// (Clock.SinceBoot), so it had nothing newer at that time.
func (t *Tracker) setPosition(position lovageshift.StorePosition, sentAt lovageshift.Millis) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if position != t.position {
		t.behindSince = 0
	}
	t.position = position
	t.catalog = t.records.catalogVersion()
	t.catalogUnreadable = t.records.catalogUnreadable
	t.confirm(sentAt)
}

// confirm records that the store had nothing newer than position at the time (Clock.SinceBoot). That does not count while
// the store has lost a catalog that was in force: until it is written again, nothing tells which keys are valid. It counts later
// if this entry has just started and cannot know yet whether it is so.
func (t *Tracker) confirm(at lovageshift.Millis) {
	if t.lacksCatalog() {
		return
	}
	t.readAt = max(t.readAt, at)
	if t.heardOthers || t.clock.SinceBoot()-t.startedAt >= aloneMillis {
		t.confirmedAt = max(t.confirmedAt, t.readAt)
	}
}

// reportedCatalog is the newest catalog that other entries have reported lately, and the position of its last reporter.
type reportedCatalog struct {
	version  lovageshift.Revision
	position lovageshift.StorePosition
	at       lovageshift.Millis // Clock.Now
}

// recordReportedCatalog keeps the report's catalog unless a newer one was reported lately. This entry may not have read the store
// yet, so it can compare the position only later.
func (t *Tracker) recordReportedCatalog(report Report) {
	now := t.clock.Now()
	if report.Catalog >= t.reported.version || now-t.reported.at >= lostCatalogMillis {
		t.reported = reportedCatalog{report.Catalog, report.Position, now}
	}
}

// lacksCatalog reports whether another entry has lately reported a newer catalog than this one, though its position is not
// newer. A catalog that this entry cannot decode does not count: the one before stays in force.
func (t *Tracker) lacksCatalog() bool {
	known := t.reported
	return known.version > t.catalog && known.position.Compare(t.position) <= 0 &&
		t.clock.Now()-known.at < lostCatalogMillis && !t.catalogUnreadable
}
