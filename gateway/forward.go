package gateway

import (
	"context"
	"errors"
	"io"

	"github.com/gravitational/trace"

	"lovageshift"
	"lovageshift/placement"
	"lovageshift/upstream"
)

// streamForwarder forwards the events of one target's response to the caller.
type streamForwarder struct {
	*request
	slot     *placement.Slot
	response *upstream.TargetResponse
	events   *upstream.EventReader
	stall    *stallWatch
	// joins is set until the first event with content of a response that goes on with the stream of another target.
	joins bool
}

// forwardStream forwards each event as soon as it is complete, and releases the slot when the stream ends or fails. It gives up
// a stream that has stalled; the function cancel ends the reading of the response.
func (r *request) forwardStream(ctx context.Context, cancel context.CancelFunc, slot *placement.Slot, response *upstream.TargetResponse) attemptResult {
	f := &streamForwarder{
		request: r, slot: slot, response: response, events: response.Events(), stall: r.watchForStall(cancel), joins: r.answer.Begun(),
	}
	defer f.stall.stop()
	for {
		event, err := f.next(ctx)
		f.stall.received(event)
		if err != nil {
			return f.end(ctx, err)
		}
		if refusal := f.forward(event); refusal != nil {
			return attemptResult{refusal: refusal}
		}
		f.stall.resume()
	}
}

// next returns the next event. It returns io.EOF only if the stream is known to be whole.
func (f *streamForwarder) next(ctx context.Context) (upstream.Event, error) {
	event, err := f.events.Next()
	switch {
	case !errors.Is(err, io.EOF):
		return event, err
	case f.summary.targetEvents == 0 && f.response.EndsWithConnection():
		return event, trace.Wrap(upstream.ErrConnectionLost, "no event before the end of the connection")
	}
	if unproven := f.proveEnd(ctx, f.slot, f.response); unproven != nil {
		return event, unproven
	}
	return event, err
}

// end releases the slot and returns the result of a response whose events have ended with the error, io.EOF if it is whole.
func (f *streamForwarder) end(ctx context.Context, err error) attemptResult {
	g := f.gateway
	switch {
	case errors.Is(err, io.EOF):
		if !f.answer.Begun() {
			f.writeHeader(f.response, -1)
		}
		f.recordAnswer(f.response)
		g.outputs.add(f.route.ID, f.summary.events*f.tokensPerEvent)
		f.release(placement.Result{FirstEvent: f.summary.firstEvent, TokenMicros: f.tokenMicros(), Outcome: placement.Served})
		return attemptResult{done: true}
	case f.stall.stalled.Load() && ctx.Err() == nil:
		f.checkSilent(f.slot)
		g.log.Info("streamStalled", "request", f.headers.ID, "target", f.slot.Target.ID, "afterMillis", f.stall.limit, "events", f.summary.events)
		f.release(placement.Result{Outcome: placement.Failed})
		return attemptResult{refusal: lovageshift.Unknown(lovageshift.ReasonEngineTimeout, "the stream stalled")}
	case errors.Is(err, upstream.ErrInvalidResponse):
		return attemptResult{refusal: f.reject(err.Error())}
	default:
		f.recordLoss(ctx, f.slot, err)
		f.release(placement.Result{TokenMicros: f.tokenMicros(), Outcome: f.bodyErrorOutcome(ctx, err)})
		return attemptResult{refusal: lovageshift.Unknown(f.interruptReason(ctx, err), err.Error())}
	}
}

// forward writes the event to the caller. It flushes unless a part of the next event is already buffered, so that events that
// arrive together are sent together. If it returns a refusal, it has released the slot.
func (f *streamForwarder) forward(event upstream.Event) *lovageshift.Refusal {
	if f.joins && !event.IsComment() {
		if !f.follows(event) {
			return f.reject("the stream does not go on after event " + f.lastEventID)
		}
		f.joins = false
	}
	if !f.answer.Begun() {
		f.writeHeader(f.response, -1)
	}
	f.record(event)
	if _, err := f.answer.Write(event.Raw); err != nil {
		f.release(placement.Result{Outcome: placement.Abandoned})
		return lovageshift.Unknown(lovageshift.ReasonWithdrawnByCaller, "the client is gone")
	}
	if !f.events.Buffered() {
		f.answer.Flush()
	}
	return nil
}

// record records what the event tells of the stream and of its target.
func (f *streamForwarder) record(event upstream.Event) {
	if f.summary.events == 0 {
		f.summary.firstEvent = f.gateway.clock.Now() - f.summary.sentAt
		f.bindRelease(f.slot)
	} else {
		f.rebindRelease(f.slot)
	}
	f.recordPosition(event)
	f.summary.addEvent(f.gateway.clock.Now())
	f.recordProgress()
}

// reject releases the slot and returns the refusal of a response that is no rest of the stream.
func (f *streamForwarder) reject(detail string) *lovageshift.Refusal {
	return f.rejectResponse(f.slot, lovageshift.ReasonEngineAnswerMalformed, detail).refusal
}

func (f *streamForwarder) release(result placement.Result) {
	f.gateway.scheduler.Release(f.gateway.clock.Now(), f.slot, result)
}
