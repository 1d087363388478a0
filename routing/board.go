package routing

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lovageshift"
)

const (
	defaultSpeed     = 5000.0 // prompt tokens a second
	defaultHold      = 1000.0 // milliseconds
	prefixesATarget  = 1024
	reportDelay      = 5 // milliseconds that a report may be on its way
	failureHalfLife  = 5000.0
	failurePenalty   = 1000.0
	answerTokens     = 64
	doubtfulHitShare = 2
)

// Load is what an agent last said of its target.
type Load struct {
	Incarnation   lovageshift.Incarnation
	Running       int
	Limit         int
	WaitingByRank map[lovageshift.Rank]int
	QueuedPrompt  lovageshift.Tokens
	Speed         float64 // prompt tokens a second
	Gap           float64 // milliseconds between tokens
	Hold          float64 // milliseconds a request runs
	Leaving       bool
	Failing       bool
	Cold          bool
	CacheEpoch    int64
}

// Request is what matters of a request for choosing its target.
type Request struct {
	Rank        lovageshift.Rank
	Prompt      lovageshift.Tokens
	Output      lovageshift.Tokens
	Prefixes    []Prefix
	BlockTokens lovageshift.Tokens
	GapLimit    lovageshift.Millis
}

// Prefix is the hash of a prompt's beginning up to the end of one block.
type Prefix uint64

// Board is what one entry knows of its targets.
type Board struct {
	views map[lovageshift.TargetID]*view
}

type view struct {
	load        Load
	at          lovageshift.Millis
	up          bool
	outstanding int
	unreported  []sent
	prefixes    *simplelru.LRU[Prefix, int64]
	failures    float64
	failedAt    lovageshift.Millis
}

type sent struct {
	at     lovageshift.Millis
	prompt lovageshift.Tokens
}

// NewBoard returns a board that knows no target.
func NewBoard() *Board { return &Board{views: map[lovageshift.TargetID]*view{}} }

func (b *Board) viewOf(id lovageshift.TargetID) *view {
	v := b.views[id]
	if v == nil {
		prefixes, _ := simplelru.NewLRU[Prefix, int64](prefixesATarget, nil)
		v = &view{prefixes: prefixes}
		b.views[id] = v
	}
	return v
}

// Report takes in an agent's load.
func (b *Board) Report(now lovageshift.Millis, id lovageshift.TargetID, load Load) {
	v := b.viewOf(id)
	if v.up && load.Incarnation < v.load.Incarnation {
		return
	}
	if load.Incarnation != v.load.Incarnation {
		v.prefixes.Purge()
	}
	v.load, v.at, v.up = load, now, true
	kept := v.unreported[:0]
	for _, one := range v.unreported {
		if one.at > now-reportDelay {
			kept = append(kept, one)
		}
	}
	v.unreported = kept
}

// Down records that the agent cannot be reached.
func (b *Board) Down(id lovageshift.TargetID) { b.viewOf(id).up = false }

// Forget drops all that is known of a target.
func (b *Board) Forget(id lovageshift.TargetID) { delete(b.views, id) }

// Takes reports whether the target's agent is there and takes new work, with its incarnation.
func (b *Board) Takes(id lovageshift.TargetID) (lovageshift.Incarnation, bool) {
	v := b.views[id]
	if v == nil || !v.up || v.load.Leaving || v.load.Failing {
		return 0, false
	}
	return v.load.Incarnation, true
}

// Sent records a dispatch.
func (b *Board) Sent(now lovageshift.Millis, id lovageshift.TargetID, request Request) {
	v := b.viewOf(id)
	v.outstanding++
	v.unreported = append(v.unreported, sent{now, b.uncached(v, request)})
	for _, prefix := range request.Prefixes {
		v.prefixes.Add(prefix, v.load.CacheEpoch)
	}
}

// Ended records the end of a dispatch; a failed one makes the target less attractive for a while.
func (b *Board) Ended(now lovageshift.Millis, id lovageshift.TargetID, failed bool) {
	v := b.viewOf(id)
	v.outstanding--
	if failed {
		v.failures = v.failuresAt(now) + 1
		v.failedAt = now
	}
}

func (v *view) failuresAt(now lovageshift.Millis) float64 {
	if v.failures == 0 {
		return 0
	}
	return v.failures * math.Exp2(-float64(now-v.failedAt)/failureHalfLife)
}

// Outstanding returns how many dispatches of this entry the target has.
func (b *Board) Outstanding(id lovageshift.TargetID) int { return b.viewOf(id).outstanding }

// Estimate returns the milliseconds until the request's first tokens would be there.
func (b *Board) Estimate(now lovageshift.Millis, id lovageshift.TargetID, request Request) float64 {
	v := b.viewOf(id)
	cost := v.slotWait(request.Rank)
	cost += b.prefill(v, request)
	cost += v.load.Gap * float64(min(request.Output, answerTokens))
	cost += v.failuresAt(now) * failurePenalty
	return cost
}

// slotWait estimates the wait for a place behind what is as urgent.
func (v *view) slotWait(rank lovageshift.Rank) float64 {
	ahead := len(v.unreported)
	for other, count := range v.load.WaitingByRank {
		if other <= rank {
			ahead += count
		}
	}
	limit := max(v.load.Limit, 1)
	free := limit - v.load.Running
	if ahead < free {
		return 0
	}
	hold := v.load.Hold
	if hold == 0 {
		hold = defaultHold
	}
	return float64(ahead-free+1) * hold / float64(limit)
}

func (b *Board) prefill(v *view, request Request) float64 {
	speed := v.load.Speed
	if speed == 0 {
		speed = defaultSpeed
	}
	tokens := v.load.QueuedPrompt + b.uncached(v, request)
	for _, one := range v.unreported {
		tokens += one.prompt
	}
	return float64(tokens) / speed * 1000
}

// uncached returns the prompt tokens that the target probably has to compute.
func (b *Board) uncached(v *view, request Request) lovageshift.Tokens {
	hit := lovageshift.Tokens(0)
	for _, prefix := range request.Prefixes {
		epoch, known := v.prefixes.Peek(prefix)
		if !known {
			break
		}
		if epoch == v.load.CacheEpoch {
			hit += request.BlockTokens
		} else {
			// Doubtful knowledge counts for less, not for nothing.
			hit += request.BlockTokens / doubtfulHitShare
		}
	}
	return max(request.Prompt-hit, 0)
}

// knows reports whether the target has probably cached the beginning of the prompt.
func (b *Board) knows(id lovageshift.TargetID, request Request) bool {
	return len(request.Prefixes) > 0 && b.viewOf(id).prefixes.Contains(request.Prefixes[0])
}
