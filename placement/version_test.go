package placement_test

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// versionJob returns a job that only targets of the version can run.
func versionJob(version lovageshift.SoftwareVersion) *placement.Job {
	return &placement.Job{HasVersion: true, Version: version}
}

func TestVersions(t *testing.T) {
	service := &catalog.Service{ID: pool, Engine: true}
	Convey("Given a target of each of two versions", t, func() {
		list := targets(2, 4)
		list[0].Version, list[1].Version = "v1", "v2"
		s := newScheduler(service, list...)
		Convey("a job that needs one gets slots at its target only", func() {
			for range 4 {
				So(submit(s, 1, versionJob("v2")).Slot.Target.Version, ShouldEqual, lovageshift.SoftwareVersion("v2"))
			}
			So(submit(s, 1, versionJob("v2")).Slot, ShouldBeNil)
		})
		Convey("a job that needs another is refused at once", func() {
			sub := submit(s, 1, versionJob("v3"))
			So(sub.Refusal, ShouldNotBeNil)
			So(sub.Refusal.Reason, ShouldEqual, lovageshift.ReasonNoTarget)
		})
		Convey("a slot that another entry granted at the other one is not used", func() {
			_, err := s.AcquireGranted(1, peer, placement.Reply{Granted: true, Target: placement.HashOf("i-0")}, versionJob("v2"))
			So(err, ShouldEqual, placement.ErrOtherVersion)
		})
	})
}

// A target may start again under its id with another version of its software, and its record may arrive late.
func TestVersionOfTargetThatMayHaveRestarted(t *testing.T) {
	Convey("A target to which a connection was lost gets no job that needs a version until its record must have arrived", t, func() {
		list := targets(1, 4)
		list[0].Version = "v1"
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, list...)
		first, second := submit(s, 1, &placement.Job{}).Slot, submit(s, 1, &placement.Job{}).Slot
		So(s.MayHaveRestarted(1, second), ShouldBeFalse)
		s.Release(1000, first, placement.Result{Outcome: placement.ConnectionLost})
		So(s.MayHaveRestarted(1100, second), ShouldBeTrue)
		So(submit(s, 1100, versionJob("v1")).Slot, ShouldBeNil)
		So(submit(s, 1100, &placement.Job{}).Slot, ShouldNotBeNil)
		So(submit(s, 6100, versionJob("v1")).Slot, ShouldNotBeNil)
		So(s.MayHaveRestarted(6100, second), ShouldBeFalse)
	})
}
