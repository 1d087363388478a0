package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/upstream"
)

// deliver passes a target's answer on to the client.
func (r *request) deliver(ctx context.Context, place *placement.Slot, answer *upstream.TargetResponse) step {
	success := answer.Status >= 200 && answer.Status < 300
	if r.route.Kind == catalog.KindStream && success {
		return r.deliverStream(ctx, place, answer)
	}
	return r.deliverWhole(ctx, place, answer, success)
}

func (r *request) deliverWhole(ctx context.Context, place *placement.Slot, answer *upstream.TargetResponse, success bool) step {
	g := r.gateway
	body, err := answer.ReadBody()
	if err != nil {
		g.desk.Release(g.clock.Now(), place, placement.Result{Outcome: r.blameFor(ctx, err)})
		return step{refusal: lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, err.Error())}
	}
	outcome := placement.Served
	if !success {
		outcome = placement.Failed
	}
	g.desk.Release(g.clock.Now(), place, placement.Result{FirstEvent: r.story.firstByte, Outcome: outcome})
	if !success && answer.Status >= http.StatusInternalServerError {
		failed := step{refusal: lovageshift.Unknown(lovageshift.ReasonEngineFailed, "status "+strconv.Itoa(answer.Status))}
		if r.again(ctx, failed) {
			return r.offerAgain(ctx, answer, body)
		}
	}
	r.writeWhole(answer, body)
	return step{done: true}
}

func (r *request) blameFor(ctx context.Context, err error) placement.Outcome {
	if ctx.Err() == nil {
		return brokenOr(err, placement.Failed)
	}
	return r.blame(ctx)
}

// offerAgain asks another target after a failure that the first one vouched for, which is passed on if none has room.
func (r *request) offerAgain(ctx context.Context, answer *upstream.TargetResponse, body []byte) step {
	place, refusal := r.await(ctx)
	if refusal != nil {
		r.writeWhole(answer, body)
		return step{done: true}
	}
	return r.offer(ctx, place)
}

func (r *request) writeWhole(answer *upstream.TargetResponse, body []byte) {
	if r.began {
		r.breakOff("the answer went on as a failure")
	}
	r.writeHead(answer, len(body))
	if _, err := r.w.Write(body); err != nil {
		r.story.detail = err.Error()
	}
}

// writeHead writes the status and headers of a target's answer; length is -1 for a stream.
func (r *request) writeHead(answer *upstream.TargetResponse, length int) {
	header := r.w.Header()
	for name, values := range platform.ClientHeader(answer.Header) {
		header[name] = values
	}
	if answer.Header.Get("Content-Type") == "" {
		header["Content-Type"] = nil
	}
	if length >= 0 && r.http.Method != http.MethodHead {
		header["Content-Length"] = []string{strconv.Itoa(length)}
	}
	r.w.WriteHeader(answer.Status)
	r.began = true
	r.story.status = answer.Status
}

// deliverStream passes events on as they arrive; each one goes out whole.
func (r *request) deliverStream(ctx context.Context, place *placement.Slot, answer *upstream.TargetResponse) step {
	g := r.gateway
	events := answer.Events()
	flusher, _ := r.w.(http.Flusher)
	for {
		event, err := events.Next()
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			if !r.began {
				r.writeHead(answer, -1)
			}
			g.desk.Release(g.clock.Now(), place, placement.Result{FirstEvent: r.story.firstEvent, Outcome: placement.Served})
			return step{done: true}
		default:
			if ctx.Err() == nil {
				r.suspect(err)
			}
			g.desk.Release(g.clock.Now(), place, placement.Result{Outcome: r.blameFor(ctx, err)})
			return step{refusal: lovageshift.Unknown(r.brokenReason(ctx), err.Error())}
		}
		if !r.began {
			r.writeHead(answer, -1)
		}
		if r.story.events == 0 {
			r.story.firstEvent = g.clock.Now() - r.story.sentAt
		}
		if event.ID != "" {
			r.lastEvent = event.ID
		}
		r.story.noteEvent(g.clock.Now())
		if _, err := r.w.Write(event.Raw); err != nil {
			g.desk.Release(g.clock.Now(), place, placement.Result{Outcome: placement.Abandoned})
			return step{refusal: lovageshift.Unknown(lovageshift.ReasonWithdrawnByCaller, "the client is gone")}
		}
		if flusher != nil && !events.Buffered() {
			flusher.Flush()
		}
	}
}

func (r *request) brokenReason(ctx context.Context) lovageshift.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return lovageshift.ReasonEngineTimeout
	case ctx.Err() != nil:
		return lovageshift.ReasonWithdrawnByCaller
	default:
		return lovageshift.ReasonConnectionLost
	}
}

// finish ends a request without a whole answer: with a refusal, or by breaking off what has begun.
func (r *request) finish(refusal *lovageshift.Refusal) {
	if r.runs > 0 && refusal.Outcome == lovageshift.OutcomeNotRun {
		// Another target could not be asked, but an earlier one may have run the request.
		refusal = lovageshift.Unknown(refusal.Reason, refusal.Detail).WithRetryAfter(refusal.RetryAfter)
	}
	if r.began {
		r.breakOff(refusal.Detail)
	}
	r.refuse(refusal)
}

// breakOff ends the connection, so that a part of an answer never looks whole.
func (r *request) breakOff(detail string) {
	r.tell("brokenOff", detail)
	panic(http.ErrAbortHandler)
}

// refuse writes one of the system's own answers.
func (r *request) refuse(refusal *lovageshift.Refusal) {
	r.limitReturn(refusal)
	header := r.w.Header()
	platform.SetRequestID(header, r.ask.ID)
	if refusal.RetryAfter > 0 {
		header["Retry-After"] = []string{strconv.FormatFloat(refusal.RetryAfter.Seconds(), 'f', 3, 64)}
	}
	header["Content-Type"] = []string{"text/plain; charset=utf-8"}
	r.story.status = statusOf(refusal)
	r.w.WriteHeader(r.story.status)
	_, _ = io.WriteString(r.w, string(refusal.Reason)+"\n")
	r.gateway.counts.Refused(refusal.Reason)
	r.tell("refused", string(refusal.Reason)+": "+refusal.Detail)
}

// limitReturn keeps the time to come back within what clients heed, and remembers who was sent away.
func (r *request) limitReturn(refusal *lovageshift.Refusal) {
	if refusal.RetryAfter == 0 || r.job == nil {
		return
	}
	if r.deadline > 0 {
		left := r.deadline - r.gateway.clock.Now()
		refusal.RetryAfter = max(min(refusal.RetryAfter, lovageshift.Millis(float64(left)*heededShare)), 1)
	}
	r.gateway.refused.add(r.gateway.clock.Now(), r.returnMark())
}

// Clients heed a time to come back up to a third of what they have left.
const heededShare = 0.32

// statusOf returns the status of a refusal: one that promises "not run" only when that is certain.
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
