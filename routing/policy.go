package routing

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"lovageshift"
	"lovageshift/membership"
)

const (
	// If there are more eligible targets than this, only a selection of them is compared (targetsToCompare).
	maxFullScan        = 16
	sampleSize         = 8    // in such a selection, most targets chosen for their prefix cache, and also the number of draws at random
	tieMillis          = 10.0 // milliseconds; costs that exceed the lowest by no more than this count as equal to it
	maxDiscountBlocks  = 4    // most blocks of a prompt that count in the discount on its home's cost (homeDiscount)
	homeDiscountFactor = 0.5  // the discount as a fraction of the time that the home takes to compute these blocks
)

// Policy chooses a target for a request.
type Policy interface {
	// Pick returns one of the eligible targets: those to which the request may be dispatched now. There must be at least
	// one. Random choices are drawn from rng.
	Pick(now lovageshift.Millis, table *LoadTable, eligible []lovageshift.TargetID, request Request, rng *rand.Rand) lovageshift.TargetID
}

// LeastCost picks the target with the lowest estimated cost, of all eligible targets or of a selection if there are
// many. It picks at random among the targets whose cost exceeds the lowest by at most tieMillis, so that the entries do
// not all choose the same target.
type LeastCost struct{}

// Pick implements Policy.
func (LeastCost) Pick(now lovageshift.Millis, table *LoadTable, eligible []lovageshift.TargetID, request Request, rng *rand.Rand) lovageshift.TargetID {
	compared := targetsToCompare(table, eligible, request, rng)
	costs := make([]float64, len(compared))
	best := 0
	for i, id := range compared {
		costs[i] = table.EstimateCost(now, id, request)
		if id == request.Home {
			costs[i] -= homeDiscount(table, id, request)
		}
		if costs[i] < costs[best] {
			best = i
		}
	}
	bound := costs[best] + tieMillis
	ties := compared[:0]
	for i, id := range compared {
		if costs[i] <= bound {
			ties = append(ties, id)
		}
	}
	return ties[rng.IntN(len(ties))]
}

// targetsToCompare returns all eligible targets if there are at most maxFullScan. Otherwise it returns up to sampleSize
// targets that have probably cached the prompt's first block, the prompt's home, and sampleSize targets drawn at
// random; a target may occur more than once.
func targetsToCompare(table *LoadTable, eligible []lovageshift.TargetID, request Request, rng *rand.Rand) []lovageshift.TargetID {
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

// HomeOf returns the target that entries with the same candidates prefer for prompts with the same first block, or ""
// for a prompt shorter than one block. The candidates are the targets that can run the request, including those that
// are not eligible at the moment.
func HomeOf(candidates []lovageshift.TargetID, request Request) lovageshift.TargetID {
	if len(request.Prefixes) == 0 {
		return ""
	}
	return membership.Owner("prefix/"+strconv.FormatUint(uint64(request.Prefixes[0]), 16), candidates)
}

// homeDiscount returns the milliseconds to subtract from the estimated cost of the request's home, whose ID is given.
// The discount is 0 if this entry has dispatched the prompt's first block before. It makes the entries tend to send a
// prefix that is new to them to the same target.
func homeDiscount(table *LoadTable, id lovageshift.TargetID, request Request) float64 {
	if table.seenPrefixes.Contains(request.Prefixes[0]) {
		return 0
	}
	blocks := lovageshift.Tokens(min(len(request.Prefixes), maxDiscountBlocks))
	return homeDiscountFactor * float64(blocks*request.BlockTokens) / table.state(id).prefillSpeed() * 1000
}

// RoundRobin picks the eligible targets in turn, whatever their load.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (r *RoundRobin) Pick(_ lovageshift.Millis, _ *LoadTable, eligible []lovageshift.TargetID, _ Request, _ *rand.Rand) lovageshift.TargetID {
	r.next++
	return eligible[r.next%len(eligible)]
}

// LeastOutstanding picks the target with the fewest dispatches of this entry that have not ended. Among several such
// targets, it takes the first from a random position on.
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

// PowerOfTwoChoices draws two targets at random, possibly the same one twice, and picks the one with fewer dispatches
// of this entry that have not ended.
type PowerOfTwoChoices struct{}

// Pick implements Policy.
func (PowerOfTwoChoices) Pick(_ lovageshift.Millis, table *LoadTable, eligible []lovageshift.TargetID, _ Request, rng *rand.Rand) lovageshift.TargetID {
	first, second := eligible[rng.IntN(len(eligible))], eligible[rng.IntN(len(eligible))]
	if table.Outstanding(second) < table.Outstanding(first) {
		return second
	}
	return first
}
