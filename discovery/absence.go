package discovery

import (
	"slices"

	"lovageshift"
)

const (
	// Another entry's contact with the store covers an absence if it lacks no more of it than this, at either end. An outage of
	// that time ends no record, as a record expires after three heartbeats of over a second.
	contactSlackMillis lovageshift.Millis = 2000
	// If calls have failed and the store has answered nobody for longer than this, it counts as having been away.
	maxSilenceMillis lovageshift.Millis = 2000
	// An outage of the store that a reader tells of is taken to have begun this long before its end, so that an entry that
	// was the first to reach the store again does not prove that there was none.
	toldAbsenceMillis = 2*contactSlackMillis + 500
	// A contact of other entries is forgotten this long after its end.
	contactRetentionMillis lovageshift.Millis = 10_000
)

// contact is a span of time (Clock.SinceBoot) in which the store answered again and again. It is empty if until is 0.
type contact struct{ since, until lovageshift.Millis }

// covers reports whether the store cannot have been away for all in the other span.
func (c contact) covers(other contact) bool {
	return c.until > 0 && c.since <= other.since+contactSlackMillis && c.until >= other.until-contactSlackMillis
}

func (c contact) overlaps(other contact) bool {
	return c.since <= other.until && other.since <= c.until
}

// contacts are spans that do not overlap.
type contacts []contact

// add returns the contacts with another span, without those that ended before the time.
func (cs contacts) add(added contact, forgetBefore lovageshift.Millis) contacts {
	var kept contacts
	for _, c := range cs {
		switch {
		case c.overlaps(added):
			added = contact{min(c.since, added.since), max(c.until, added.until)}
		case c.until >= forgetBefore:
			kept = append(kept, c)
		}
	}
	return append(kept, added)
}

// covers reports whether one of the contacts does.
func (cs contacts) covers(other contact) bool {
	return slices.ContainsFunc(cs, func(c contact) bool { return c.covers(other) })
}

// sinceBefore returns since when the store has answered others, if it has done so shortly before the time, and else the time.
func (cs contacts) sinceBefore(now, maxGap lovageshift.Millis) lovageshift.Millis {
	since := now
	for _, c := range cs {
		if now-c.until <= maxGap {
			since = min(since, c.since)
		}
	}
	return since
}

// maxContactGap returns how far two answers in a row may be apart if the store counts as having answered all the time, provided
// that no call failed for long: an entry that hears of no other's asks after maxUnconfirmed and spreadMillis.
func (t *Tracker) maxContactGap() lovageshift.Millis {
	return t.maxUnconfirmed() + spreadMillis + 2*probeWatchMillis
}

// sinceContact returns the time since the store is known to have answered this entry or another one.
func (t *Tracker) sinceContact() lovageshift.Millis {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return t.clock.SinceBoot() - max(t.contact.until, t.confirmedAt)
}

// noteContact records that the store has answered this entry, after an outage or not.
func (t *Tracker) noteContact(wasUnreachable bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	now := t.clock.SinceBoot()
	last := max(t.contact.until, t.confirmedAt)
	if wasUnreachable {
		t.absence = contact{since: last, until: now}
	}
	if wasUnreachable || now-t.contact.until > t.maxContactGap() {
		t.contact.since, t.answeredSince = now, now
		if !wasUnreachable {
			t.answeredSince = t.othersContacts.sinceBefore(now, t.maxContactGap())
		}
	}
	t.contact.until = now
}

// reportContact returns for how long the store has answered this entry, and how long ago it did so last. Both are 0 if it
// has not lately.
func (t *Tracker) reportContact() (answered, ago lovageshift.Millis) {
	now := t.clock.SinceBoot()
	if t.contact.until == 0 || now-t.contact.until > t.maxContactGap() {
		return 0, 0
	}
	return now - t.contact.since, now - t.contact.until
}

// recordReportedContact takes over another entry's contact with the store. The report was sent after sentAfter (Clock.SinceBoot) and
// before now, so that the span is no longer than it was.
func (t *Tracker) recordReportedContact(sentAfter lovageshift.Millis, report Report) {
	now := t.clock.SinceBoot()
	reported := contact{since: now - report.Answered, until: sentAfter - report.AnsweredAgo}
	if report.Answered > 0 && reported.since <= reported.until {
		t.othersContacts = t.othersContacts.add(reported, now-contactRetentionMillis)
	}
}

// settleAbsence ends the grace after an outage if other entries had the store's answers all the while: the store was not
// away, but this entry or a reader was, and what the store lacks is gone.
func (t *Tracker) settleAbsence() {
	t.mutex.Lock()
	absence := t.absence
	isOwn := absence.until > 0 && !t.restoredLately() && (t.othersContacts.covers(absence) || contact{t.answeredSince, t.contact.until}.covers(absence))
	if isOwn {
		t.absence = contact{}
	}
	t.mutex.Unlock()
	if !isOwn {
		return
	}
	t.log.Info("absenceWasOwn", "absentMillis", absence.until-absence.since)
	t.storeBackAt = 0
	if t.records.dropLapsed(t.clock.Now()) {
		t.publish()
	}
}

// restoredLately reports whether the store has lately come back from an older copy, which is a return for all.
func (t *Tracker) restoredLately() bool {
	return t.restoredAt > 0 && t.clock.Now()-t.restoredAt < restoreGraceMillis
}

// noteRestored records that the store has come back from an older copy.
func (t *Tracker) noteRestored() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.restoredAt = t.clock.Now()
	t.contact.since = t.contact.until
	t.othersContacts, t.absence = nil, contact{}
}

// storeReturn is a return of the store from an older copy: the era that it began, and the earliest time (Clock.Now) at which the
// store is known to have been back.
type storeReturn struct {
	era int64
	at  lovageshift.Millis
}

// noteReturn records that the store was back in the era at the time, unless an earlier time or a later era is known.
func (t *Tracker) noteReturn(era int64, at lovageshift.Millis) {
	if era > t.lastReturn.era || era == t.lastReturn.era && at < t.lastReturn.at {
		t.lastReturn = storeReturn{era, at}
	}
}

// returnedAt returns the earliest time at which the store is known to have been back in the era, now if none is known.
func (t *Tracker) returnedAt(era int64) lovageshift.Millis {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.noteReturn(era, t.clock.Now())
	return t.lastReturn.at
}

// adoptStoreBack takes over for how long the store has been reachable again for a reader. In the era of the local copy, that
// may prove to be the reader's own absence.
func (t *Tracker) adoptStoreBack(ago lovageshift.Millis, era int64, isNewEra bool) {
	back := t.clock.Now() - ago
	if isNewEra {
		t.mutex.Lock()
		t.noteReturn(era, back)
		t.mutex.Unlock()
	}
	if back <= t.storeBackAt || ago >= lapseGraceMillis {
		return
	}
	t.storeBackAt = back
	if isNewEra {
		return
	}
	t.mutex.Lock()
	defer t.mutex.Unlock()
	until := t.clock.SinceBoot() - ago
	if t.absence.until == 0 {
		t.absence.since = until - toldAbsenceMillis
	}
	t.absence.until = until
}
