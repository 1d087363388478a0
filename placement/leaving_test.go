package placement_test

import (
	"net/netip"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// isGiven reports whether any request gets a slot.
func isGiven(s *placement.Scheduler, now lovageshift.Millis) bool {
	sub := submit(s, now, &placement.Job{QueueDeadline: now})
	if sub.Slot == nil {
		return false
	}
	s.Release(now, sub.Slot, placement.Result{Outcome: placement.Served})
	return true
}

func TestLeaving(t *testing.T) {
	service := &catalog.Service{ID: pool, Engine: true}
	target := targets(1, 8)[0]
	setup := func() *placement.Scheduler {
		s := newScheduler(service, target)
		So(isGiven(s, 1), ShouldBeTrue)
		return s
	}
	changed := func(change func(*catalog.Target)) *catalog.View {
		copied := *target
		change(&copied)
		return view(service, &copied)
	}
	ready := view(service, target)
	draining := changed(func(t *catalog.Target) { t.Draining = true })
	elsewhere := changed(func(t *catalog.Target) { t.Address = "10.9.9.9:1" })
	for name, views := range map[string][]*catalog.View{
		"the store still says ready":           {ready},
		"the store says draining, then ready":  {draining, ready},
		"its record is gone and comes back":    {view(service), ready},
		"its record has another address":       {elsewhere, ready},
		"all of it, and an older copy in turn": {draining, view(service), ready, draining, elsewhere, view(service), ready},
	} {
		for _, saidFirst := range []bool{true, false} {
			Convey("A target that said that it leaves gets no request, whatever its record says: "+name, t, func() {
				s := setup()
				if saidFirst {
					So(s.RecordLeaving(10, target.ID, target.Born), ShouldBeTrue)
				}
				for i, view := range views {
					s.SetView(lovageshift.Millis(20+i), view)
					if !saidFirst && i == len(views)/2 {
						So(s.RecordLeaving(30, target.ID, target.Born), ShouldBeTrue)
					}
					if saidFirst {
						So(isGiven(s, 40), ShouldBeFalse)
					}
				}
				So(isGiven(s, 50), ShouldBeFalse)
				s.Tick(60_000)
				So(isGiven(s, 60_000), ShouldBeFalse)
				So(s.RecordLeaving(60_000, target.ID, target.Born), ShouldBeFalse)
				next := changed(func(t *catalog.Target) { t.Born++ })
				s.SetView(60_001, next)
				So(isGiven(s, 60_001), ShouldBeTrue)
				So(s.IsLeaving(target.ID, target.Born+1), ShouldBeFalse)
			})
		}
	}
	Convey("A slot that was granted before, or by an entry that does not know, is not used", t, func() {
		s := setup()
		s.RecordLeaving(10, target.ID, target.Born)
		So(s.IsLeaving(target.ID, target.Born), ShouldBeTrue)
		grant := placement.Reply{Granted: true, Target: placement.HashOf(target.ID), Born: target.Born}
		_, err := s.AcquireGranted(10, netip.MustParseAddr("10.0.0.2"), grant, &placement.Job{Service: pool})
		So(err, ShouldEqual, placement.ErrLeaving)
	})
	Convey("A refusal tells how many targets leave", t, func() {
		s := setup()
		s.RecordLeaving(10, target.ID, target.Born)
		sub := submit(s, 10, &placement.Job{QueueDeadline: 10})
		So(sub.Refusal.Obstacles, ShouldResemble, placement.Obstacles{Leaving: 1})
		So(sub.Refusal.Reason, ShouldEqual, lovageshift.ReasonNoTarget)
	})
	Convey("A report of another entry binds for a while only, and only for the incarnation", t, func() {
		s := setup()
		other := setup()
		other.RecordLeaving(1000, target.ID, target.Born)
		reports := other.Leaving(3000)
		So(reports, ShouldResemble, []placement.LeavingReport{{Target: placement.HashOf(target.ID), Born: target.Born, Age: 2000}})
		So(s.MergeLeaving(3000, reports), ShouldResemble, []lovageshift.TargetID{target.ID})
		So(s.MergeLeaving(3000, reports), ShouldBeEmpty)
		So(isGiven(s, 3000), ShouldBeFalse)
		So(s.Leaving(3000), ShouldBeEmpty) // what is only heard is not passed on
		s.Tick(10_900)
		So(isGiven(s, 10_900), ShouldBeFalse)
		s.Tick(12_000)
		So(isGiven(s, 12_000), ShouldBeTrue)
		for _, wrong := range []placement.LeavingReport{
			{Target: reports[0].Target, Born: target.Born + 1},
			{Target: reports[0].Target + 1, Born: target.Born},
			{Target: reports[0].Target, Born: target.Born, Age: 10_000},
			{Target: reports[0].Target, Born: target.Born, Age: -1},
		} {
			So(s.MergeLeaving(12_000, []placement.LeavingReport{wrong}), ShouldBeEmpty)
		}
		So(isGiven(s, 12_000), ShouldBeTrue)
		So(other.Leaving(11_000), ShouldBeEmpty)
	})
}
