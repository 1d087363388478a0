package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/metrics"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/quarantine"
	"lovageshift/upstream"
)

// errAttemptCanceled is the error of an attempt that watchForResponse canceled just before the response header arrived.
var errAttemptCanceled = errors.New("response arrived after the attempt was canceled")

// attemptResult is the result of sending the request to one target.
type attemptResult struct {
	// done is set once a target's complete response, whatever its status, has been forwarded to the caller.
	done bool
	// refusal says why the attempt failed, nil if done. It is passed to finish if the request is not retried.
	refusal *lovageshift.Refusal
	// notSent is set if no byte of the request was sent to the target. A retry after such an attempt does not count
	// against the retry budget.
	notSent bool
	// final is set if no other target may get the request either.
	final bool
}

// run sends the request to one target after another until one of them gives a complete response. It ends with a
// refusal, or an aborted response, if the request gets no slot, no further retry is allowed or the context has ended.
func (r *request) run(ctx context.Context) {
	g := r.gateway
	if refusal := r.findRelease(ctx); refusal != nil {
		r.finish(refusal)
		return
	}
	r.job = r.newJob()
	g.retryBudget.RecordRequest(g.clock.Now(), string(r.service))
	r.recordHedgeable()
	for {
		slot, refusal := r.reserveSlot(ctx)
		if refusal != nil {
			r.finish(refusal)
			return
		}
		result := r.attempt(ctx, slot)
		if result.done {
			r.endAnswer()
			r.logEnd("answered", "")
			return
		}
		if !r.startRetry(ctx, result) {
			r.finish(result.refusal)
			return
		}
	}
}

// startRetry reports whether the request may be sent to another target after the result. That requires that the target
// did not run the request, or that the request is repeatable and has attempts left, and that it is known up to which event the
// caller has a stream. Unless nothing was sent, startRetry
// also spends one retry from the retry budget, and returns false if the budget is used up. If it returns true, it has
// extended the queue deadline.
func (r *request) startRetry(ctx context.Context, result attemptResult) bool {
	g := r.gateway
	if ctx.Err() != nil || result.final || r.releaseUnknown || r.positionLost {
		return false
	}
	if result.refusal.Outcome != lovageshift.OutcomeNotRun && !(r.route.Repeatable() && r.runs < r.route.Attempts) {
		return false
	}
	if !result.notSent && !g.retryBudget.Spend(g.clock.Now(), string(r.service)) {
		g.log.Info("retryRefused", "request", r.headers.ID, "reason", result.refusal.Reason)
		return false
	}
	g.metrics.AddRetry(result.refusal.Reason)
	g.log.Info("retry", "request", r.headers.ID, "reason", result.refusal.Reason, "outcome", result.refusal.Outcome.String(),
		"tried", len(r.job.Tried), "detail", oneLine(result.refusal.Detail))
	if r.summary.events > 0 {
		r.job.GoOn(g.clock.Now(), r.summary.lastEventAt)
	} else {
		r.job.Retry(g.clock.Now())
	}
	return true
}

// reserveSlot waits for a slot at a target that has not been tried for this request yet, and marks the target as tried.
// If there is neither a slot nor a refusal, it returns a refusal of its own.
func (r *request) reserveSlot(ctx context.Context) (*placement.Slot, *lovageshift.Refusal) {
	g := r.gateway
	began := g.clock.Now()
	decision := g.reservations.Reserve(ctx, r.job)
	r.recordGroups(decision)
	r.recordSlot(began, decision)
	if decision.Slot != nil {
		r.summary.waited = decision.Slot.Waited
		r.job.Tried = append(r.job.Tried, placement.HashOf(decision.Slot.Target.ID))
		return decision.Slot, nil
	}
	refusal := decision.Refusal
	if refusal == nil {
		refusal = &placement.Refusal{Reason: lovageshift.ReasonShed, RetryAfter: shortRetryAfter}
	}
	r.summary.waited, r.summary.obstacles, r.summary.elsewhere = refusal.Waited, refusal.Obstacles, refusal.Elsewhere
	detail := fmt.Sprintf("no place in time: %d ahead, expected wait %d ms", refusal.Ahead, refusal.ExpectedWait)
	detail += r.countShare(refusal)
	return nil, lovageshift.NotRun(refusal.Reason, detail).WithRetryAfter(refusal.RetryAfter)
}

// attempt sends the request to the slot's target and forwards the response. It releases the slot in every case.
func (r *request) attempt(ctx context.Context, slot *placement.Slot) attemptResult {
	g := r.gateway
	if refusal := r.recheck(slot); refusal != nil {
		g.scheduler.Release(g.clock.Now(), slot, placement.Result{Outcome: placement.Abandoned})
		return attemptResult{refusal: refusal, notSent: true, final: !concernsTarget(refusal)}
	}
	l := r.newLeg(ctx, slot)
	defer l.cancel()
	if delay, due := r.hedgeDelay(l); due {
		return r.attemptHedged(ctx, l, delay)
	}
	r.send(l)
	return r.conclude(ctx, l)
}

// leg is one sending of the request to a target.
type leg struct {
	slot    *placement.Slot
	request *upstream.Request
	sentAt  lovageshift.Millis
	// ctx is the context of the leg, which ends with the request's or when cancel is called.
	ctx    context.Context
	cancel context.CancelFunc
	// stopWatch stops the timer for the response header, as described at watchForResponse.
	stopWatch func() bool

	// The rest is set when send has returned. canceled is set if ctx had ended by then, valid unless watchForResponse has
	// canceled the leg.
	response        *upstream.TargetResponse
	err             error
	valid, canceled bool
	endedAt         lovageshift.Millis
}

// took returns the time until the response header arrived or the leg ended without one.
func (l *leg) took() lovageshift.Millis { return l.endedAt - l.sentAt }

// newLeg prepares to send the request to the slot's target.
func (r *request) newLeg(ctx context.Context, slot *placement.Slot) *leg {
	r.inFlight++
	l := &leg{slot: slot, request: r.targetRequest(slot), sentAt: r.gateway.clock.Now()}
	r.logResume(slot)
	l.ctx, l.cancel = context.WithCancel(ctx)
	l.stopWatch = r.watchForResponse(slot, l.cancel)
	return l
}

// send sends the request and reads the response header. It changes the leg only, so that two legs may be sent at the same time.
func (r *request) send(l *leg) {
	l.response, l.err = r.gateway.pool.Send(l.ctx, l.slot.Target, l.slot.MaxConnections, l.request)
	l.valid = l.stopWatch()
	l.canceled, l.endedAt = l.ctx.Err() != nil, r.gateway.clock.Now()
}

// conclude returns the result of a leg that has been sent. It forwards the response, if there is one to be forwarded, and
// releases the slot.
func (r *request) conclude(ctx context.Context, l *leg) attemptResult {
	g := r.gateway
	r.inFlight--
	r.summary.setTarget(l)
	r.recordFirstByte(ctx, l)
	if l.err != nil {
		return r.noResponse(ctx, l, l.err)
	}
	defer l.response.Close()
	r.recordLimit(l.slot, l.response.Decoded)
	if !l.valid && !l.response.Decoded.NotRun {
		return r.noResponse(ctx, l, errAttemptCanceled)
	}
	r.summary.firstByte = l.took()
	if l.response.Decoded.NotRun {
		g.scheduler.Release(g.clock.Now(), l.slot, placement.Result{Outcome: placement.Refused})
		return attemptResult{refusal: lovageshift.NotRun(lovageshift.ReasonTargetOutOfService, "the target turned it away")}
	}
	r.runs++
	return r.forward(ctx, l.cancel, l.slot, l.response)
}

// concernsTarget reports whether a refusal of recheck is due to the target, so that another one may get the request.
func concernsTarget(refusal *lovageshift.Refusal) bool {
	return refusal.Reason == lovageshift.ReasonTargetLeaving || refusal.Reason == lovageshift.ReasonTargetOutOfService
}

// logResume logs that the request goes on with a stream, for its caller or after an earlier target of its own.
func (r *request) logResume(slot *placement.Slot) {
	if r.headers.LastEventID == "" && r.lastEventID == "" {
		return
	}
	r.gateway.metrics.Add(metrics.StreamsResumed, string(slot.Target.Version), 1)
	r.gateway.log.Info("streamResumed", "request", r.headers.ID, "resumes", r.headers.Resumes, "callerHas", r.headers.LastEventID,
		"entryHas", r.lastEventID, "target", slot.Target.ID, "release", slot.Target.Version)
}

// watchForResponse starts a timer for the response header of the slot's target: lateFactor times the latency objective,
// or half of timeLeft if the request has a deadline and that is shorter. When the timer fires, it counts a failure of
// the target and, if the request may run again, cancels the attempt. The returned function stops the timer and reports
// whether the attempt is still valid, that is, has not been canceled.
func (r *request) watchForResponse(slot *placement.Slot, cancel func()) func() bool {
	g := r.gateway
	// The response may arrive just as the timer fires. Whichever sets decided first, the timer or the returned function,
	// determines whether the attempt is canceled.
	var decided atomic.Bool
	canRerun := r.mayRunAgain()
	timeout := lateFactor * r.job.Objective
	if left := r.timeLeft(); left > 0 {
		timeout = min(timeout, left/2)
	}
	timer := time.AfterFunc(timeout.Duration(), func() {
		g.scheduler.ReportUnresponsive(g.clock.Now(), slot)
		g.log.Info("targetLate", "request", r.headers.ID, "target", slot.Target.ID, "afterMillis", timeout)
		if canRerun && decided.CompareAndSwap(false, true) {
			cancel()
		}
	})
	return func() bool {
		timer.Stop()
		valid := decided.CompareAndSwap(false, true)
		if !valid {
			cancel() // the timer's function may not have called it yet
		}
		return valid
	}
}

// mayRunAgain reports whether the request may run once more, at another target, even if the targets to which it is being sent
// run it.
func (r *request) mayRunAgain() bool {
	return r.route.Repeatable() && r.runs+r.inFlight < r.route.Attempts
}

// noResponse releases the slot and returns the result of an attempt that got no valid response header, or got it only
// after the attempt had been canceled. The request is reported as not run only if no byte of it was sent; otherwise the
// outcome is unknown. If the leg was canceled and ctx has not ended, watchForResponse has canceled it.
func (r *request) noResponse(ctx context.Context, l *leg, err error) attemptResult {
	g, slot := r.gateway, l.slot
	now := g.clock.Now()
	switch {
	case errors.Is(err, upstream.ErrNotSent) && ctx.Err() != nil:
		g.scheduler.Release(now, slot, placement.Result{Outcome: placement.Abandoned})
		return attemptResult{refusal: lovageshift.NotRun(lovageshift.ReasonDeadline, err.Error()), notSent: true}
	case errors.Is(err, upstream.ErrNotSent):
		outcome := placement.Unreachable
		if errors.Is(err, errDoubted) {
			outcome = placement.Abandoned
		}
		g.scheduler.Release(now, slot, placement.Result{Outcome: outcome})
		refusal := lovageshift.NotRun(lovageshift.ReasonTargetFailing, err.Error()).WithRetryAfter(shortRetryAfter)
		return attemptResult{refusal: refusal, notSent: true}
	case ctx.Err() != nil:
		r.runs++
		r.checkSilent(slot)
		g.scheduler.Release(now, slot, placement.Result{Outcome: r.canceledOutcome(ctx)})
		return attemptResult{refusal: lovageshift.Unknown(r.interruptReason(ctx, err), "no answer before it ended")}
	case l.canceled:
		r.runs++
		r.checkSilent(slot)
		g.scheduler.Release(now, slot, placement.Result{Outcome: placement.Failed})
		return attemptResult{refusal: lovageshift.Unknown(lovageshift.ReasonEngineTimeout, "the target did not begin to answer")}
	default:
		r.runs++
		r.recordLoss(ctx, slot, err)
		g.scheduler.Release(now, slot, placement.Result{Outcome: outcomeForError(err, placement.Failed)})
		return attemptResult{refusal: lovageshift.Unknown(lossReason(err), err.Error())}
	}
}

// lossReason returns the reason for a response of which the entry could not read the header or an event, and whose request has not
// ended otherwise.
func lossReason(err error) lovageshift.Reason {
	if errors.Is(err, upstream.ErrNoRoom) {
		return lovageshift.ReasonMemoryExhausted
	}
	return lovageshift.ReasonConnectionLost
}

// canceledOutcome returns the outcome, for the scheduler, of a request whose context ended before its response was
// complete: Failed if the deadline passed, Abandoned if the caller canceled the request.
func (r *request) canceledOutcome(ctx context.Context) placement.Outcome {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return placement.Failed
	}
	return placement.Abandoned
}

// recordLoss records that the request may have crashed its target, provided that the error is a lost connection. If the
// context has ended, that is the cause of the error, and the target is only checked if it was silent.
func (r *request) recordLoss(ctx context.Context, slot *placement.Slot, err error) {
	if ctx.Err() != nil {
		r.checkSilent(slot)
		return
	}
	if !errors.Is(err, upstream.ErrConnectionLost) {
		return
	}
	r.isTrial = false // a trial is sent to one target only
	r.gateway.suspects.recordCrash(r.gateway.clock.Now(), r)
	r.gateway.crashes.recordEnd(slot, r.connectionEnd())
}

func (r *request) connectionEnd() connectionEnd {
	return connectionEnd{parts: r.sharedParts(), firstEventAt: r.summary.firstEventAt(), lastEventAt: r.summary.lastEventAt}
}

// checkSilent has the target checked if it has sent nothing for long, although the connection to it is not lost. If its
// incarnation is gone by now, another one may answer the check.
func (r *request) checkSilent(slot *placement.Slot) {
	last := r.summary.sentAt
	if r.summary.targetEvents > 0 {
		last = r.summary.lastEventAt
	}
	g := r.gateway
	if g.clock.Now()-last < silenceToCheck {
		return
	}
	end := r.connectionEnd()
	registered := g.tracker.View().Targets[slot.Target.ID]
	end.gone = registered == nil || registered.Born != slot.Target.Born
	g.crashes.recordEnd(slot, end)
}

// recordAnswer records that the target has given a complete response.
func (r *request) recordAnswer(response *upstream.TargetResponse) {
	r.gateway.suspects.clear(r)
	if began := r.answerBegan(response); began > 0 {
		r.gateway.crashes.answered(r.sharedParts(), began)
	}
}

// answerBegan returns when the target began to write its answer, 0 if it wrote none.
func (r *request) answerBegan(response *upstream.TargetResponse) lovageshift.Millis {
	if r.route.Kind != catalog.KindStream && response.Status < http.StatusMultipleChoices {
		return r.summary.sentAt + r.summary.firstByte
	}
	return r.summary.firstEventAt()
}

// recordProgress records the answer of a stream that has gone on for long enough, once for each target.
func (r *request) recordProgress() {
	began := r.summary.firstEventAt()
	if r.summary.sound || !quarantine.Sound(began, r.summary.lastEventAt) {
		return
	}
	r.summary.sound = true
	r.gateway.crashes.answered(r.sharedParts(), began)
}

// outcomeForError returns placement.ConnectionLost for a lost connection, and the outcome given as otherwise for any
// other error.
func outcomeForError(err error, otherwise placement.Outcome) placement.Outcome {
	if errors.Is(err, upstream.ErrConnectionLost) {
		return placement.ConnectionLost
	}
	return otherwise
}

const (
	// Retry-After of a refusal while the entry is stopping, of one because a target cannot be reached, and of one for a
	// request that got neither a slot nor a refusal from the scheduler.
	shortRetryAfter lovageshift.Millis = 200
	// A target is late, which counts as a failure of the target, if its response header has not arrived within this many
	// latency objectives after the request was sent; see watchForResponse.
	lateFactor lovageshift.Millis = 3
)

// targetRequest returns the request to send to the slot's target. A stream that is retried resumes after the last event
// received from an earlier target. Otherwise it resumes after the event that the caller names, if it names one.
func (r *request) targetRequest(slot *placement.Slot) *upstream.Request {
	account := lovageshift.AccountID("")
	if r.account != nil {
		account = r.account.ID
	}
	after := r.headers.LastEventID
	if r.lastEventID != "" {
		after = r.lastEventID
	}
	return &upstream.Request{
		ID:     r.headers.ID,
		Method: r.req.Method,
		URI:    r.req.RequestURI,
		Host:   r.req.Host,
		Header: platform.ForwardRequestHeader(r.req.Header, platform.ForwardOptions{
			Target: slot.Target.ID, Account: account, Timeout: r.timeLeft(), LastEventID: after,
		}),
		Body:       r.body,
		HasBody:    len(r.body) > 0 || r.req.ContentLength == 0 || len(r.req.TransferEncoding) > 0,
		Repeatable: r.route.Repeatable(),
		Verify:     r.verifyVersion(slot),
	}
}
