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

// LatencyLimits are the longest time to the first token and the longest mean inter-token latency with which an answer
// counts towards goodput.
type LatencyLimits struct{ TimeToFirstToken, InterTokenLatency time.Duration }

// LatencyLimitsOf returns the latency limits of a tier in a fleet's configuration: those of "patient" are set there,
// the others are the defaults of a tier.
func LatencyLimitsOf(tier lovageshift.TierID) LatencyLimits {
	if tier == "patient" {
		return LatencyLimits{10 * time.Second, 60 * time.Millisecond}
	}
	return LatencyLimits{1700 * time.Millisecond, 30 * time.Millisecond}
}

// RequestResult is one arrival with its reply.
type RequestResult struct {
	Arrival
	Reply *fleet.Reply
}

// WithinLimits reports whether the answer was correct and within the latency limits of its tier.
func (r *RequestResult) WithinLimits() bool {
	limits := LatencyLimitsOf(r.Class.Tier)
	return r.Reply.Correct(r.Request) && r.Reply.TimeToFirstToken <= limits.TimeToFirstToken && r.Reply.InterTokenLatency() <= limits.InterTokenLatency
}

// Result holds the results of one run of a workload.
type Result struct {
	Duration time.Duration                          // of the workload's arrivals
	Requests []RequestResult                        // in the order of the arrivals
	Engines  map[lovageshift.TargetID]standin.Stats // counts during the run
}

// Run sends the arrivals, which are sorted by time, to the fleet at their times and waits for every reply. The duration
// is that of the workload, by which the result's rates are divided.
func Run(f *fleet.Fleet, arrivals []Arrival, duration time.Duration) *Result {
	before := engineStats(f)
	result := &Result{Duration: duration, Requests: make([]RequestResult, len(arrivals))}
	start := time.Now()
	var callers errgroup.Group
	for i, arrival := range arrivals {
		time.Sleep(arrival.At - time.Since(start))
		callers.Go(func() error {
			reply := f.Entry(arrival.Entry).Complete(context.Background(), arrival.Request)
			result.Requests[i] = RequestResult{arrival, reply}
			return nil
		})
	}
	_ = callers.Wait()
	result.Engines = subtractStats(engineStats(f), before)
	return result
}

// engineStats returns a snapshot of the counters of every engine.
func engineStats(f *fleet.Fleet) map[lovageshift.TargetID]standin.Stats {
	all := map[lovageshift.TargetID]standin.Stats{}
	for id, engine := range f.Engines {
		all[id] = engine.Stats()
	}
	return all
}

// subtractStats returns the counts between two snapshots, for the counters that the measures use. It overwrites after.
func subtractStats(after, before map[lovageshift.TargetID]standin.Stats) map[lovageshift.TargetID]standin.Stats {
	for id, stats := range after {
		start := before[id]
		stats.Requests -= start.Requests
		stats.PrefilledTokens -= start.PrefilledTokens
		stats.WastedPrefillTokens -= start.WastedPrefillTokens
		stats.AvoidablePrefillTokens -= start.AvoidablePrefillTokens
		stats.ColdOverloads -= start.ColdOverloads
		stats.OutputTokens -= start.OutputTokens
		stats.Crashes -= start.Crashes
		after[id] = stats
	}
	return after
}

// Goodput returns the answers within their limits per second of the workload, of one tier or, with "", of all tiers.
func (r *Result) Goodput(tier lovageshift.TierID) float64 {
	good := 0
	for i := range r.Requests {
		if (tier == "" || r.Requests[i].Class.Tier == tier) && r.Requests[i].WithinLimits() {
			good++
		}
	}
	return float64(good) / r.Duration.Seconds()
}

// OfferedRate returns the requests sent per second of the workload, of one tier or, with "", of all tiers.
func (r *Result) OfferedRate(tier lovageshift.TierID) float64 {
	count := 0
	for i := range r.Requests {
		if tier == "" || r.Requests[i].Class.Tier == tier {
			count++
		}
	}
	return float64(count) / r.Duration.Seconds()
}

// WastedPrefillShare returns the share of the computed prompt tokens that was wasted: spent on answers that were
// cancelled or lost in a crash, or avoidable since another engine without load had them cached.
func (r *Result) WastedPrefillShare() float64 {
	var computed, wasted lovageshift.Tokens
	for _, stats := range r.Engines {
		computed += stats.PrefilledTokens
		wasted += stats.WastedPrefillTokens + stats.AvoidablePrefillTokens
	}
	return float64(wasted) / float64(max(computed, 1))
}

// ReasonCounts returns how many replies had each reason: refusals, and answers that failed after their start.
func (r *Result) ReasonCounts() map[string]int {
	reasons := map[string]int{}
	for i := range r.Requests {
		if reason := r.Requests[i].Reply.Reason; reason != "" {
			reasons[reason]++
		}
	}
	return reasons
}

// TimeToFirstTokenQuantile returns a quantile (0 to 1) of the time to the first token over a tier's replies with any
// token, complete or not. It is 0 without such a reply.
func (r *Result) TimeToFirstTokenQuantile(tier lovageshift.TierID, quantile float64) time.Duration {
	var times []time.Duration
	for i := range r.Requests {
		if request := &r.Requests[i]; request.Class.Tier == tier && request.Reply.Tokens > 0 {
			times = append(times, request.Reply.TimeToFirstToken)
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[int(quantile*float64(len(times)-1))]
}
