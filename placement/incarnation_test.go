package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/catalog"
	"lovageshift/placement"
)

// TestTargetThatAnswersAfterLostConnectionsServesStreams guards against passing over, for seconds, a target that has lost its
// connections but not restarted.
func TestTargetThatAnswersAfterLostConnectionsServesStreams(t *testing.T) {
	service := &catalog.Service{ID: pool, Engine: true, ColdPerSecond: 1, ColdMillis: 3000}
	lose := func(list []*catalog.Target) *placement.Scheduler {
		s := newScheduler(service, list...)
		held := submit(s, 1, &placement.Job{})
		s.Release(1000, held.Slot, placement.Result{Outcome: placement.ConnectionLost})
		return s
	}
	resumes := func(s *placement.Scheduler) *submission {
		job := &placement.Job{Resumes: true, HasVersion: true, Version: "v1", QueueDeadline: 100_000}
		return submit(s, 1010, job)
	}
	newTargets := func() []*catalog.Target {
		list := targets(1, 40)
		list[0].Version, list[0].Born = "v1", 7
		return list
	}
	Convey("A stream waits while its target may have restarted, and gets a slot once the target has shown that it has not", t, func() {
		s := lose(newTargets())
		waiting := resumes(s)
		So(waiting.Slot, ShouldBeNil)
		doubted := s.Doubted(1020)
		So(doubted, ShouldHaveLength, 1)
		s.ConfirmIncarnation(1025, 1020, doubted[0].ID, 7)
		So(waiting.Slot, ShouldNotBeNil)
		Convey("and is not taken for cold", func() {
			for range 30 {
				So(submit(s, 1030, &placement.Job{}).Slot, ShouldNotBeNil)
			}
		})
	})
	Convey("Neither another incarnation nor an answer to an earlier question shows that", t, func() {
		s := lose(newTargets())
		waiting := resumes(s)
		s.ConfirmIncarnation(1025, 1020, "i-0", 8)
		s.ConfirmIncarnation(1025, 1000, "i-0", 7)
		So(waiting.Slot, ShouldBeNil)
	})
	Convey("A target that has shown that it has restarted serves no streams of its record's version, however long ago that was", t, func() {
		list := newTargets()
		s := lose(list)
		s.RecordRestart(list[0])
		job := &placement.Job{Resumes: true, HasVersion: true, Version: "v1", QueueDeadline: 100_000}
		waiting := submit(s, 20_000, job)
		So(waiting.Slot, ShouldBeNil)
		Convey("until the record of its next incarnation arrives", func() {
			next := newTargets()
			next[0].Born = 8
			s.SetView(20_010, view(service, next...))
			So(waiting.Slot, ShouldNotBeNil)
			s.RecordRestart(list[0])
			So(submit(s, 20_020, &placement.Job{HasVersion: true, Version: "v1"}).Slot, ShouldNotBeNil)
		})
	})
	Convey("An answer that an entry reads late, as it stood still, does not show that", t, func() {
		s := lose(newTargets())
		waiting := resumes(s)
		s.ConfirmIncarnation(3020, 1020, "i-0", 7)
		So(waiting.Slot, ShouldBeNil)
	})
	Convey("A target is asked once in a while, not at each lost connection", t, func() {
		s := lose(newTargets())
		So(s.Doubted(1020), ShouldHaveLength, 1)
		So(s.Doubted(1040), ShouldBeEmpty)
		So(s.Doubted(2100), ShouldHaveLength, 1)
		s.RecordNoReport("i-0", 7)
		So(s.Doubted(3200), ShouldBeEmpty)
	})
}

// TestDoubtLastsWhileTheViewIsBehind guards against taking a target for the incarnation of before as no record of the next one
// has arrived, while no record can.
func TestDoubtLastsWhileTheViewIsBehind(t *testing.T) {
	Convey("A stream waits for as long as the view may not show that the target has restarted", t, func() {
		list := targets(1, 40)
		list[0].Version = "v1"
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, list...)
		s.Release(1000, submit(s, 1, &placement.Job{}).Slot, placement.Result{Outcome: placement.ConnectionLost})
		waiting := submit(s, 1010, &placement.Job{Resumes: true, HasVersion: true, Version: "v1", QueueDeadline: 100_000})
		s.SetViewLag(2000)
		s.Tick(6500)
		So(waiting.Slot, ShouldBeNil)
		s.SetViewLag(0)
		s.Tick(6510)
		So(waiting.Slot, ShouldNotBeNil)
	})
}
