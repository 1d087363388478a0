package placement_test

import (
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/quota"
)

// TestExplanationsTellDecisionsAndChangeNone guards against an explanation that differs from what the scheduler then decides, and
// against one that changes later decisions.
func TestExplanationsTellDecisionsAndChangeNone(t *testing.T) {
	const claim = "Each job is decided as explained just before, and as without explanations, in an overload of 40 requests of three " +
		"ranks and four accounts"
	Convey(claim, t, func() {
		service := &catalog.Service{ID: pool, Engine: true}
		explained, plain := newScheduler(service, targets(5, 2)...), newScheduler(service, targets(5, 2)...)
		draws := rand.New(rand.NewPCG(1, 2))
		var slots, plainSlots []*submission
		for i := range 40 {
			now := lovageshift.Millis(100 + 20*i)
			job := placement.Job{
				Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + 250, Rank: lovageshift.Rank(draws.IntN(3)),
				PromptTokens: lovageshift.Tokens(draws.IntN(6000)), Account: quota.AccountHash(draws.IntN(4)),
				RefusedBefore: draws.IntN(4) == 0,
			}
			group := explained.GroupsOf(pool)[0]
			var explanation placement.Explanation
			for range 3 {
				asked := job
				explanation = explained.Explain(now, group, placement.Coordinator, &asked)
			}
			first, second := job, job
			got, without := submit(explained, now, &first), submit(plain, now, &second)
			So(describe(got), ShouldEqual, describe(without))
			So(describe(got), ShouldEqual, describeExplanation(explanation))
			slots, plainSlots = append(slots, got), append(plainSlots, without)
			if released := draws.IntN(i + 1); draws.IntN(3) == 0 && slots[released].Slot != nil {
				explained.Release(now+10, slots[released].Slot, placement.Result{Outcome: placement.Served, FirstEvent: 30})
				plain.Release(now+10, plainSlots[released].Slot, placement.Result{Outcome: placement.Served, FirstEvent: 30})
				slots[released], plainSlots[released] = &submission{}, &submission{}
			}
		}
	})
	Convey("The obstacle of each target is named", t, func() {
		list := targets(2, 1)
		list[0].Version = "v1"
		s := newScheduler(&catalog.Service{ID: pool, Engine: true}, list...)
		submit(s, 1, &placement.Job{HasVersion: true, Version: "v1"})
		job := &placement.Job{Service: pool, Objective: 500, QueueDeadline: 250, HasVersion: true, Version: "v1"}
		explanation := s.Explain(1, s.GroupsOf(pool)[0], placement.Coordinator, job)
		So(explanation.Targets[0].Obstacle, ShouldEqual, "full")
		So(explanation.Targets[1].Obstacle, ShouldEqual, "otherVersion")
		So(explanation.Refused, ShouldEqual, lovageshift.ReasonShed)
	})
}

func describe(s *submission) string {
	switch {
	case s.Slot != nil:
		return "slot at " + string(s.Slot.Target.ID)
	case s.Refusal != nil:
		return string(s.Refusal.Reason)
	default:
		return "waits"
	}
}

func describeExplanation(e placement.Explanation) string {
	switch {
	case e.Target != "":
		return "slot at " + string(e.Target)
	case e.Refused != "":
		return string(e.Refused)
	default:
		return "waits"
	}
}
