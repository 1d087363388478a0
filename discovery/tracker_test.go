package discovery_test

import (
	"context"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/discovery"
	"lovageshift/metrics"
	"lovageshift/platform"
)

// fakeStore answers a range request with revision 1 and one catalog, and each watch with the next page that the test
// sends to answers.
type fakeStore struct {
	answers chan platform.Page
}

func (f *fakeStore) Range(context.Context, string, string) (platform.Page, error) {
	return platform.Page{Revision: 1, Items: []platform.Item{catalogItem(4)}}, nil
}

func (f *fakeStore) Watch(ctx context.Context, _ string, after int64, _ lovageshift.Millis) (platform.Page, error) {
	select {
	case page := <-f.answers:
		return page, nil
	case <-ctx.Done():
		return platform.Page{Revision: after}, ctx.Err()
	}
}

// newTracker returns a running tracker that has published its first view, its clock and the function that stops it.
func newTracker(store discovery.Store) (*discovery.Tracker, lovageshift.Clock, func()) {
	counts, err := metrics.New()
	So(err, ShouldBeNil)
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
		tracker, _, stop := newTracker(store)
		defer stop()
		time.Sleep(100 * time.Millisecond)
		_, before := tracker.RevisionAge()
		store.answers <- platform.Page{Revision: 2, Items: []platform.Item{catalogItem(6)}}
		for range 200 {
			revision, age := tracker.RevisionAge()
			if revision == 1 {
				So(age, ShouldBeGreaterThanOrEqualTo, before)
			}
			time.Sleep(time.Millisecond)
		}
		revision, _ := tracker.RevisionAge()
		So(revision, ShouldEqual, 2)
		So(tracker.View().Catalog.Version, ShouldEqual, lovageshift.Revision(6))
	})
	Convey("Another entry's report confirms only the revision of this entry, and no earlier time replaces a later one", t, func() {
		tracker, clock, stop := newTracker(&fakeStore{answers: make(chan platform.Page)})
		defer stop()
		// If a report at this time, an hour ahead of the clock, is applied, the age is negative however long the test takes.
		ahead := clock.SinceBoot() + 3_600_000
		for _, other := range []int64{0, 2} {
			tracker.Confirm(other, ahead)
			_, age := tracker.RevisionAge()
			So(age, ShouldBeGreaterThanOrEqualTo, 0)
		}
		tracker.Confirm(1, ahead)
		_, age := tracker.RevisionAge()
		So(age, ShouldBeLessThan, 0)
		tracker.Confirm(1, clock.SinceBoot()-5000)
		_, age = tracker.RevisionAge()
		So(age, ShouldBeLessThan, 0)
	})
}
