package admission

import (
	"slices"

	"lovageshift"
)

const (
	// Prompt tokens that may be in prefill at once, as milliseconds of work at the engine's measured prefill speed.
	prefillBudgetMillis = 300
	// An output token counts as this many prompt tokens in the service that an account has had.
	outputWeight = 4
	// Weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.1
	// Above this number of accounts, those with no more service than the floor are dropped.
	maxServedAccounts = 4096
)

// Request is one request at a target, from its arrival in the queue until it finishes: first it waits, then it runs.
type Request struct {
	ID           lovageshift.DispatchID
	Account      lovageshift.AccountID
	Rank         lovageshift.Rank
	PromptTokens lovageshift.Tokens
	// ComputeTokens is the part of the prompt that the target probably has to compute, as it isn't in its prefix cache.
	ComputeTokens lovageshift.Tokens
	OutputLimit   lovageshift.Tokens
	Fingerprint   lovageshift.Fingerprint
	// Deadline is when the first token is due, in milliseconds of the agent's clock.
	Deadline lovageshift.Millis
	// Alone keeps every other request out while this one runs.
	Alone bool

	arrivedAt    lovageshift.Millis
	admittedAt   lovageshift.Millis
	epoch        Epoch
	prefillAhead lovageshift.Tokens // prompt tokens in prefill at admission, this request's included, cached or not
	firstTokenAt lovageshift.Millis
	prefillAlone bool // no other prompt was in prefill at the same time
	prefilling   bool
	running      bool
	waiting      bool
}

// Running reports whether the request has been admitted and not finished.
func (w *Request) Running() bool { return w.running }

// Admitted returns when the request was admitted, in milliseconds of the agent's clock.
func (w *Request) Admitted() lovageshift.Millis { return w.admittedAt }

// Queue holds the requests that wait for one target and those that run on it. It admits the highest tier first and,
// within a tier, the account that has been served least.
type Queue struct {
	limiter          *ConcurrencyLimiter
	maxWaiting       int
	waiting          []*Request
	running          map[*Request]bool
	computeInPrefill lovageshift.Tokens // in prefill and probably to be computed
	promptInPrefill  lovageshift.Tokens // in prefill, cached or not
	// Weighted tokens served to each account, and the least that an account starts with when it becomes active.
	served          map[lovageshift.AccountID]float64
	servedFloor     float64
	meanServiceTime float64 // milliseconds from admission to the end
	passThrough     bool
}

// Result is the outcome of a request that has run.
type Result struct {
	// Complete is true if the whole answer was delivered. If not, only OutputTokens counts.
	Complete     bool
	OutputTokens lovageshift.Tokens
	// ComputedTokens is the number of prompt tokens that the target reports to have computed, or 0 if it doesn't report it.
	ComputedTokens lovageshift.Tokens
}

// NewQueue returns an empty queue of up to maxWaiting requests for the target whose concurrency the limiter bounds.
func NewQueue(limiter *ConcurrencyLimiter, maxWaiting int) *Queue {
	return &Queue{
		limiter:    limiter,
		maxWaiting: maxWaiting,
		running:    map[*Request]bool{},
		served:     map[lovageshift.AccountID]float64{},
	}
}

// NewPassThroughQueue returns a queue that admits every request at once, as a plain load balancer would. It is the
// baseline for comparisons.
func NewPassThroughQueue(limiter *ConcurrencyLimiter) *Queue {
	queue := NewQueue(limiter, 0)
	queue.passThrough = true
	return queue
}

// SetMaxWaiting changes how many requests may wait.
func (q *Queue) SetMaxWaiting(maxWaiting int) { q.maxWaiting = maxWaiting }

// Enqueue adds a request to the queue. If the queue is full it returns the waiting request that was displaced, or a
// refusal of the new one if none has to give way to it.
func (q *Queue) Enqueue(now lovageshift.Millis, waiter *Request) (*Request, *lovageshift.Refusal) {
	waiter.arrivedAt = now
	if !q.passThrough && len(q.waiting) >= q.maxWaiting && !q.startable(now, waiter) {
		victim := q.victimFor(waiter)
		if victim == nil {
			return nil, q.shedRefusal(waiter)
		}
		q.remove(victim)
		q.push(waiter)
		return victim, nil
	}
	q.push(waiter)
	return nil, nil
}

func (q *Queue) push(waiter *Request) {
	q.raiseServed(waiter.Account)
	waiter.waiting = true
	q.waiting = append(q.waiting, waiter)
}

func (q *Queue) shedRefusal(waiter *Request) *lovageshift.Refusal {
	refusal := lovageshift.NotRun(lovageshift.ReasonShed, "all that waits here is of the same or a higher tier")
	return refusal.WithRetryAfter(q.EstimatedWait(waiter.Rank))
}

// victimFor returns the waiting request that an arrival displaces: the newest of the lowest tier, if that is below the
// arrival's, or else the newest of the account with the most waiting requests in the same tier, if it has at least two
// more than the arrival's account. It returns nil if there is none.
func (q *Queue) victimFor(arrival *Request) *Request {
	var lowest *Request
	counts := map[lovageshift.AccountID]int{}
	for _, waiter := range q.waiting {
		if waiter.Rank > arrival.Rank && (lowest == nil || waiter.Rank >= lowest.Rank) {
			lowest = waiter
		}
		if waiter.Rank == arrival.Rank {
			counts[waiter.Account]++
		}
	}
	if lowest != nil {
		return lowest
	}
	var mostQueued *Request
	for _, waiter := range q.waiting {
		outnumbers := waiter.Rank == arrival.Rank && counts[waiter.Account] > counts[arrival.Account]+1
		if outnumbers && (mostQueued == nil || counts[waiter.Account] >= counts[mostQueued.Account]) {
			mostQueued = waiter
		}
	}
	return mostQueued
}

// Admit starts every request that can run now. It returns those, and the waiting requests that it dropped because their
// first token can't meet its deadline any more.
func (q *Queue) Admit(now lovageshift.Millis) (started, dropped []*Request) {
	dropped = q.dropOverdue(now)
	for {
		next := q.next()
		if next == nil || !q.startable(now, next) {
			return started, dropped
		}
		q.start(now, next)
		started = append(started, next)
	}
}

func (q *Queue) dropOverdue(now lovageshift.Millis) []*Request {
	if q.passThrough {
		return nil
	}
	var overdue []*Request
	for _, waiter := range q.waiting {
		if now+q.prefillTime(waiter.ComputeTokens) > waiter.Deadline {
			overdue = append(overdue, waiter)
		}
	}
	for _, waiter := range overdue {
		q.remove(waiter)
	}
	return overdue
}

func (q *Queue) prefillTime(prompt lovageshift.Tokens) lovageshift.Millis {
	speed := q.limiter.PrefillSpeed()
	if speed == 0 || q.limiter.Cold() {
		return 0
	}
	return lovageshift.Millis(float64(prompt) / speed * 1000)
}

// next returns the waiting request to start next: of the highest tier, the one whose account has been served least.
func (q *Queue) next() *Request {
	var best *Request
	for _, waiter := range q.waiting {
		if best == nil || q.precedes(waiter, best) {
			best = waiter
		}
	}
	return best
}

func (q *Queue) precedes(a, b *Request) bool {
	if q.passThrough || a.Rank != b.Rank {
		return !q.passThrough && a.Rank < b.Rank
	}
	return q.served[a.Account] < q.served[b.Account]
}

func (q *Queue) startable(now lovageshift.Millis, waiter *Request) bool {
	if q.passThrough {
		return true
	}
	if len(q.running) >= q.limiter.Limit() || now > waiter.Deadline {
		return false
	}
	if waiter.Alone && len(q.running) > 0 {
		return false
	}
	for other := range q.running {
		if other.Alone {
			return false
		}
	}
	return q.withinPrefillBudget(waiter)
}

// withinPrefillBudget reports whether the prompt can be prefilled soon. If not, the request stays in the queue, where
// tiers decide the order; in the engine they don't.
func (q *Queue) withinPrefillBudget(waiter *Request) bool {
	if q.computeInPrefill == 0 || q.limiter.PrefillSpeed() == 0 {
		return true
	}
	budget := lovageshift.Tokens(q.limiter.PrefillSpeed() * prefillBudgetMillis / 1000)
	return q.computeInPrefill+waiter.ComputeTokens <= budget
}

func (q *Queue) start(now lovageshift.Millis, waiter *Request) {
	q.remove(waiter)
	waiter.running = true
	waiter.admittedAt = now
	waiter.epoch = q.limiter.Epoch()
	waiter.prefillAlone = q.promptInPrefill == 0
	if !waiter.prefillAlone {
		q.markPrefillShared()
	}
	q.computeInPrefill += waiter.ComputeTokens
	q.promptInPrefill += waiter.PromptTokens
	waiter.prefillAhead = q.promptInPrefill
	waiter.prefilling = true
	q.running[waiter] = true
	q.served[waiter.Account] += float64(waiter.PromptTokens)
}

// FirstToken records a running request's first token and reports whether it shows that the engine is cold.
func (q *Queue) FirstToken(now lovageshift.Millis, waiter *Request) bool {
	if !waiter.prefilling {
		return false
	}
	q.endPrefill(waiter)
	waiter.firstTokenAt = now
	return q.limiter.ObserveFirstToken(waiter.prefillAhead, now-waiter.admittedAt)
}

// Decoding returns how many running requests have had their first token.
func (q *Queue) Decoding() int {
	decoding := 0
	for waiter := range q.running {
		if !waiter.prefilling {
			decoding++
		}
	}
	return decoding
}

// markPrefillShared records that the prompts in prefill share the engine, so that they give no sample of its speed.
func (q *Queue) markPrefillShared() {
	for waiter := range q.running {
		if waiter.prefilling {
			waiter.prefillAlone = false
		}
	}
}

func (q *Queue) endPrefill(waiter *Request) {
	if waiter.prefilling {
		waiter.prefilling = false
		q.computeInPrefill -= waiter.ComputeTokens
		q.promptInPrefill -= waiter.PromptTokens
	}
}

// Finish removes a running request and records what it showed. It has no effect on a request that isn't running.
func (q *Queue) Finish(now lovageshift.Millis, waiter *Request, result Result) {
	if !waiter.running {
		return
	}
	waiter.running = false
	q.endPrefill(waiter)
	delete(q.running, waiter)
	q.served[waiter.Account] += outputWeight * float64(result.OutputTokens)
	if result.Complete {
		q.meanServiceTime = ewma(q.meanServiceTime, float64(now-waiter.admittedAt), serviceTimeWeight)
		q.limiter.ObserveCompletion(waiter.epoch)
		if waiter.prefillAlone && waiter.firstTokenAt > 0 {
			q.limiter.ObservePrefill(result.ComputedTokens, waiter.firstTokenAt-waiter.admittedAt)
		}
	}
	q.trimServed()
}

// Withdraw removes a waiting request. It reports whether the request was waiting, that is, had not started.
func (q *Queue) Withdraw(waiter *Request) bool {
	if !waiter.waiting {
		return false
	}
	q.remove(waiter)
	return true
}

func (q *Queue) remove(waiter *Request) {
	waiter.waiting = false
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Request) bool { return other == waiter })
}

// Waiting returns the waiting requests, oldest first. The slice is valid until the queue changes.
func (q *Queue) Waiting() []*Request { return q.waiting }

// Running returns how many requests run.
func (q *Queue) Running() int { return len(q.running) }

// RunningRequests returns the running requests, in no order.
func (q *Queue) RunningRequests() []*Request {
	waiters := make([]*Request, 0, len(q.running))
	for waiter := range q.running {
		waiters = append(waiters, waiter)
	}
	return waiters
}

// QueuedPromptTokens returns the prompt tokens to be computed of the requests that wait or are in prefill.
func (q *Queue) QueuedPromptTokens() lovageshift.Tokens {
	queued := q.computeInPrefill
	for _, waiter := range q.waiting {
		queued += waiter.ComputeTokens
	}
	return queued
}

// LeastUrgentRank returns the rank of the least urgent waiting request, or 0 if none waits.
func (q *Queue) LeastUrgentRank() lovageshift.Rank {
	var lowest lovageshift.Rank
	for _, waiter := range q.waiting {
		lowest = max(lowest, waiter.Rank)
	}
	return lowest
}

// EstimatedWait returns about how many milliseconds an arrival of the rank would wait for a slot.
func (q *Queue) EstimatedWait(rank lovageshift.Rank) lovageshift.Millis {
	ahead := 0
	for _, waiter := range q.waiting {
		if waiter.Rank <= rank {
			ahead++
		}
	}
	free := q.limiter.Limit() - len(q.running)
	if ahead < free {
		return 0
	}
	turnover := q.meanServiceTime / float64(max(q.limiter.Limit(), 1))
	return lovageshift.Millis(float64(ahead-free+1) * turnover)
}

// MeanServiceTime returns the moving average of the milliseconds that a request runs, over complete answers.
func (q *Queue) MeanServiceTime() float64 { return q.meanServiceTime }

// raiseServed raises the service counted for an idle account to the least of any active one, so that being idle earns it
// no precedence later.
func (q *Queue) raiseServed(account lovageshift.AccountID) {
	active := map[lovageshift.AccountID]bool{}
	for _, waiter := range q.waiting {
		active[waiter.Account] = true
	}
	for waiter := range q.running {
		active[waiter.Account] = true
	}
	if active[account] {
		return
	}
	first := true
	for other := range active {
		if first || q.served[other] < q.servedFloor {
			q.servedFloor = q.served[other]
			first = false
		}
	}
	q.served[account] = max(q.served[account], q.servedFloor)
}

// trimServed drops the accounts that have had no more service than the floor, once too many are known.
func (q *Queue) trimServed() {
	if len(q.served) <= maxServedAccounts {
		return
	}
	for account, served := range q.served {
		if served <= q.servedFloor {
			delete(q.served, account)
		}
	}
}
