package discovery

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/eventlog"
	"lovageshift/metrics"
	"lovageshift/platform"
)

const (
	// The wait of a watch on an entry that confirms the view for the others, or while the store is lost.
	shortWatchMillis lovageshift.Millis = 1200
	// The wait of a watch on an entry whose view others confirm.
	longWatchMillis lovageshift.Millis = 25_000
	// A long watch is cancelled when the view has gone unconfirmed for maxUnconfirmedMillis, or when another entry has
	// had a newer revision for maxBehindMillis. The next watch waits only probeWatchMillis, to learn the store's
	// revision soon.
	maxUnconfirmedMillis lovageshift.Millis = 2500
	maxBehindMillis      lovageshift.Millis = 800
	probeWatchMillis     lovageshift.Millis = 200
	// How often a long watch is checked for these conditions.
	superviseIntervalMillis lovageshift.Millis = 200
	// The pause after a watch that brought changes, so that changes in quick succession are fetched in one call.
	coalesceMillis lovageshift.Millis = 500
	// A failed call is retried after a random time between these two.
	backoffMinMillis lovageshift.Millis = 40
	backoffMaxMillis lovageshift.Millis = 400
	// The store counts as lost once its calls have failed for longer than this.
	storeLostMillis lovageshift.Millis = 1000
	maxPages                           = 64
	// The age of a view that was never confirmed.
	neverConfirmed lovageshift.Millis = 1 << 40
)

// Store is the part of the platform's metadata store that a tracker reads.
type Store interface {
	// Range returns one page of the records whose keys follow the one given, in key order.
	Range(ctx context.Context, address, after string) (platform.Page, error)
	// Watch returns the changes after the revision as soon as there are any, or an empty page after the wait.
	Watch(ctx context.Context, address string, after int64, wait lovageshift.Millis) (platform.Page, error)
}

// Tracker watches the store, keeps a local copy of its records and publishes a new view at each change.
type Tracker struct {
	store   Store
	address func() string
	clock   lovageshift.Clock
	log     *eventlog.Log
	counts  *metrics.Metrics

	records     *Records
	view        atomic.Pointer[catalog.View]
	isConfirmer func() bool
	// failingSince is when calls to the store began to fail, 0 while they succeed.
	failingSince lovageshift.Millis
	// storeBackAt is when the store last answered again after it had been lost.
	storeBackAt lovageshift.Millis
	storeLost   bool

	mutex sync.Mutex
	// revision and confirmedAt change together under the mutex: a time paired with another revision would confirm the
	// wrong one.
	revision    int64
	confirmedAt lovageshift.Millis // on the clock that counts suspended time
	// cancelWatch ends the long watch in progress; it is nil if there is none or the watch is short.
	cancelWatch context.CancelFunc
	// behindSince is when another entry was first seen with a newer revision, 0 if none has one.
	behindSince lovageshift.Millis
	// probeNext makes the next watch wait only probeWatchMillis.
	probeNext bool
	onChange  []func(*catalog.View)
}

// Options holds the dependencies of a tracker.
type Options struct {
	Store Store
	// Address returns the store's address at each call, as settings may change it.
	Address func() string
	Clock   lovageshift.Clock
	Log     *eventlog.Log
	Metrics *metrics.Metrics
}

// NewTracker returns a tracker that has read no records yet; Run starts it.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		store:       options.Store,
		address:     options.Address,
		clock:       options.Clock,
		log:         options.Log,
		counts:      options.Metrics,
		records:     NewRecords(),
		isConfirmer: func() bool { return true },
	}
}

// SetConfirmer sets the function that reports whether this entry is one of those that confirm the view for all others.
// Without it the entry counts as one. It must be called before Run.
func (t *Tracker) SetConfirmer(isConfirmer func() bool) { t.isConfirmer = isConfirmer }

// RevisionAge returns the store's revision of the view, 0 before the first, and the milliseconds since it was last
// confirmed to be the newest, including time for which the VM was suspended; they are neverConfirmed if it never was.
func (t *Tracker) RevisionAge() (int64, lovageshift.Millis) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.confirmedAt == 0 {
		return t.revision, neverConfirmed
	}
	return t.revision, t.clock.SinceBoot() - t.confirmedAt
}

// Confirm records that the revision was the newest at the time given, as another entry reported. The time is one of the
// clock that counts suspended time. An older revision confirms nothing; a newer one means that this entry is behind.
func (t *Tracker) Confirm(revision int64, at lovageshift.Millis) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.revision == 0 || revision < t.revision:
	case revision == t.revision:
		t.behindSince = 0
		t.confirmedAt = max(t.confirmedAt, at)
	case t.behindSince == 0:
		t.behindSince = t.clock.Now()
	}
}

// View returns the latest published view, or nil before the first catalog.
func (t *Tracker) View() *catalog.View { return t.view.Load() }

// ViewAge returns the milliseconds since the view was last confirmed to be the newest.
func (t *Tracker) ViewAge() lovageshift.Millis {
	_, age := t.RevisionAge()
	return age
}

// OnChange registers a function that Run calls with each new view, one call at a time.
func (t *Tracker) OnChange(callback func(*catalog.View)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.onChange = append(t.onChange, callback)
}

// Run watches the store until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		lovageshift.Every(ctx, superviseIntervalMillis.Duration(), t.supervise)
		return nil
	})
	tasks.Go(func() error {
		t.followStore(ctx)
		return nil
	})
	return tasks.Wait()
}

// supervise cancels a long watch when the view has gone unconfirmed for too long or another entry has a newer revision.
func (t *Tracker) supervise() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	behind := t.behindSince > 0 && t.clock.Now()-t.behindSince > maxBehindMillis
	age := t.clock.SinceBoot() - t.confirmedAt
	if t.cancelWatch == nil || (!behind && age < maxUnconfirmedMillis) {
		return
	}
	t.cancelWatch()
	t.cancelWatch, t.behindSince, t.probeNext = nil, 0, true
	t.log.Info("watchGivenUp", "behind", behind, "viewAgeMillis", age)
}

func (t *Tracker) followStore(ctx context.Context) {
	var revision int64
	canWatch := false
	for ctx.Err() == nil {
		var err error
		if canWatch {
			revision, err = t.watchOnce(ctx, revision)
		} else {
			revision, err = t.readAll(ctx)
		}
		canWatch = t.finishCall(ctx, err, canWatch)
	}
}

// finishCall handles the outcome of a call to the store. It reports whether the next call may be a watch for the
// changes after the last revision; otherwise all records have to be read.
func (t *Tracker) finishCall(ctx context.Context, err error, canWatch bool) bool {
	if t.records.Expire(t.clock.Now()) {
		t.publish()
	}
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return canWatch
	}
	t.counts.Add(metrics.StoreCalls, "failed", 1)
	t.recordFailure(err)
	if errors.Is(err, platform.ErrHistoryGone) {
		t.log.Info("storeHistoryGone")
		return false
	}
	wait := backoffMinMillis + lovageshift.Millis(rand.Int64N(int64(backoffMaxMillis-backoffMinMillis)))
	lovageshift.Pause(ctx, wait.Duration())
	return canWatch
}

// recordFailure marks the store as lost once calls have failed for storeLostMillis; a single failed call does not mean
// an outage.
func (t *Tracker) recordFailure(err error) {
	now := t.clock.Now()
	if t.failingSince == 0 {
		t.failingSince = now
	}
	if !t.storeLost && now-t.failingSince > storeLostMillis {
		t.storeLost = true
		t.log.Info("storeLost", "failingMillis", now-t.failingSince, "viewAgeMillis", t.ViewAge(), "error", err.Error())
	}
}

// recordSuccess resets the failure state and counts the call.
func (t *Tracker) recordSuccess() {
	now := t.clock.Now()
	if t.storeLost {
		t.storeLost = false
		t.storeBackAt = now
		t.log.Info("storeBack", "failingMillis", now-t.failingSince)
	}
	t.failingSince = 0
	t.counts.Add(metrics.StoreCalls, "answered", 1)
}

// setConfirmed records that the published view has the revision, which was the newest when the call was sent at sentAt.
func (t *Tracker) setConfirmed(revision int64, sentAt lovageshift.Millis) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if revision != t.revision {
		t.behindSince = 0
	}
	t.revision = revision
	t.confirmedAt = max(t.confirmedAt, sentAt)
}

// readPages returns all records, at most maxPages pages, and the store's revision when the first page was read.
func readPages(ctx context.Context, store Store, address string) ([]platform.Item, int64, error) {
	var items []platform.Item
	var revision int64
	after := ""
	for pageNumber := range maxPages {
		page, err := store.Range(ctx, address, after)
		if err != nil {
			return nil, 0, err
		}
		if pageNumber == 0 {
			revision = page.Revision
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return items, revision, nil
}

// ReadView reads all records once and returns the view that an entry would publish, with the changes it would log.
func ReadView(ctx context.Context, store Store, address string) (*catalog.View, []Change, error) {
	items, _, err := readPages(ctx, store, address)
	if err != nil {
		return nil, nil, err
	}
	records := NewRecords()
	records.Replace(0, 0, items)
	return records.View(0), records.Changes(), nil
}

// readAll reads every record and returns the revision of the first page. The watch continues from there, as the pages
// are not one consistent snapshot: a record may change while they are read.
func (t *Tracker) readAll(ctx context.Context) (int64, error) {
	sentAt := t.clock.SinceBoot()
	items, revision, err := readPages(ctx, t.store, t.address())
	if err != nil {
		return 0, err
	}
	t.recordSuccess()
	t.records.Replace(t.clock.Now(), t.storeBackAt, items)
	t.publish()
	t.setConfirmed(revision, sentAt)
	return revision, nil
}

// watchOnce waits for changes after the revision, applies them and returns the revision to watch from next.
func (t *Tracker) watchOnce(ctx context.Context, revision int64) (int64, error) {
	sentAt := t.clock.SinceBoot()
	wait := t.nextWatchWait()
	watchCtx, endWatch := t.beginWatch(ctx, wait)
	page, err := t.store.Watch(watchCtx, t.address(), revision, wait)
	cancelled := watchCtx.Err() != nil && ctx.Err() == nil
	endWatch()
	if cancelled {
		return revision, nil
	}
	if err != nil {
		return revision, err
	}
	t.recordSuccess()
	next := max(page.Revision, revision)
	if len(page.Items) == 0 {
		t.setConfirmed(next, sentAt)
		return next, nil
	}
	now := t.clock.Now()
	for _, item := range page.Items {
		t.records.Apply(now, t.storeBackAt, item)
	}
	t.publish()
	t.setConfirmed(next, sentAt)
	lovageshift.Pause(ctx, coalesceMillis.Duration())
	return next, nil
}

// beginWatch returns the context of a watch, and the function that ends it; supervise may cancel a long watch.
func (t *Tracker) beginWatch(ctx context.Context, wait lovageshift.Millis) (context.Context, context.CancelFunc) {
	watchCtx, cancel := context.WithCancel(ctx)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if wait > shortWatchMillis {
		t.cancelWatch = cancel
	}
	return watchCtx, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.cancelWatch = nil
		cancel()
	}
}

// nextWatchWait returns how long the next watch waits for a change. It waits a quarter of the short time while lapsed
// targets are kept, so that they expire on time.
func (t *Tracker) nextWatchWait() lovageshift.Millis {
	t.mutex.Lock()
	probe := t.probeNext
	t.probeNext = false
	t.mutex.Unlock()
	switch {
	case probe:
		return probeWatchMillis
	case len(t.records.lapsed) > 0:
		return shortWatchMillis / 4
	case t.isConfirmer() || t.storeLost:
		return shortWatchMillis
	default:
		return longWatchMillis
	}
}

// publish logs the changes and publishes a new view, unless there is no catalog yet.
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
	t.counts.Add(metrics.RecordChanges, change.Kind, 1)
	t.log.Info(change.Kind, "target", change.Target, "zone", change.Zone, "version", version, "detail", change.Detail)
}
