package gateway

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"lovageshift"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/upstream"
)

var errGivenUp = errors.New("the answer came after the attempt was given up")

// step is what follows after one target had the request.
type step struct {
	done bool
	// refusal is the final answer if no other target can be asked.
	refusal *lovageshift.Refusal
	// free steps cost the retry budget nothing, as no request arrived anywhere.
	free bool
}

// run asks targets until one has answered or no other may be asked.
func (r *request) run(ctx context.Context) {
	g := r.gateway
	r.job = r.newJob()
	g.retries.RecordRequest(g.clock.Now(), string(r.service))
	for {
		place, refusal := r.await(ctx)
		if refusal != nil {
			r.finish(refusal)
			return
		}
		next := r.offer(ctx, place)
		if next.done {
			g.suspects.acquit(r.fingerprint())
			r.tell("answered", "")
			return
		}
		if !r.again(ctx, next) {
			r.finish(next.refusal)
			return
		}
	}
}

// again reports whether another target may be asked after the step, and if so leaves time to wait for its place.
func (r *request) again(ctx context.Context, next step) bool {
	g := r.gateway
	if ctx.Err() != nil {
		return false
	}
	if next.refusal.Outcome != lovageshift.OutcomeNotRun && !(r.route.Repeatable() && r.runs < r.route.Attempts) {
		return false
	}
	if !next.free && !g.retries.Spend(g.clock.Now(), string(r.service)) {
		g.log.Info("retryRefused", "request", r.ask.ID, "reason", next.refusal.Reason)
		return false
	}
	g.counts.Retried(next.refusal.Reason)
	g.log.Info("retry", "request", r.ask.ID, "reason", next.refusal.Reason, "outcome", next.refusal.Outcome.String(),
		"tried", len(r.job.Tried), "detail", oneLine(next.refusal.Detail))
	r.job.QueueDeadline = max(r.job.QueueDeadline, g.clock.Now()+r.job.Objective/4)
	return true
}

// await waits for a place at a target, which is not asked for again.
func (r *request) await(ctx context.Context) (*placement.Slot, *lovageshift.Refusal) {
	g := r.gateway
	decision := g.places.Reserve(ctx, r.job)
	if decision.Slot != nil {
		r.story.waited = decision.Slot.Waited
		r.job.Tried = append(r.job.Tried, placement.HashOf(decision.Slot.Target.ID))
		return decision.Slot, nil
	}
	refusal := decision.Refusal
	if refusal == nil {
		refusal = &placement.Refusal{Reason: lovageshift.ReasonShed, RetryAfter: retrySoon}
	}
	r.story.waited = refusal.Waited
	detail := fmt.Sprintf("no place in time: %d ahead, expected wait %d ms", refusal.Ahead, refusal.ExpectedWait)
	return nil, lovageshift.NotRun(refusal.Reason, detail).WithRetryAfter(refusal.RetryAfter)
}

// offer sends the request to the place's target and passes the answer on.
func (r *request) offer(ctx context.Context, place *placement.Slot) step {
	g := r.gateway
	if refusal := r.stillAllowed(place); refusal != nil {
		g.desk.Release(g.clock.Now(), place, placement.Result{Outcome: placement.Abandoned})
		return step{refusal: refusal, free: true}
	}
	r.story.note(place)
	r.story.sentAt = g.clock.Now()
	sending, giveUp := context.WithCancel(ctx)
	defer giveUp()
	stop := r.watchSilence(place, giveUp)
	answer, err := g.pool.Send(sending, place.Target, place.MaxConnections, r.toTarget(place))
	inTime := stop()
	if err != nil {
		return r.unanswered(ctx, sending, place, err)
	}
	defer answer.Close()
	if !inTime && !answer.Verdict.NotRun {
		return r.unanswered(ctx, sending, place, errGivenUp)
	}
	r.story.firstByte = g.clock.Now() - r.story.sentAt
	if answer.Verdict.NotRun {
		g.desk.Release(g.clock.Now(), place, placement.Result{Outcome: placement.Refused})
		return step{refusal: lovageshift.NotRun(lovageshift.ReasonTargetOutOfService, "the target turned it away")}
	}
	r.runs++
	return r.deliver(ctx, place, answer)
}

// watchSilence counts a target that does not begin to answer as failing, long before the request's time is up, and ends
// the attempt if another target may be asked. The function returned ends the watch and tells whether the attempt stands.
func (r *request) watchSilence(place *placement.Slot, giveUp func()) func() bool {
	g := r.gateway
	// The answer and the end of patience may come together; the first of them decides.
	var decided atomic.Bool
	again := r.mayRepeat()
	limit := lateFactor * r.job.Objective
	if left := r.left(); left > 0 {
		limit = min(limit, left/2)
	}
	timer := time.AfterFunc(limit.Duration(), func() {
		g.desk.ReportUnresponsive(g.clock.Now(), place)
		g.log.Info("targetLate", "request", r.ask.ID, "target", place.Target.ID, "afterMillis", limit)
		if again && decided.CompareAndSwap(false, true) {
			giveUp()
		}
	})
	return func() bool {
		timer.Stop()
		stands := decided.CompareAndSwap(false, true)
		if !stands {
			giveUp() // the timer may not have come to it yet
		}
		return stands
	}
}

// mayRepeat reports whether the request may run once more after the run under way.
func (r *request) mayRepeat() bool { return r.route.Repeatable() && r.runs+1 < r.route.Attempts }

// unanswered tells what is known of a request whose target gave no answer.
func (r *request) unanswered(ctx, sending context.Context, place *placement.Slot, err error) step {
	g := r.gateway
	now := g.clock.Now()
	switch {
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() != nil:
		g.desk.Release(now, place, placement.Result{Outcome: placement.Abandoned})
		return step{refusal: lovageshift.NotRun(lovageshift.ReasonDeadline, err.Error()), free: true}
	case errors.Is(err, upstream.ErrNotSent):
		g.desk.Release(now, place, placement.Result{Outcome: placement.Unreachable})
		return step{refusal: lovageshift.NotRun(lovageshift.ReasonTargetFailing, err.Error()).WithRetryAfter(retrySoon), free: true}
	case ctx.Err() != nil:
		r.runs++
		g.desk.Release(now, place, placement.Result{Outcome: r.blame(ctx)})
		return step{refusal: lovageshift.Unknown(r.brokenReason(ctx), "no answer before it ended")}
	case sending.Err() != nil:
		r.runs++
		g.desk.Release(now, place, placement.Result{Outcome: placement.Failed})
		return step{refusal: lovageshift.Unknown(lovageshift.ReasonEngineTimeout, "the target did not begin to answer")}
	default:
		r.runs++
		r.suspect(err)
		g.desk.Release(now, place, placement.Result{Outcome: brokenOr(err, placement.Failed)})
		return step{refusal: lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())}
	}
}

// blame returns whether a request that ended without an answer speaks against its target: it does when time ran out.
func (r *request) blame(ctx context.Context) placement.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return placement.Failed
	}
	return placement.Abandoned
}

// suspect remembers a request whose target may have crashed under it.
func (r *request) suspect(err error) {
	if errors.Is(err, upstream.ErrConnectionLost) {
		r.gateway.suspects.crashed(r.gateway.clock.Now(), r.ask.ID, r.fingerprint())
	}
}

// brokenOr tells a lost connection from other failures.
func brokenOr(err error, other placement.Outcome) placement.Outcome {
	if errors.Is(err, upstream.ErrConnectionLost) {
		return placement.ConnectionLost
	}
	return other
}

const (
	retrySoon lovageshift.Millis = 200
	// A target that takes this many objectives to begin its answer is failing.
	lateFactor lovageshift.Millis = 3
)

func (r *request) toTarget(place *placement.Slot) *upstream.Request {
	account := lovageshift.AccountID("")
	if r.account != nil {
		account = r.account.ID
	}
	after := r.ask.After
	if r.lastEvent != "" {
		after = r.lastEvent
	}
	return &upstream.Request{
		ID:     r.ask.ID,
		Method: r.http.Method,
		URI:    r.http.RequestURI,
		Host:   r.http.Host,
		Header: platform.TargetHeader(r.http.Header, platform.Forward{
			Target: place.Target.ID, Account: account, Left: r.left(), After: after,
		}),
		Body:       r.body,
		HasBody:    len(r.body) > 0 || r.http.ContentLength == 0 || len(r.http.TransferEncoding) > 0,
		Repeatable: r.route.Repeatable(),
	}
}
