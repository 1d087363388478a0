package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/engine"
)

const (
	bytesPerToken      = 4
	blockTokens        = 64
	prefillChunkTokens = 512
	// resumeWindow is how long a stream can be resumed after its connection broke.
	resumeWindow = 2 * time.Second
)

// Profile describes the speed, the limits and the abilities of a stand-in engine.
type Profile struct {
	PrefillTokensPerSecond float64       // prompt tokens that a warm engine computes per second
	StepMillis             float64       // fixed part of the time that a step takes, in milliseconds
	StepMillisPerRequest   float64       // time that each decoding request adds to a step, in milliseconds
	MaxBatch               int           // requests in the batch; further ones wait in the engine's queue
	CacheBlocks            int           // capacity of the prefix cache in blocks of 64 tokens
	ColdLimit              int           // concurrent requests that a cold engine sustains at first; 0: it starts warm
	ColdPrefillSlowdown    float64       // factor by which a cold engine's prefill is slower
	WarmAfterRequests      int           // completed answers after which a cold engine is warm
	CrashOnOverload        bool          // a cold engine crashes on a request beyond those it sustains
	ReportMaxAge           time.Duration // a load report is served until it has this age, then renewed
	CanResume              bool          // the engine continues a stream whose connection broke
	ChecksFencing          bool          // the engine refuses stale orders (see Stats.StaleOrders)
	WeightLoadsPerSecond   int           // orders per second that the weight store serves; 0: no limit
}

// maxInterTokenMillis is the highest acceptable inter-token latency.
const maxInterTokenMillis = 30

// ConcurrencyWithinLatencyLimit returns how many requests, up to MaxBatch, an engine can decode at once with an
// inter-token latency of at most 30 ms while it computes no prefill.
func (p Profile) ConcurrencyWithinLatencyLimit() int {
	return min(int((maxInterTokenMillis-p.StepMillis)/p.StepMillisPerRequest), p.MaxBatch)
}

// FastProfile returns the profile of an engine on the newer hardware generation.
func FastProfile() Profile {
	return Profile{
		PrefillTokensPerSecond: 12000, StepMillis: 8, StepMillisPerRequest: 0.5, MaxBatch: 32, CacheBlocks: 2000,
		ColdLimit: 2, ColdPrefillSlowdown: 5, WarmAfterRequests: 16, ReportMaxAge: time.Second,
		CanResume: true, ChecksFencing: true,
	}
}

// SlowProfile returns the profile of an engine on the older hardware generation.
func SlowProfile() Profile {
	profile := FastProfile()
	profile.PrefillTokensPerSecond = 5000
	profile.StepMillis = 14
	profile.StepMillisPerRequest = 0.9
	profile.CanResume = false
	profile.ChecksFencing = false
	return profile
}

// Stats are the counters of an engine since its creation; crashes do not reset them.
type Stats struct {
	Requests               int                // completion requests that were queued or crashed the engine
	Completed              int                // answers computed to the end
	PrefilledTokens        lovageshift.Tokens // prompt tokens computed, without cached ones
	CachedTokens           lovageshift.Tokens // prompt tokens found in the prefix cache
	WastedPrefillTokens    lovageshift.Tokens // prompt tokens computed for answers cancelled or lost in a crash
	AvoidablePrefillTokens lovageshift.Tokens // prompt tokens computed that another engine, not busy, had cached
	OutputTokens           lovageshift.Tokens
	ColdOverloads          int // requests beyond those that the cold engine sustained
	Crashes                int
	LeakedKeys             int // requests that contained an API key (see countLeakedKeys)
	StaleOrders            int // orders whose fencing number was not above that of the last accepted order
	PeakConcurrency        int // largest number of requests in queue and batch at once
}

// sequence is one request in the queue or in the batch. Token counts and numbers refer to this request.
type sequence struct {
	id           string // stream id
	tag          string // of the prompt, see PromptTag
	blocks       []uint64
	promptTokens lovageshift.Tokens
	prefilled    lovageshift.Tokens // prompt tokens that are computed so far or were cached
	cachedTokens lovageshift.Tokens
	outputTokens int
	emitted      int             // number of the last emitted token
	tokenNumbers chan int        // numbers of the emitted tokens, from 1; closed after the last
	cancelled    <-chan struct{} // closed when the HTTP request ends or is cancelled
}

// Engine is a stand-in for a model engine. It computes in steps: each step advances the prefills of the batch by up to
// 512 tokens in all, and emits a token for every request in the batch whose prefill is complete. An engine that is cold
// prefills more slowly and sustains fewer requests at once. It is safe for concurrent use.
type Engine struct {
	name    string
	profile Profile

	mutex              sync.Mutex
	incarnation        int
	batch              []*sequence
	queue              []*sequence
	cache              *prefixCache
	stepping           bool // a step is scheduled or running
	stopped            context.Context
	cold               bool
	completedSinceCold int     // answers completed since the engine last became cold
	slowdown           float64 // factor on the time of every step
	hung               bool
	crashText          string // see CrashOn
	fault              EngineFault
	stats              Stats
	report             engine.LoadReport // the last load report, served until it is Profile.ReportMaxAge old
	reportedAt         time.Time
	order              engine.Order         // the last accepted order
	lastWeightLoad     time.Time            // when the last order was accepted
	streams            map[string]*sequence // by stream id: unfinished requests and streams to resume
	crash              func()               // set by AttachHost
	cacheIndex         *CacheIndex
}

// EngineFault is what an engine does wrong in its answers to completion requests.
type EngineFault int

// Faults of an engine. The faults that affect the third token have no effect on an answer with fewer tokens.
const (
	// EngineFaultNone answers correctly.
	EngineFaultNone EngineFault = iota
	// EngineFaultMalformed answers with text that is neither JSON nor a valid event stream.
	EngineFaultMalformed
	// EngineFaultTooLarge answers with 64 MiB of events.
	EngineFaultTooLarge
	// EngineFaultNoResponse sends nothing until the request is cancelled.
	EngineFaultNoResponse
	// EngineFaultTruncate aborts the connection of every answer instead of sending its third token.
	EngineFaultTruncate
	// EngineFaultServerError answers with status 500 and does not run the request.
	EngineFaultServerError
	// EngineFaultTruncateOnce aborts the connection of one answer instead of sending its third token. The engine then
	// returns to EngineFaultNone.
	EngineFaultTruncateOnce
	// EngineFaultNoEndMarker ends every stream before its third token: the HTTP response is complete, but the stream's
	// end marker is missing. Answers that are not streamed are correct.
	EngineFaultNoEndMarker
	// EngineFaultEndlessEvent answers with a stream of one event, of which it sends 64 MiB.
	EngineFaultEndlessEvent
	// EngineFaultEndlessComments answers with a stream of 64 MiB of comments.
	EngineFaultEndlessComments
)

// NewEngine returns an engine, which starts cold if its profile has a ColdLimit. Its stream ids begin with its name. It
// does not crash before AttachHost is called.
func NewEngine(name string, profile Profile) *Engine {
	e := &Engine{
		name: name, profile: profile, slowdown: 1, stopped: context.Background(),
		streams: map[string]*sequence{}, crash: func() {},
	}
	e.restart()
	return e
}

// restart begins a new incarnation with an empty queue, batch and cache, as a new process would. The mutex must be
// held, except in NewEngine.
func (e *Engine) restart() {
	e.incarnation++
	e.batch, e.queue = nil, nil
	e.emptyCache()
	e.cold = e.profile.ColdLimit > 0
	e.completedSinceCold = 0
	clear(e.streams)
}

// ResetToCold makes the engine cold and empties its cache, but keeps its incarnation, from which an agent would notice
// a restart.
func (e *Engine) ResetToCold() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cold, e.completedSinceCold = true, 0
	e.emptyCache()
}

// emptyCache replaces the prefix cache by an empty one.
func (e *Engine) emptyCache() {
	e.cacheIndex.removeEngine(e.name)
	e.cache = newPrefixCache(e.profile.CacheBlocks)
	e.cache.onChange = func(block uint64, held bool) { e.cacheIndex.set(e.name, block, held) }
}

// SetCacheIndex sets the index in which the engine records the blocks that it caches from now on, and looks up those of
// other engines.
func (e *Engine) SetCacheIndex(index *CacheIndex) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cacheIndex = index
}

// SetWarm makes the engine warm at once.
func (e *Engine) SetWarm() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cold = false
}

// SetSlowdown makes every further step take factor times as long as the profile says.
func (e *Engine) SetSlowdown(factor float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.slowdown = factor
}

// SetHung stops the computation of answers, or lets it continue. A hung engine still accepts requests and orders and
// serves its reports.
func (e *Engine) SetHung(hung bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.hung = hung
}

// CrashOn makes the engine crash on each completion request whose body contains the text; "" ends this.
func (e *Engine) CrashOn(text string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crashText = text
}

// SetFault sets the fault. The faults at the third token also apply to running answers that have not reached it.
func (e *Engine) SetFault(fault EngineFault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fault = fault
}

// Stats returns the counters.
func (e *Engine) Stats() Stats {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.stats
}

// coldCapacity returns how many concurrent requests the cold engine sustains: the ColdLimit, and one more for each
// answer that it completed since it became cold.
func (e *Engine) coldCapacity() int { return e.profile.ColdLimit + e.completedSinceCold }

// enqueue adds a request to the queue. It returns false, and adds nothing, if the request is to crash the engine.
func (e *Engine) enqueue(request *completionRequest, cancelled <-chan struct{}) (*sequence, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stats.Requests++
	concurrent := len(e.batch) + len(e.queue) + 1
	e.stats.PeakConcurrency = max(e.stats.PeakConcurrency, concurrent)
	if e.cold && concurrent > e.coldCapacity() {
		e.stats.ColdOverloads++
		if e.profile.CrashOnOverload {
			return nil, false
		}
	}
	if e.crashText != "" && request.contains(e.crashText) {
		return nil, false
	}
	seq := &sequence{
		id: fmt.Sprintf("%s-%d-%d", e.name, e.incarnation, e.stats.Requests), tag: request.tag(),
		blocks: request.blocks(), promptTokens: request.promptTokens(), outputTokens: request.outputTokens(),
		tokenNumbers: make(chan int, request.outputTokens()+1), cancelled: cancelled,
	}
	e.queue = append(e.queue, seq)
	e.streams[seq.id] = seq
	if !e.stepping {
		e.stepping = true
		time.AfterFunc(0, e.step)
	}
	return seq, true
}

// step fills the batch from the queue and computes one step. It schedules the next step unless the batch is empty.
func (e *Engine) step() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.hung {
		time.AfterFunc(10*time.Millisecond, e.step)
		return
	}
	e.dropCancelled()
	for len(e.queue) > 0 && len(e.batch) < e.profile.MaxBatch {
		e.admit(e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.batch) == 0 {
		e.stepping = false
		e.cacheIndex.setBusy(e.name, false)
		return
	}
	incarnation := e.incarnation
	duration := e.computeStep()
	time.AfterFunc(duration, func() {
		e.finishStep(incarnation)
		e.step()
	})
}

// admit adds a sequence to the batch after looking up its prompt in the prefix cache. At least one token of the prompt
// is always computed.
func (e *Engine) admit(seq *sequence) {
	hits := e.cache.hits(seq.blocks)
	seq.cachedTokens = min(lovageshift.Tokens(hits*blockTokens), seq.promptTokens-1)
	seq.prefilled = seq.cachedTokens
	e.cacheIndex.setBusy(e.name, 2*(len(e.batch)+len(e.queue)) > e.profile.ConcurrencyWithinLatencyLimit())
	e.stats.AvoidablePrefillTokens += lovageshift.Tokens(
		max(e.cacheIndex.longestPrefixElsewhere(e.name, seq.blocks)-hits, 0) * blockTokens)
	e.batch = append(e.batch, seq)
	e.stats.CachedTokens += seq.cachedTokens
}

// computeStep advances the prefills of the batch, in its order, by up to 512 tokens in all. It returns how long the
// step takes.
func (e *Engine) computeStep() time.Duration {
	budget := lovageshift.Tokens(prefillChunkTokens)
	var total lovageshift.Tokens
	decoding := 0
	for _, seq := range e.batch {
		if seq.prefilled == seq.promptTokens {
			decoding++
			continue
		}
		n := min(seq.promptTokens-seq.prefilled, budget)
		seq.prefilled += n
		budget -= n
		total += n
	}
	e.stats.PrefilledTokens += total
	rate := e.profile.PrefillTokensPerSecond
	if e.cold {
		rate /= e.profile.ColdPrefillSlowdown
	}
	millis := e.profile.StepMillis + e.profile.StepMillisPerRequest*float64(decoding)
	millis += float64(total) / rate * 1000
	return time.Duration(millis * e.slowdown * float64(time.Millisecond))
}

// finishStep emits a token for every sequence of the batch whose prefill is complete, and removes the sequences that
// are complete. It does nothing if the step began in an earlier incarnation.
func (e *Engine) finishStep(incarnation int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if incarnation != e.incarnation {
		return
	}
	kept := e.batch[:0]
	for _, seq := range e.batch {
		if seq.prefilled < seq.promptTokens {
			kept = append(kept, seq)
			continue
		}
		if seq.emitted == 0 {
			e.cache.add(seq.blocks)
		}
		seq.emitted++
		e.stats.OutputTokens++
		seq.tokenNumbers <- seq.emitted
		if seq.emitted < seq.outputTokens {
			kept = append(kept, seq)
			continue
		}
		close(seq.tokenNumbers)
		e.recordCompletion()
	}
	e.batch = kept
}

// recordCompletion counts a completed answer and makes a cold engine warm after the profile's number of them.
func (e *Engine) recordCompletion() {
	e.stats.Completed++
	e.completedSinceCold++
	if e.cold && e.completedSinceCold >= e.profile.WarmAfterRequests {
		e.cold = false
	}
}

// dropCancelled removes from the batch and the queue the sequences whose HTTP request was cancelled.
func (e *Engine) dropCancelled() {
	kept := e.batch[:0]
	for _, seq := range e.batch {
		if isCancelled(seq) {
			e.stats.WastedPrefillTokens += seq.prefilled - seq.cachedTokens
			e.removeStreamLater(seq)
			continue
		}
		kept = append(kept, seq)
	}
	e.batch = kept
	waiting := e.queue[:0]
	for _, seq := range e.queue {
		if !isCancelled(seq) {
			waiting = append(waiting, seq)
		}
	}
	e.queue = waiting
}

// removeStreamLater removes an interrupted stream after the 2 s in which it can be resumed, unless it was resumed.
func (e *Engine) removeStreamLater(seq *sequence) {
	time.AfterFunc(resumeWindow, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.streams[seq.id] == seq {
			delete(e.streams, seq.id)
		}
	})
}

func isCancelled(seq *sequence) bool {
	select {
	case <-seq.cancelled:
		return true
	default:
		return false
	}
}

// resetAfterCrash counts a crash and begins a new incarnation.
func (e *Engine) resetAfterCrash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stats.Crashes++
	for _, seq := range e.batch {
		e.stats.WastedPrefillTokens += seq.prefilled - seq.cachedTokens
	}
	e.restart()
}
