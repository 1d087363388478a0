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
	bytesPerToken = 4
	blockTokens   = 64
	prefillChunk  = 512
	resumeWindow  = 2 * time.Second
)

// Profile is what an engine can do.
type Profile struct {
	PrefillTokensPerSecond float64 // prompt tokens a second, warm and alone
	StepMillis             float64 // milliseconds of a decode step with nothing running
	StepMillisPerRequest   float64 // milliseconds that each running request adds to a step
	MaxBatch               int     // requests computed together; more wait inside
	CacheBlocks            int     // blocks of 64 tokens that the prefix cache holds
	ColdLimit              int     // requests that it bears at once when cold; 0 for an engine that is never cold
	ColdFactor             float64 // how many times slower a cold prefill is
	WarmAfterRequests      int     // whole answers until it is warm
	CrashOnOverload        bool
	ReportLag              time.Duration
	CanResume              bool
	ChecksFencing          bool
	WeightLoadsPerSecond   int // orders the weight store serves a second; 0 for no limit
}

// comfortableGap is the milliseconds between tokens that the users' limits allow.
const comfortableGap = 30

// ConcurrencyWithinLatencyLimit returns how many requests at once keep the gap between tokens within the users' limit.
func (p Profile) ConcurrencyWithinLatencyLimit() int {
	return min(int((comfortableGap-p.StepMillis)/p.StepMillisPerRequest), p.MaxBatch)
}

// FastProfile is the newer hardware generation.
func FastProfile() Profile {
	return Profile{
		PrefillTokensPerSecond: 12000, StepMillis: 8, StepMillisPerRequest: 0.5, MaxBatch: 32, CacheBlocks: 2000,
		ColdLimit: 2, ColdFactor: 5, WarmAfterRequests: 16, ReportLag: time.Second, CanResume: true, ChecksFencing: true,
	}
}

// SlowProfile is the older hardware generation.
func SlowProfile() Profile {
	profile := FastProfile()
	profile.PrefillTokensPerSecond = 5000
	profile.StepMillis = 14
	profile.StepMillisPerRequest = 0.9
	profile.CanResume = false
	profile.ChecksFencing = false
	return profile
}

// Stats is what an engine has seen.
type Stats struct {
	Requests               int
	Completed              int
	PrefilledTokens        lovageshift.Tokens // computed, without cached ones
	CachedTokens           lovageshift.Tokens
	WastedPrefillTokens    lovageshift.Tokens // computed for answers that nobody got whole
	AvoidablePrefillTokens lovageshift.Tokens // computed though an unloaded other engine had them cached
	OutputTokens           lovageshift.Tokens
	ColdOverloads          int
	Crashes                int
	LeakedKeys             int
	StaleOrders            int
	PeakConcurrency        int
}

// sequence is one request in the batch.
type sequence struct {
	id       string
	tag      string
	blocks   []uint64
	prompt   lovageshift.Tokens
	computed lovageshift.Tokens
	cached   lovageshift.Tokens
	output   int
	emitted  int
	tokens   chan int
	gone     <-chan struct{}
}

// Engine is a stand-in model engine.
type Engine struct {
	name    string
	profile Profile

	mutex       sync.Mutex
	incarnation int
	batch       []*sequence
	queue       []*sequence
	cache       *prefixCache
	stepping    bool
	stopped     context.Context
	cold        bool
	sinceCold   int
	slow        float64
	hang        bool
	poison      string
	fault       Fault
	stats       Stats
	report      engine.LoadReport
	reportedAt  time.Time
	order       engine.Order
	lastLoad    time.Time
	streams     map[string]*sequence
	crash       func()
	registry    *CacheIndex
}

// Fault is a way to answer wrongly.
type Fault int

// The faults.
const (
	FaultNone Fault = iota
	FaultMalformed
	FaultTooLarge
	FaultNoResponse
	FaultTruncate
	FaultError
	FaultTruncateOnce
	FaultNoEndMarker
)

// NewEngine returns an engine that is cold, when its profile knows cold.
func NewEngine(name string, profile Profile) *Engine {
	e := &Engine{
		name: name, profile: profile, slow: 1, stopped: context.Background(),
		streams: map[string]*sequence{}, crash: func() {},
	}
	e.restart()
	return e
}

// restart empties the engine as a new process would be.
func (e *Engine) restart() {
	e.incarnation++
	e.batch, e.queue = nil, nil
	e.emptyCache()
	e.cold = e.profile.ColdLimit > 0
	e.sinceCold = 0
	clear(e.streams)
}

// ResetToCold makes the engine cold without any warning.
func (e *Engine) ResetToCold() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cold, e.sinceCold = true, 0
	e.emptyCache()
}

func (e *Engine) emptyCache() {
	e.registry.forget(e.name)
	e.cache = newPrefixCache(e.profile.CacheBlocks)
	e.cache.changed = func(block uint64, held bool) { e.registry.note(e.name, block, held) }
}

// SetCacheIndex lets the engine's registry compare its cache with those of others.
func (e *Engine) SetCacheIndex(registry *CacheIndex) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.registry = registry
}

// SetWarm makes the engine warm at once.
func (e *Engine) SetWarm() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.cold = false
}

// SetSlowdown makes every step take factor times as long.
func (e *Engine) SetSlowdown(factor float64) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.slow = factor
}

// SetHung stops all progress, or lets it go on.
func (e *Engine) SetHung(hang bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.hang = hang
}

// CrashOn crashes the engine at each request whose body holds the text.
func (e *Engine) CrashOn(text string) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.poison = text
}

// SetFault makes answers faulty from now on.
func (e *Engine) SetFault(fault Fault) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.fault = fault
}

// Stats returns what the engine has seen.
func (e *Engine) Stats() Stats {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.stats
}

// Bears returns how many requests at once a cold engine bears now.
func (e *Engine) bears() int { return e.profile.ColdLimit + e.sinceCold }

// enter takes a request into the engine; it reports false when the engine falls over.
func (e *Engine) enter(ask *completion, gone <-chan struct{}) (*sequence, bool) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stats.Requests++
	together := len(e.batch) + len(e.queue) + 1
	e.stats.PeakConcurrency = max(e.stats.PeakConcurrency, together)
	if e.cold && together > e.bears() {
		e.stats.ColdOverloads++
		if e.profile.CrashOnOverload {
			return nil, false
		}
	}
	if e.poison != "" && ask.holds(e.poison) {
		return nil, false
	}
	seq := &sequence{
		id: fmt.Sprintf("%s-%d-%d", e.name, e.incarnation, e.stats.Requests), tag: ask.tag(),
		blocks: ask.blocks(), prompt: ask.promptTokens(), output: ask.outputTokens(),
		tokens: make(chan int, ask.outputTokens()+1), gone: gone,
	}
	e.queue = append(e.queue, seq)
	e.streams[seq.id] = seq
	if !e.stepping {
		e.stepping = true
		time.AfterFunc(0, e.step)
	}
	return seq, true
}

// step computes one step of the batch and plans the next.
func (e *Engine) step() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.hang {
		time.AfterFunc(10*time.Millisecond, e.step)
		return
	}
	e.dropGone()
	for len(e.queue) > 0 && len(e.batch) < e.profile.MaxBatch {
		e.admit(e.queue[0])
		e.queue = e.queue[1:]
	}
	if len(e.batch) == 0 {
		e.stepping = false
		e.registry.load(e.name, false)
		return
	}
	incarnation := e.incarnation
	took := e.compute()
	time.AfterFunc(took, func() {
		e.finishStep(incarnation)
		e.step()
	})
}

func (e *Engine) admit(seq *sequence) {
	hits := e.cache.hits(seq.blocks)
	seq.cached = min(lovageshift.Tokens(hits*blockTokens), seq.prompt-1)
	seq.computed = seq.cached
	e.registry.load(e.name, 2*(len(e.batch)+len(e.queue)) > e.profile.ConcurrencyWithinLatencyLimit())
	e.stats.AvoidablePrefillTokens += lovageshift.Tokens(max(e.registry.bestElsewhere(e.name, seq.blocks)-hits, 0) * blockTokens)
	e.batch = append(e.batch, seq)
	e.stats.CachedTokens += seq.cached
}

// compute advances prefills by one chunk and returns how long the step takes.
func (e *Engine) compute() time.Duration {
	chunk := lovageshift.Tokens(prefillChunk)
	var prefilled lovageshift.Tokens
	decoding := 0
	for _, seq := range e.batch {
		if seq.computed == seq.prompt {
			decoding++
			continue
		}
		part := min(seq.prompt-seq.computed, chunk)
		seq.computed += part
		chunk -= part
		prefilled += part
	}
	e.stats.PrefilledTokens += prefilled
	rate := e.profile.PrefillTokensPerSecond
	if e.cold {
		rate /= e.profile.ColdFactor
	}
	millis := e.profile.StepMillis + e.profile.StepMillisPerRequest*float64(decoding)
	millis += float64(prefilled) / rate * 1000
	return time.Duration(millis * e.slow * float64(time.Millisecond))
}

// finishStep hands out a token to every request whose prompt is computed.
func (e *Engine) finishStep(incarnation int) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if incarnation != e.incarnation {
		return
	}
	kept := e.batch[:0]
	for _, seq := range e.batch {
		if seq.computed < seq.prompt {
			kept = append(kept, seq)
			continue
		}
		if seq.emitted == 0 {
			e.cache.add(seq.blocks)
		}
		seq.emitted++
		e.stats.OutputTokens++
		seq.tokens <- seq.emitted
		if seq.emitted < seq.output {
			kept = append(kept, seq)
			continue
		}
		close(seq.tokens)
		e.completed()
	}
	e.batch = kept
}

func (e *Engine) completed() {
	e.stats.Completed++
	e.sinceCold++
	if e.cold && e.sinceCold >= e.profile.WarmAfterRequests {
		e.cold = false
	}
}

func (e *Engine) dropGone() {
	kept := e.batch[:0]
	for _, seq := range e.batch {
		if isGone(seq) {
			e.stats.WastedPrefillTokens += seq.computed - seq.cached
			e.forgetLater(seq)
			continue
		}
		kept = append(kept, seq)
	}
	e.batch = kept
	waiting := e.queue[:0]
	for _, seq := range e.queue {
		if !isGone(seq) {
			waiting = append(waiting, seq)
		}
	}
	e.queue = waiting
}

// forgetLater leaves a cut-off stream a while in which it can be resumed.
func (e *Engine) forgetLater(seq *sequence) {
	time.AfterFunc(resumeWindow, func() {
		e.mutex.Lock()
		defer e.mutex.Unlock()
		if e.streams[seq.id] == seq {
			delete(e.streams, seq.id)
		}
	})
}

func isGone(seq *sequence) bool {
	select {
	case <-seq.gone:
		return true
	default:
		return false
	}
}

// die counts a crash and empties the engine.
func (e *Engine) die() {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.stats.Crashes++
	for _, seq := range e.batch {
		e.stats.WastedPrefillTokens += seq.computed - seq.cached
	}
	e.restart()
}
