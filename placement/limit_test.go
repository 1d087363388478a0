package placement_test

import (
	"math/rand/v2"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// burst is how many requests a target with a low limit may get at once.
const burst = 2

// limited returns a scheduler whose only target has named the limit to this entry at time 1.
func limited(perSecond float64) *placement.Scheduler {
	s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 100)...)
	name(s, 1, perSecond)
	return s
}

// name serves a request whose response names the limit.
func name(s *placement.Scheduler, now lovageshift.Millis, perSecond float64) {
	slot := submit(s, now, &placement.Job{}).Slot
	So(slot, ShouldNotBeNil)
	s.RecordLimit(now, slot, placement.Limit{PerSecond: perSecond, Named: true})
	s.Release(now, slot, placement.Result{Outcome: placement.Served})
}

// granted returns how many of the requests that keep coming in 4 s get a slot.
func granted(s *placement.Scheduler, from lovageshift.Millis) int {
	count := 0
	for now := from; now < from+4000; now += 10 {
		if slot := submit(s, now, &placement.Job{QueueDeadline: now + 1}).Slot; slot != nil {
			count++
			s.Release(now, slot, placement.Result{Outcome: placement.Served})
		}
	}
	return count
}

func TestLimits(t *testing.T) {
	for _, perSecond := range []float64{0.5, 1.9, 10, 60} {
		Convey("A target gets what it takes, and hardly more", t, func() {
			So(granted(limited(perSecond), 10_000), ShouldBeBetweenOrEqual, int(4*perSecond), int(4.25*perSecond)+burst)
		})
	}
	Convey("A target that takes none is still asked now and then", t, func() {
		So(granted(limited(0), 10_000), ShouldBeBetweenOrEqual, 1, 1+burst)
	})
	Convey("A limit is unknown to an entry without a report, and kept by one to which another entry reported it", t, func() {
		other := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 100)...)
		So(granted(other, 1000), ShouldEqual, 400)
		other.MergeLimits(5000, limited(2).Limits(5000))
		So(granted(other, 5000), ShouldBeBetweenOrEqual, 7, 9)
	})
	Convey("A response without a limit ends it, also for entries that get a report; an older report does not bring it back", t, func() {
		s, other := limited(2), limited(2)
		old := s.Limits(2000)
		slot := submit(s, 5000, &placement.Job{}).Slot
		So(s.RecordLimit(5000, slot, placement.Limit{}), ShouldBeTrue)
		s.Release(5000, slot, placement.Result{Outcome: placement.Served})
		So(granted(s, 5000), ShouldEqual, 400)
		other.MergeLimits(6000, s.Limits(6000))
		other.MergeLimits(6000, old)
		So(granted(other, 6000), ShouldEqual, 400)
	})
	Convey("A report about an earlier incarnation of the target is ignored", t, func() {
		reports := limited(2).Limits(1000)
		reports[0].Born = 7
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 100)...)
		s.MergeLimits(1000, reports)
		So(granted(s, 1000), ShouldEqual, 400)
	})
	Convey("Without a quorum an entry takes its even share", t, func() {
		s := limited(8)
		s.SetEntries(4, 2, 0)
		So(granted(s, 10_000), ShouldBeBetweenOrEqual, 8, 8+burst)
	})
	Convey("A slot granted by an entry that does not know the limit counts against the even share", t, func() {
		s := limited(8)
		s.SetEntries(4, 4, 0)
		accepted := 0
		for now := lovageshift.Millis(10_000); now < 14_000; now += 10 {
			grant := placement.Reply{Granted: true, Target: placement.HashOf("i-0")}
			slot, err := s.AcquireGranted(now, peer, grant, &placement.Job{})
			if err == nil {
				accepted++
				s.Release(now, slot, placement.Result{Outcome: placement.Served})
			} else {
				So(err, ShouldEqual, placement.ErrOverLimit)
			}
		}
		So(accepted, ShouldBeBetweenOrEqual, 8, 8+burst)
	})
}

// TestLongRequestsGoToLimitedTargets plays requests of three lengths on twelve targets, half of which name a limit that leaves
// most of their slots empty with requests of average length.
func TestLongRequestsGoToLimitedTargets(t *testing.T) {
	const limitedTargets, perSecond = 6, 2
	kinds := []struct {
		perSecond float64
		millis    lovageshift.Millis
		output    lovageshift.Tokens
	}{{14, 2000, 380}, {12, 1500, 290}, {20, 200, 24}}
	type running struct {
		slot *placement.Slot
		end  lovageshift.Millis
	}
	random := rand.New(rand.NewPCG(1, 1))
	list := targets(12, 9)
	s := newScheduler(&catalog.Service{ID: pool, Engine: true}, list...)
	isLimited := map[lovageshift.TargetID]bool{}
	for _, target := range list[:limitedTargets] {
		isLimited[target.ID] = true
	}
	var open []running
	var millis, count [2]float64 // at targets without and with a limit
	for now := lovageshift.Millis(1); now < 30_000; now++ {
		open = slices.DeleteFunc(open, func(r running) bool {
			if now >= r.end {
				s.Release(now, r.slot, placement.Result{Outcome: placement.Served, FirstEvent: 60})
			}
			return now >= r.end
		})
		for rank, kind := range kinds {
			if random.Float64() >= kind.perSecond/1000 {
				continue
			}
			length := lovageshift.Millis(float64(kind.millis) * random.ExpFloat64())
			job := &placement.Job{
				Service: pool, Arrived: now, Rank: lovageshift.Rank(rank), Objective: 500, QueueDeadline: now + 250,
				PromptTokens: 1000, OutputTokens: kind.output, ExpectedOutput: kind.output,
			}
			s.Submit(now, s.PickGroup(&placement.Job{Service: pool}, 0.5), placement.Coordinator, job, func(d placement.Decision) {
				if d.Slot == nil {
					return
				}
				open = append(open, running{d.Slot, now + length})
				at := 0
				if isLimited[d.Slot.Target.ID] {
					at = 1
				}
				millis[at] += float64(kind.millis)
				count[at]++
			})
		}
		for _, r := range open {
			if isLimited[r.slot.Target.ID] {
				s.RecordLimit(now, r.slot, placement.Limit{PerSecond: perSecond, Named: true})
			}
		}
		if now%10 == 0 {
			s.Tick(now)
		}
	}
	if mean, other := millis[1]/count[1], millis[0]/count[0]; mean < 1.25*other {
		t.Fatalf("requests of %.0f ms on average at limited targets, of %.0f ms at others", mean, other)
	}
}
