package discovery_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/discovery"
	"lovageshift/metrics"
	"lovageshift/standin"
)

// readersAndFollowers are entries of which the first two read the store and send its changes to the others.
type readersAndFollowers struct {
	store *memoryStore
	clock lovageshift.Clock
	group errgroup.Group
	ctx   context.Context // ends all entries
	stop  func()

	mutex    sync.Mutex
	trackers []*discovery.Tracker
	stops    []context.CancelFunc // ends the tracker of the same index
	loss     float64              // share of the messages between entries that are lost
	sentKeys int                  // messages that held the catalog
	isolated map[int]isolation    // entries that are cut off
	earlier  int                  // entries from this index on do not report their contact with the store
}

const readers = 2

func newReadersAndFollowers(count int, loss float64) *readersAndFollowers {
	r := &readersAndFollowers{
		store: newMemoryStore(), clock: lovageshift.NewVirtualClock(), loss: loss,
		isolated: map[int]isolation{}, earlier: count, trackers: make([]*discovery.Tracker, count), stops: make([]context.CancelFunc, count),
	}
	r.store.write(catalogItem(4))
	ctx, cancel := context.WithCancel(context.Background())
	r.ctx = ctx
	r.stop = func() {
		cancel()
		_ = r.group.Wait()
	}
	for number := range count {
		r.trackers[number] = r.newTracker(number)
	}
	for number := range count {
		r.start(number)
	}
	r.group.Go(func() error {
		lovageshift.Every(ctx, 100*time.Millisecond, r.confirm)
		return nil
	})
	return r
}

func (r *readersAndFollowers) newTracker(number int) *discovery.Tracker {
	counts, err := metrics.New()
	if err != nil {
		panic(err)
	}
	tracker := discovery.NewTracker(discovery.Options{
		Store: &cutStore{r.store, func() isolation { return r.isolationOf(number) }}, Clock: r.clock, Metrics: counts, Address: func() string { return "" },
	})
	tracker.SetReader(func() bool { return number < readers }, func(changes discovery.Changes) {
		r.countKeys(changes)
		for other, receiver := range r.all() {
			if other != number && !r.lost() && r.linked(number, other) {
				receiver.Receive(changes)
			}
		}
	})
	return tracker
}

// start runs the tracker of the number until a restart ends it.
func (r *readersAndFollowers) start(number int) {
	ctx, cancel := context.WithCancel(r.ctx)
	r.stops[number] = cancel
	tracker := r.trackers[number]
	r.group.Go(func() error { return tracker.Run(ctx) })
}

// restart replaces an entry by a new one, which knows nothing.
func (r *readersAndFollowers) restart(number int) {
	tracker := r.newTracker(number)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.stops[number]()
	r.trackers[number] = tracker
	r.start(number)
}

// all returns the trackers at present.
func (r *readersAndFollowers) all() []*discovery.Tracker {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return append([]*discovery.Tracker(nil), r.trackers...)
}

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

// confirm passes the reports of the readers and of one other entry to all entries, as state updates do.
func (r *readersAndFollowers) confirm() {
	trackers := r.all()
	for _, number := range []int{rand.IntN(len(trackers)), 0, 1} {
		sender := trackers[number]
		report := sender.Report()
		if number >= r.earlier {
			report.Answered, report.AnsweredAgo = 0, 0
		}
		for other, tracker := range trackers {
			if tracker != sender && !r.lost() && r.linked(number, other) {
				tracker.Confirm(r.clock.SinceBoot()-report.Age, report)
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
	for _, tracker := range r.all() {
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
