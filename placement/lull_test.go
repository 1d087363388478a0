package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// TestWaitAfterLull guards against refusals by a rate of grants that was 0 in the last second because all slots were taken
// before it, although they are known to come free in time.
func TestWaitAfterLull(t *testing.T) {
	Convey("A request waits for slots that come free well before its queue deadline", t, func() {
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 10)...)
		for _, now := range []lovageshift.Millis{10, 2010} {
			var held []*placement.Slot
			for range 10 {
				held = append(held, submit(s, now, &placement.Job{}).Slot)
			}
			for _, slot := range held {
				if now == 10 {
					s.Release(2010, slot, placement.Result{Outcome: placement.Served, FirstEvent: 100})
				}
			}
		}
		waiting := submit(s, 3200, &placement.Job{Objective: 4000, QueueDeadline: 5200}) // all are free again at 4010
		So(waiting.Refusal, ShouldBeNil)
	})
}
