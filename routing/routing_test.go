package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/routing"
)

// newLoadTable returns a table of the given number of targets, which run 0 to 7 requests each, and their IDs.
func newLoadTable(targets int) (*routing.LoadTable, []lovageshift.TargetID) {
	table := routing.NewLoadTable()
	var ids []lovageshift.TargetID
	for i := range targets {
		id := lovageshift.TargetID(fmt.Sprintf("t%03d", i))
		table.Update(1, id, routing.Load{Incarnation: 1, Running: i % 8, Limit: 16, PrefillSpeed: 5000, InterTokenLatency: 20, ServiceTime: 3000})
		ids = append(ids, id)
	}
	return table, ids
}

func TestLoadTable(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	request := routing.Request{Rank: 1, Prompt: 1000, Output: 100, Prefixes: []routing.Prefix{1, 2, 3}, BlockTokens: 128}
	Convey("A load table", t, func() {
		table := routing.NewLoadTable()
		ids := []lovageshift.TargetID{"a", "b"}
		for _, id := range ids {
			table.Update(1, id, routing.Load{Incarnation: 1, Running: 1, Limit: 16, PrefillSpeed: 5000, InterTokenLatency: 20})
		}
		Convey("sends a prompt to the target to which the same prompt was dispatched before", func() {
			table.RecordDispatch(10, "b", request)
			table.RecordEnd(20, "b", false)
			table.Update(30, "b", routing.Load{Incarnation: 1, Running: 1, Limit: 16, PrefillSpeed: 5000, InterTokenLatency: 20})
			So(routing.LeastCost{}.Pick(31, table, ids, request, rng), ShouldEqual, lovageshift.TargetID("b"))
		})
		Convey("assumes an empty prefix cache after a restart of the target's agent", func() {
			table.RecordDispatch(10, "b", request)
			table.Update(30, "b", routing.Load{Incarnation: 2})
			So(table.ComputeTokens("b", request), ShouldEqual, 1000)
		})
		Convey("counts only half of a prefix's tokens as cached if the cache epoch has changed since its dispatch", func() {
			table.RecordDispatch(10, "b", request)
			table.Update(30, "b", routing.Load{Incarnation: 1, CacheEpoch: 1})
			So(table.ComputeTokens("b", request), ShouldEqual, 1000-3*64)
		})
		Convey("adds the dispatches since the last report to the cost", func() {
			before := table.EstimateCost(2, "a", request)
			for range 20 {
				table.RecordDispatch(2, "a", routing.Request{Prompt: 1000})
			}
			So(table.EstimateCost(2, "a", request), ShouldBeGreaterThan, before)
		})
		Convey("avoids a target at which several dispatches have just failed", func() {
			for range 3 {
				table.RecordDispatch(2, "a", request)
				table.RecordEnd(2, "a", true)
			}
			So(routing.LeastCost{}.Pick(3, table, ids, request, rng), ShouldEqual, lovageshift.TargetID("b"))
		})
		Convey("does not accept a target whose agent is shutting down", func() {
			table.Update(3, "a", routing.Load{Incarnation: 1, Leaving: true})
			_, accepts := table.Accepts("a")
			So(accepts, ShouldBeFalse)
		})
	})
}

// BenchmarkPick measures the time and the allocations of one Pick, for each policy and several numbers of targets.
func BenchmarkPick(b *testing.B) {
	policies := map[string]routing.Policy{
		"leastCost": routing.LeastCost{}, "roundRobin": &routing.RoundRobin{},
		"leastOutstanding": routing.LeastOutstanding{}, "powerOfTwoChoices": routing.PowerOfTwoChoices{},
	}
	request := routing.Request{Rank: 1, Prompt: 1000, Output: 100, Prefixes: []routing.Prefix{1, 2, 3, 4, 5, 6, 7, 8}, BlockTokens: 128}
	for name, policy := range policies {
		for _, targets := range []int{12, 100, 600} {
			b.Run(fmt.Sprintf("%s/targets=%d", name, targets), func(b *testing.B) {
				table, ids := newLoadTable(targets)
				rng := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					policy.Pick(2, table, ids, request, rng)
				}
			})
		}
	}
}
