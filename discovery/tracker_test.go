package discovery_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/discovery"
	"lovageshift/metrics"
	"lovageshift/platform"
)

// at returns the position of the revision at a store that names no era.
func at(revision int64) lovageshift.StorePosition {
	return lovageshift.StorePosition{Revision: revision}
}

// fakeStore answers a range request with revision 1 and one catalog, and each watch with the next page that the test
// sends to answers.
type fakeStore struct {
	answers chan platform.Page
	era     atomic.Int64 // of the answers to range requests
}

func (f *fakeStore) Range(context.Context, string, string) (platform.Page, error) {
	position := lovageshift.StorePosition{Era: f.era.Load(), Revision: 1}
	return platform.Page{Position: position, Items: []platform.Item{catalogItem(4)}}, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after int64, _ lovageshift.Millis) (platform.Page, error) {
	select {
	case page := <-f.answers:
		return page, nil
	case <-ctx.Done():
		return platform.Page{Position: at(after)}, ctx.Err()
	}
}

// runTracker returns a running tracker that has published its first view, its clock and the function that stops it.
func runTracker(store discovery.Store) (*discovery.Tracker, lovageshift.Clock, func()) {
	counts, err := metrics.New()
	if err != nil {
		panic(err)
	}
	clock := lovageshift.NewClock()
	tracker := discovery.NewTracker(discovery.Options{
		Store: store, Clock: clock, Metrics: counts, Address: func() string { return "" },
	})
	ctx, cancel := context.WithCancel(context.Background())
	var tasks errgroup.Group
	tasks.Go(func() error { return tracker.Run(ctx) })
	for tracker.View() == nil {
		time.Sleep(time.Millisecond)
	}
	return tracker, clock, func() {
		cancel()
		_ = tasks.Wait()
	}
}

func TestConfirmations(t *testing.T) {
	Convey("A watch that returns a newer revision does not reduce the age of the older one before the newer one replaces it", t, func() {
		store := &fakeStore{answers: make(chan platform.Page)}
		tracker, _, stop := runTracker(store)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		before := tracker.Report().Age
		store.answers <- platform.Page{Position: at(2), Items: []platform.Item{catalogItem(6)}}
		for range 200 {
			report := tracker.Report()
			if report.Position == at(1) {
				So(report.Age, ShouldBeGreaterThanOrEqualTo, before)
			}
			time.Sleep(time.Millisecond)
		}
		So(tracker.Report().Position, ShouldEqual, at(2))
		So(tracker.View().Catalog.Version, ShouldEqual, lovageshift.Revision(6))
	})
	Convey("Another entry's report confirms only the revision of this entry, and no earlier time replaces a later one", t, func() {
		tracker, clock, stop := runTracker(&fakeStore{answers: make(chan platform.Page)})
		defer stop()
		// If a report at this time, an hour ahead of the clock, is applied, the age is negative however long the test takes.
		ahead := clock.SinceBoot() + 3_600_000
		for _, other := range []int64{0, 2} {
			tracker.Confirm(ahead, discovery.Report{Position: at(other)})
			So(tracker.Report().Age, ShouldBeGreaterThanOrEqualTo, 0)
		}
		tracker.Confirm(ahead, discovery.Report{Position: at(1)})
		So(tracker.Report().Age, ShouldBeLessThan, 0)
		tracker.Confirm(clock.SinceBoot()-5000, discovery.Report{Position: at(1)})
		So(tracker.Report().Age, ShouldBeLessThan, 0)
	})
}
