package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"github.com/gravitational/trace"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/connection"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/upstream"
)

// forward forwards the response to the caller, event by event if it is a successful stream, or retries the request
// after a complete response with a 5xx status. A status that tells the caller that its request did not run, although the
// target does not say so, is not forwarded if the request must not run more than once. It releases the slot once the target's response has been received or has
// failed.
func (r *request) forward(ctx context.Context, cancel context.CancelFunc, slot *placement.Slot, response *upstream.TargetResponse) attemptResult {
	success := response.Status >= 200 && response.Status < 300
	if response.Decoded.Unexplained && !r.route.Repeatable() {
		return r.rejectResponse(slot, lovageshift.ReasonEngineFailed, "status "+strconv.Itoa(response.Status)+" of a target that may have run it")
	}
	if r.answer.Begun() && !r.goesOnWith(response) {
		return r.rejectResponse(slot, lovageshift.ReasonEngineFailed, "status "+strconv.Itoa(response.Status)+" in place of the rest of the stream")
	}
	if r.route.Kind == catalog.KindStream && success {
		return r.forwardStream(ctx, cancel, slot, response)
	}
	return r.forwardBody(ctx, slot, response, success)
}

// rejectResponse releases the slot and returns the result of an attempt whose response must not reach the caller.
func (r *request) rejectResponse(slot *placement.Slot, reason lovageshift.Reason, detail string) attemptResult {
	g := r.gateway
	g.scheduler.Release(g.clock.Now(), slot, placement.Result{Outcome: placement.Failed})
	return attemptResult{refusal: lovageshift.Unknown(reason, detail)}
}

// forwardBody receives the body of a response that is not a successful stream, and forwards the response. If the status
// is 5xx and a retry is allowed, it retries the request instead, unless the body is too large to hold it until then.
func (r *request) forwardBody(ctx context.Context, slot *placement.Slot, response *upstream.TargetResponse, success bool) attemptResult {
	g := r.gateway
	body, complete, err := response.ReadBody()
	if err == nil && complete {
		err = r.proveEnd(ctx, slot, response)
	}
	if err != nil {
		r.recordLoss(ctx, slot, err)
		g.scheduler.Release(g.clock.Now(), slot, placement.Result{Outcome: r.bodyErrorOutcome(ctx, err)})
		return attemptResult{refusal: lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, err.Error())}
	}
	outcome := placement.Served
	if !success {
		outcome = placement.Failed
	}
	if !complete {
		r.forwardLargeBody(ctx, slot, response, body, outcome)
		return attemptResult{done: true}
	}
	g.scheduler.Release(g.clock.Now(), slot, placement.Result{FirstEvent: r.summary.firstByte, Outcome: outcome})
	r.recordAnswer(response)
	if !success && response.Status >= http.StatusInternalServerError {
		failed := attemptResult{refusal: lovageshift.Unknown(lovageshift.ReasonEngineFailed, "status "+strconv.Itoa(response.Status))}
		if r.startRetry(ctx, failed) {
			return r.retryFailed(ctx, response, body)
		}
	}
	r.writeResponse(response, body)
	return attemptResult{done: true}
}

// forwardLargeBody forwards a response of which only the beginning of the body has been received, and the rest of the
// body as it arrives. It releases the slot. If the rest does not arrive completely or cannot be written to the caller, it
// aborts.
func (r *request) forwardLargeBody(ctx context.Context, slot *placement.Slot, response *upstream.TargetResponse, beginning []byte, outcome placement.Outcome) {
	g := r.gateway
	r.writeHeader(response, response.Length())
	_, err := r.answer.Write(beginning)
	if err == nil {
		err = response.CopyRest(r.answer)
	}
	if err == nil {
		err = r.proveEnd(ctx, slot, response)
	}
	switch {
	case err == nil:
		r.recordAnswer(response)
	case errors.Is(err, upstream.ErrConnectionLost), errors.Is(err, upstream.ErrInvalidResponse):
		outcome = r.bodyErrorOutcome(ctx, err)
		r.recordLoss(ctx, slot, err)
	default: // the caller does not read the response
		outcome = placement.Abandoned
	}
	g.scheduler.Release(g.clock.Now(), slot, placement.Result{FirstEvent: r.summary.firstByte, Outcome: outcome})
	if err != nil {
		r.abort(err.Error())
	}
}

// proveEnd returns an error unless the body of the response, which has been read to its end, is whole. If only the end of the
// connection shows that, the target must still run: the kernel ends the connections of a process that was killed in the same way.
func (r *request) proveEnd(ctx context.Context, slot *placement.Slot, response *upstream.TargetResponse) error {
	if !response.EndsWithConnection() || upstream.StillRuns(ctx, slot.Target) {
		return nil
	}
	r.gateway.log.Info("endNotProven", "request", r.headers.ID, "target", slot.Target.ID, "events", r.summary.targetEvents)
	return trace.Wrap(upstream.ErrConnectionLost, "the target does not answer after the end of its connection")
}

// bodyErrorOutcome returns the outcome, for the scheduler, of a request whose response body could not be read to its
// end: that of the context if it has ended, otherwise that of the error.
func (r *request) bodyErrorOutcome(ctx context.Context, err error) placement.Outcome {
	if ctx.Err() == nil {
		return outcomeForError(err, placement.Failed)
	}
	return r.canceledOutcome(ctx)
}

// retryFailed sends the request to another target after a complete 5xx response. If the request gets no slot at another
// target, the 5xx response is forwarded.
func (r *request) retryFailed(ctx context.Context, response *upstream.TargetResponse, body []byte) attemptResult {
	slot, refusal := r.reserveSlot(ctx)
	if refusal != nil {
		r.writeResponse(response, body)
		return attemptResult{done: true}
	}
	return r.attempt(ctx, slot)
}

// writeResponse writes a complete response to the caller.
func (r *request) writeResponse(response *upstream.TargetResponse, body []byte) {
	r.writeHeader(response, len(body))
	if _, err := r.answer.Write(body); err != nil {
		r.summary.detail = err.Error()
	}
}

// writeHeader writes the status and headers of a target's response to the caller. Length is the body's size in bytes, -1 if it
// is not known.
func (r *request) writeHeader(response *upstream.TargetResponse, length int) {
	header := r.w.Header()
	for name, values := range platform.ForwardResponseHeader(response.Header) {
		header[name] = values
	}
	if response.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil // keeps net/http from adding one
	}
	r.gateway.closeIfDraining(header)
	r.summary.status = response.Status
	if err := r.answer.Begin(response.Status, length); err != nil {
		r.gateway.log.Info("connectionNotReset", "request", r.headers.ID, "error", oneLine(err.Error()))
	}
}

// endAnswer ends the answer to the caller as complete.
func (r *request) endAnswer() {
	if err := r.answer.End(); err != nil {
		r.gateway.log.Info("answerNotEnded", "request", r.headers.ID, "error", oneLine(err.Error()))
	}
}

// interruptReason returns the reason for a response that did not arrive completely: the stop of the entry, the deadline, the
// caller's withdrawal or, if the context has not ended, that of the error.
func (r *request) interruptReason(ctx context.Context, err error) lovageshift.Reason {
	switch {
	case errors.Is(context.Cause(ctx), ErrStopping):
		return lovageshift.ReasonStopping
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lovageshift.ReasonEngineTimeout
	case ctx.Err() != nil:
		return lovageshift.ReasonWithdrawnByCaller
	default:
		return lossReason(err)
	}
}

// finish ends a request that got no complete response. It refuses the request or, if a part of a response has been sent
// to the caller, closes the caller's connection. A refusal as not run becomes one with an unknown outcome if a target
// may have run the request.
func (r *request) finish(refusal *lovageshift.Refusal) {
	if r.runs > 0 && refusal.Outcome == lovageshift.OutcomeNotRun {
		// The last target did not run the request, but an earlier one may have.
		refusal = lovageshift.Unknown(refusal.Reason, refusal.Detail).WithRetryAfter(refusal.RetryAfter)
	}
	if r.answer.Begun() {
		r.abort(refusal.Detail)
	}
	r.refuse(refusal)
}

// abort ends the answer to the caller within it, so that it never looks complete. It does not return: it panics with
// http.ErrAbortHandler.
func (r *request) abort(detail string) {
	r.logEnd("brokenOff", detail)
	r.answer.Break()
}

// refuse writes the refusal to the caller as the response, and logs and counts it.
func (r *request) refuse(refusal *lovageshift.Refusal) {
	r.prepareRepeat(refusal)
	r.limitUnread()
	header := r.w.Header()
	platform.SetRequestID(header, r.headers.ID)
	setRefusalHeader(header, refusal)
	r.gateway.closeIfDraining(header)
	r.summary.status = statusOf(refusal)
	r.w.WriteHeader(r.summary.status)
	_, _ = io.WriteString(r.w, refusalBody(refusal))
	r.gateway.metrics.AddRefusal(refusal.Reason)
	r.logEnd("refused", string(refusal.Reason)+": "+refusal.Detail)
}

// Refusal returns the refusal, encoded, of a request whose header is not known.
func Refusal(refusal *lovageshift.Refusal) []byte {
	header := http.Header{}
	setRefusalHeader(header, refusal)
	return connection.Encode(statusOf(refusal), header, refusalBody(refusal))
}

// setRefusalHeader sets the header fields of the refusal.
func setRefusalHeader(header http.Header, refusal *lovageshift.Refusal) {
	if refusal.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
}

// refusalBody returns the body of the answer with the refusal.
func refusalBody(refusal *lovageshift.Refusal) string { return string(refusal.Reason) + "\n" }

// prepareRepeat prepares for the caller to send the refused request again: it limits Retry-After to the wait that
// callers accept (see retryAfterShare), and records the refusal, so that the request is recognized when it is repeated.
// It does nothing for a refusal without Retry-After, or if the request was refused before it waited for a slot.
func (r *request) prepareRepeat(refusal *lovageshift.Refusal) {
	if refusal.RetryAfter == 0 || r.job == nil {
		return
	}
	if r.deadline > 0 {
		left := r.deadline - r.gateway.clock.Now()
		refusal.RetryAfter = max(min(refusal.RetryAfter, lovageshift.Millis(float64(left)*retryAfterShare)), 1)
	}
	r.gateway.refused.add(r.gateway.clock.Now(), r.shortFingerprint())
}

// Retry-After is at most this share of the time left to request.deadline. Callers wait for Retry-After only if it is at
// most a third of the time left to their own deadline.
const retryAfterShare = 0.32

// statusOf returns the HTTP status of a refusal. If the request did not run, this is the status of its reason, with 503
// in place of 422 and of every 5xx status. If the request may have run, it is 504 after a timeout and 502 otherwise. So
// 503 and the statuses below 500 always mean that the request did not run.
func statusOf(refusal *lovageshift.Refusal) int {
	status := refusal.Reason.Status()
	if refusal.Outcome == lovageshift.OutcomeNotRun {
		if status >= http.StatusInternalServerError || status == http.StatusUnprocessableEntity {
			return http.StatusServiceUnavailable
		}
		return status
	}
	if status == http.StatusGatewayTimeout {
		return status
	}
	return http.StatusBadGateway
}
