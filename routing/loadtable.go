package routing

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lovageshift"
)

const (
	defaultPrefillSpeed = 5000.0 // prompt tokens per second, assumed until the agent reports a measured speed
	coldPrefillSpeed    = 1000.0 // the same for a cold target (Load.Cold)
	defaultServiceTime  = 3000.0 // milliseconds that a request runs, assumed until the agent reports a measured mean
	prefixesPerTarget   = 1024   // most prefixes remembered for each target as probably cached
	maxSeenPrefixes     = 4096   // most prefixes remembered as dispatched by this entry to any target
	reportDelay         = 5      // milliseconds; a load report may not include dispatches sent this shortly before its arrival
	failureHalfLife     = 5000.0 // milliseconds after which a failure has half its weight
	failurePenalty      = 1000.0 // milliseconds added to a target's cost for each failure, times the failure's weight
	maxCountedOutput    = 16     // most output tokens of a request whose inter-token latency is added to its cost
	staleHitDivisor     = 2      // a block counts as 1/2 of a cached block if Load.CacheEpoch has changed since its dispatch
	// While the target computes a new prompt, each running request's output pauses. The cost of the new request includes
	// these pauses with this weight, and its own waiting time with weight 1.
	pauseWeight = 2.0
	// Cost in milliseconds added for a target that has all slots in use. With fewer in use, it is multiplied by the square
	// of the share in use.
	contentionMillis = 1500.0
)

// Load is a load report of a target's agent.
type Load struct {
	Incarnation       lovageshift.Incarnation  // of the agent
	Running           int                      // running requests
	Limit             int                      // concurrency limit, in requests
	WaitingByRank     map[lovageshift.Rank]int // number of requests in the agent's queue, by rank
	QueuedPrompt      lovageshift.Tokens       // compute tokens (ComputeTokens) of the requests that wait for prefill or are in it
	PrefillSpeed      float64                  // prompt tokens per second, 0 if not measured
	InterTokenLatency float64                  // mean milliseconds between two output tokens, 0 if not measured
	ServiceTime       float64                  // mean milliseconds that a request runs, 0 if not measured
	Leaving           bool                     // the agent is shutting down
	Failing           bool                     // the target is down
	Cold              bool                     // the agent still limits the target to fewer requests than when it is warm (admission.ConcurrencyLimiter)
	CacheEpoch        int64                    // changes when the target may have lost its prefix cache
}

// Request holds the properties of a request that matter for choosing its target.
type Request struct {
	Rank        lovageshift.Rank
	Prompt      lovageshift.Tokens // upper bound of the prompt tokens
	Output      lovageshift.Tokens // upper bound of the output tokens
	Prefixes    []Prefix           // of the prompt's first blocks, one for each whole block, from the shortest prefix to the longest
	BlockTokens lovageshift.Tokens // upper bound of the prompt tokens in one block (Prefix)
	// Home is the target that entries prefer for prompts whose first block they have not dispatched before (HomeOf), or
	// "" if the prompt is shorter than one block.
	Home lovageshift.TargetID
}

// Prefix is the hash of the part of a prompt that ends with one of its blocks. Prompts are divided into blocks of a
// fixed size in bytes, from their start.
type Prefix uint64

// LoadTable holds what one entry knows about the load and the prefix caches of its targets. It is not safe for
// concurrent use.
type LoadTable struct {
	targets map[lovageshift.TargetID]*targetState
	// seenPrefixes holds the prefixes of the prompts that this entry has dispatched, whichever the target.
	seenPrefixes *simplelru.LRU[Prefix, struct{}]
}

type targetState struct {
	load        Load
	reportedAt  lovageshift.Millis            // when the load report arrived, in milliseconds of the entry's clock
	reachable   bool                          // whether the agent is reachable: set by Update, cleared by MarkUnreachable
	outstanding int                           // number of this entry's dispatches that have not ended
	unreported  []dispatch                    // recent dispatches of this entry that the last load report may not include
	prefixes    *simplelru.LRU[Prefix, int64] // prefixes that the target has probably cached, with the cache epoch at their last dispatch
	failures    float64                       // sum of the recorded failures' weights at failedAt
	failedAt    lovageshift.Millis            // when the last failure was recorded
}

type dispatch struct {
	sentAt        lovageshift.Millis
	computeTokens lovageshift.Tokens
}

// NewLoadTable returns a load table that knows no targets.
func NewLoadTable() *LoadTable {
	seen, _ := simplelru.NewLRU[Prefix, struct{}](maxSeenPrefixes, nil)
	return &LoadTable{targets: map[lovageshift.TargetID]*targetState{}, seenPrefixes: seen}
}

// state returns the target's state, which it creates if there is none.
func (t *LoadTable) state(id lovageshift.TargetID) *targetState {
	s := t.targets[id]
	if s == nil {
		prefixes, _ := simplelru.NewLRU[Prefix, int64](prefixesPerTarget, nil)
		s = &targetState{prefixes: prefixes}
		t.targets[id] = s
	}
	return s
}

// Update stores a load report of the target's agent, which arrives at the time now, and marks the agent as reachable.
// If the agent is already reachable, a report from an earlier incarnation than the stored one is ignored. A change of
// the incarnation clears the prefixes that were assumed to be cached at the target.
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

// MarkUnreachable records that the target's agent cannot be reached, until the next Update.
func (t *LoadTable) MarkUnreachable(id lovageshift.TargetID) { t.state(id).reachable = false }

// Remove deletes everything known about a target.
func (t *LoadTable) Remove(id lovageshift.TargetID) { delete(t.targets, id) }

// Accepts returns the incarnation of the target's agent and true if the agent is reachable and not shutting down and
// the target is not down; otherwise 0 and false.
func (t *LoadTable) Accepts(id lovageshift.TargetID) (lovageshift.Incarnation, bool) {
	s := t.targets[id]
	if s == nil || !s.reachable || s.load.Leaving || s.load.Failing {
		return 0, false
	}
	return s.load.Incarnation, true
}

// RecordDispatch counts a dispatch of the request to the target and assumes that the prompt's prefixes are cached there
// from now on.
func (t *LoadTable) RecordDispatch(now lovageshift.Millis, id lovageshift.TargetID, request Request) {
	s := t.state(id)
	s.outstanding++
	s.unreported = append(s.unreported, dispatch{now, t.ComputeTokens(id, request)})
	for _, prefix := range request.Prefixes {
		s.prefixes.Add(prefix, s.load.CacheEpoch)
		t.seenPrefixes.Add(prefix, struct{}{})
	}
}

// RecordEnd records the end of a dispatch. If it failed, the target's estimated cost rises by failurePenalty;
// this increase halves every failureHalfLife.
func (t *LoadTable) RecordEnd(now lovageshift.Millis, id lovageshift.TargetID, failed bool) {
	s := t.state(id)
	s.outstanding--
	if failed {
		s.failures = s.decayedFailures(now) + 1
		s.failedAt = now
	}
}

// decayedFailures returns the sum of the failures' weights now: 1 for a new failure, halved every failureHalfLife.
func (s *targetState) decayedFailures(now lovageshift.Millis) float64 {
	if s.failures == 0 {
		return 0
	}
	return s.failures * math.Exp2(-float64(now-s.failedAt)/failureHalfLife)
}

// Outstanding returns the number of this entry's dispatches to the target that have not ended.
func (t *LoadTable) Outstanding(id lovageshift.TargetID) int { return t.state(id).outstanding }

// ComputeTokens returns an estimate of the compute tokens of the request at the target: the prompt tokens that the
// target has to compute because they are not in its prefix cache.
func (t *LoadTable) ComputeTokens(id lovageshift.TargetID, request Request) lovageshift.Tokens {
	uncached := t.state(id).uncachedTokens(request)
	if id != request.Home {
		return uncached
	}
	// Entries prefer the home for prefixes that are new to them. So a prefix that this entry has dispatched before, to any
	// target, is probably cached at the home.
	cachedAtHome := lovageshift.Tokens(0)
	for _, prefix := range request.Prefixes {
		if !t.seenPrefixes.Contains(prefix) {
			break
		}
		cachedAtHome += request.BlockTokens
	}
	return min(uncached, max(request.Prompt-cachedAtHome, 0))
}

// RecordCacheMiss records that the target had no part of the request's prompt in its prefix cache.
func (t *LoadTable) RecordCacheMiss(id lovageshift.TargetID, request Request) {
	s := t.state(id)
	for _, prefix := range request.Prefixes {
		s.prefixes.Remove(prefix)
	}
}

// EstimateCost estimates the cost of sending the request to the target, in milliseconds: the time until the request's
// first maxCountedOutput output tokens arrive, the delay that it causes to other requests, and a penalty for recent
// failures of the target.
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

// contention estimates the weighted delay in milliseconds that a request with that many uncached prompt tokens causes
// to the other requests at the target: each running one pauses while these tokens are computed, and the inter-token
// latency grows with the share of slots in use. This entry's unreported dispatches count as running.
func (s *targetState) contention(uncached lovageshift.Tokens) float64 {
	running := float64(s.load.Running + len(s.unreported))
	utilization := running / float64(max(s.load.Limit, 1))
	pause := float64(uncached) / s.prefillSpeed() * 1000
	return pauseWeight*running*pause + contentionMillis*utilization*utilization
}

// slotWait estimates how many milliseconds a request of the rank waits for a slot. Ahead of it are the queued requests
// of the same or a lower rank number, and this entry's unreported dispatches of any rank.
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

// prefillTime estimates the milliseconds until the target has computed its queued prompt tokens, the compute tokens of
// the unreported dispatches, and the given number of uncached prompt tokens of a new request.
func (s *targetState) prefillTime(uncached lovageshift.Tokens) float64 {
	tokens := s.load.QueuedPrompt + uncached
	for _, d := range s.unreported {
		tokens += d.computeTokens
	}
	return float64(tokens) / s.prefillSpeed() * 1000
}

// prefillSpeed returns the measured prompt tokens per second, or without a measurement coldPrefillSpeed for a cold
// target and defaultPrefillSpeed for another. A measured speed of an idle target counts as at least
// defaultPrefillSpeed: the target may have become faster since, which is not measured while it has no work.
func (s *targetState) prefillSpeed() float64 {
	if s.load.Cold && s.load.PrefillSpeed == 0 {
		return coldPrefillSpeed
	}
	if s.load.PrefillSpeed == 0 || s.idle() {
		return max(s.load.PrefillSpeed, defaultPrefillSpeed)
	}
	return s.load.PrefillSpeed
}

// idle reports whether the target runs no request as far as this entry knows, so neither by the last load report nor by
// this entry's unreported dispatches.
func (s *targetState) idle() bool { return s.load.Running == 0 && len(s.unreported) == 0 }

// interTokenLatency returns the mean milliseconds between two output tokens, or 0 for an idle target, because its last
// measurement was under load.
func (s *targetState) interTokenLatency() float64 {
	if s.idle() {
		return 0
	}
	return s.load.InterTokenLatency
}

// uncachedTokens estimates how many prompt tokens the target has to compute, from the prefixes that this entry has
// dispatched to it. Unlike ComputeTokens, it does not consider that other entries also send prefixes to their home.
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
			// The target may have lost its prefix cache since the dispatch.
			cached += request.BlockTokens / staleHitDivisor
		}
	}
	return max(request.Prompt-cached, 0)
}

// hasCached reports whether the target has probably cached the prompt's first block.
func (t *LoadTable) hasCached(id lovageshift.TargetID, request Request) bool {
	return len(request.Prefixes) > 0 && t.state(id).prefixes.Contains(request.Prefixes[0])
}
