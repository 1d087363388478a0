package placement

import (
	"slices"

	"lovageshift"
)

const (
	// Grants and arrivals are counted over this time, in parts of rateStep.
	rateWindow lovageshift.Millis = 1000
	rateStep   lovageshift.Millis = 100
	rateSteps                     = int64(rateWindow / rateStep)
	// The part of the work that is given away in each more urgent rank's stead to every rank that waits behind it. It
	// costs urgent requests little and keeps patient ones from being starved in a long overload.
	guaranteedShare = 0.025
	// The least rate of places for a rank, as a share of all and in places a second.
	leastShare = 0.02
	leastRate  = 0.1
	// The guaranteed part comes in steps, so that a request waits up to this many times the average for it.
	guaranteedDoubt = 2
	// Credit that a rank saves up, in works of the request that was granted last.
	maxCredit = 2
	// Reading so many prompt tokens takes an engine about as long as making one token.
	promptPerOutput = 500
)

// queue holds the waiting requests of a group: the most urgent first, within a rank those that can still be in time
// before those that came back after a refusal, and else the first come first.
type queue struct {
	tickets []*Waiter
	grants  meter
	work    meter
	arrived map[lovageshift.Rank]*meter
	credit  map[lovageshift.Rank]float64
}

func newQueue() *queue {
	return &queue{arrived: map[lovageshift.Rank]*meter{}, credit: map[lovageshift.Rank]float64{}}
}

func (q *queue) push(now lovageshift.Millis, ticket *Waiter) {
	rank := ticket.job.Rank
	if q.arrived[rank] == nil {
		q.arrived[rank] = &meter{}
	}
	q.arrived[rank].add(now, 1)
	q.insert(ticket)
}

func (q *queue) insert(ticket *Waiter) {
	at, _ := slices.BinarySearchFunc(q.tickets, ticket, compare)
	q.tickets = slices.Insert(q.tickets, at, ticket)
}

// work is how long a job keeps a target busy, in output tokens.
func work(job *Job) float64 {
	return 1 + float64(job.OutputTokens) + float64(job.PromptTokens)/promptPerOutput
}

// granted counts a grant and gives the ranks that wait behind it their part.
func (q *queue) granted(now lovageshift.Millis, ticket *Waiter) {
	done := work(ticket.job)
	q.grants.add(now, 1)
	q.work.add(now, int(done))
	if ticket.promoted {
		return
	}
	for rank := range q.arrived {
		if rank > ticket.job.Rank {
			q.credit[rank] = min(q.credit[rank]+done*guaranteedShare, done*maxCredit)
		}
	}
}

// promote moves the first request of each rank that has saved up its work to the front.
func (q *queue) promote() {
	for {
		var chosen *Waiter
		for i, ticket := range q.tickets {
			first := i > 0 && q.tickets[i-1].job.Rank < ticket.job.Rank
			if first && !ticket.promoted && work(ticket.job) <= q.credit[ticket.job.Rank] {
				chosen = ticket
				break
			}
		}
		if chosen == nil {
			return
		}
		q.credit[chosen.job.Rank] -= work(chosen.job)
		q.remove(chosen)
		chosen.promoted = true
		q.insert(chosen)
	}
}

func compare(a, b *Waiter) int {
	switch {
	case a.promoted != b.promoted:
		if a.promoted {
			return -1
		}
		return 1
	case a.job.Rank != b.job.Rank:
		return int(a.job.Rank - b.job.Rank)
	case a.job.RefusedBefore != b.job.RefusedBefore:
		if b.job.RefusedBefore {
			return -1
		}
		return 1
	case a.number < b.number:
		return -1
	case a.number > b.number:
		return 1
	default:
		return 0
	}
}

func (q *queue) remove(ticket *Waiter) {
	if at := slices.Index(q.tickets, ticket); at >= 0 {
		q.tickets = slices.Delete(q.tickets, at, at+1)
	}
}

// each visits the tickets in order and drops those for which the function returns true.
func (q *queue) each(visit func(*Waiter) bool) {
	if len(q.tickets) > 0 {
		q.tickets = slices.DeleteFunc(q.tickets, visit)
	}
}

// expected returns how long a job with so many ahead of it, and so many of its own rank, will probably wait: places
// come free at the rate of the last second, and more urgent requests that arrive meanwhile take theirs first.
func (q *queue) expected(now lovageshift.Millis, job *Job, ahead, ownAhead int) lovageshift.Millis {
	all := q.grants.perSecond(now)
	left := all
	for rank, arrived := range q.arrived {
		if rank < job.Rank {
			left -= arrived.perSecond(now)
		}
	}
	// Even where more urgent requests take all places, some of them leave early.
	left = max(left, leastShare*all, leastRate)
	wait := float64(ahead+1) / left
	if guaranteed := q.work.perSecond(now) * guaranteedShare / work(job); guaranteed > 0 {
		wait = min(wait, guaranteedDoubt*float64(ownAhead+1)/guaranteed)
	}
	return lovageshift.Millis(wait * 1000)
}

// meter adds up amounts of the last second.
type meter struct {
	step   int64
	counts [rateSteps]int
}

func (m *meter) roll(now lovageshift.Millis) {
	step := int64(now / rateStep)
	for next := max(m.step+1, step-rateSteps+1); next <= step; next++ {
		m.counts[next%rateSteps] = 0
	}
	m.step = max(step, m.step)
}

func (m *meter) add(now lovageshift.Millis, amount int) {
	m.roll(now)
	m.counts[m.step%rateSteps] += amount
}

func (m *meter) perSecond(now lovageshift.Millis) float64 {
	m.roll(now)
	total := 0
	for _, count := range m.counts {
		total += count
	}
	return float64(total) / rateWindow.Seconds()
}
