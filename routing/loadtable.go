package routing

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lovageshift"
)

const (
	defaultSpeed     = 5000.0 // prompt tokens a second
	coldSpeed        = 1000.0
	defaultHold      = 3000.0 // milliseconds
	prefixesATarget  = 1024
	prefixesSeen     = 4096
	reportDelay      = 5 // milliseconds that a report may be on its way
	failureHalfLife  = 5000.0
	failurePenalty   = 1000.0
	answerTokens     = 16
	doubtfulHitShare = 2
	// What a pause of each running answer weighs against the request's own wait.
	pauseShare = 2.0
	// What a full target weighs against an empty one, in milliseconds.
	crowdingMillis = 1500.0
)

// Load is what an agent last said of its target.
type Load struct {
	Incarnation       lovageshift.Incarnation
	Running           int
	Limit             int
	WaitingByRank     map[lovageshift.Rank]int
	QueuedPrompt      lovageshift.Tokens
	PrefillSpeed      float64 // prompt tokens a second
	InterTokenLatency float64 // milliseconds between tokens
	ServiceTime       float64 // milliseconds a request runs
	Leaving           bool
	Failing           bool
	Cold              bool
	CacheEpoch        int64
}

// Request is what matters of a request for choosing its target.
type Request struct {
	Rank        lovageshift.Rank
	Prompt      lovageshift.Tokens
	Output      lovageshift.Tokens
	Prefixes    []Prefix
	BlockTokens lovageshift.Tokens
	// Home is where every entry puts the prompt's beginning while that target is not loaded.
	Home lovageshift.TargetID
}

// Prefix is the hash of a prompt's beginning up to the end of one block.
type Prefix uint64

// LoadTable is what one entry knows of its targets.
type LoadTable struct {
	views map[lovageshift.TargetID]*view
	// seen holds the beginnings that this entry has met, at whichever target.
	seen *simplelru.LRU[Prefix, struct{}]
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

// NewLoadTable returns a board that knows no target.
func NewLoadTable() *LoadTable {
	seen, _ := simplelru.NewLRU[Prefix, struct{}](prefixesSeen, nil)
	return &LoadTable{views: map[lovageshift.TargetID]*view{}, seen: seen}
}

func (b *LoadTable) viewOf(id lovageshift.TargetID) *view {
	v := b.views[id]
	if v == nil {
		prefixes, _ := simplelru.NewLRU[Prefix, int64](prefixesATarget, nil)
		v = &view{prefixes: prefixes}
		b.views[id] = v
	}
	return v
}

// Update takes in an agent's load.
func (b *LoadTable) Update(now lovageshift.Millis, id lovageshift.TargetID, load Load) {
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

// MarkUnreachable records that the agent cannot be reached.
func (b *LoadTable) MarkUnreachable(id lovageshift.TargetID) { b.viewOf(id).up = false }

// Remove drops all that is known of a target.
func (b *LoadTable) Remove(id lovageshift.TargetID) { delete(b.views, id) }

// Accepts reports whether the target's agent is there and takes new work, with its incarnation.
func (b *LoadTable) Accepts(id lovageshift.TargetID) (lovageshift.Incarnation, bool) {
	v := b.views[id]
	if v == nil || !v.up || v.load.Leaving || v.load.Failing {
		return 0, false
	}
	return v.load.Incarnation, true
}

// RecordDispatch records a dispatch.
func (b *LoadTable) RecordDispatch(now lovageshift.Millis, id lovageshift.TargetID, request Request) {
	v := b.viewOf(id)
	v.outstanding++
	v.unreported = append(v.unreported, sent{now, b.ComputeTokens(id, request)})
	for _, prefix := range request.Prefixes {
		v.prefixes.Add(prefix, v.load.CacheEpoch)
		b.seen.Add(prefix, struct{}{})
	}
}

// RecordEnd records the end of a dispatch; a failed one makes the target less attractive for a while.
func (b *LoadTable) RecordEnd(now lovageshift.Millis, id lovageshift.TargetID, failed bool) {
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
func (b *LoadTable) Outstanding(id lovageshift.TargetID) int { return b.viewOf(id).outstanding }

// ComputeTokens returns the prompt tokens that the target probably has to compute.
func (b *LoadTable) ComputeTokens(id lovageshift.TargetID, request Request) lovageshift.Tokens {
	uncached := b.viewOf(id).uncached(request)
	if id != request.Home {
		return uncached
	}
	// What any entry has met before is probably cached at its home.
	shared := lovageshift.Tokens(0)
	for _, prefix := range request.Prefixes {
		if !b.seen.Contains(prefix) {
			break
		}
		shared += request.BlockTokens
	}
	return min(uncached, max(request.Prompt-shared, 0))
}

// RecordCacheMiss records that the target had nothing of the prompt cached.
func (b *LoadTable) RecordCacheMiss(id lovageshift.TargetID, request Request) {
	v := b.viewOf(id)
	for _, prefix := range request.Prefixes {
		v.prefixes.Remove(prefix)
	}
}

// EstimateCost returns the milliseconds until the request's first tokens would be there, with what it costs others.
func (b *LoadTable) EstimateCost(now lovageshift.Millis, id lovageshift.TargetID, request Request) float64 {
	v := b.viewOf(id)
	uncached := b.ComputeTokens(id, request)
	cost := v.slotWait(request.Rank)
	cost += v.prefill(uncached)
	cost += v.gap() * float64(min(request.Output, answerTokens))
	cost += v.crowding(uncached)
	cost += v.failuresAt(now) * failurePenalty
	return cost
}

// crowding is what the request costs others: each running answer pauses while the prompt is
// computed, and gaps grow with the share of places taken.
func (v *view) crowding(uncached lovageshift.Tokens) float64 {
	running := float64(v.load.Running + len(v.unreported))
	taken := running / float64(max(v.load.Limit, 1))
	pause := float64(uncached) / v.speed() * 1000
	return pauseShare*running*pause + crowdingMillis*taken*taken
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
	hold := v.load.ServiceTime
	if hold == 0 {
		hold = defaultHold
	}
	return float64(ahead-free+1) * hold / float64(limit)
}

func (v *view) prefill(uncached lovageshift.Tokens) float64 {
	tokens := v.load.QueuedPrompt + uncached
	for _, one := range v.unreported {
		tokens += one.prompt
	}
	return float64(tokens) / v.speed() * 1000
}

// speed is the measured prompt tokens a second. An idle target is given the benefit of the
// doubt, since only work can show that a slow time has passed.
func (v *view) speed() float64 {
	if v.load.Cold && v.load.PrefillSpeed == 0 {
		return coldSpeed
	}
	if v.load.PrefillSpeed == 0 || v.idle() {
		return max(v.load.PrefillSpeed, defaultSpeed)
	}
	return v.load.PrefillSpeed
}

func (v *view) idle() bool { return v.load.Running == 0 && len(v.unreported) == 0 }

// gap is the milliseconds between tokens; that of an idle target is an old one.
func (v *view) gap() float64 {
	if v.idle() {
		return 0
	}
	return v.load.InterTokenLatency
}

// uncached returns the prompt tokens that the target probably has to compute.
func (v *view) uncached(request Request) lovageshift.Tokens {
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
func (b *LoadTable) knows(id lovageshift.TargetID, request Request) bool {
	return len(request.Prefixes) > 0 && b.viewOf(id).prefixes.Contains(request.Prefixes[0])
}
