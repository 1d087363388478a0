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

// Limits are the latencies that make an answer count.
type Limits struct{ First, Gap time.Duration }

// LimitsOf returns the limits of the tiers of a fleet's specification.
func LimitsOf(tier lovageshift.TierID) Limits {
	if tier == "patient" {
		return Limits{10 * time.Second, 60 * time.Millisecond}
	}
	return Limits{1700 * time.Millisecond, 30 * time.Millisecond}
}

// Outcome is one arrival with what became of it.
type Outcome struct {
	Arrival
	Reply *fleet.Reply
}

// Good reports whether the answer was whole and within its tier's limits.
func (o *Outcome) Good() bool {
	limits := LimitsOf(o.Class.Tier)
	return o.Reply.Whole(o.Ask) && o.Reply.First <= limits.First && o.Reply.Gap() <= limits.Gap
}

// Result is what one run of a workload showed.
type Result struct {
	Length   time.Duration
	Outcomes []Outcome
	Engines  map[lovageshift.TargetID]standin.Stats
}

// Run sends the arrivals to the fleet and waits for every answer.
func Run(f *fleet.Fleet, arrivals []Arrival, length time.Duration) *Result {
	before := stats(f)
	result := &Result{Length: length, Outcomes: make([]Outcome, len(arrivals))}
	began := time.Now()
	var callers errgroup.Group
	for i, arrival := range arrivals {
		time.Sleep(arrival.At - time.Since(began))
		callers.Go(func() error {
			reply := f.Entry(arrival.Entry).Complete(context.Background(), arrival.Ask)
			result.Outcomes[i] = Outcome{arrival, reply}
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
	for i := range r.Outcomes {
		if (tier == "" || r.Outcomes[i].Class.Tier == tier) && r.Outcomes[i].Good() {
			good++
		}
	}
	return float64(good) / r.Length.Seconds()
}

// Asked returns the requests a second of the tier, or of all for "".
func (r *Result) Asked(tier lovageshift.TierID) float64 {
	asked := 0
	for i := range r.Outcomes {
		if tier == "" || r.Outcomes[i].Class.Tier == tier {
			asked++
		}
	}
	return float64(asked) / r.Length.Seconds()
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

// Reasons counts the refusals by reason.
func (r *Result) Reasons() map[string]int {
	reasons := map[string]int{}
	for i := range r.Outcomes {
		if reason := r.Outcomes[i].Reply.Reason; reason != "" {
			reasons[reason]++
		}
	}
	return reasons
}

// FirstTokens returns the time to the first token that the share of the tier's answers stayed within.
func (r *Result) FirstTokens(tier lovageshift.TierID, share float64) time.Duration {
	var times []time.Duration
	for i := range r.Outcomes {
		if outcome := &r.Outcomes[i]; outcome.Class.Tier == tier && outcome.Reply.Tokens > 0 {
			times = append(times, outcome.Reply.First)
		}
	}
	if len(times) == 0 {
		return 0
	}
	sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
	return times[int(share*float64(len(times)-1))]
}
