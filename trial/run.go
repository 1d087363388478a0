package trial

import (
	"context"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/standin"
)

// LatencyLimits are the latencies that make an answer count.
type LatencyLimits struct{ TimeToFirstToken, InterTokenLatency time.Duration }

// LatencyLimitsOf returns the limits of the tiers of a fleet's specification.
func LatencyLimitsOf(tier lovageshift.TierID) LatencyLimits {
	if tier == "patient" {
		return LatencyLimits{10 * time.Second, 60 * time.Millisecond}
	}
	return LatencyLimits{1700 * time.Millisecond, 30 * time.Millisecond}
}

// RequestResult is one arrival with what became of it.
type RequestResult struct {
	Arrival
	Reply *fleet.Reply
}

// WithinLimits reports whether the answer was whole and within its tier's limits.
func (o *RequestResult) WithinLimits() bool {
	limits := LatencyLimitsOf(o.Class.Tier)
	return o.Reply.Correct(o.Request) && o.Reply.TimeToFirstToken <= limits.TimeToFirstToken && o.Reply.InterTokenLatency() <= limits.InterTokenLatency
}

// Result is what one run of a workload showed.
type Result struct {
	Duration time.Duration
	Requests []RequestResult
	Engines  map[lovageshift.TargetID]standin.Stats
}

// Run sends the arrivals to the fleet and waits for every answer.
func Run(f *fleet.Fleet, arrivals []Arrival, length time.Duration) *Result {
	before := stats(f)
	result := &Result{Duration: length, Requests: make([]RequestResult, len(arrivals))}
	began := time.Now()
	var callers errgroup.Group
	for i, arrival := range arrivals {
		time.Sleep(arrival.At - time.Since(began))
		callers.Go(func() error {
			reply := f.Entry(arrival.Entry).Complete(context.Background(), arrival.Request)
			result.Requests[i] = RequestResult{arrival, reply}
			return nil
		})
	}
	_ = callers.Wait()
	result.Engines = difference(stats(f), before)
	return result
}

func stats(f *fleet.Fleet) map[lovageshift.TargetID]standin.Stats {
	all := map[lovageshift.TargetID]standin.Stats{}
	for id, engine := range f.Engines {
		all[id] = engine.Stats()
	}
	return all
}

func difference(after, before map[lovageshift.TargetID]standin.Stats) map[lovageshift.TargetID]standin.Stats {
	for id, stats := range after {
		earlier := before[id]
		stats.Requests -= earlier.Requests
		stats.PrefilledTokens -= earlier.PrefilledTokens
		stats.WastedPrefillTokens -= earlier.WastedPrefillTokens
		stats.AvoidablePrefillTokens -= earlier.AvoidablePrefillTokens
		stats.ColdOverloads -= earlier.ColdOverloads
		stats.OutputTokens -= earlier.OutputTokens
		stats.Crashes -= earlier.Crashes
		after[id] = stats
	}
	return after
}

// Goodput returns the good answers a second of the tier, or of all for "".
func (r *Result) Goodput(tier lovageshift.TierID) float64 {
	good := 0
	for i := range r.Requests {
		if (tier == "" || r.Requests[i].Class.Tier == tier) && r.Requests[i].WithinLimits() {
			good++
		}
	}
	return float64(good) / r.Duration.Seconds()
}

// OfferedRate returns the requests a second of the tier, or of all for "".
func (r *Result) OfferedRate(tier lovageshift.TierID) float64 {
	asked := 0
	for i := range r.Requests {
		if tier == "" || r.Requests[i].Class.Tier == tier {
			asked++
		}
	}
	return float64(asked) / r.Duration.Seconds()
}

// WastedPrefill returns the share of computed prompt tokens that served nobody or were cached elsewhere.
func (r *Result) WastedPrefill() float64 {
	var all, wasted lovageshift.Tokens
	for _, stats := range r.Engines {
		all += stats.PrefilledTokens
		wasted += stats.WastedPrefillTokens + stats.AvoidablePrefillTokens
	}
	return float64(wasted) / float64(max(all, 1))
}

// RefusalReasons counts the refusals by reason.
func (r *Result) RefusalReasons() map[string]int {
	reasons := map[string]int{}
	for i := range r.Requests {
		if reason := r.Requests[i].Reply.Reason; reason != "" {
			reasons[reason]++
		}
	}
	return reasons
}

// FirstTokenQuantile returns the time to the first token that the share of the tier's answers stayed within.
func (r *Result) FirstTokenQuantile(tier lovageshift.TierID, share float64) time.Duration {
	var times []time.Duration
	for i := range r.Requests {
		if outcome := &r.Requests[i]; outcome.Class.Tier == tier && outcome.Reply.Tokens > 0 {
			times = append(times, outcome.Reply.TimeToFirstToken)
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[int(share*float64(len(times)-1))]
}
