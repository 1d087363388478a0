package admission

import (
	"slices"

	"lovageshift"
	"lovageshift/fairshare"
)

const (
	// No further request is admitted if the requests in prefill would then have more prompt tokens to compute than the
	// target can in this many milliseconds, at its measured prefill speed.
	prefillBudgetMillis = 300
	// An output token counts as this many prompt tokens in Queue.shares.
	outputWeight = 4
	// Weight of a new sample in the moving average of the service time.
	serviceTimeWeight = 0.1
)

// Request is a request at a target: it waits from Enqueue on, then it runs from its admission until Finish, unless it
// leaves the queue before. The code that enqueues it sets the exported fields first.
type Request struct {
	ID           lovageshift.DispatchID
	Account      lovageshift.AccountID
	Rank         lovageshift.Rank
	PromptTokens lovageshift.Tokens
	// ComputeTokens is the estimated number of the PromptTokens that the target's prefix cache lacks, so that the target has
	// to compute them.
	ComputeTokens lovageshift.Tokens
	OutputLimit   lovageshift.Tokens // most output tokens
	Fingerprint   lovageshift.Fingerprint
	// Deadline is the latest time for the first token, in milliseconds of the agent's clock.
	Deadline lovageshift.Millis
	// Alone is true if no other request may run at the same time.
	Alone bool

	arrivedAt             lovageshift.Millis
	admittedAt            lovageshift.Millis
	epoch                 Epoch              // the limiter's at admission
	promptTokensInPrefill lovageshift.Tokens // PromptTokens of this and the other requests in prefill at admission
	firstTokenAt          lovageshift.Millis // 0 before the first token
	prefillAlone          bool               // no other prompt has been in prefill during this request's prefill
	prefilling            bool               // running, without a first token
	running               bool
	waiting               bool
}

// Running reports whether the request has been admitted and has not finished.
func (r *Request) Running() bool { return r.running }

// AdmittedAt returns when the request was admitted, in milliseconds of the agent's clock, or 0 if it was not.
func (r *Request) AdmittedAt() lovageshift.Millis { return r.admittedAt }

// Queue holds the requests that wait for one target and those that run on it. It admits requests of the highest tier, which
// has the lowest rank, first and, within a tier, those of the account that has been served the fewest tokens.
type Queue struct {
	limiter          *ConcurrencyLimiter
	maxWaiting       int
	waiting          []*Request // oldest first
	running          map[*Request]bool
	computeInPrefill lovageshift.Tokens // sum of the ComputeTokens of requests in prefill
	promptInPrefill  lovageshift.Tokens // sum of the PromptTokens of requests in prefill, cached or not
	// shares counts the tokens served to each account: the prompt tokens of its admitted requests plus outputWeight times the
	// output tokens of its finished ones. An account is active while it has a request that waits or runs. The floor is the
	// least count of the active accounts when an idle account last enqueued a request while others were active.
	shares          *fairshare.Tally[lovageshift.AccountID]
	meanServiceTime float64 // moving average in milliseconds from admission to the end of a complete answer
	passThrough     bool    // whether every request is admitted at once
}

// Result is the outcome of a request that has run.
type Result struct {
	// Complete is true if the whole answer was delivered. ComputedTokens is ignored otherwise.
	Complete     bool
	OutputTokens lovageshift.Tokens
	// ComputedTokens is the number of prompt tokens that the target computed, as reported by it, or 0 if it reports no number.
	ComputedTokens lovageshift.Tokens
}

// NewQueue returns an empty queue for one target. Up to maxWaiting requests wait in it, and the limiter bounds how many run
// at once.
func NewQueue(limiter *ConcurrencyLimiter, maxWaiting int) *Queue {
	return &Queue{
		limiter:    limiter,
		maxWaiting: maxWaiting,
		running:    map[*Request]bool{},
		shares:     fairshare.NewTally[lovageshift.AccountID](),
	}
}

// NewPassThroughQueue returns a queue that admits every request at once, as a plain load balancer would. It is a baseline
// to compare other queues with, and ignores the limiter's limit and the deadlines.
func NewPassThroughQueue(limiter *ConcurrencyLimiter) *Queue {
	queue := NewQueue(limiter, 0)
	queue.passThrough = true
	return queue
}

// SetMaxWaiting changes how many requests may wait. Requests that already wait stay, even if they are more.
func (q *Queue) SetMaxWaiting(maxWaiting int) { q.maxWaiting = maxWaiting }

// Enqueue adds a request to those that wait. Admit has to be called next, as Enqueue starts nothing itself. If the queue is
// full and the request could not start now, Enqueue either displaces a waiting request, which it returns, or refuses the new
// request. A request that could start now is added even if the queue is full.
func (q *Queue) Enqueue(now lovageshift.Millis, request *Request) (*Request, *lovageshift.Refusal) {
	request.arrivedAt = now
	if !q.passThrough && len(q.waiting) >= q.maxWaiting && !q.startable(now, request) {
		victim := q.victimFor(request)
		if victim == nil {
			return nil, q.shedRefusal(request)
		}
		q.leave(victim)
		q.push(request)
		return victim, nil
	}
	q.push(request)
	return nil, nil
}

func (q *Queue) push(request *Request) {
	if !q.shares.Active(request.Account) {
		q.shares.RaiseFloorToActive()
	}
	q.shares.Enter(request.arrivedAt, request.Account)
	request.waiting = true
	q.waiting = append(q.waiting, request)
}

func (q *Queue) shedRefusal(request *Request) *lovageshift.Refusal {
	refusal := lovageshift.NotRun(lovageshift.ReasonShed, "all that waits here is of the same or a higher tier")
	return refusal.WithRetryAfter(q.EstimatedWait(request.Rank))
}

// victimFor returns the waiting request that an arrival displaces, or nil if it displaces none. If requests of lower tiers
// than the arrival's wait, it is the newest of the lowest tier. Otherwise it is the newest of the account that has the most
// requests waiting in the arrival's tier, if that account has at least two more of them than the arrival's account.
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

// Admit first drops the waiting requests whose first token is not expected to meet the deadline. Then it starts others in
// the order that next gives, until one can't start now. It returns the started and the dropped requests.
func (q *Queue) Admit(now lovageshift.Millis) (started, dropped []*Request) {
	dropped = q.dropUnmeetable(now)
	for {
		next := q.next()
		if next == nil || !q.startable(now, next) {
			return started, dropped
		}
		q.start(now, next)
		started = append(started, next)
	}
}

// dropUnmeetable removes and returns the waiting requests whose prefill, if it began now, would end after their deadline. In
// a pass-through queue there are none.
func (q *Queue) dropUnmeetable(now lovageshift.Millis) []*Request {
	if q.passThrough {
		return nil
	}
	var unmeetable []*Request
	for _, request := range q.waiting {
		if now+q.prefillTime(request.ComputeTokens) > request.Deadline {
			unmeetable = append(unmeetable, request)
		}
	}
	for _, request := range unmeetable {
		q.leave(request)
	}
	return unmeetable
}

// prefillTime returns about how many milliseconds the target takes to compute the prompt tokens, or 0 if that is unknown:
// while the target is cold or its prefill speed has not been measured.
func (q *Queue) prefillTime(prompt lovageshift.Tokens) lovageshift.Millis {
	speed := q.limiter.PrefillSpeed()
	if speed == 0 || q.limiter.Cold() {
		return 0
	}
	return lovageshift.Millis(float64(prompt) / speed * 1000)
}

// next returns the waiting request to start next, or nil if none waits. It is the one of the highest tier whose account has
// been served the fewest tokens; of several such requests it is the oldest. In a pass-through queue it is the oldest of all.
func (q *Queue) next() *Request {
	var best *Request
	for _, request := range q.waiting {
		if best == nil || q.precedes(request, best) {
			best = request
		}
	}
	return best
}

func (q *Queue) precedes(a, b *Request) bool {
	if q.passThrough || a.Rank != b.Rank {
		return !q.passThrough && a.Rank < b.Rank
	}
	return q.shares.Served(a.Account) < q.shares.Served(b.Account)
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

// withinPrefillBudget reports whether the target can compute the tokens of this request and of those in prefill within
// prefillBudgetMillis. Otherwise the request had better wait in the queue, which serves higher tiers first, than in the
// engine, which does not know the tiers. The budget does not apply if no tokens are being computed or the prefill speed is
// unknown.
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
	request.promptTokensInPrefill = q.promptInPrefill
	request.prefilling = true
	q.running[request] = true
	q.shares.Add(request.Account, float64(request.PromptTokens))
}

// ObserveFirstToken records a running request's first token. If the token came so late that the target is taken to be cold,
// ObserveFirstToken resets the limiter to cold and returns true. Further calls for the same request have no effect.
func (q *Queue) ObserveFirstToken(now lovageshift.Millis, request *Request) bool {
	if !request.prefilling {
		return false
	}
	q.endPrefill(request)
	request.firstTokenAt = now
	return q.limiter.ObserveFirstToken(request.promptTokensInPrefill, now-request.admittedAt)
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

// markPrefillShared records that the requests now in prefill share the engine with another prompt, so that their times to
// the first token are not used to measure the prefill speed.
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

// Finish removes a running request and counts its output tokens as served to its account. It records the request in the mean
// service time and in the limiter if the answer was complete. It has no effect on a request that isn't running.
func (q *Queue) Finish(now lovageshift.Millis, request *Request, result Result) {
	if !request.running {
		return
	}
	request.running = false
	q.endPrefill(request)
	delete(q.running, request)
	q.shares.Add(request.Account, outputWeight*float64(result.OutputTokens))
	q.shares.Leave(request.Account)
	if result.Complete {
		q.meanServiceTime = ewma(q.meanServiceTime, float64(now-request.admittedAt), serviceTimeWeight)
		q.limiter.ObserveCompletion(request.epoch)
		if request.prefillAlone && request.firstTokenAt > 0 {
			q.limiter.ObservePrefill(result.ComputedTokens, request.firstTokenAt-request.admittedAt)
		}
	}
	q.shares.Trim()
}

// Withdraw removes a waiting request. It returns false, and has no effect, if the request isn't waiting.
func (q *Queue) Withdraw(request *Request) bool {
	if !request.waiting {
		return false
	}
	q.leave(request)
	return true
}

// leave removes a waiting request that will not run.
func (q *Queue) leave(request *Request) {
	q.remove(request)
	q.shares.Leave(request.Account)
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

// QueuedPromptTokens returns the estimated number of prompt tokens that the target has to compute for the waiting requests
// and for those in prefill. Tokens in its prefix cache are not counted.
func (q *Queue) QueuedPromptTokens() lovageshift.Tokens {
	queued := q.computeInPrefill
	for _, request := range q.waiting {
		queued += request.ComputeTokens
	}
	return queued
}

// LeastUrgentRank returns the rank of the lowest tier that has a waiting request, or 0 if none waits. The lowest tier is the
// one with the highest rank.
func (q *Queue) LeastUrgentRank() lovageshift.Rank {
	var leastUrgent lovageshift.Rank
	for _, request := range q.waiting {
		leastUrgent = max(leastUrgent, request.Rank)
	}
	return leastUrgent
}

// EstimatedWait returns about how many milliseconds a request of the given rank would wait for its admission if it arrived
// now. Until a complete answer gives the mean service time, the estimate is 0.
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
	interval := q.meanServiceTime / float64(max(q.limiter.Limit(), 1))
	return lovageshift.Millis(float64(ahead-free+1) * interval)
}

// MeanServiceTime returns the moving average of the milliseconds from the admission of a request to the end of its answer,
// over complete answers, or 0 if there has been none.
func (q *Queue) MeanServiceTime() float64 { return q.meanServiceTime }
