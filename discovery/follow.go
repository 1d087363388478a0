package discovery

import (
	"context"
	"math/rand/v2"
	"time"

	"lovageshift"
	"lovageshift/metrics"
	"lovageshift/platform"
)

const (
	// An entry that is not a reader (see SetReader) asks the store itself once its local copy's revision was last confirmed
	// Tracker.maxUnconfirmed ago, or another entry was first seen with a newer store revision maxBehindMillis ago. It waits up to
	// spreadMillis more, at random, as the answer of one entry confirms the revision for the others too. Such a watch waits
	// only probeWatchMillis, as its answer confirms the revision or brings the changes.
	maxBehindMillis  lovageshift.Millis = 800
	spreadMillis     lovageshift.Millis = 300
	probeWatchMillis lovageshift.Millis = 200
	// How long the answer to a call of the store takes, and what follows from it until it is in force.
	answerMillis lovageshift.Millis = 400
	// How long it takes until another entry's confirmation of the revision is known here.
	reportMillis lovageshift.Millis = 300
	// How often an entry that is not a reader checks for these two conditions.
	followCheckMillis lovageshift.Millis = 100
	// How many changes received from readers may wait to be applied. Further ones are dropped; the entry then finds itself
	// behind and asks the store.
	maxPendingChanges = 256
)

// SetReader sets the function that reports whether this entry is now a reader, and the function to which the tracker then
// passes the changes of the records. Readers watch the store and send the changes to the other entries, which ask the
// store only if readers do not keep them up to date. Without SetReader, the entry counts as a reader. SetReader must be
// called before Run.
func (t *Tracker) SetReader(isReader func() bool, publish func(Changes)) {
	t.isReader, t.publishChanges = isReader, publish
}

// Receive takes over changes that a reader sent.
func (t *Tracker) Receive(changes Changes) {
	select {
	case t.received <- changes:
	default:
		t.metrics.Add(metrics.StoreCalls, "changesDropped", 1)
	}
}

// maxUnconfirmed returns how old the last confirmation of the local copy's revision may become before the entry asks the store
// itself. A change is then in force in time though no reader gets it, because the store answers none of them.
func (t *Tracker) maxUnconfirmed() lovageshift.Millis {
	return max(t.applyWithin-answerMillis-spreadMillis, probeWatchMillis)
}

// watchWait returns how long a reader's watch waits for a change. Its answer confirms the revision as of its start, so two watches
// and a report must fit into maxUnconfirmed.
func (t *Tracker) watchWait() lovageshift.Millis {
	return min(watchMillis, max((t.maxUnconfirmed()-reportMillis)/2, probeWatchMillis))
}

// mustAsk reports whether an entry that is not a reader has to ask the store itself: while the store is unreachable for
// it, if a reader sent that there are changes to read, or if one of the conditions at maxBehindMillis holds.
func (t *Tracker) mustAsk() bool {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	age := t.clock.SinceBoot() - t.confirmedAt
	behind := t.behindSince > 0 && t.clock.Now()-t.behindSince > maxBehindMillis+t.spread
	if !behind && !t.fetch && !t.storeUnreachable && age < t.maxUnconfirmed()+t.spread {
		return false
	}
	t.log.Info("storeAsked", "behind", behind, "changesToRead", t.fetch, "viewAgeMillis", age)
	t.behindSince, t.fetch = 0, false
	t.asksForOthers = age >= t.maxUnconfirmed()
	t.spread = lovageshift.Millis(rand.Int64N(int64(spreadMillis)))
	return true
}

// awaitChanges waits for the next changes from a reader, or for followCheckMillis, and applies them. It returns the
// position of the local copy.
func (t *Tracker) awaitChanges(ctx context.Context, position lovageshift.StorePosition) lovageshift.StorePosition {
	timer := time.NewTimer(followCheckMillis.Duration())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case changes := <-t.received:
		position = t.applyChanges(position, changes)
	case <-timer.C:
	}
	t.expire()
	return position
}

// discardReceived discards the changes that have been received. A reader does not apply those of another reader, as it
// would then not read and pass them on itself, and a follower that lost them from the other reader would lack them.
func (t *Tracker) discardReceived() {
	for {
		select {
		case <-t.received:
		default:
			return
		}
	}
}

// applyChanges applies changes from a reader if they are of the local copy's era, and the copy has the revision that they
// start from or a later one. It returns the position of the local copy. The time of the last confirmation stays: if the
// store had nothing newer than the old position then, it had nothing newer than the new one.
func (t *Tracker) applyChanges(position lovageshift.StorePosition, changes Changes) lovageshift.StorePosition {
	to := lovageshift.StorePosition{Era: changes.Era, Revision: changes.To}
	if changes.StoreBack > 0 {
		t.adoptStoreBack(changes.StoreBack, changes.Era, changes.Era != position.Era)
		t.settleAbsence()
	}
	switch {
	case changes.Era == 0 && position.Era > 0: // a reader of an earlier build, which may have missed a new era
		t.requestFetch()
		return position
	case to.Compare(position) <= 0:
		return position
	case changes.ReadStore || changes.Era > position.Era:
		t.requestFetch()
		return position
	case changes.From > position.Revision: // changes before these were lost
		t.noteBehind()
		return position
	}
	now := t.clock.Now()
	for _, item := range changes.Items {
		if maySend(item) {
			item.Revision = changes.To // readers send the last state up to there, without its own revision
			t.records.Apply(now, t.storeBackAt, item)
		}
	}
	t.publish()
	t.metrics.Add(metrics.StoreCalls, "savedByReader", 1)
	t.setPosition(to, 0)
	return to
}

func (t *Tracker) requestFetch() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fetch = true
}

func (t *Tracker) noteBehind() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.behindSince == 0 {
		t.behindSince = t.clock.Now()
	}
}

// passOn passes the changes of a watch to the function set by SetReader, to be sent to the other entries.
func (t *Tracker) passOn(from int64, to lovageshift.StorePosition, items []platform.Item) {
	t.send(splitChanges(from, to, items))
}

// passOnRead makes the other entries read the store after this one, as a reader, has read all its records: what changed
// since the position before is not known.
func (t *Tracker) passOnRead(before, position lovageshift.StorePosition) {
	if t.isReader() && before.Revision > 0 && before.Older(position) {
		t.send([]Changes{{Era: position.Era, To: position.Revision, ReadStore: true}})
	}
}

func (t *Tracker) send(parts []Changes) {
	if t.publishChanges == nil {
		return
	}
	var storeBack lovageshift.Millis
	if t.storeBackAt > 0 {
		storeBack = max(t.clock.Now()-t.storeBackAt, 1)
	}
	for _, part := range parts {
		part.StoreBack = storeBack
		t.publishChanges(part)
	}
}
