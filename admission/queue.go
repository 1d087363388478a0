package admission

import (
	"slices"

	"lovageshift"
)

const (
	// Prompt tokens that may be in prefill at once, as milliseconds of the engine's measured speed.
	prefillAheadMillis = 300
	outputWeight       = 4
	holdWeight         = 0.1
	maxCounters        = 4096
)

// Waiter is one request that waits or runs at a target.
type Waiter struct {
	ID           lovageshift.DispatchID
	Account      lovageshift.AccountID
	Rank         lovageshift.Rank
	PromptTokens lovageshift.Tokens
	// ComputeTokens is the part of the prompt that the target probably has to compute.
	ComputeTokens lovageshift.Tokens
	OutputLimit   lovageshift.Tokens
	Fingerprint   lovageshift.Fingerprint
	// Deadline is when the first token is due, in milliseconds of the agent's clock.
	Deadline lovageshift.Millis
	// Alone keeps every other request out while this one runs.
	Alone bool

	arrived    lovageshift.Millis
	admitted   lovageshift.Millis
	epoch      Epoch
	ahead      lovageshift.Tokens // prompt tokens in prefill up to this one's, cached or not
	first      lovageshift.Millis
	lone       bool // no other prompt was in prefill meanwhile
	prefilling bool
	running    bool
	waiting    bool
}

// Running reports whether the ticket has been admitted and not finished.
func (t *Waiter) Running() bool { return t.running }

// Admitted returns when the ticket was admitted, in milliseconds.
func (t *Waiter) Admitted() lovageshift.Millis { return t.admitted }

// Queue holds the requests that wait for and run on one target.
type Queue struct {
	warmth     *ConcurrencyLimiter
	maxWaiting int
	waiting    []*Waiter
	running    map[*Waiter]bool
	prefilling lovageshift.Tokens // to be computed
	inPrefill  lovageshift.Tokens // cached or not
	served     map[lovageshift.AccountID]float64
	floor      float64
	hold       float64 // milliseconds a request runs
	plain      bool
}

// Result is what a finished request showed.
type Result struct {
	Complete     bool
	OutputTokens lovageshift.Tokens
	// ComputedTokens is the prompt tokens that the target says it computed, or 0 when it does not say.
	ComputedTokens lovageshift.Tokens
}

// NewQueue returns an empty room before a target of the warmth given.
func NewQueue(warmth *ConcurrencyLimiter, maxWaiting int) *Queue {
	return &Queue{
		warmth:     warmth,
		maxWaiting: maxWaiting,
		running:    map[*Waiter]bool{},
		served:     map[lovageshift.AccountID]float64{},
	}
}

// NewPassThroughQueue returns a room that admits everything at once, the baseline of a plain balancer.
func NewPassThroughQueue(warmth *ConcurrencyLimiter) *Queue {
	room := NewQueue(warmth, 0)
	room.plain = true
	return room
}

// SetMaxWaiting changes how many requests may wait.
func (r *Queue) SetMaxWaiting(most int) { r.maxWaiting = most }

// Enqueue takes a ticket in. When the room is full it returns the waiting ticket that gives way, or the refusal of this one.
func (r *Queue) Enqueue(now lovageshift.Millis, ticket *Waiter) (*Waiter, *lovageshift.Refusal) {
	ticket.arrived = now
	if !r.plain && len(r.waiting) >= r.maxWaiting && !r.startable(now, ticket) {
		victim := r.victimFor(ticket)
		if victim == nil {
			return nil, r.shed(ticket)
		}
		r.remove(victim)
		r.push(ticket)
		return victim, nil
	}
	r.push(ticket)
	return nil, nil
}

func (r *Queue) push(ticket *Waiter) {
	r.liftCounter(ticket.Account)
	ticket.waiting = true
	r.waiting = append(r.waiting, ticket)
}

func (r *Queue) shed(ticket *Waiter) *lovageshift.Refusal {
	refusal := lovageshift.NotRun(lovageshift.ReasonShed, "all that waits here is of the same or a higher tier")
	return refusal.WithRetryAfter(r.EstimatedWait(ticket.Rank))
}

// victimFor returns the waiting ticket that gives way to an arrival: the newest of the lowest tier below it,
// or the newest of the account that waits most in the same tier.
func (r *Queue) victimFor(arrival *Waiter) *Waiter {
	var lowest *Waiter
	counts := map[lovageshift.AccountID]int{}
	for _, ticket := range r.waiting {
		if ticket.Rank > arrival.Rank && (lowest == nil || ticket.Rank >= lowest.Rank) {
			lowest = ticket
		}
		if ticket.Rank == arrival.Rank {
			counts[ticket.Account]++
		}
	}
	if lowest != nil {
		return lowest
	}
	var greediest *Waiter
	for _, ticket := range r.waiting {
		crowded := ticket.Rank == arrival.Rank && counts[ticket.Account] > counts[arrival.Account]+1
		if crowded && (greediest == nil || counts[ticket.Account] >= counts[greediest.Account]) {
			greediest = ticket
		}
	}
	return greediest
}

// Admit returns the tickets that start now and those dropped because their first token can no longer be in time.
func (r *Queue) Admit(now lovageshift.Millis) (started, dropped []*Waiter) {
	dropped = r.dropLate(now)
	for {
		next := r.next()
		if next == nil || !r.startable(now, next) {
			return started, dropped
		}
		r.start(now, next)
		started = append(started, next)
	}
}

func (r *Queue) dropLate(now lovageshift.Millis) []*Waiter {
	if r.plain {
		return nil
	}
	var late []*Waiter
	for _, ticket := range r.waiting {
		if now+r.prefillTime(ticket.ComputeTokens) > ticket.Deadline {
			late = append(late, ticket)
		}
	}
	for _, ticket := range late {
		r.remove(ticket)
	}
	return late
}

func (r *Queue) prefillTime(prompt lovageshift.Tokens) lovageshift.Millis {
	speed := r.warmth.PrefillSpeed()
	if speed == 0 || r.warmth.Cold() {
		return 0
	}
	return lovageshift.Millis(float64(prompt) / speed * 1000)
}

// next returns the waiting ticket of the highest tier whose account has been served least.
func (r *Queue) next() *Waiter {
	var best *Waiter
	for _, ticket := range r.waiting {
		if best == nil || r.before(ticket, best) {
			best = ticket
		}
	}
	return best
}

func (r *Queue) before(a, b *Waiter) bool {
	if r.plain || a.Rank != b.Rank {
		return !r.plain && a.Rank < b.Rank
	}
	return r.served[a.Account] < r.served[b.Account]
}

func (r *Queue) startable(now lovageshift.Millis, ticket *Waiter) bool {
	if r.plain {
		return true
	}
	if len(r.running) >= r.warmth.Limit() || now > ticket.Deadline {
		return false
	}
	if ticket.Alone && len(r.running) > 0 {
		return false
	}
	for other := range r.running {
		if other.Alone {
			return false
		}
	}
	return r.prefillFits(ticket)
}

// prefillFits keeps what cannot be prefilled soon in the room, where tiers count.
func (r *Queue) prefillFits(ticket *Waiter) bool {
	if r.prefilling == 0 || r.warmth.PrefillSpeed() == 0 {
		return true
	}
	budget := lovageshift.Tokens(r.warmth.PrefillSpeed() * prefillAheadMillis / 1000)
	return r.prefilling+ticket.ComputeTokens <= budget
}

func (r *Queue) start(now lovageshift.Millis, ticket *Waiter) {
	r.remove(ticket)
	ticket.running = true
	ticket.admitted = now
	ticket.epoch = r.warmth.Epoch()
	ticket.lone = r.inPrefill == 0
	if !ticket.lone {
		r.crowdPrefill()
	}
	r.prefilling += ticket.ComputeTokens
	r.inPrefill += ticket.PromptTokens
	ticket.ahead = r.inPrefill
	ticket.prefilling = true
	r.running[ticket] = true
	r.served[ticket.Account] += float64(ticket.PromptTokens)
}

// FirstToken records a running ticket's first token and reports whether it shows a cold engine.
func (r *Queue) FirstToken(now lovageshift.Millis, ticket *Waiter) bool {
	if !ticket.prefilling {
		return false
	}
	r.endPrefill(ticket)
	ticket.first = now
	return r.warmth.ObserveFirstToken(ticket.ahead, now-ticket.admitted)
}

// Decoding returns how many requests run past their first token.
func (r *Queue) Decoding() int {
	decoding := 0
	for ticket := range r.running {
		if !ticket.prefilling {
			decoding++
		}
	}
	return decoding
}

// crowdPrefill marks the prompts in prefill as not alone any more.
func (r *Queue) crowdPrefill() {
	for ticket := range r.running {
		if ticket.prefilling {
			ticket.lone = false
		}
	}
}

func (r *Queue) endPrefill(ticket *Waiter) {
	if ticket.prefilling {
		ticket.prefilling = false
		r.prefilling -= ticket.ComputeTokens
		r.inPrefill -= ticket.PromptTokens
	}
}

// Finish ends a running ticket.
func (r *Queue) Finish(now lovageshift.Millis, ticket *Waiter, result Result) {
	if !ticket.running {
		return
	}
	ticket.running = false
	r.endPrefill(ticket)
	delete(r.running, ticket)
	r.served[ticket.Account] += outputWeight * float64(result.OutputTokens)
	if result.Complete {
		r.hold = blend(r.hold, float64(now-ticket.admitted), holdWeight)
		r.warmth.ObserveCompletion(ticket.epoch)
		if ticket.lone && ticket.first > 0 {
			r.warmth.ObservePrefill(result.ComputedTokens, ticket.first-ticket.admitted)
		}
	}
	r.trimCounters()
}

// Withdraw takes a waiting ticket back and reports whether it had not started.
func (r *Queue) Withdraw(ticket *Waiter) bool {
	if !ticket.waiting {
		return false
	}
	r.remove(ticket)
	return true
}

func (r *Queue) remove(ticket *Waiter) {
	ticket.waiting = false
	r.waiting = slices.DeleteFunc(r.waiting, func(other *Waiter) bool { return other == ticket })
}

// Waiting returns the waiting tickets; the slice must not be kept.
func (r *Queue) Waiting() []*Waiter { return r.waiting }

// Running returns how many requests run.
func (r *Queue) Running() int { return len(r.running) }

// RunningWaiters returns the tickets that run.
func (r *Queue) RunningWaiters() []*Waiter {
	tickets := make([]*Waiter, 0, len(r.running))
	for ticket := range r.running {
		tickets = append(tickets, ticket)
	}
	return tickets
}

// QueuedPromptTokens returns the prompt tokens that wait or are in prefill.
func (r *Queue) QueuedPromptTokens() lovageshift.Tokens {
	queued := r.prefilling
	for _, ticket := range r.waiting {
		queued += ticket.ComputeTokens
	}
	return queued
}

// LowestWaitingRank returns the rank of the least urgent waiting ticket, or 0 when none waits.
func (r *Queue) LowestWaitingRank() lovageshift.Rank {
	var lowest lovageshift.Rank
	for _, ticket := range r.waiting {
		lowest = max(lowest, ticket.Rank)
	}
	return lowest
}

// EstimatedWait estimates how many milliseconds an arrival of the rank would wait for a place to run.
func (r *Queue) EstimatedWait(rank lovageshift.Rank) lovageshift.Millis {
	ahead := 0
	for _, ticket := range r.waiting {
		if ticket.Rank <= rank {
			ahead++
		}
	}
	free := r.warmth.Limit() - len(r.running)
	if ahead < free {
		return 0
	}
	turnover := r.hold / float64(max(r.warmth.Limit(), 1))
	return lovageshift.Millis(float64(ahead-free+1) * turnover)
}

// MeanServiceTime returns the mean milliseconds that a request runs.
func (r *Queue) MeanServiceTime() float64 { return r.hold }

// liftCounter keeps an account that was idle from saving up service.
func (r *Queue) liftCounter(account lovageshift.AccountID) {
	active := map[lovageshift.AccountID]bool{}
	for _, ticket := range r.waiting {
		active[ticket.Account] = true
	}
	for ticket := range r.running {
		active[ticket.Account] = true
	}
	if active[account] {
		return
	}
	first := true
	for other := range active {
		if first || r.served[other] < r.floor {
			r.floor = r.served[other]
			first = false
		}
	}
	r.served[account] = max(r.served[account], r.floor)
}

func (r *Queue) trimCounters() {
	if len(r.served) <= maxCounters {
		return
	}
	for account, served := range r.served {
		if served <= r.floor {
			delete(r.served, account)
		}
	}
}
