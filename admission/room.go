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

// Ticket is one request that waits or runs at a target.
type Ticket struct {
	ID           lovageshift.DispatchID
	Account      lovageshift.AccountID
	Rank         lovageshift.Rank
	PromptTokens lovageshift.Tokens
	// Compute is the part of the prompt that the target probably has to compute.
	Compute     lovageshift.Tokens
	OutputLimit lovageshift.Tokens
	Fingerprint lovageshift.Fingerprint
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
func (t *Ticket) Running() bool { return t.running }

// Admitted returns when the ticket was admitted, in milliseconds.
func (t *Ticket) Admitted() lovageshift.Millis { return t.admitted }

// Room holds the requests that wait for and run on one target.
type Room struct {
	warmth     *Warmth
	maxWaiting int
	waiting    []*Ticket
	running    map[*Ticket]bool
	prefilling lovageshift.Tokens // to be computed
	inPrefill  lovageshift.Tokens // cached or not
	served     map[lovageshift.AccountID]float64
	floor      float64
	hold       float64 // milliseconds a request runs
	plain      bool
}

// Result is what a finished request showed.
type Result struct {
	Whole        bool
	OutputTokens lovageshift.Tokens
	// Computed is the prompt tokens that the target says it computed, or 0 when it does not say.
	Computed lovageshift.Tokens
}

// NewRoom returns an empty room before a target of the warmth given.
func NewRoom(warmth *Warmth, maxWaiting int) *Room {
	return &Room{
		warmth:     warmth,
		maxWaiting: maxWaiting,
		running:    map[*Ticket]bool{},
		served:     map[lovageshift.AccountID]float64{},
	}
}

// NewPlainRoom returns a room that admits everything at once, the baseline of a plain balancer.
func NewPlainRoom(warmth *Warmth) *Room {
	room := NewRoom(warmth, 0)
	room.plain = true
	return room
}

// SetMaxWaiting changes how many requests may wait.
func (r *Room) SetMaxWaiting(most int) { r.maxWaiting = most }

// Enter takes a ticket in. When the room is full it returns the waiting ticket that gives way, or the refusal of this one.
func (r *Room) Enter(now lovageshift.Millis, ticket *Ticket) (*Ticket, *lovageshift.Refusal) {
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

func (r *Room) push(ticket *Ticket) {
	r.liftCounter(ticket.Account)
	ticket.waiting = true
	r.waiting = append(r.waiting, ticket)
}

func (r *Room) shed(ticket *Ticket) *lovageshift.Refusal {
	refusal := lovageshift.NotRun(lovageshift.ReasonShed, "all that waits here is of the same or a higher tier")
	return refusal.WithRetryAfter(r.Wait(ticket.Rank))
}

// victimFor returns the waiting ticket that gives way to an arrival: the newest of the lowest tier below it,
// or the newest of the account that waits most in the same tier.
func (r *Room) victimFor(arrival *Ticket) *Ticket {
	var lowest *Ticket
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
	var greediest *Ticket
	for _, ticket := range r.waiting {
		crowded := ticket.Rank == arrival.Rank && counts[ticket.Account] > counts[arrival.Account]+1
		if crowded && (greediest == nil || counts[ticket.Account] >= counts[greediest.Account]) {
			greediest = ticket
		}
	}
	return greediest
}

// Admit returns the tickets that start now and those dropped because their first token can no longer be in time.
func (r *Room) Admit(now lovageshift.Millis) (started, dropped []*Ticket) {
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

func (r *Room) dropLate(now lovageshift.Millis) []*Ticket {
	if r.plain {
		return nil
	}
	var late []*Ticket
	for _, ticket := range r.waiting {
		if now+r.prefillTime(ticket.Compute) > ticket.Deadline {
			late = append(late, ticket)
		}
	}
	for _, ticket := range late {
		r.remove(ticket)
	}
	return late
}

func (r *Room) prefillTime(prompt lovageshift.Tokens) lovageshift.Millis {
	speed := r.warmth.Speed()
	if speed == 0 || r.warmth.Cold() {
		return 0
	}
	return lovageshift.Millis(float64(prompt) / speed * 1000)
}

// next returns the waiting ticket of the highest tier whose account has been served least.
func (r *Room) next() *Ticket {
	var best *Ticket
	for _, ticket := range r.waiting {
		if best == nil || r.before(ticket, best) {
			best = ticket
		}
	}
	return best
}

func (r *Room) before(a, b *Ticket) bool {
	if r.plain || a.Rank != b.Rank {
		return !r.plain && a.Rank < b.Rank
	}
	return r.served[a.Account] < r.served[b.Account]
}

func (r *Room) startable(now lovageshift.Millis, ticket *Ticket) bool {
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
func (r *Room) prefillFits(ticket *Ticket) bool {
	if r.prefilling == 0 || r.warmth.Speed() == 0 {
		return true
	}
	budget := lovageshift.Tokens(r.warmth.Speed() * prefillAheadMillis / 1000)
	return r.prefilling+ticket.Compute <= budget
}

func (r *Room) start(now lovageshift.Millis, ticket *Ticket) {
	r.remove(ticket)
	ticket.running = true
	ticket.admitted = now
	ticket.epoch = r.warmth.Epoch()
	ticket.lone = r.inPrefill == 0
	if !ticket.lone {
		r.crowdPrefill()
	}
	r.prefilling += ticket.Compute
	r.inPrefill += ticket.PromptTokens
	ticket.ahead = r.inPrefill
	ticket.prefilling = true
	r.running[ticket] = true
	r.served[ticket.Account] += float64(ticket.PromptTokens)
}

// FirstToken records a running ticket's first token and reports whether it shows a cold engine.
func (r *Room) FirstToken(now lovageshift.Millis, ticket *Ticket) bool {
	if !ticket.prefilling {
		return false
	}
	r.endPrefill(ticket)
	ticket.first = now
	return r.warmth.FirstToken(ticket.ahead, now-ticket.admitted)
}

// Decoding returns how many requests run past their first token.
func (r *Room) Decoding() int {
	decoding := 0
	for ticket := range r.running {
		if !ticket.prefilling {
			decoding++
		}
	}
	return decoding
}

// crowdPrefill marks the prompts in prefill as not alone any more.
func (r *Room) crowdPrefill() {
	for ticket := range r.running {
		if ticket.prefilling {
			ticket.lone = false
		}
	}
}

func (r *Room) endPrefill(ticket *Ticket) {
	if ticket.prefilling {
		ticket.prefilling = false
		r.prefilling -= ticket.Compute
		r.inPrefill -= ticket.PromptTokens
	}
}

// Finish ends a running ticket.
func (r *Room) Finish(now lovageshift.Millis, ticket *Ticket, result Result) {
	if !ticket.running {
		return
	}
	ticket.running = false
	r.endPrefill(ticket)
	delete(r.running, ticket)
	r.served[ticket.Account] += outputWeight * float64(result.OutputTokens)
	if result.Whole {
		r.hold = blend(r.hold, float64(now-ticket.admitted), holdWeight)
		r.warmth.Completed(ticket.epoch)
		if ticket.lone && ticket.first > 0 {
			r.warmth.Computed(result.Computed, ticket.first-ticket.admitted)
		}
	}
	r.trimCounters()
}

// Withdraw takes a waiting ticket back and reports whether it had not started.
func (r *Room) Withdraw(ticket *Ticket) bool {
	if !ticket.waiting {
		return false
	}
	r.remove(ticket)
	return true
}

func (r *Room) remove(ticket *Ticket) {
	ticket.waiting = false
	r.waiting = slices.DeleteFunc(r.waiting, func(other *Ticket) bool { return other == ticket })
}

// Waiting returns the waiting tickets; the slice must not be kept.
func (r *Room) Waiting() []*Ticket { return r.waiting }

// Running returns how many requests run.
func (r *Room) Running() int { return len(r.running) }

// RunningTickets returns the tickets that run.
func (r *Room) RunningTickets() []*Ticket {
	tickets := make([]*Ticket, 0, len(r.running))
	for ticket := range r.running {
		tickets = append(tickets, ticket)
	}
	return tickets
}

// QueuedPromptTokens returns the prompt tokens that wait or are in prefill.
func (r *Room) QueuedPromptTokens() lovageshift.Tokens {
	queued := r.prefilling
	for _, ticket := range r.waiting {
		queued += ticket.Compute
	}
	return queued
}

// LowestWaiting returns the rank of the least urgent waiting ticket, or 0 when none waits.
func (r *Room) LowestWaiting() lovageshift.Rank {
	var lowest lovageshift.Rank
	for _, ticket := range r.waiting {
		lowest = max(lowest, ticket.Rank)
	}
	return lowest
}

// Wait estimates how many milliseconds an arrival of the rank would wait for a place to run.
func (r *Room) Wait(rank lovageshift.Rank) lovageshift.Millis {
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

// Hold returns the mean milliseconds that a request runs.
func (r *Room) Hold() float64 { return r.hold }

// liftCounter keeps an account that was idle from saving up service.
func (r *Room) liftCounter(account lovageshift.AccountID) {
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

func (r *Room) trimCounters() {
	if len(r.served) <= maxCounters {
		return
	}
	for account, served := range r.served {
		if served <= r.floor {
			delete(r.served, account)
		}
	}
}
