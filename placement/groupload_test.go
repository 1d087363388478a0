package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/catalog"
	"lovageshift/placement"
)

// TestLoadElsewhere guards against refusals whose log lines do not tell that other groups had capacity.
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
