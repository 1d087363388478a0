package discovery

import (
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
	// How long a watch of the store waits for a change.
	watchMillis lovageshift.Millis = 1200
	// The pause after a watch that returned changes, so that the next watch fetches all changes of that time in one call.
	coalesceMillis lovageshift.Millis = 500
	// A failed call to the store is retried after a random time between these two.
	backoffMinMillis lovageshift.Millis = 40
	backoffMaxMillis lovageshift.Millis = 400
	// The store counts as unreachable once calls to it have failed for longer than this.
	storeUnreachableMillis lovageshift.Millis = 1000
	// The most pages that are read of a complete list of the records. Records on later pages are ignored.
	maxPages = 64
	// Stands for the time since the last confirmation if there was none.
	neverConfirmed lovageshift.Millis = 1 << 40
)

// errNewEra is the error of a call whose response shows that the store has come back from an older copy: all records have to
// be read. errOlderEra is the error of a call whose response is from before that.
var (
	errNewEra   = errors.New("the store has come back from an older copy")
	errOlderEra = errors.New("the store's response is from an era before")
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
	// behindSince is when (Clock.Now) another entry was first seen with a position newer than position, 0 if none was.
	behindSince lovageshift.Millis
	// catalog is the version of the records' catalog at position, 0 if there is none, and catalogUnreadable whether the
	// store's catalog is another one, which could not be decoded.
	catalog           lovageshift.Revision
	catalogUnreadable bool
	// lostCatalog is the last version of the catalog reported by another entry that was newer than this entry's though its
	// position was not, and lostCatalogAt when (Clock.Now) that was.
	lostCatalog   lovageshift.Revision
	lostCatalogAt lovageshift.Millis
	// spread is the part of spreadMillis that applies to the next call to the store.
	spread lovageshift.Millis
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
}

// NewTracker returns a tracker that has read no records yet; Run starts it.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		store:    options.Store,
		address:  options.Address,
		clock:    options.Clock,
		log:      options.Log,
		metrics:  options.Metrics,
		records:  NewRecords(),
		isReader: func() bool { return true },
		received: make(chan Changes, maxPendingChanges),
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
	if t.records.Expire(t.clock.Now()) {
		t.publish()
	}
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
	wait := backoffMinMillis + lovageshift.Millis(rand.Int64N(int64(backoffMaxMillis-backoffMinMillis)))
	lovageshift.Pause(ctx, wait.Duration())
	return wasWatch
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
	if t.storeUnreachable {
		t.storeUnreachable = false
		t.storeBackAt = now
		t.log.Info("storeBack", "failingMillis", now-t.failingSince)
	}
	t.failingSince = 0
	t.metrics.Add(metrics.StoreCalls, "answered", 1)
}

// readPages returns the records of the first maxPages pages in the store, and the store position of the first page.
func readPages(ctx context.Context, store Store, address string) ([]platform.Item, lovageshift.StorePosition, error) {
	var items []platform.Item
	var position lovageshift.StorePosition
	after := ""
	for pageNumber := range maxPages {
		page, err := store.Range(ctx, address, after)
		if err != nil {
			return nil, position, err
		}
		if pageNumber == 0 {
			position = page.Position
		}
		if page.Position.Era != position.Era {
			return nil, position, errNewEra
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return items, position, nil
}

// ReadView reads all records once. It returns the view that a newly started entry would publish and the changes that
// the entry would log. The view's Catalog is nil if the store holds no valid catalog.
func ReadView(ctx context.Context, store Store, address string) (*catalog.View, []Change, error) {
	items, _, err := readPages(ctx, store, address)
	if err != nil {
		return nil, nil, err
	}
	records := NewRecords()
	records.Replace(0, 0, items)
	return records.View(0), records.Changes(), nil
}

// readAll reads all records, publishes their view and returns the store position of the first page. The next watch starts
// from there, as the pages are not one consistent snapshot: a record may change while they are read. The parameter before
// is the position of the local copy.
func (t *Tracker) readAll(ctx context.Context, before lovageshift.StorePosition) (lovageshift.StorePosition, error) {
	sentAt := t.clock.SinceBoot()
	items, position, err := readPages(ctx, t.store, t.address())
	if err != nil {
		return before, err
	}
	if isOlderEra(position, before) {
		return before, errOlderEra
	}
	t.recordSuccess()
	now := t.clock.Now()
	if before.Revision > 0 && position.Era != before.Era {
		t.storeBackAt = now
		t.records.Restore(now, items)
	} else {
		t.records.Replace(now, t.storeBackAt, items)
	}
	t.publish()
	t.setPosition(position, sentAt)
	t.passOnRead(before, position)
	return position, nil
}

// isOlderEra reports whether a response of the store is from an era before that of the position. It was delayed, or comes
// from a part of the store that has not been restored yet.
func isOlderEra(response, position lovageshift.StorePosition) bool {
	return response.Era > 0 && response.Era < position.Era
}

// watchOnce waits for changes after the position, publishes them and, as a reader, passes them on. It returns the position
// to watch from next, which stays the same if the watch failed.
func (t *Tracker) watchOnce(ctx context.Context, position lovageshift.StorePosition) (lovageshift.StorePosition, error) {
	sentAt := t.clock.SinceBoot()
	page, err := t.store.Watch(ctx, t.address(), position.Revision, t.nextWatchWait())
	if err != nil {
		return position, err
	}
	if isOlderEra(page.Position, position) {
		return position, errOlderEra
	}
	t.recordSuccess()
	if page.Position.Era != position.Era {
		t.log.Info("storeEraChanged", "before", position.Era, "era", page.Position.Era,
			"position", position.Revision, "revision", page.Position.Revision, "records", len(page.Items))
		return position, errNewEra
	}
	if page.Position.Revision > 0 && page.Position.Older(position) {
		// Another entry sent changes up to a revision that the store does not have.
		return position, platform.ErrHistoryGone
	}
	next := position
	next.Revision = max(next.Revision, page.Position.Revision)
	if len(page.Items) == 0 {
		t.setPosition(next, sentAt)
		return next, nil
	}
	now := t.clock.Now()
	for _, item := range page.Items {
		t.records.Apply(now, t.storeBackAt, item)
	}
	t.publish()
	t.setPosition(next, sentAt)
	if t.isReader() {
		t.passOn(position.Revision, next, page.Items)
		lovageshift.Pause(ctx, coalesceMillis.Duration())
	}
	return next, nil
}

// nextWatchWait returns how long the next watch waits for a change. While Expire will change the records soon, it is a
// quarter of watchMillis, as Expire runs only after each watch.
func (t *Tracker) nextWatchWait() lovageshift.Millis {
	switch {
	case !t.isReader() && !t.storeUnreachable:
		return probeWatchMillis
	case t.records.awaitsExpiry():
		return watchMillis / 4
	default:
		return watchMillis
	}
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
