package routing

import (
	"math/rand/v2"
	"slices"
	"strconv"

	"lovageshift"
	"lovageshift/membership"
)

const (
	// Among this many fit targets all are compared, above it a random sample.
	compareAll   = 16
	sampleSize   = 8
	nearMillis   = 10.0
	homeBlocks   = 4
	homeDiscount = 0.5
)

// Policy picks a target out of fit ones.
type Policy interface {
	// Pick returns one of the fit targets, of which there is at least one.
	Pick(now lovageshift.Millis, board *LoadTable, fit []lovageshift.TargetID, request Request, random *rand.Rand) lovageshift.TargetID
}

// LeastCost picks the target with the least estimated time, at random among near equals, so that entries do not all choose the same one.
type LeastCost struct{}

// Pick implements Policy.
func (LeastCost) Pick(now lovageshift.Millis, board *LoadTable, fit []lovageshift.TargetID, request Request, random *rand.Rand) lovageshift.TargetID {
	candidates := sample(board, fit, request, random)
	costs := make([]float64, len(candidates))
	best := 0
	for i, id := range candidates {
		costs[i] = board.EstimateCost(now, id, request)
		if id == request.Home {
			costs[i] -= discount(board, id, request)
		}
		if costs[i] < costs[best] {
			best = i
		}
	}
	bound := costs[best] + nearMillis
	near := candidates[:0]
	for i, id := range candidates {
		if costs[i] <= bound {
			near = append(near, id)
		}
	}
	return near[random.IntN(len(near))]
}

// sample returns all fit targets when they are few, else some at random and those that know the prompt's beginning.
func sample(board *LoadTable, fit []lovageshift.TargetID, request Request, random *rand.Rand) []lovageshift.TargetID {
	if len(fit) <= compareAll {
		return append([]lovageshift.TargetID(nil), fit...)
	}
	var chosen []lovageshift.TargetID
	for _, id := range fit {
		if board.knows(id, request) && len(chosen) < sampleSize {
			chosen = append(chosen, id)
		}
	}
	if slices.Contains(fit, request.Home) {
		chosen = append(chosen, request.Home)
	}
	for range sampleSize {
		chosen = append(chosen, fit[random.IntN(len(fit))])
	}
	return chosen
}

// HomeOf returns the target, out of those that could run the request, where every entry puts the prompt's beginning.
func HomeOf(candidates []lovageshift.TargetID, request Request) lovageshift.TargetID {
	if len(request.Prefixes) == 0 {
		return ""
	}
	return membership.Owner("prefix/"+strconv.FormatUint(uint64(request.Prefixes[0]), 16), candidates)
}

// discount prefers the home of a beginning that nobody may have met yet, so that all meet it there.
func discount(board *LoadTable, id lovageshift.TargetID, request Request) float64 {
	if board.seen.Contains(request.Prefixes[0]) {
		return 0
	}
	blocks := lovageshift.Tokens(min(len(request.Prefixes), homeBlocks))
	return homeDiscount * float64(blocks*request.BlockTokens) / board.viewOf(id).speed() * 1000
}

// RoundRobin takes the fit targets in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (r *RoundRobin) Pick(_ lovageshift.Millis, _ *LoadTable, fit []lovageshift.TargetID, _ Request, _ *rand.Rand) lovageshift.TargetID {
	r.next++
	return fit[r.next%len(fit)]
}

// LeastOutstanding takes the target with the fewest outstanding requests of this entry.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(_ lovageshift.Millis, board *LoadTable, fit []lovageshift.TargetID, _ Request, random *rand.Rand) lovageshift.TargetID {
	start := random.IntN(len(fit))
	best := fit[start]
	for i := range fit {
		id := fit[(start+i)%len(fit)]
		if board.Outstanding(id) < board.Outstanding(best) {
			best = id
		}
	}
	return best
}

// PowerOfTwoChoices takes the less loaded of two random targets.
type PowerOfTwoChoices struct{}

// Pick implements Policy.
func (PowerOfTwoChoices) Pick(_ lovageshift.Millis, board *LoadTable, fit []lovageshift.TargetID, _ Request, random *rand.Rand) lovageshift.TargetID {
	one, other := fit[random.IntN(len(fit))], fit[random.IntN(len(fit))]
	if board.Outstanding(other) < board.Outstanding(one) {
		return other
	}
	return one
}
