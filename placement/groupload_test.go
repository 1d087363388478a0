package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// TestLoadElsewhere guards against refusals whose log lines do not show that other groups had capacity.
func TestLoadElsewhere(t *testing.T) {
	Convey("The load of the groups that were not asked is that of their free slots and waiting requests", t, func() {
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(30, 2)...)
		job := &placement.Job{Service: pool, Objective: 300, QueueDeadline: 150}
		inGroup := func(group placement.GroupID) (slots int) {
			for slots = 0; ; slots++ {
				granted := false
				s.Submit(1, group, placement.Coordinator, job, func(d placement.Decision) { granted = d.Slot != nil })
				if !granted {
					return slots
				}
			}
		}
		first := inGroup("pool/0")
		So(s.LoadElsewhere(1, job, "pool/0"), ShouldResemble, placement.GroupLoad{Groups: 1, Free: 60 - first})
		So(s.LoadElsewhere(1, job, "pool/1"), ShouldResemble, placement.GroupLoad{Groups: 1, Waiting: 1})
		So(s.LoadElsewhere(1, job, "pool/0", "pool/1"), ShouldResemble, placement.GroupLoad{})
	})
}

// TestRefusedRequestsDelayNobody guards against estimates that count requests which were refused, and which may have asked
// another group, among those that go before less urgent ones.
func TestRefusedRequestsDelayNobody(t *testing.T) {
	Convey("A request of a less urgent rank is queued while many urgent ones are refused", t, func() {
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 10)...)
		var held []*submission
		for now := lovageshift.Millis(100); now < 1100; now += 20 {
			if len(held) == 10 {
				s.Release(now, held[0].Slot, placement.Result{Outcome: placement.Served})
				held = held[1:]
			}
			held = append(held, submit(s, now, &placement.Job{Rank: 1}))
			if len(held) == 10 {
				So(submit(s, now, &placement.Job{QueueDeadline: now}).Refusal, ShouldNotBeNil)
			}
		}
		So(submit(s, 1100, &placement.Job{Rank: 1, QueueDeadline: 1200}).Refusal, ShouldBeNil)
	})
}
