package discovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/discovery"
	"lovageshift/metrics"
	"lovageshift/platform"
	"lovageshift/standin"
)

// memoryStore is a store that keeps all its history and counts the calls.
type memoryStore struct {
	mutex    sync.Mutex
	revision int64
	history  []platform.Item
	items    map[string]platform.Item
	changed  chan struct{} // closed and replaced at each write
	calls    int
}

func newMemoryStore() *memoryStore {
	return &memoryStore{revision: 1, items: map[string]platform.Item{}, changed: make(chan struct{})}
}

func (m *memoryStore) write(item platform.Item) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.revision++
	item.Revision = m.revision
	m.history = append(m.history, item)
	m.items[item.Key] = item
	if item.Deleted {
		delete(m.items, item.Key)
	}
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *memoryStore) Range(context.Context, string, string) (platform.Page, error) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.calls++
	page := platform.Page{Revision: m.revision}
	for _, item := range m.items {
		page.Items = append(page.Items, item)
	}
	return page, nil
}

func (m *memoryStore) Watch(ctx context.Context, _ string, after int64, wait lovageshift.Millis) (platform.Page, error) {
	m.mutex.Lock()
	m.calls++
	m.mutex.Unlock()
	timer := time.NewTimer(wait.Duration())
	defer timer.Stop()
	for {
		page, changed := m.since(after)
		if len(page.Items) > 0 {
			return page, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return platform.Page{}, ctx.Err()
		}
	}
}

func (m *memoryStore) since(after int64) (platform.Page, chan struct{}) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	page := platform.Page{Revision: m.revision}
	for _, item := range m.history {
		if item.Revision > after {
			page.Items = append(page.Items, item)
		}
	}
	return page, m.changed
}

func (m *memoryStore) callCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.calls
}

// readersAndFollowers are entries of which the first two read the store and send its changes to the others.
type readersAndFollowers struct {
	store    *memoryStore
	trackers []*discovery.Tracker
	group    errgroup.Group
	stop     context.CancelFunc

	mutex    sync.Mutex
	loss     float64 // share of the messages between entries that are lost
	sentKeys int     // messages that held the catalog
}

const readers = 2

func (r *readersAndFollowers) setLoss(loss float64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.loss = loss
}

// lost reports whether the next message is lost.
func (r *readersAndFollowers) lost() bool {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return rand.Float64() < r.loss
}

// countKeys counts a message from one entry to the others if it holds the catalog.
func (r *readersAndFollowers) countKeys(changes discovery.Changes) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, item := range changes.Items {
		if item.Key == standin.ConfigKey {
			r.sentKeys++
		}
	}
}

func (r *readersAndFollowers) keysSent() int {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.sentKeys
}

func newReadersAndFollowers(count int, loss float64) *readersAndFollowers {
	r := &readersAndFollowers{store: newMemoryStore(), loss: loss}
	r.store.write(catalogItem(4))
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = func() {
		cancel()
		_ = r.group.Wait()
	}
	counts, err := metrics.New()
	if err != nil {
		panic(err)
	}
	clock := lovageshift.NewClock()
	for number := range count {
		tracker := discovery.NewTracker(discovery.Options{
			Store: r.store, Clock: clock, Metrics: counts, Address: func() string { return "" },
		})
		tracker.SetReader(func() bool { return number < readers }, func(changes discovery.Changes) {
			r.countKeys(changes)
			for other := range r.trackers {
				if other != number && !r.lost() {
					r.trackers[other].Receive(changes)
				}
			}
		})
		r.trackers = append(r.trackers, tracker)
	}
	for _, tracker := range r.trackers {
		r.group.Go(func() error { return tracker.Run(ctx) })
	}
	r.group.Go(func() error {
		lovageshift.Every(ctx, 100*time.Millisecond, func() { r.confirm(clock) })
		return nil
	})
	return r
}

// confirm passes the revisions of the readers to all entries, as state updates do.
func (r *readersAndFollowers) confirm(clock lovageshift.Clock) {
	for _, reader := range r.trackers[:readers] {
		revision, age := reader.RevisionAge()
		for _, tracker := range r.trackers {
			if !r.lost() {
				tracker.Confirm(revision, clock.SinceBoot()-age)
			}
		}
	}
}

// write writes a random change of one of 40 targets or of a zone.
func (r *readersAndFollowers) write(born int64) {
	target := &standin.Replica{ID: fmt.Sprintf("i-%d", rand.IntN(40)), Service: "pool", Slots: 4}
	zone := standin.ZoneOutKey(fmt.Sprintf("zone-%d", rand.IntN(3)))
	switch rand.IntN(10) {
	case 0, 1:
		r.store.write(removal(target.Key()))
	case 2:
		r.store.write(newItem(zone, struct{}{}))
	case 3:
		r.store.write(removal(zone))
	default:
		registration := standin.Registration{Address: "10.0.0.1:80", Zone: "zone-1", Born: born, Sequence: 1, Draining: rand.IntN(5) == 0}
		r.store.write(newItem(target.Key(), target.Record(registration)))
	}
}

// differing returns how many entries have another view than a new entry that reads the store now.
func (r *readersAndFollowers) differing(t *testing.T) int {
	expected, _, err := discovery.ReadView(context.Background(), r.store, "")
	if err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, tracker := range r.trackers {
		if !sameView(tracker.View(), expected) {
			count++
		}
	}
	return count
}

func sameView(a, b *catalog.View) bool {
	if a == nil || b == nil || len(a.Targets) != len(b.Targets) || len(a.ZonesOut) != len(b.ZonesOut) || a.Catalog.Version != b.Catalog.Version {
		return false
	}
	for id, target := range b.Targets {
		if other := a.Targets[id]; other == nil || other.Born != target.Born || other.Draining != target.Draining {
			return false
		}
	}
	for zone := range b.ZonesOut {
		if !a.ZonesOut[zone] {
			return false
		}
	}
	return true
}

// If every entry watches the store, each change of a record costs a call of every entry, at a store whose rate is limited.
// The entries that do not watch must have the same records soon all the same, also when messages are lost.
func TestFollowersHaveTheStoresRecords(t *testing.T) {
	for _, count := range []int{3, 30, 103} {
		for _, loss := range []float64{0, 0.025, 0.3} {
			t.Run(fmt.Sprintf("%d entries, loss %v", count, loss), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { testFollowers(t, count, loss) })
			})
		}
	}
}

func testFollowers(t *testing.T, count int, loss float64) {
	r := newReadersAndFollowers(count, loss)
	defer r.stop()
	time.Sleep(time.Second)
	atStart := r.store.callCount()
	born := int64(100)
	for range 200 { // 20 s, 10 changes a second
		for range rand.IntN(3) {
			born++
			r.write(born)
		}
		time.Sleep(100 * time.Millisecond)
	}
	perSecond := float64(r.store.callCount()-atStart) / 20
	r.store.write(catalogItem(int(born)))
	// The bound of the platform's pages for a change of the configuration is 2 s on the smallest installations.
	time.Sleep(2 * time.Second)
	if differing := r.differing(t); differing > 0 {
		t.Errorf("after 2 s, %d of %d entries have other records than the store", differing, count)
	}
	t.Logf("%.1f calls a second", perSecond)
	if loss <= 0.025 && perSecond > 10 {
		t.Errorf("%.1f calls a second to the store", perSecond)
	}
}

// An entry must not wait for changes that cannot be sent to it, and the catalog, which holds API keys, must not be sent.
func TestChangesThatAreReadFromTheStore(t *testing.T) {
	large := targetItem(2)
	large.Value = append(large.Value[:len(large.Value)-1], fmt.Sprintf(`,"padding":"%08000d"}`, 0)...)
	for name, item := range map[string]platform.Item{"too large": large, "catalog": catalogItem(5)} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newReadersAndFollowers(5, 0)
				defer r.stop()
				time.Sleep(time.Second)
				r.store.write(item)
				time.Sleep(300 * time.Millisecond)
				if differing := r.differing(t); differing > 0 {
					t.Errorf("after 0.3 s, %d of 5 entries have other records than the store", differing)
				}
				if sent := r.keysSent(); sent > 0 {
					t.Errorf("%d messages between entries held the catalog", sent)
				}
			})
		})
	}
}

// Whoever sends datagrams must not be able to replace the catalog.
func TestCatalogFromAnotherEntryIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReadersAndFollowers(3, 0)
		defer r.stop()
		time.Sleep(time.Second)
		r.trackers[2].Receive(discovery.Changes{From: 1, To: 9, Items: []platform.Item{catalogItem(99)}})
		time.Sleep(time.Second)
		if version := r.trackers[2].View().Catalog.Version; version != 4 {
			t.Errorf("the entry has version %d", version)
		}
	})
}

// Without readers, or while they are cut off from the store or from this entry, an entry finds changes by itself.
func TestFollowersWithoutReaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newReadersAndFollowers(3, 0)
		defer r.stop()
		time.Sleep(time.Second)
		r.setLoss(1)
		r.store.write(catalogItem(5))
		r.trackers[2].Confirm(3, 0) // another entry's state update shows a newer revision
		time.Sleep(2 * time.Second)
		if version := r.trackers[2].View().Catalog.Version; version != 5 {
			t.Errorf("the entry has version %d", version)
		}
	})
}

// A wrong datagram may claim a revision that the store does not have. The entry must find the way back by itself.
func TestChangesBeyondTheStoresRevision(t *testing.T) {
	r := newReadersAndFollowers(3, 0)
	defer r.stop()
	time.Sleep(200 * time.Millisecond)
	r.trackers[2].Receive(discovery.Changes{From: 1, To: 1 << 40})
	time.Sleep(200 * time.Millisecond)
	r.store.write(catalogItem(5))
	for range 500 { // 5 s, the time within which a withdrawn key must no longer work
		if r.trackers[2].View().Catalog.Version == 5 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Error("the entry still has the old catalog after 5 s")
}
