package routing

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"lovageshift"
	"lovageshift/membership"
)

const (
	// Up to this many eligible targets are all compared; of more, only a random sample is.
	maxFullScan        = 16
	sampleSize         = 8
	tieMillis          = 10.0 // costs this close to the lowest count as equal
	maxDiscountBlocks  = 4
	homeDiscountFactor = 0.5
)

// Policy picks one of the eligible targets of a request.
type Policy interface {
	// Pick returns one of the eligible targets, of which there is at least one.
	Pick(now lovageshift.Millis, table *LoadTable, eligible []lovageshift.TargetID, request Request, rng *rand.Rand) lovageshift.TargetID
}

// LeastCost picks the target with the lowest estimated cost. It picks at random among nearly equal ones, so that the
// entries do not all choose the same target.
type LeastCost struct{}

// Pick implements Policy.
func (LeastCost) Pick(now lovageshift.Millis, table *LoadTable, eligible []lovageshift.TargetID, request Request, rng *rand.Rand) lovageshift.TargetID {
	candidates := sample(table, eligible, request, rng)
	costs := make([]float64, len(candidates))
	best := 0
	for i, id := range candidates {
		costs[i] = table.EstimateCost(now, id, request)
		if id == request.Home {
			costs[i] -= homeDiscount(table, id, request)
		}
		if costs[i] < costs[best] {
			best = i
		}
	}
	bound := costs[best] + tieMillis
	ties := candidates[:0]
	for i, id := range candidates {
		if costs[i] <= bound {
			ties = append(ties, id)
		}
	}
	return ties[rng.IntN(len(ties))]
}

// sample returns all eligible targets when they are few, else targets that have probably cached the start of the
// prompt, the prompt's home, and some at random.
func sample(table *LoadTable, eligible []lovageshift.TargetID, request Request, rng *rand.Rand) []lovageshift.TargetID {
	if len(eligible) <= maxFullScan {
		return append([]lovageshift.TargetID(nil), eligible...)
	}
	var chosen []lovageshift.TargetID
	for _, id := range eligible {
		if table.hasCached(id, request) && len(chosen) < sampleSize {
			chosen = append(chosen, id)
		}
	}
	if slices.Contains(eligible, request.Home) {
		chosen = append(chosen, request.Home)
	}
	for range sampleSize {
		chosen = append(chosen, eligible[rng.IntN(len(eligible))])
	}
	return chosen
}

// HomeOf returns the target, among those that could run the request, to which every entry sends prompts with the same
// first block, or "" for a prompt shorter than one block.
func HomeOf(candidates []lovageshift.TargetID, request Request) lovageshift.TargetID {
	if len(request.Prefixes) == 0 {
		return ""
	}
	return membership.Owner("prefix/"+strconv.FormatUint(uint64(request.Prefixes[0]), 16), candidates)
}

// homeDiscount returns the milliseconds subtracted from the home's cost for a prefix that this entry has not
// dispatched yet, so that all entries send a new prefix to the same target.
func homeDiscount(table *LoadTable, id lovageshift.TargetID, request Request) float64 {
	if table.seenPrefixes.Contains(request.Prefixes[0]) {
		return 0
	}
	blocks := lovageshift.Tokens(min(len(request.Prefixes), maxDiscountBlocks))
	return homeDiscountFactor * float64(blocks*request.BlockTokens) / table.state(id).prefillSpeed() * 1000
}

// RoundRobin picks the eligible targets in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (r *RoundRobin) Pick(_ lovageshift.Millis, _ *LoadTable, eligible []lovageshift.TargetID, _ Request, _ *rand.Rand) lovageshift.TargetID {
	r.next++
	return eligible[r.next%len(eligible)]
}

// LeastOutstanding picks the target with the fewest outstanding requests of this entry.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(_ lovageshift.Millis, table *LoadTable, eligible []lovageshift.TargetID, _ Request, rng *rand.Rand) lovageshift.TargetID {
	start := rng.IntN(len(eligible))
	best := eligible[start]
	for i := range eligible {
		id := eligible[(start+i)%len(eligible)]
		if table.Outstanding(id) < table.Outstanding(best) {
			best = id
		}
	}
	return best
}

// PowerOfTwoChoices picks two targets at random and returns the one with fewer outstanding requests of this entry.
type PowerOfTwoChoices struct{}

// Pick implements Policy.
func (PowerOfTwoChoices) Pick(_ lovageshift.Millis, table *LoadTable, eligible []lovageshift.TargetID, _ Request, rng *rand.Rand) lovageshift.TargetID {
	first, second := eligible[rng.IntN(len(eligible))], eligible[rng.IntN(len(eligible))]
	if table.Outstanding(second) < table.Outstanding(first) {
		return second
	}
	return first
}
