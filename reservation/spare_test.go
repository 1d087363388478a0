package reservation_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/placement"
)

func TestSlotsForSecondAttempts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		Convey("A second attempt gets a free slot of a suitable target through any entry, and nothing without a wait otherwise", t, func() {
			for _, through := range []func(coordinator, other *testEntry) *testEntry{
				func(coordinator, _ *testEntry) *testEntry { return coordinator },
				func(_, other *testEntry) *testEntry { return other },
			} {
				n, entries := newNetwork(3, 2, 1)
				e := through(coordinatorAndOther(entries))
				first := e.reserve(100).Slot
				So(first, ShouldNotBeNil)
				spare := func(version string) *placement.Slot {
					began := n.clock.Now()
					job := &placement.Job{
						Service: pool, Arrived: began, Objective: 500, HasVersion: true, Version: lovageshift.SoftwareVersion(version),
						Tried: []placement.TargetHash{placement.HashOf(first.Target.ID)},
					}
					slot := e.client.ReserveSpare(context.Background(), job)
					So(n.clock.Now()-began, ShouldBeLessThanOrEqualTo, 2) // one message there and one back
					return slot
				}
				So(spare("another"), ShouldBeNil)
				slot := spare("")
				So(slot, ShouldNotBeNil)
				So(slot.Target.ID, ShouldNotEqual, first.Target.ID)
				So(spare(""), ShouldBeNil) // no slot is free
				e.scheduler.Release(n.clock.Now(), slot, placement.Result{})
				e.scheduler.RecordLimit(n.clock.Now(), slot, placement.Limit{PerSecond: 1000, Named: true})
				time.Sleep(time.Second) // so that the limit would allow it
				So(spare(""), ShouldBeNil)
			}
		})
	})
}
