package placement_test

import (
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

func TestUnavailable(t *testing.T) {
	service := &catalog.Service{ID: pool, Engine: true}
	target := targets(1, 8)[0]
	peer := netip.MustParseAddr("10.0.0.2")
	setup := func(wanted lovageshift.Millis) *placement.Scheduler {
		s := newScheduler(service, target)
		So(isGiven(s, 1), ShouldBeTrue)
		s.RecordUnavailable(10, target.ID, target.Born, wanted)
		return s
	}
	changed := func(change func(*catalog.Target)) *catalog.View {
		copied := *target
		change(&copied)
		return view(service, &copied)
	}
	Convey("A target gets no request of this entry within the time that it names, whatever its rank and whether it comes back", t, func() {
		s := setup(4000)
		for _, job := range []*placement.Job{{}, {Rank: -1}, {RefusedBefore: true}, {HasVersion: true}} {
			job.QueueDeadline = 4010
			So(submit(s, 4009, job).Slot, ShouldBeNil)
		}
		So(s.IsUnavailable(4009, target.ID, target.Born), ShouldBeTrue)
		_, err := s.AcquireGranted(4009, peer, placement.Reply{Granted: true, Target: placement.HashOf(target.ID), Born: target.Born}, &placement.Job{Service: pool})
		So(err, ShouldEqual, placement.ErrUnavailable)
	})
	Convey("A coordinator still assigns the target to other entries, which it did not tell", t, func() {
		s := setup(4000)
		reply := s.Reserve(20, peer, 1, s.PickGroup(&placement.Job{Service: pool}, 0), placement.Coordinator, &placement.Job{Service: pool, Objective: 500, QueueDeadline: 300}, func(placement.Reply) {})
		So(reply.Granted, ShouldBeTrue)
	})
	Convey("After the time, the target gets one request now and then until it accepts one", t, func() {
		s := setup(1000)
		So(s.IsUnavailable(1260, target.ID, target.Born), ShouldBeFalse)
		So(isGiven(s, 1260), ShouldBeTrue)
		So(isGiven(s, 1261), ShouldBeFalse)
		So(isGiven(s, 1510), ShouldBeTrue)
		s.RecordAccepted(1511, target.ID, target.Born)
		So(isGiven(s, 1512), ShouldBeTrue)
		So(isGiven(s, 1512), ShouldBeTrue)
	})
	Convey("An accepted request does not end the time, and a shorter time does not either", t, func() {
		s := setup(4000)
		s.RecordAccepted(20, target.ID, target.Born)
		So(s.RecordUnavailable(30, target.ID, target.Born, 100), ShouldEqual, 0)
		So(isGiven(s, 4009), ShouldBeFalse)
	})
	Convey("A thousand years are believed for ten minutes", t, func() {
		s := setup(1000 * 365 * 24 * 3600 * 1000)
		So(isGiven(s, 600_000), ShouldBeFalse)
		So(isGiven(s, 601_100), ShouldBeTrue)
	})
	Convey("The time outlives the target's record, and ends with its next start", t, func() {
		s := setup(4000)
		s.SetView(20, view(service))
		s.SetView(30, changed(func(t *catalog.Target) { t.Address = "10.9.9.9:1" }))
		So(isGiven(s, 30), ShouldBeFalse)
		s.SetView(40, changed(func(t *catalog.Target) { t.Born++ }))
		So(isGiven(s, 40), ShouldBeTrue)
		s.SetView(50, view(service, target)) // an older copy of the record
		So(isGiven(s, 50), ShouldBeFalse)
	})
	Convey("A slow target gets requests that a fast one would serve better but does not want", t, func() {
		s := newScheduler(service, targets(2, 8)...)
		s.RecordUnavailable(10, "i-0", 0, 4000)
		for range 8 {
			So(submit(s, 20, &placement.Job{}).Slot.Target.ID, ShouldEqual, lovageshift.TargetID("i-1"))
		}
		o := submit(s, 20, &placement.Job{QueueDeadline: 20}).Refusal.Obstacles
		So(o.Unavailable, ShouldEqual, 1)
		So(o.UnavailableFor, ShouldBeBetweenOrEqual, 3990, 4990)
		So(o.Full, ShouldEqual, 1)
	})
}
