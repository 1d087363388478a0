package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/hedge"
	"lovageshift/metrics"
	"lovageshift/placement"
	"lovageshift/upstream"
)

// hedgeable reports whether a second attempt of the request may be sent while the first one runs. Streams get none.
func (r *request) hedgeable() bool {
	return r.gateway.hedges != nil && r.route.Kind == catalog.KindSafe
}

// sizeClass returns the size class of the request, by its prompt tokens or, if it declares none, its body.
func (r *request) sizeClass() hedge.SizeClass {
	if r.headers.HasTokenCounts {
		return hedge.ClassOf(int64(r.headers.PromptTokens))
	}
	return hedge.ClassOf(int64(len(r.body)))
}

// recordHedgeable counts the request among those of its service that may get second attempts.
func (r *request) recordHedgeable() {
	if r.hedgeable() {
		r.gateway.hedges.RecordRequest(r.gateway.clock.Now(), r.service)
	}
}

// recordSlot records how long the wait for a slot took that began at the given time.
func (r *request) recordSlot(began lovageshift.Millis, decision placement.Decision) {
	if g := r.gateway; g.hedges != nil {
		now := g.clock.Now()
		g.hedges.RecordSlot(now, r.service, r.job.Objective, now-began, decision.Slot == nil)
	}
}

// recordFirstByte records the time to the first byte of a leg. For a leg that timed out without a response, it records the time
// until then as a lower bound. A leg that the caller ended is not recorded.
func (r *request) recordFirstByte(ctx context.Context, l *leg) {
	isTimeout := l.response == nil && l.canceled && !errors.Is(ctx.Err(), context.Canceled)
	isResponse := l.response != nil && !l.response.Decoded.NotRun
	if r.hedgeable() && (isTimeout || isResponse) {
		r.gateway.hedges.RecordFirstByte(r.gateway.clock.Now(), r.service, r.sizeClass(), l.took())
	}
}

// hedgeDelay returns after which time a second attempt is due while the first leg runs, and false if there is to be none.
func (r *request) hedgeDelay(first *leg) (lovageshift.Millis, bool) {
	if !r.hedgeable() || !r.mayRunAgain() || r.isTrial {
		return 0, false
	}
	return r.gateway.hedges.Delay(first.sentAt, r.hedgeAttempt(first))
}

func (r *request) hedgeAttempt(first *leg) hedge.Attempt {
	return hedge.Attempt{
		Service: r.service, Size: r.sizeClass(), Objective: r.job.Objective, SentAt: first.sentAt, Deadline: r.deadline,
	}
}

// race is a request that is sent to a second target while the first one has not responded. The request's own goroutine decides
// everything: others only wait for the slot and the response headers, and each hands over one result.
type race struct {
	*request
	ctx           context.Context
	first, second *leg // second is nil until it is sent
	// running counts the legs that have not ended, and reserving is set while the slot of the second one is awaited.
	running   int
	reserving bool
	// stopReserving ends the wait for the slot.
	stopReserving context.CancelFunc
	group         errgroup.Group
	ended         chan *leg
	reserved      chan *placement.Slot // gets nil if there is no slot
	// held is a leg with a 5xx response, which reaches the caller only if the other leg gets none.
	held *leg
	// failed is the result of a leg that got no response while the other one went on.
	failed *attemptResult
}

// attemptHedged sends the request to the first leg's target and, unless that responds within the delay, to a second one too. The
// first valid response below 500 is forwarded; the other leg is canceled before that, and its slot is released.
func (r *request) attemptHedged(ctx context.Context, first *leg, delay lovageshift.Millis) attemptResult {
	c := &race{
		request: r, ctx: ctx, first: first, stopReserving: func() {},
		ended: make(chan *leg, 2), reserved: make(chan *placement.Slot, 1),
	}
	defer func() { _ = c.group.Wait() }()
	c.start(first)
	timer := time.NewTimer(delay.Duration())
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
			c.reserve()
		case slot := <-c.reserved:
			c.reserving = false
			if len(c.ended) > 0 { // the first leg has just ended
				c.abandon(slot)
				continue
			}
			c.startSecond(slot)
		case l := <-c.ended:
			c.running--
			if c.wins(l) || c.running == 0 {
				return c.finishRace(l)
			}
			c.setAside(l)
		}
	}
}

// start sends the request on the leg.
func (c *race) start(l *leg) {
	c.running++
	c.group.Go(func() error {
		c.send(l)
		c.ended <- l
		return nil
	})
}

// reserve begins to ask for the slot of the second leg if there may be one.
func (c *race) reserve() {
	g := c.gateway
	verdict := hedge.Unfit
	if !c.isTrial && !g.suspects.has(g.clock.Now(), c.fingerprint()) {
		verdict = g.hedges.Allow(g.clock.Now(), c.hedgeAttempt(c.first))
	}
	if verdict != hedge.Allowed {
		g.metrics.Add(metrics.Hedges, string(verdict), 1)
		return
	}
	job := *c.job
	job.Tried = slices.Clone(job.Tried)
	job.HasVersion, job.Version = true, c.first.slot.Target.Version
	ctx, cancel := context.WithCancel(c.ctx)
	c.stopReserving, c.reserving = cancel, true
	c.group.Go(func() error {
		defer cancel()
		c.reserved <- g.reservations.ReserveSpare(ctx, &job)
		return nil
	})
}

// startSecond sends the request on a second leg with the slot, unless that is nil or the request must not be sent any more.
func (c *race) startSecond(slot *placement.Slot) {
	g := c.gateway
	verdict := hedge.Allowed
	switch {
	case slot == nil:
		verdict = hedge.NoCapacity
	case c.recheck(slot) != nil, c.isTrial:
		verdict = hedge.Unfit
	case !g.retryBudget.Spend(g.clock.Now(), string(c.service)):
		verdict = hedge.OverBudget
	}
	g.metrics.Add(metrics.Hedges, string(verdict), 1)
	if verdict != hedge.Allowed {
		c.abandon(slot)
		return
	}
	c.job.Tried = append(c.job.Tried, placement.HashOf(slot.Target.ID))
	c.second = c.newLeg(c.ctx, slot)
	c.start(c.second)
}

// abandon releases a slot that was not used, if there is one.
func (c *race) abandon(slot *placement.Slot) {
	if slot != nil {
		c.gateway.scheduler.Release(c.gateway.clock.Now(), slot, placement.Result{Outcome: placement.Abandoned})
	}
}

// wins reports whether the response of a leg that has ended is forwarded without waiting for the other leg.
func (c *race) wins(l *leg) bool {
	return hasResponse(l) && l.response.Status < http.StatusInternalServerError
}

// hasResponse reports whether a leg has ended with a response that may be forwarded.
func hasResponse(l *leg) bool {
	return l.err == nil && l.valid && !l.response.Decoded.NotRun
}

// setAside keeps the 5xx response, or the result, of a leg that has ended while the other one goes on.
func (c *race) setAside(l *leg) {
	if hasResponse(l) {
		c.held = l
		return
	}
	result := c.conclude(c.ctx, l)
	c.failed = &result
}

// finishRace ends the race with the last leg that has ended: it wins, or none goes on.
func (c *race) finishRace(last *leg) attemptResult {
	if c.second == nil {
		c.endReserving()
		return c.conclude(c.ctx, last)
	}
	defer c.second.cancel()
	switch {
	case c.wins(last):
		c.cancelOther(last)
	case c.held != nil && hasResponse(last):
		c.drop(last)
		last = c.held
	case c.held != nil:
		c.conclude(c.ctx, last)
		last = c.held
	}
	c.logRace(last)
	result := c.conclude(c.ctx, last)
	if c.failed == nil || result.done {
		return result
	}
	return bothFailed(*c.failed, result)
}

// cancelOther cancels the leg that did not win, waits for its end, which follows at once, and releases its slot.
func (c *race) cancelOther(winner *leg) {
	if c.held != nil {
		c.drop(c.held)
	}
	if c.running == 0 {
		return
	}
	other := c.first
	if winner == c.first {
		other = c.second
	}
	other.cancel()
	c.drop(<-c.ended)
}

// endReserving ends the wait for the slot of a second leg, which is not needed any more.
func (c *race) endReserving() {
	c.stopReserving()
	if c.reserving {
		c.abandon(<-c.reserved)
	}
}

// drop ends a leg whose response is not forwarded, as another one is. A target that had not responded when the leg was canceled
// has not failed unless it was late. The time that the first leg took is recorded in any case, as a lower bound.
func (c *race) drop(l *leg) {
	g := c.gateway
	if l.err != nil && !l.canceled {
		c.conclude(c.ctx, l) // it ended by itself
		return
	}
	c.inFlight--
	c.summary.setTarget(l)
	result := placement.Result{Outcome: placement.Abandoned}
	if !l.valid {
		result.Outcome = placement.Failed
	}
	switch {
	case l.response != nil:
		defer l.response.Close()
		c.recordLimit(l.slot, l.response.Decoded)
		if l.response.Decoded.NotRun {
			result.Outcome = placement.Refused
			break
		}
		c.runs++
		result.FirstEvent = l.took()
		if l.response.Status >= http.StatusInternalServerError {
			result.Outcome = placement.Failed
		}
	case errors.Is(l.err, upstream.ErrNotSent):
	default:
		c.runs++
		c.checkSilent(l.slot)
		if l == c.first {
			result.FirstEvent = l.took()
		}
	}
	if l == c.first || l.response != nil {
		c.recordFirstByte(c.ctx, l)
	}
	g.scheduler.Release(g.clock.Now(), l.slot, result)
}

// bothFailed returns the result of two legs of which none got a response: that of the leg that may have run, if there is one.
func bothFailed(a, b attemptResult) attemptResult {
	result := b
	if b.refusal.Outcome == lovageshift.OutcomeNotRun {
		result = a
	}
	result.notSent = a.notSent && b.notSent
	return result
}

// logRace logs which of the two legs gives the response, or the last failure.
func (c *race) logRace(last *leg) {
	g := c.gateway
	won := last == c.second && hasResponse(last)
	if won {
		g.metrics.Add(metrics.Hedges, string(hedge.Won), 1)
	}
	g.log.Info("hedged", "request", c.headers.ID, "target", c.first.slot.Target.ID, "second", c.second.slot.Target.ID,
		"afterMillis", c.second.sentAt-c.first.sentAt, "secondWon", won, "answered", hasResponse(last))
}
