package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/routing"
)

func board(targets int) (*routing.LoadTable, []lovageshift.TargetID) {
	b := routing.NewLoadTable()
	var ids []lovageshift.TargetID
	for i := range targets {
		id := lovageshift.TargetID(fmt.Sprintf("t%03d", i))
		b.Update(1, id, routing.Load{Incarnation: 1, Running: i % 8, Limit: 16, PrefillSpeed: 5000, InterTokenLatency: 20, ServiceTime: 3000})
		ids = append(ids, id)
	}
	return b, ids
}

func TestBoard(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	request := routing.Request{Rank: 1, Prompt: 1000, Output: 100, Prefixes: []routing.Prefix{1, 2, 3}, BlockTokens: 128}
	Convey("A board", t, func() {
		b := routing.NewLoadTable()
		ids := []lovageshift.TargetID{"a", "b"}
		for _, id := range ids {
			b.Update(1, id, routing.Load{Incarnation: 1, Running: 1, Limit: 16, PrefillSpeed: 5000, InterTokenLatency: 20})
		}
		Convey("sends a prompt where its beginning was sent before", func() {
			b.RecordDispatch(10, "b", request)
			b.RecordEnd(20, "b", false)
			b.Update(30, "b", routing.Load{Incarnation: 1, Running: 1, Limit: 16, PrefillSpeed: 5000, InterTokenLatency: 20})
			So(routing.LeastCost{}.Pick(31, b, ids, request, random), ShouldEqual, lovageshift.TargetID("b"))
		})
		Convey("forgets what a restarted target had cached", func() {
			b.RecordDispatch(10, "b", request)
			b.Update(30, "b", routing.Load{Incarnation: 2})
			So(b.ComputeTokens("b", request), ShouldEqual, 1000)
		})
		Convey("holds doubtful knowledge for half", func() {
			b.RecordDispatch(10, "b", request)
			b.Update(30, "b", routing.Load{Incarnation: 1, CacheEpoch: 1})
			So(b.ComputeTokens("b", request), ShouldEqual, 1000-3*64)
		})
		Convey("counts what it sent since the last report", func() {
			before := b.EstimateCost(2, "a", request)
			for range 20 {
				b.RecordDispatch(2, "a", routing.Request{Prompt: 1000})
			}
			So(b.EstimateCost(2, "a", request), ShouldBeGreaterThan, before)
		})
		Convey("avoids a target that fails fast", func() {
			for range 3 {
				b.RecordDispatch(2, "a", request)
				b.RecordEnd(2, "a", true)
			}
			So(routing.LeastCost{}.Pick(3, b, ids, request, random), ShouldEqual, lovageshift.TargetID("b"))
		})
		Convey("gives nothing to one that is leaving or failing", func() {
			b.Update(3, "a", routing.Load{Incarnation: 1, Leaving: true})
			_, takes := b.Accepts("a")
			So(takes, ShouldBeFalse)
		})
	})
}

// BenchmarkPick compares the cost of one decision.
func BenchmarkPick(b *testing.B) {
	policies := map[string]routing.Policy{
		"estimate": routing.LeastCost{}, "roundRobin": &routing.RoundRobin{},
		"leastOutstanding": routing.LeastOutstanding{}, "randomTwo": routing.PowerOfTwoChoices{},
	}
	request := routing.Request{Rank: 1, Prompt: 1000, Output: 100, Prefixes: []routing.Prefix{1, 2, 3, 4, 5, 6, 7, 8}, BlockTokens: 128}
	for name, policy := range policies {
		for _, targets := range []int{12, 100, 600} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, targets), func(b *testing.B) {
				known, ids := board(targets)
				random := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					policy.Pick(2, known, ids, request, random)
				}
			})
		}
	}
}
