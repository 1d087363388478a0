package admission

import (
	"slices"

	"lovageshift"
)

const (
	// Prompt tokens to be computed that may be in prefill at once, as milliseconds of work at the engine's measured prefill
	// speed.
	prefillBudgetMillis = 300
	// An output token counts as this many prompt tokens in the service that an account has been given.
	outputWeight = 4
	// Weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.1
	// Above this number of accounts in Queue.served, those with no more service than Queue.servedFloor are dropped.
	maxServedAccounts = 4096
)

// Request is a request at a target, from its arrival in the queue until it finishes or leaves the queue: first it waits,
// then it runs. Its caller sets the exported fields before Enqueue.
type Request struct {
	ID           lovageshift.DispatchID
	Account      lovageshift.AccountID
	Rank         lovageshift.Rank
	PromptTokens lovageshift.Tokens
	// ComputeTokens is how many of the PromptTokens the target probably has to compute, as its prefix cache lacks them.
	ComputeTokens lovageshift.Tokens
	OutputLimit   lovageshift.Tokens // most output tokens
	Fingerprint   lovageshift.Fingerprint
	// Deadline is when the first token is due, in milliseconds of the agent's clock.
	Deadline lovageshift.Millis
	// Alone is true if no other request may run at the same time.
	Alone bool

	arrivedAt    lovageshift.Millis
	admittedAt   lovageshift.Millis
	epoch        Epoch
	prefillAhead lovageshift.Tokens // prompt tokens in prefill at admission, this request's included, cached or not
	firstTokenAt lovageshift.Millis
	prefillAlone bool // no other prompt was in prefill at the same time
	prefilling   bool // running, without a first token
	running      bool
	waiting      bool
}

// Running reports whether the request has been admitted and has not finished.
func (r *Request) Running() bool { return r.running }

// AdmittedAt returns when the request was admitted, in milliseconds of the agent's clock, or 0 if it was not.
func (r *Request) AdmittedAt() lovageshift.Millis { return r.admittedAt }

// Queue holds the requests that wait for one target and those that run on it. It admits requests of the highest tier, the
// one with the lowest rank, first and, within a tier, those of the account that has been served least.
type Queue struct {
	limiter          *ConcurrencyLimiter
	maxWaiting       int
	waiting          []*Request // oldest first
	running          map[*Request]bool
	computeInPrefill lovageshift.Tokens // sum of the ComputeTokens of requests in prefill
	promptInPrefill  lovageshift.Tokens // sum of the PromptTokens of requests in prefill, cached or not
	// served is the service that each account has been given: prompt tokens of admitted requests and outputWeight times
	// the output tokens of finished ones.
	served map[lovageshift.AccountID]float64
	// servedFloor is the least service counted for an account that becomes active, that is, has requests here again.
	servedFloor     float64
	meanServiceTime float64 // moving average in milliseconds from admission to the end of a complete answer
	passThrough     bool    // admits every request at once
}

// Result is the outcome of a request that has run.
type Result struct {
	// Complete is true if the whole answer was delivered. If not, ComputedTokens is ignored.
	Complete     bool
	OutputTokens lovageshift.Tokens
	// ComputedTokens is the number of prompt tokens that the target reports to have computed, or 0 if it reports none.
	ComputedTokens lovageshift.Tokens
}

// NewQueue returns an empty queue, in which up to maxWaiting requests wait for the target whose concurrency the limiter
// bounds.
func NewQueue(limiter *ConcurrencyLimiter, maxWaiting int) *Queue {
	return &Queue{
		limiter:    limiter,
		maxWaiting: maxWaiting,
		running:    map[*Request]bool{},
		served:     map[lovageshift.AccountID]float64{},
	}
}

// NewPassThroughQueue returns a queue that admits every request at once, as a plain load balancer would. It is a baseline
// to compare other queues with.
func NewPassThroughQueue(limiter *ConcurrencyLimiter) *Queue {
	queue := NewQueue(limiter, 0)
	queue.passThrough = true
	return queue
}

// SetMaxWaiting changes how many requests may wait.
func (q *Queue) SetMaxWaiting(maxWaiting int) { q.maxWaiting = maxWaiting }

// Enqueue adds a request to those that wait; Admit has to be called next. If the queue is full and the request could not
// start now, Enqueue either displaces a waiting request and returns that one, or returns a refusal of the new one.
func (q *Queue) Enqueue(now lovageshift.Millis, request *Request) (*Request, *lovageshift.Refusal) {
	request.arrivedAt = now
	if !q.passThrough && len(q.waiting) >= q.maxWaiting && !q.startable(now, request) {
		victim := q.victimFor(request)
		if victim == nil {
			return nil, q.shedRefusal(request)
		}
		q.remove(victim)
		q.push(request)
		return victim, nil
	}
	q.push(request)
	return nil, nil
}

func (q *Queue) push(request *Request) {
	q.raiseServed(request.Account)
	request.waiting = true
	q.waiting = append(q.waiting, request)
}

func (q *Queue) shedRefusal(request *Request) *lovageshift.Refusal {
	refusal := lovageshift.NotRun(lovageshift.ReasonShed, "all that waits here is of the same or a higher tier")
	return refusal.WithRetryAfter(q.EstimatedWait(request.Rank))
}

// victimFor returns the waiting request that an arrival displaces: the newest of the lowest tier, if that is below the
// arrival's, or else the newest of the account with the most waiting requests in the same tier, if it has at least two
// more than the arrival's account. It returns nil if there is none.
func (q *Queue) victimFor(arrival *Request) *Request {
	var lowest *Request
	counts := map[lovageshift.AccountID]int{}
	for _, request := range q.waiting {
		if request.Rank > arrival.Rank && (lowest == nil || request.Rank >= lowest.Rank) {
			lowest = request
		}
		if request.Rank == arrival.Rank {
			counts[request.Account]++
		}
	}
	if lowest != nil {
		return lowest
	}
	var mostQueued *Request
	for _, request := range q.waiting {
		outnumbers := request.Rank == arrival.Rank && counts[request.Account] > counts[arrival.Account]+1
		if outnumbers && (mostQueued == nil || counts[request.Account] >= counts[mostQueued.Account]) {
			mostQueued = request
		}
	}
	return mostQueued
}

// Admit starts waiting requests in their order until the next one can't start now. It returns those it started, and those
// it dropped because their first token can't meet its deadline any more.
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
	for _, request := range q.waiting {
		if now+q.prefillTime(request.ComputeTokens) > request.Deadline {
			overdue = append(overdue, request)
		}
	}
	for _, request := range overdue {
		q.remove(request)
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

// next returns the waiting request to start next, or nil if none waits: of the highest tier, the one whose account has been
// served least, or the oldest of several. A pass-through queue starts the oldest.
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

func (q *Queue) startable(now lovageshift.Millis, request *Request) bool {
	if q.passThrough {
		return true
	}
	if len(q.running) >= q.limiter.Limit() || now > request.Deadline {
		return false
	}
	if request.Alone && len(q.running) > 0 {
		return false
	}
	for other := range q.running {
		if other.Alone {
			return false
		}
	}
	return q.withinPrefillBudget(request)
}

// withinPrefillBudget reports whether the request's prompt and those in prefill fit into prefillBudgetMillis. A request
// that doesn't fit stays in the queue, where tiers decide the order; in the engine they don't. It fits in any case if no
// tokens are being computed or the prefill speed is unknown.
func (q *Queue) withinPrefillBudget(request *Request) bool {
	if q.computeInPrefill == 0 || q.limiter.PrefillSpeed() == 0 {
		return true
	}
	budget := lovageshift.Tokens(q.limiter.PrefillSpeed() * prefillBudgetMillis / 1000)
	return q.computeInPrefill+request.ComputeTokens <= budget
}

func (q *Queue) start(now lovageshift.Millis, request *Request) {
	q.remove(request)
	request.running = true
	request.admittedAt = now
	request.epoch = q.limiter.Epoch()
	request.prefillAlone = q.promptInPrefill == 0
	if !request.prefillAlone {
		q.markPrefillShared()
	}
	q.computeInPrefill += request.ComputeTokens
	q.promptInPrefill += request.PromptTokens
	request.prefillAhead = q.promptInPrefill
	request.prefilling = true
	q.running[request] = true
	q.served[request.Account] += float64(request.PromptTokens)
}

// ObserveFirstToken records a running request's first token and reports whether it came so late that the engine counts as cold,
// which resets the limiter. Further calls for the same request have no effect.
func (q *Queue) ObserveFirstToken(now lovageshift.Millis, request *Request) bool {
	if !request.prefilling {
		return false
	}
	q.endPrefill(request)
	request.firstTokenAt = now
	return q.limiter.ObserveFirstToken(request.prefillAhead, now-request.admittedAt)
}

// Decoding returns how many running requests have had their first token.
func (q *Queue) Decoding() int {
	decoding := 0
	for request := range q.running {
		if !request.prefilling {
			decoding++
		}
	}
	return decoding
}

// markPrefillShared records that the prompts now in prefill share the engine with another one, so that their times are no
// samples of its prefill speed.
func (q *Queue) markPrefillShared() {
	for request := range q.running {
		if request.prefilling {
			request.prefillAlone = false
		}
	}
}

func (q *Queue) endPrefill(request *Request) {
	if request.prefilling {
		request.prefilling = false
		q.computeInPrefill -= request.ComputeTokens
		q.promptInPrefill -= request.PromptTokens
	}
}

// Finish removes a running request and counts its output tokens as service. A complete answer is also recorded in the mean
// service time and in the limiter. Finish has no effect on a request that isn't running.
func (q *Queue) Finish(now lovageshift.Millis, request *Request, result Result) {
	if !request.running {
		return
	}
	request.running = false
	q.endPrefill(request)
	delete(q.running, request)
	q.served[request.Account] += outputWeight * float64(result.OutputTokens)
	if result.Complete {
		q.meanServiceTime = ewma(q.meanServiceTime, float64(now-request.admittedAt), serviceTimeWeight)
		q.limiter.ObserveCompletion(request.epoch)
		if request.prefillAlone && request.firstTokenAt > 0 {
			q.limiter.ObservePrefill(result.ComputedTokens, request.firstTokenAt-request.admittedAt)
		}
	}
	q.trimServed()
}

// Withdraw removes a waiting request. It returns false, without an effect, if the request isn't waiting.
func (q *Queue) Withdraw(request *Request) bool {
	if !request.waiting {
		return false
	}
	q.remove(request)
	return true
}

func (q *Queue) remove(request *Request) {
	request.waiting = false
	q.waiting = slices.DeleteFunc(q.waiting, func(other *Request) bool { return other == request })
}

// Waiting returns the waiting requests, oldest first. The slice is valid until the queue changes.
func (q *Queue) Waiting() []*Request { return q.waiting }

// Running returns the number of running requests.
func (q *Queue) Running() int { return len(q.running) }

// RunningRequests returns the running requests, in no order.
func (q *Queue) RunningRequests() []*Request {
	requests := make([]*Request, 0, len(q.running))
	for request := range q.running {
		requests = append(requests, request)
	}
	return requests
}

// QueuedPromptTokens returns how many prompt tokens the target probably has to compute for the requests that wait or are
// in prefill.
func (q *Queue) QueuedPromptTokens() lovageshift.Tokens {
	queued := q.computeInPrefill
	for _, request := range q.waiting {
		queued += request.ComputeTokens
	}
	return queued
}

// LeastUrgentRank returns the rank of the lowest tier with a waiting request, which is the highest rank, or 0 if none waits.
func (q *Queue) LeastUrgentRank() lovageshift.Rank {
	var leastUrgent lovageshift.Rank
	for _, request := range q.waiting {
		leastUrgent = max(leastUrgent, request.Rank)
	}
	return leastUrgent
}

// EstimatedWait returns about how many milliseconds a request of the given rank that arrived now would wait for a slot.
func (q *Queue) EstimatedWait(rank lovageshift.Rank) lovageshift.Millis {
	ahead := 0
	for _, request := range q.waiting {
		if request.Rank <= rank {
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

// MeanServiceTime returns the moving average of the milliseconds from admission to the end of a complete answer.
func (q *Queue) MeanServiceTime() float64 { return q.meanServiceTime }

// raiseServed prepares an account for a new request. If it was idle, without a request here, the service counted for it is
// raised to the least of any active account, so that idle time earns no precedence. If all accounts were idle, the
// least that was found before applies.
func (q *Queue) raiseServed(account lovageshift.AccountID) {
	active := map[lovageshift.AccountID]bool{}
	for _, request := range q.waiting {
		active[request.Account] = true
	}
	for request := range q.running {
		active[request.Account] = true
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

// trimServed drops the accounts with no more service than the floor, once there are more than maxServedAccounts. A dropped
// account starts at the floor again.
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
