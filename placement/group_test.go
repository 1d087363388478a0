package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// TestRetryWaitsAtNoGroupWhoseTargetsWereTried guards against a stream that waits in vain at a group which has only targets that
// it has tried, while another group has room.
func TestRetryWaitsAtNoGroupWhoseTargetsWereTried(t *testing.T) {
	Convey("A retry is sent to the group of the only target of its version that was not tried", t, func() {
		list := targets(60, 8) // the first two are in different groups
		for i, target := range list {
			target.Version = "v2"
			if i < 2 {
				target.Version = "v1"
			}
		}
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, list...)
		for tried, other := range map[lovageshift.TargetID]lovageshift.TargetID{"i-0": "i-1", "i-1": "i-0"} {
			for point := 0.0; point < 1; point += 0.05 {
				var got placement.Decision
				job := &placement.Job{
					Service: pool, Objective: 300, QueueDeadline: 1500, HasVersion: true, Version: "v1",
					Tried: []placement.TargetHash{placement.HashOf(tried)},
				}
				s.Submit(1, s.PickGroup(job, point), placement.Coordinator, job, func(d placement.Decision) { got = d })
				So(got.Slot, ShouldNotBeNil)
				So(got.Slot.Target.ID, ShouldEqual, other)
				s.Release(1, got.Slot, placement.Result{Outcome: placement.Served})
			}
		}
	})
}
