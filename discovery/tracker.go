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
	// A watch of an entry that confirms the view for the others waits so long for a change.
	watchMillis lovageshift.Millis = 1200
	// One of an entry that others confirm the view for waits longer.
	longWatchMillis lovageshift.Millis = 25_000
	// A long watch is given up when the view was not confirmed for so long, or when another entry has been ahead for so
	// long; the next watch is short, to know soon.
	unconfirmedMillis lovageshift.Millis = 2500
	behindMillis      lovageshift.Millis = 800
	probeMillis       lovageshift.Millis = 200
	// How often a long watch is looked after.
	superviseMillis lovageshift.Millis = 200
	// Changes that come together are fetched together.
	gatherMillis lovageshift.Millis = 500
	// Failed calls are repeated after a random time between these.
	backoffMinMillis lovageshift.Millis = 40
	backoffMaxMillis lovageshift.Millis = 400
	// A store whose calls have failed for so long counts as lost.
	lostMillis lovageshift.Millis = 1000
	maxPages                      = 64
	// The age of a view that nobody ever confirmed.
	neverConfirmed lovageshift.Millis = 1 << 40
)

// Store is what the tracker calls.
type Store interface {
	Range(ctx context.Context, address, after string) (platform.Page, error)
	Watch(ctx context.Context, address string, after int64, wait lovageshift.Millis) (platform.Page, error)
}

// Tracker follows the store and publishes a view at each change.
type Tracker struct {
	store   Store
	address func() string
	clock   lovageshift.Clock
	log     *eventlog.Log
	counts  *metrics.Metrics

	belief    *Records
	view      atomic.Pointer[catalog.View]
	confirmer func() bool
	// failingSince is when calls began to fail, 0 while they do not.
	failingSince lovageshift.Millis
	storeBack    lovageshift.Millis
	lost         bool

	mutex sync.Mutex
	// revision and confirmed change together: a time without its revision would confirm the wrong one.
	revision  int64
	confirmed lovageshift.Millis // on the clock that counts suspended time
	// giveUp ends the watch under way, nil if there is none or it is short.
	giveUp      context.CancelFunc
	behindSince lovageshift.Millis
	probing     bool
	onChange    []func(*catalog.View)
}

// Options are what a tracker needs.
type Options struct {
	Store   Store
	Address func() string
	Clock   lovageshift.Clock
	Log     *eventlog.Log
	Metrics *metrics.Metrics
}

// NewTracker returns a tracker that knows nothing yet.
func NewTracker(options Options) *Tracker {
	return &Tracker{
		store:     options.Store,
		address:   options.Address,
		clock:     options.Clock,
		log:       options.Log,
		counts:    options.Metrics,
		belief:    NewRecords(),
		confirmer: func() bool { return true },
	}
}

// SetConfirmer takes over how to know whether this entry is among those that confirm the view for all; it must be
// called before Run.
func (t *Tracker) SetConfirmer(confirmer func() bool) { t.confirmer = confirmer }

// RevisionAge returns the store's revision that the view has, 0 before there is one, and for how long nobody confirmed that
// it is the newest, counting time that the machine was suspended.
func (t *Tracker) RevisionAge() (int64, lovageshift.Millis) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.confirmed == 0 {
		return t.revision, neverConfirmed
	}
	return t.revision, t.clock.SinceBoot() - t.confirmed
}

// Confirm takes in that another entry's view, at the revision, was the newest at a time of the clock that counts
// suspended time.
func (t *Tracker) Confirm(revision int64, at lovageshift.Millis) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	switch {
	case t.revision == 0 || revision < t.revision:
	case revision == t.revision:
		t.behindSince = 0
		t.confirmed = max(t.confirmed, at)
	case t.behindSince == 0:
		t.behindSince = t.clock.Now()
	}
}

// View returns what the entry believes, or nil before the first catalog.
func (t *Tracker) View() *catalog.View { return t.view.Load() }

// ViewAge returns for how long the view has not been confirmed.
func (t *Tracker) ViewAge() lovageshift.Millis {
	_, age := t.RevisionAge()
	return age
}

// OnChange registers a function that is called with each new view.
func (t *Tracker) OnChange(call func(*catalog.View)) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.onChange = append(t.onChange, call)
}

// Run follows the store until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		lovageshift.Every(ctx, superviseMillis.Duration(), t.supervise)
		return nil
	})
	tasks.Go(func() error {
		t.followAll(ctx)
		return nil
	})
	return tasks.Wait()
}

// supervise ends a long watch that no longer serves: nobody confirms the view, or another entry is ahead.
func (t *Tracker) supervise() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	behind := t.behindSince > 0 && t.clock.Now()-t.behindSince > behindMillis
	age := t.clock.SinceBoot() - t.confirmed
	if t.giveUp == nil || (!behind && age < unconfirmedMillis) {
		return
	}
	t.giveUp()
	t.giveUp, t.behindSince, t.probing = nil, 0, true
	t.log.Info("watchGivenUp", "behind", behind, "viewAgeMillis", age)
}

func (t *Tracker) followAll(ctx context.Context) {
	var revision int64
	known := false
	for ctx.Err() == nil {
		var err error
		if known {
			revision, err = t.follow(ctx, revision)
		} else {
			revision, err = t.readAll(ctx)
		}
		known = t.settle(ctx, err, known)
	}
}

// settle handles a call's error and reports whether the changes after the last revision may be asked for.
func (t *Tracker) settle(ctx context.Context, err error, known bool) bool {
	if t.belief.Expire(t.clock.Now()) {
		t.publish()
	}
	if err == nil {
		return true
	}
	if ctx.Err() != nil {
		return known
	}
	t.counts.Add(metrics.StoreCalls, "failed", 1)
	t.noteFailure(err)
	if errors.Is(err, platform.ErrHistoryGone) {
		t.log.Info("storeHistoryGone")
		return false
	}
	wait := backoffMinMillis + lovageshift.Millis(rand.Int64N(int64(backoffMaxMillis-backoffMinMillis)))
	lovageshift.Pause(ctx, wait.Duration())
	return known
}

// noteFailure counts the store as lost once calls have failed for a while; a single broken call says nothing of it.
func (t *Tracker) noteFailure(err error) {
	now := t.clock.Now()
	if t.failingSince == 0 {
		t.failingSince = now
	}
	if !t.lost && now-t.failingSince > lostMillis {
		t.lost = true
		t.log.Info("storeLost", "failingMillis", now-t.failingSince, "viewAgeMillis", t.ViewAge(), "error", err.Error())
	}
}

// answered notes that the store works.
func (t *Tracker) answered() {
	now := t.clock.Now()
	if t.lost {
		t.lost = false
		t.storeBack = now
		t.log.Info("storeBack", "failingMillis", now-t.failingSince)
	}
	t.failingSince = 0
	t.counts.Add(metrics.StoreCalls, "answered", 1)
}

// confirm notes that the published view has the revision, which was the newest when the call was sent.
func (t *Tracker) confirm(revision int64, sent lovageshift.Millis) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if revision != t.revision {
		t.behindSince = 0
	}
	t.revision = revision
	t.confirmed = max(t.confirmed, sent)
}

// readPages returns all records, and the store's revision before the first of them was read.
func readPages(ctx context.Context, store Store, address string) ([]platform.Item, int64, error) {
	var items []platform.Item
	var revision int64
	after := ""
	for number := range maxPages {
		page, err := store.Range(ctx, address, after)
		if err != nil {
			return nil, 0, err
		}
		if number == 0 {
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

// ReadView reads the store once and returns the view that an entry would have, with what it noticed about the records.
func ReadView(ctx context.Context, store Store, address string) (*catalog.View, []Change, error) {
	items, _, err := readPages(ctx, store, address)
	if err != nil {
		return nil, nil, err
	}
	belief := NewRecords()
	belief.Replace(0, 0, items)
	return belief.View(0), belief.Changes(), nil
}

// readAll reads every record; the watch then goes on from the first page, as the pages are no snapshot.
func (t *Tracker) readAll(ctx context.Context) (int64, error) {
	sent := t.clock.SinceBoot()
	items, revision, err := readPages(ctx, t.store, t.address())
	if err != nil {
		return 0, err
	}
	t.answered()
	t.belief.Replace(t.clock.Now(), t.storeBack, items)
	t.publish()
	t.confirm(revision, sent)
	return revision, nil
}

func (t *Tracker) follow(ctx context.Context, revision int64) (int64, error) {
	sent := t.clock.SinceBoot()
	wait := t.watchWait()
	limited, done := t.begin(ctx, wait)
	page, err := t.store.Watch(limited, t.address(), revision, wait)
	givenUp := limited.Err() != nil && ctx.Err() == nil
	done()
	if givenUp {
		return revision, nil
	}
	if err != nil {
		return revision, err
	}
	t.answered()
	next := max(page.Revision, revision)
	if len(page.Items) == 0 {
		t.confirm(next, sent)
		return next, nil
	}
	now := t.clock.Now()
	for _, item := range page.Items {
		t.belief.Apply(now, t.storeBack, item)
	}
	t.publish()
	t.confirm(next, sent)
	lovageshift.Pause(ctx, gatherMillis.Duration())
	return next, nil
}

// begin notes that a watch is under way; a long one can be given up.
func (t *Tracker) begin(ctx context.Context, wait lovageshift.Millis) (context.Context, context.CancelFunc) {
	limited, cancel := context.WithCancel(ctx)
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if wait > watchMillis {
		t.giveUp = cancel
	}
	return limited, func() {
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.giveUp = nil
		cancel()
	}
}

// watchWait returns how long the next watch waits for a change.
func (t *Tracker) watchWait() lovageshift.Millis {
	t.mutex.Lock()
	probing := t.probing
	t.probing = false
	t.mutex.Unlock()
	switch {
	case probing:
		return probeMillis
	case len(t.belief.lapsed) > 0:
		return watchMillis / 4
	case t.confirmer() || t.lost:
		return watchMillis
	default:
		return longWatchMillis
	}
}

func (t *Tracker) publish() {
	now := t.clock.Now()
	view := t.belief.View(now)
	for _, change := range t.belief.Changes() {
		t.logChange(change, view)
	}
	if view.Catalog == nil {
		return
	}
	t.view.Store(view)
	t.mutex.Lock()
	calls := t.onChange
	t.mutex.Unlock()
	for _, call := range calls {
		call(view)
	}
}

func (t *Tracker) logChange(change Change, view *catalog.View) {
	var version lovageshift.Revision
	if view.Catalog != nil {
		version = view.Catalog.Version
	}
	t.counts.Add(metrics.Beliefs, change.Kind, 1)
	t.log.Info(change.Kind, "target", change.Target, "zone", change.Zone, "version", version, "detail", change.Detail)
}
