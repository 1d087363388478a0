package discovery

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/eventlog"
	"lovageshift/metrics"
	"lovageshift/platform"
)

const (
	// A failed call to the store is retried after a random time between these two.
	backoffMinMillis lovageshift.Millis = 40
	backoffMaxMillis lovageshift.Millis = 400
	// The store counts as unreachable once calls to it have failed for longer than this.
	storeUnreachableMillis lovageshift.Millis = 1000
	// Stands for the time since the last confirmation if there was none.
	neverConfirmed lovageshift.Millis = 1 << 40
)

// Store is the part of the platform's metadata store that a tracker reads.
type Store interface {
	// Range returns one page of the records whose keys are greater than after, in key order. With "" it starts at the
	// first key.
	Range(ctx context.Context, address, after string) (platform.Page, error)
	// Watch returns the changes since the store revision after as soon as there are any, or an empty page if there are
	// none within the wait.
	Watch(ctx context.Context, address string, after int64, wait lovageshift.Millis) (platform.Page, error)
}

// Tracker watches the store, keeps a local copy of its records and publishes a new view at each change.
type Tracker struct {
	store   Store
	address func() string
	clock   lovageshift.Clock
	log     *eventlog.Log
	metrics *metrics.Metrics

	records *Records
	view    atomic.Pointer[catalog.View]
	// isReader and publishChanges are as passed to SetReader. received holds the changes that readers sent.
	applyWithin    lovageshift.Millis // Options.ApplyWithin
	isReader       func() bool
	publishChanges func(Changes)
	received       chan Changes
	// failingSince is the time (Clock.Now) of the first of the failed calls since the last successful one, 0 if there are
	// none.
	failingSince lovageshift.Millis
	// storeBackAt is when (Clock.Now) the store last answered again after it had been unreachable, 0 if there was no
	// outage.
	storeBackAt      lovageshift.Millis
	storeUnreachable bool

	mutex sync.Mutex
	// position is the store position of the records, without a revision before the first were read. It changes under the
	// mutex together with confirmedAt, so that Report never returns an older position with the time of a newer one's
	// confirmation.
	position lovageshift.StorePosition
	// confirmedAt is the last time (Clock.SinceBoot) at which the store is known to have had nothing newer than position,
	// 0 if there is none.
	confirmedAt lovageshift.Millis
	// readAt is confirmedAt if the entry's own readings count (see aloneMillis), startedAt when (Clock.SinceBoot) the tracker was
	// created, and heardOthers whether another entry has reported since.
	readAt, startedAt lovageshift.Millis
	heardOthers       bool
	// behindSince is when (Clock.Now) another entry was first seen with a position newer than position, 0 if none was.
	behindSince lovageshift.Millis
	// catalog is the version of the records' catalog at position, 0 if there is none, and catalogUnreadable whether the
	// store's catalog is another one, which could not be decoded.
	catalog           lovageshift.Revision
	catalogUnreadable bool
	// reported is the newest catalog that other entries have reported lately.
	reported reportedCatalog
	// contact is the time in which the store has answered this entry, othersContacts the times in which it has answered others.
	contact contact
	// answeredSince is since when the store has answered others and then this entry, none of whose calls failed for long.
	answeredSince  lovageshift.Millis
	othersContacts contacts
	// absence is the last outage of the store as seen here, empty once others had the store's answers in it.
	absence contact
	// restoredAt is when (Clock.Now) the store was seen to have come back from an older copy, 0 if it was not.
	restoredAt lovageshift.Millis
	// lastReturn is the last return of the store from an older copy, the zero value if there was none.
	lastReturn storeReturn
	// spread is the part of spreadMillis that applies to the next call to the store.
	spread lovageshift.Millis
	// asksForOthers is set if the last call was made because no entry confirmed the revision, so that no reader may have the changes.
	asksForOthers bool
	// fetch is set if a reader sent that there are changes to read from the store.
	fetch bool
	// onChange holds the functions that publish calls with each new view.
	onChange []func(*catalog.View)
}

// Options are the dependencies of a tracker.
type Options struct {
	Store Store
	// Address returns the store's address. It is called before each call to the store, as a reload of the settings may
	// change the address.
	Address func() string
	Clock   lovageshift.Clock
	Log     *eventlog.Log
	Metrics *metrics.Metrics
	// ApplyWithin is the time within which a change that the store has acknowledged must be in force, 0 for the default of 2 s.
	ApplyWithin lovageshift.Millis
}

// defaultApplyWithin is Options.ApplyWithin if it is 0.
const defaultApplyWithin lovageshift.Millis = 2000

// NewTracker returns a tracker that has read no records yet; Run starts it.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		store:   options.Store,
		address: options.Address,
		clock:   options.Clock,

		startedAt: options.Clock.SinceBoot(),
		log:       options.Log,
		metrics:   options.Metrics,
		records:   NewRecords(),
		isReader:  func() bool { return true },

		applyWithin: cmp.Or(options.ApplyWithin, defaultApplyWithin),
		received:    make(chan Changes, maxPendingChanges),
	}
}

// View returns the latest published view, or nil if no valid catalog was read yet.
func (t *Tracker) View() *catalog.View { return t.view.Load() }

// ViewAge returns the age of the published view, which is Report.Age.
func (t *Tracker) ViewAge() lovageshift.Millis { return t.Report().Age }

// OnChange registers a function that Run calls with each new view. The calls do not overlap.
func (t *Tracker) OnChange(callback func(*catalog.View)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.onChange = append(t.onChange, callback)
}

// Run follows the store until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	var position lovageshift.StorePosition
	canWatch := false
	for ctx.Err() == nil {
		var err error
		switch {
		case !canWatch:
			position, err = t.readAll(ctx, position)
		case t.isReader():
			t.discardReceived()
			position, err = t.watchOnce(ctx, position)
		case t.mustAsk():
			position, err = t.watchOnce(ctx, position)
			if err != nil {
				t.requestFetch() // the reason to ask remains
			}
		default:
			position = t.awaitChanges(ctx, position)
			continue
		}
		canWatch = t.finishCall(ctx, err, canWatch)
	}
	return nil
}

// finishCall handles the outcome of a call to the store and, after a failed one, waits before the retry. The parameter
// wasWatch tells whether the call was a watch. The result reports whether the next call may be a watch for the changes
// since the last revision; otherwise all records have to be read.
func (t *Tracker) finishCall(ctx context.Context, err error, wasWatch bool) bool {
	t.expire()
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return wasWatch
	}
	t.metrics.Add(metrics.StoreCalls, "failed", 1)
	t.recordFailure(err)
	if errors.Is(err, platform.ErrHistoryGone) {
		t.log.Info("storeHistoryGone")
		return false
	}
	if errors.Is(err, errNewEra) {
		return false
	}
	if errors.Is(err, platform.ErrInvalidPage) {
		wasWatch = false // the changes that can't be read or are too many are in the list
	}
	wait := backoffMinMillis + lovageshift.Millis(rand.Int64N(int64(backoffMaxMillis-backoffMinMillis)))
	lovageshift.Pause(ctx, wait.Duration())
	return wasWatch
}

// expire applies what the time that has passed changes, and publishes it.
func (t *Tracker) expire() {
	t.settleAbsence()
	if t.records.Expire(t.clock.Now()) {
		t.publish()
	}
}

// recordFailure marks the store as unreachable once calls have failed for longer than storeUnreachableMillis, since a
// single failed call does not mean an outage.
func (t *Tracker) recordFailure(err error) {
	now := t.clock.Now()
	if t.failingSince == 0 {
		t.failingSince = now
	}
	if !t.storeUnreachable && now-t.failingSince > storeUnreachableMillis {
		t.storeUnreachable = true
		t.log.Info("storeLost", "failingMillis", now-t.failingSince, "viewAgeMillis", t.ViewAge(), "error", err.Error())
	}
}

// recordSuccess counts a successful call, ends the series of failures and marks the store as reachable.
func (t *Tracker) recordSuccess() {
	now := t.clock.Now()
	wasAway := t.storeUnreachable || t.failingSince > 0 && t.sinceContact() > maxSilenceMillis
	t.noteContact(wasAway)
	if wasAway {
		t.storeUnreachable = false
		t.storeBackAt = now
		t.log.Info("storeBack", "failingMillis", now-t.failingSince)
	}
	t.failingSince = 0
	t.settleAbsence()
	t.metrics.Add(metrics.StoreCalls, "answered", 1)
}

// publish logs and counts the changes of the records. If there is a catalog, it then publishes a new view and calls the
// functions registered with OnChange with it.
func (t *Tracker) publish() {
	now := t.clock.Now()
	view := t.records.View(now)
	for _, change := range t.records.Changes() {
		t.logChange(change, view)
	}
	if view.Catalog == nil {
		return
	}
	t.view.Store(view)
	t.mutex.Lock()
	callbacks := t.onChange
	t.mutex.Unlock()
	for _, callback := range callbacks {
		callback(view)
	}
}

func (t *Tracker) logChange(change Change, view *catalog.View) {
	var version lovageshift.Revision
	if view.Catalog != nil {
		version = view.Catalog.Version
	}
	t.metrics.Add(metrics.RecordChanges, change.Kind, 1)
	t.log.Info(change.Kind, "target", change.Target, "zone", change.Zone, "version", version, "detail", change.Detail)
}
