package routing

import (
	"math"

	"github.com/hashicorp/golang-lru/v2/simplelru"

	"lovageshift"
)

const (
	defaultPrefillSpeed = 5000.0 // prompt tokens per second, until a speed has been measured
	coldPrefillSpeed    = 1000.0 // prompt tokens per second, for a cold target until a speed has been measured
	defaultServiceTime  = 3000.0 // milliseconds, until a time has been measured
	prefixesPerTarget   = 1024   // prefixes kept for each target
	maxSeenPrefixes     = 4096   // prefixes kept over all targets
	reportDelay         = 5      // milliseconds before a report's arrival in which dispatches may be missing from it
	failureHalfLife     = 5000.0 // milliseconds in which the weight of a failure halves
	failurePenalty      = 1000.0 // milliseconds added to the cost per failure, times its weight
	maxCountedOutput    = 16     // first output tokens, whose inter-token latency counts in the cost
	staleHitDivisor     = 2      // a block cached in an earlier cache epoch counts as 1/2 of a block
	// Weight of the pause that a prefill causes in each running answer. The request's own wait has weight 1.
	pauseWeight = 2.0
	// Cost added for a target with all slots in use, in milliseconds; it grows with the square of the share in use.
	contentionMillis = 1500.0
)

// Load is the last load report of a target's agent.
type Load struct {
	Incarnation       lovageshift.Incarnation  // of the agent
	Running           int                      // running requests
	Limit             int                      // concurrency limit, in requests
	WaitingByRank     map[lovageshift.Rank]int // requests in the agent's queue
	QueuedPrompt      lovageshift.Tokens       // prompt tokens waiting or in prefill
	PrefillSpeed      float64                  // prompt tokens per second, 0 if not measured
	InterTokenLatency float64                  // milliseconds between two output tokens
	ServiceTime       float64                  // mean milliseconds that a request runs, 0 if not measured
	Leaving           bool                     // the agent is stopping
	Failing           bool                     // the engine is down
	Cold              bool                     // the engine is still warming up
	CacheEpoch        int64                    // changes when the prefix cache may have been lost
}

// Request holds the properties of a request that matter for choosing its target.
type Request struct {
	Rank        lovageshift.Rank
	Prompt      lovageshift.Tokens // upper bound of the prompt tokens
	Output      lovageshift.Tokens // upper bound of the output tokens
	Prefixes    []Prefix           // of the prompt's first whole blocks, from the shortest to the longest
	BlockTokens lovageshift.Tokens // upper bound of the prompt tokens in one block
	// Home is the target that all entries prefer for new prompts with the same first block (HomeOf), or "".
	Home lovageshift.TargetID
}

// Prefix is the hash of a prompt from its start to the end of one of its blocks. Blocks are of a fixed size in bytes.
type Prefix uint64

// LoadTable holds what one entry knows about the load and the prefix caches of its targets. It is not safe for
// concurrent use.
type LoadTable struct {
	targets map[lovageshift.TargetID]*targetState
	// seenPrefixes holds the prefixes of the prompts that this entry has dispatched, to any target.
	seenPrefixes *simplelru.LRU[Prefix, struct{}]
}

type targetState struct {
	load        Load
	reportedAt  lovageshift.Millis // when the load report arrived
	reachable   bool
	outstanding int                           // dispatches of this entry that have not ended
	unreported  []dispatch                    // dispatches that the last load report may not include
	prefixes    *simplelru.LRU[Prefix, int64] // prefixes probably cached, with the cache epoch at the dispatch
	failures    float64                       // sum of the failures' weights at failedAt
	failedAt    lovageshift.Millis            // when the last failure was recorded
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

// Update stores a load report of the target's agent and marks the agent as reachable. It ignores a report from an
// earlier incarnation than that of a reachable agent. A change of incarnation clears the prefixes assumed to be cached.
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

// Accepts returns the incarnation of the target's agent and true if the agent is reachable, is not stopping and has an
// engine that is up; otherwise 0 and false.
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

// RecordEnd records the end of a dispatch. A failed dispatch raises the target's estimated cost by failurePenalty, an
// effect that halves every failureHalfLife.
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

// ComputeTokens estimates how many prompt tokens the target has to compute because they are not in its prefix cache.
func (t *LoadTable) ComputeTokens(id lovageshift.TargetID, request Request) lovageshift.Tokens {
	uncached := t.state(id).uncachedTokens(request)
	if id != request.Home {
		return uncached
	}
	// A prefix that this entry has dispatched before, to any target, is probably cached at the home, which all entries
	// prefer for it.
	cachedAtHome := lovageshift.Tokens(0)
	for _, prefix := range request.Prefixes {
		if !t.seenPrefixes.Contains(prefix) {
			break
		}
		cachedAtHome += request.BlockTokens
	}
	return min(uncached, max(request.Prompt-cachedAtHome, 0))
}

// RecordCacheMiss records that the target had no part of the request's prompt cached.
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

// contention estimates the delay in milliseconds that the request causes to others: each running answer pauses while
// the request's uncached prompt tokens are computed, and inter-token latency grows with the share of slots in use.
func (s *targetState) contention(uncached lovageshift.Tokens) float64 {
	running := float64(s.load.Running + len(s.unreported))
	utilization := running / float64(max(s.load.Limit, 1))
	pause := float64(uncached) / s.prefillSpeed() * 1000
	return pauseWeight*running*pause + contentionMillis*utilization*utilization
}

// slotWait estimates how many milliseconds a request of the rank waits for a slot, behind the queued requests of the
// same or a lower rank number and this entry's unreported dispatches.
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

// prefillTime estimates the milliseconds until the target has computed the prompt tokens queued there, those of the
// unreported dispatches, and uncached more.
func (s *targetState) prefillTime(uncached lovageshift.Tokens) float64 {
	tokens := s.load.QueuedPrompt + uncached
	for _, d := range s.unreported {
		tokens += d.computeTokens
	}
	return float64(tokens) / s.prefillSpeed() * 1000
}

// prefillSpeed returns the measured prompt tokens per second, or a default if there is no measurement. For an idle
// target it is at least the default, because without work no new measurement can show the end of a slow period.
func (s *targetState) prefillSpeed() float64 {
	if s.load.Cold && s.load.PrefillSpeed == 0 {
		return coldPrefillSpeed
	}
	if s.load.PrefillSpeed == 0 || s.idle() {
		return max(s.load.PrefillSpeed, defaultPrefillSpeed)
	}
	return s.load.PrefillSpeed
}

// idle reports whether the target, as far as this entry knows, runs no request.
func (s *targetState) idle() bool { return s.load.Running == 0 && len(s.unreported) == 0 }

// interTokenLatency returns the milliseconds between two output tokens, or 0 for an idle target, whose last measurement
// is out of date.
func (s *targetState) interTokenLatency() float64 {
	if s.idle() {
		return 0
	}
	return s.load.InterTokenLatency
}

// uncachedTokens estimates how many prompt tokens the target has to compute, from the prefixes that this entry has sent
// to it before. Unlike ComputeTokens it does not treat the home specially.
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
			// The cache may have been lost since the dispatch.
			cached += request.BlockTokens / staleHitDivisor
		}
	}
	return max(request.Prompt-cached, 0)
}

// hasCached reports whether the target has probably cached the prompt's first block.
func (t *LoadTable) hasCached(id lovageshift.TargetID, request Request) bool {
	return len(request.Prefixes) > 0 && t.state(id).prefixes.Contains(request.Prefixes[0])
}
