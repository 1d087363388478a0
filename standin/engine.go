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
	resumeWindow       = 2 * time.Second
)

// Profile describes the speed and the abilities of an engine.
type Profile struct {
	PrefillTokensPerSecond float64       // prompt tokens a second of a warm engine with a single request
	StepMillis             float64       // milliseconds of a decode step without requests
	StepMillisPerRequest   float64       // milliseconds that each decoding request adds to a step
	MaxBatch               int           // requests in a batch; further ones wait in the engine's queue
	CacheBlocks            int           // capacity of the prefix cache in blocks of 64 tokens
	ColdLimit              int           // concurrent requests that a cold engine sustains; 0 if it is never cold
	ColdPrefillSlowdown    float64       // factor by which prefill is slower on a cold engine
	WarmAfterRequests      int           // completed answers until a cold engine is warm
	CrashOnOverload        bool          // crash when a cold engine gets more requests than it sustains
	ReportMaxAge           time.Duration // age at which the load report is renewed
	CanResume              bool          // continue a stream whose connection broke
	ChecksFencing          bool          // refuse an order whose fencing number is not above the last one
	WeightLoadsPerSecond   int           // orders that the weight store serves a second; 0 for no limit
}

// maxInterTokenMillis is the users' limit for the inter-token latency.
const maxInterTokenMillis = 30

// ConcurrencyWithinLatencyLimit returns how many concurrent requests keep the inter-token latency within the users'
// limit of 30 ms.
func (p Profile) ConcurrencyWithinLatencyLimit() int {
	return min(int((maxInterTokenMillis-p.StepMillis)/p.StepMillisPerRequest), p.MaxBatch)
}

// FastProfile returns the profile of the newer hardware generation.
func FastProfile() Profile {
	return Profile{
		PrefillTokensPerSecond: 12000, StepMillis: 8, StepMillisPerRequest: 0.5, MaxBatch: 32, CacheBlocks: 2000,
		ColdLimit: 2, ColdPrefillSlowdown: 5, WarmAfterRequests: 16, ReportMaxAge: time.Second,
		CanResume: true, ChecksFencing: true,
	}
}

// SlowProfile returns the profile of the older hardware generation.
func SlowProfile() Profile {
	profile := FastProfile()
	profile.PrefillTokensPerSecond = 5000
	profile.StepMillis = 14
	profile.StepMillisPerRequest = 0.9
	profile.CanResume = false
	profile.ChecksFencing = false
	return profile
}

// Stats are counters of an engine since its creation; crashes do not reset them.
type Stats struct {
	Requests               int                // completion requests received
	Completed              int                // answers computed to the end
	PrefilledTokens        lovageshift.Tokens // computed prompt tokens, without those found in the cache
	CachedTokens           lovageshift.Tokens // prompt tokens found in the cache
	WastedPrefillTokens    lovageshift.Tokens // computed for answers that were cancelled or lost in a crash
	AvoidablePrefillTokens lovageshift.Tokens // computed although another engine without load had them cached
	OutputTokens           lovageshift.Tokens
	ColdOverloads          int // requests beyond what the cold engine sustains
	Crashes                int
	LeakedKeys             int // requests that contained a client's secret
	StaleOrders            int // orders whose fencing number was not above the last one
	PeakConcurrency        int // most requests in queue and batch at once
}

// sequence is one request in the queue or in the batch.
type sequence struct {
	id           string
	tag          string
	blocks       []uint64
	promptTokens lovageshift.Tokens
	prefilled    lovageshift.Tokens // prompt tokens that are computed or were cached
	cachedTokens lovageshift.Tokens
	outputTokens int
	emitted      int
	tokenNumbers chan int // numbers of the emitted tokens, from 1; closed after the last
	cancelled    <-chan struct{}
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	name    string
	profile Profile

	mutex              sync.Mutex
	incarnation        int
	batch              []*sequence
	queue              []*sequence
	cache              *prefixCache
	stepping           bool // a step is scheduled
	stopped            context.Context
	cold               bool
	completedSinceCold int
	slowdown           float64
	hung               bool
	crashText          string
	fault              EngineFault
	stats              Stats
	report             engine.LoadReport // the last one made, served until it is ReportLag old
	reportedAt         time.Time
	order              engine.Order
	lastWeightLoad     time.Time
	streams            map[string]*sequence // by stream id, for resumption
	crash              func()
	cacheIndex         *CacheIndex
}

// EngineFault is a kind of wrong answer.
type EngineFault int

// Faults of an engine.
const (
	EngineFaultNone EngineFault = iota
	// EngineFaultMalformed answers with text that is neither JSON nor a valid event stream.
	EngineFaultMalformed
	// EngineFaultTooLarge answers with 64 MiB of events.
	EngineFaultTooLarge
	// EngineFaultNoResponse never answers.
	EngineFaultNoResponse
	// EngineFaultTruncate cuts the connection of every answer before its third token.
	EngineFaultTruncate
	// EngineFaultServerError answers with status 500.
	EngineFaultServerError
	// EngineFaultTruncateOnce cuts the connection of one answer before its third token.
	EngineFaultTruncateOnce
	// EngineFaultNoEndMarker ends a stream before its third token like a complete one, but without the end marker.
	EngineFaultNoEndMarker
)

// NewEngine returns an engine, which is cold if its profile has a ColdLimit. Its name prefixes its stream ids.
func NewEngine(name string, profile Profile) *Engine {
	e := &Engine{
		name: name, profile: profile, slowdown: 1, stopped: context.Background(),
		streams: map[string]*sequence{}, crash: func() {},
	}
	e.restart()
	return e
}

// restart begins a new incarnation with an empty queue, batch and cache, as a new process would. Callers hold the
// mutex, except NewEngine.
func (e *Engine) restart() {
	e.incarnation++
	e.batch, e.queue = nil, nil
	e.emptyCache()
	e.cold = e.profile.ColdLimit > 0
	e.completedSinceCold = 0
	clear(e.streams)
}

// ResetToCold makes the engine cold and empties its cache without notice: the incarnation stays the same.
func (e *Engine) ResetToCold() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cold, e.completedSinceCold = true, 0
	e.emptyCache()
}

func (e *Engine) emptyCache() {
	e.cacheIndex.removeEngine(e.name)
	e.cache = newPrefixCache(e.profile.CacheBlocks)
	e.cache.onChange = func(block uint64, held bool) { e.cacheIndex.set(e.name, block, held) }
}

// SetCacheIndex sets the index in which the engine records its cached blocks and looks up those of other engines.
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

// SetSlowdown makes every step take factor times as long as the profile says.
func (e *Engine) SetSlowdown(factor float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.slowdown = factor
}

// SetHung stops all progress, or lets it continue.
func (e *Engine) SetHung(hung bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.hung = hung
}

// CrashOn makes the engine crash on each request whose body contains the text; "" turns it off.
func (e *Engine) CrashOn(text string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.crashText = text
}

// SetFault sets the fault of all further answers.
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

// coldCapacity returns how many concurrent requests a cold engine sustains: the ColdLimit, and one more for each answer
// completed since it became cold.
func (e *Engine) coldCapacity() int { return e.profile.ColdLimit + e.completedSinceCold }

// enqueue adds a request to the queue; it reports false if the request crashes the engine.
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

// step computes one step of the batch and schedules the next; it ends when the batch is empty.
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
		e.cacheIndex.setLoaded(e.name, false)
		return
	}
	incarnation := e.incarnation
	duration := e.computeStep()
	time.AfterFunc(duration, func() {
		e.finishStep(incarnation)
		e.step()
	})
}

// admit moves a sequence into the batch after looking up its prompt in the prefix cache.
func (e *Engine) admit(seq *sequence) {
	hits := e.cache.hits(seq.blocks)
	seq.cachedTokens = min(lovageshift.Tokens(hits*blockTokens), seq.promptTokens-1)
	seq.prefilled = seq.cachedTokens
	e.cacheIndex.setLoaded(e.name, 2*(len(e.batch)+len(e.queue)) > e.profile.ConcurrencyWithinLatencyLimit())
	e.stats.AvoidablePrefillTokens += lovageshift.Tokens(
		max(e.cacheIndex.longestPrefixElsewhere(e.name, seq.blocks)-hits, 0) * blockTokens)
	e.batch = append(e.batch, seq)
	e.stats.CachedTokens += seq.cachedTokens
}

// computeStep advances prefills by one chunk of 512 tokens in all and returns how long the step takes.
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

// finishStep emits a token for every sequence whose prefill is complete; it ignores a step of an earlier incarnation.
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

// recordCompletion counts a completed answer and makes the engine warm after enough of them.
func (e *Engine) recordCompletion() {
	e.stats.Completed++
	e.completedSinceCold++
	if e.cold && e.completedSinceCold >= e.profile.WarmAfterRequests {
		e.cold = false
	}
}

// dropCancelled removes sequences whose client has gone away from the batch and the queue.
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

// removeStreamLater removes an interrupted stream after the 2 s during which it can be resumed.
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

// resetAfterCrash counts a crash and restarts the engine empty.
func (e *Engine) resetAfterCrash() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stats.Crashes++
	for _, seq := range e.batch {
		e.stats.WastedPrefillTokens += seq.prefilled - seq.cachedTokens
	}
	e.restart()
}
