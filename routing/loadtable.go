package routing

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lovageshift"
)

const (
	defaultPrefillSpeed = 5000.0 // prompt tokens per second
	coldPrefillSpeed    = 1000.0 // prompt tokens per second
	defaultServiceTime  = 3000.0 // milliseconds
	prefixesPerTarget   = 1024
	maxSeenPrefixes     = 4096
	reportDelay         = 5      // milliseconds that a load report may take to arrive
	failureHalfLife     = 5000.0 // milliseconds
	failurePenalty      = 1000.0 // milliseconds added to the cost per recent failure
	maxCountedOutput    = 16     // output tokens whose latency counts in the cost
	staleHitDivisor     = 2
	// Weight of the pause that a prefill causes in each running answer, relative to the request's own wait.
	pauseWeight = 2.0
	// Cost of a full target relative to an empty one, in milliseconds.
	contentionMillis = 1500.0
)

// Load is the last load report of a target's agent.
type Load struct {
	Incarnation       lovageshift.Incarnation // of the agent
	Running           int                     // running requests
	Limit             int                     // concurrency limit, in requests
	WaitingByRank     map[lovageshift.Rank]int
	QueuedPrompt      lovageshift.Tokens // prompt tokens waiting or in prefill
	PrefillSpeed      float64            // prompt tokens per second, 0 if not measured
	InterTokenLatency float64            // milliseconds between tokens
	ServiceTime       float64            // milliseconds that a request runs, 0 if not measured
	Leaving           bool               // the agent is stopping
	Failing           bool               // the engine is down
	Cold              bool               // the engine is still warming up
	CacheEpoch        int64              // changes when the prefix cache may have been lost
}

// Request holds the properties of a request that matter for choosing its target.
type Request struct {
	Rank        lovageshift.Rank
	Prompt      lovageshift.Tokens // upper bound of the prompt tokens
	Output      lovageshift.Tokens // limit of the output tokens
	Prefixes    []Prefix           // one for each whole block, from the shortest prefix to the longest
	BlockTokens lovageshift.Tokens // prompt tokens of one block
	// Home is the target to which every entry sends prompts with this prefix while that target is not loaded.
	Home lovageshift.TargetID
}

// Prefix is the hash of a prompt from its start to the end of one block.
type Prefix uint64

// LoadTable holds what one entry knows about the load and the prefix caches of its targets. It is not safe for
// concurrent use.
type LoadTable struct {
	targets map[lovageshift.TargetID]*targetState
	// seenPrefixes holds the prefixes that this entry has dispatched, to any target.
	seenPrefixes *simplelru.LRU[Prefix, struct{}]
}

type targetState struct {
	load        Load
	reportedAt  lovageshift.Millis
	reachable   bool
	outstanding int                           // dispatches of this entry that have not ended
	unreported  []dispatch                    // dispatches that the last report may not include
	prefixes    *simplelru.LRU[Prefix, int64] // prefixes probably cached, with the cache epoch of the dispatch
	failures    float64                       // as of failedAt; halves every failureHalfLife
	failedAt    lovageshift.Millis
}

type dispatch struct {
	sentAt        lovageshift.Millis
	computeTokens lovageshift.Tokens
}

// NewLoadTable returns a table without targets.
func NewLoadTable() *LoadTable {
	seen, _ := simplelru.NewLRU[Prefix, struct{}](maxSeenPrefixes, nil)
	return &LoadTable{targets: map[lovageshift.TargetID]*targetState{}, seenPrefixes: seen}
}

func (t *LoadTable) state(id lovageshift.TargetID) *targetState {
	s := t.targets[id]
	if s == nil {
		prefixes, _ := simplelru.NewLRU[Prefix, int64](prefixesPerTarget, nil)
		s = &targetState{prefixes: prefixes}
		t.targets[id] = s
	}
	return s
}

// Update stores an agent's load report, unless it comes from an earlier incarnation than the current one. A new
// incarnation clears the prefixes assumed to be cached.
func (t *LoadTable) Update(now lovageshift.Millis, id lovageshift.TargetID, load Load) {
	s := t.state(id)
	if s.reachable && load.Incarnation < s.load.Incarnation {
		return
	}
	if load.Incarnation != s.load.Incarnation {
		s.prefixes.Purge()
	}
	s.load, s.reportedAt, s.reachable = load, now, true
	kept := s.unreported[:0]
	for _, d := range s.unreported {
		if d.sentAt > now-reportDelay {
			kept = append(kept, d)
		}
	}
	s.unreported = kept
}

// MarkUnreachable records that the target's agent cannot be reached; the next Update reverts it.
func (t *LoadTable) MarkUnreachable(id lovageshift.TargetID) { t.state(id).reachable = false }

// Remove deletes everything known about a target.
func (t *LoadTable) Remove(id lovageshift.TargetID) { delete(t.targets, id) }

// Accepts reports whether the target's agent is reachable and takes new work, and returns the agent's incarnation.
func (t *LoadTable) Accepts(id lovageshift.TargetID) (lovageshift.Incarnation, bool) {
	s := t.targets[id]
	if s == nil || !s.reachable || s.load.Leaving || s.load.Failing {
		return 0, false
	}
	return s.load.Incarnation, true
}

// RecordDispatch counts a dispatch to the target and records its prefixes as cached there.
func (t *LoadTable) RecordDispatch(now lovageshift.Millis, id lovageshift.TargetID, request Request) {
	s := t.state(id)
	s.outstanding++
	s.unreported = append(s.unreported, dispatch{now, t.ComputeTokens(id, request)})
	for _, prefix := range request.Prefixes {
		s.prefixes.Add(prefix, s.load.CacheEpoch)
		t.seenPrefixes.Add(prefix, struct{}{})
	}
}

// RecordEnd records the end of a dispatch. A failed one raises the target's cost, with an effect that halves every
// failureHalfLife.
func (t *LoadTable) RecordEnd(now lovageshift.Millis, id lovageshift.TargetID, failed bool) {
	s := t.state(id)
	s.outstanding--
	if failed {
		s.failures = s.decayedFailures(now) + 1
		s.failedAt = now
	}
}

// decayedFailures returns the number of failures, each weighted by its age.
func (s *targetState) decayedFailures(now lovageshift.Millis) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now-s.failedAt)/failureHalfLife)
}

// Outstanding returns the number of this entry's dispatches to the target that have not ended.
func (t *LoadTable) Outstanding(id lovageshift.TargetID) int { return t.state(id).outstanding }

// ComputeTokens estimates the prompt tokens that the target has to compute, those not in its prefix cache.
func (t *LoadTable) ComputeTokens(id lovageshift.TargetID, request Request) lovageshift.Tokens {
	uncached := t.state(id).uncachedTokens(request)
	if id != request.Home {
		return uncached
	}
	// A prefix that this entry has dispatched before, to any target, is probably cached at its home.
	cachedAtHome := lovageshift.Tokens(0)
	for _, prefix := range request.Prefixes {
		if !t.seenPrefixes.Contains(prefix) {
			break
		}
		cachedAtHome += request.BlockTokens
	}
	return min(uncached, max(request.Prompt-cachedAtHome, 0))
}

// RecordCacheMiss records that the target had no part of the prompt cached.
func (t *LoadTable) RecordCacheMiss(id lovageshift.TargetID, request Request) {
	s := t.state(id)
	for _, prefix := range request.Prefixes {
		s.prefixes.Remove(prefix)
	}
}

// EstimateCost estimates the cost of sending the request to the target, in milliseconds: the time until its first
// tokens arrive, the delay that it causes to other requests, and a penalty for recent failures.
func (t *LoadTable) EstimateCost(now lovageshift.Millis, id lovageshift.TargetID, request Request) float64 {
	s := t.state(id)
	uncached := t.ComputeTokens(id, request)
	cost := s.slotWait(request.Rank)
	cost += s.prefillTime(uncached)
	cost += s.interTokenLatency() * float64(min(request.Output, maxCountedOutput))
	cost += s.contention(uncached)
	cost += s.decayedFailures(now) * failurePenalty
	return cost
}

// contention estimates the delay in milliseconds that the request causes to others: each running answer pauses while
// the prompt is computed, and inter-token latency grows with the share of slots in use.
func (s *targetState) contention(uncached lovageshift.Tokens) float64 {
	running := float64(s.load.Running + len(s.unreported))
	utilization := running / float64(max(s.load.Limit, 1))
	pause := float64(uncached) / s.prefillSpeed() * 1000
	return pauseWeight*running*pause + contentionMillis*utilization*utilization
}

// slotWait estimates the wait in milliseconds for a slot, behind the waiting requests of the same or a lower rank
// number and the unreported dispatches.
func (s *targetState) slotWait(rank lovageshift.Rank) float64 {
	ahead := len(s.unreported)
	for other, count := range s.load.WaitingByRank {
		if other <= rank {
			ahead += count
		}
	}
	limit := max(s.load.Limit, 1)
	free := limit - s.load.Running
	if ahead < free {
		return 0
	}
	serviceTime := s.load.ServiceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	return float64(ahead-free+1) * serviceTime / float64(limit)
}

// prefillTime estimates the milliseconds until the queued prompts and this one are computed.
func (s *targetState) prefillTime(uncached lovageshift.Tokens) float64 {
	tokens := s.load.QueuedPrompt + uncached
	for _, d := range s.unreported {
		tokens += d.computeTokens
	}
	return float64(tokens) / s.prefillSpeed() * 1000
}

// prefillSpeed returns the measured prompt tokens per second. For an idle target it is at least the default, because
// without work there is no new measurement that could show the end of a slow period.
func (s *targetState) prefillSpeed() float64 {
	if s.load.Cold && s.load.PrefillSpeed == 0 {
		return coldPrefillSpeed
	}
	if s.load.PrefillSpeed == 0 || s.idle() {
		return max(s.load.PrefillSpeed, defaultPrefillSpeed)
	}
	return s.load.PrefillSpeed
}

func (s *targetState) idle() bool { return s.load.Running == 0 && len(s.unreported) == 0 }

// interTokenLatency returns the milliseconds between tokens, or 0 for an idle target, whose measurement is out of date.
func (s *targetState) interTokenLatency() float64 {
	if s.idle() {
		return 0
	}
	return s.load.InterTokenLatency
}

// uncachedTokens estimates the prompt tokens that the target has to compute, from the prefixes sent to it before.
func (s *targetState) uncachedTokens(request Request) lovageshift.Tokens {
	cached := lovageshift.Tokens(0)
	for _, prefix := range request.Prefixes {
		epoch, known := s.prefixes.Peek(prefix)
		if !known {
			break
		}
		if epoch == s.load.CacheEpoch {
			cached += request.BlockTokens
		} else {
			// The cache may have been lost since; a stale hit counts for a part of the block.
			cached += request.BlockTokens / staleHitDivisor
		}
	}
	return max(request.Prompt-cached, 0)
}

// hasCached reports whether the target has probably cached the prompt's first block.
func (t *LoadTable) hasCached(id lovageshift.TargetID, request Request) bool {
	return len(request.Prefixes) > 0 && t.state(id).prefixes.Contains(request.Prefixes[0])
}
