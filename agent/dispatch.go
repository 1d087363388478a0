package agent

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/admission"
	"lovageshift/idempotency"
	"lovageshift/metrics"
	"lovageshift/peer"
	"lovageshift/quarantine"
	"lovageshift/wire"
)

// errCallerLeft is the cause of cancelling a request whose entry has disconnected or stopped it.
var errCallerLeft = errors.New("the caller left")

// job is one dispatch to this agent.
type job struct {
	start         *wire.Start
	waiter        *admission.Request
	stream        wire.DRPCAgent_DispatchStream
	decision      chan *lovageshift.Refusal
	cancel        context.CancelCauseFunc
	sendMutex     sync.Mutex
	recorded      bool        // has a record in the ledger
	sent          atomic.Bool // the engine may have received a part of the request
	usage         usage
	engineCrashed bool
}

// usage is the number of tokens that an answer consumed.
type usage struct {
	prompt, output, cached lovageshift.Tokens
	reported               bool
}

// decide ends the wait for admission: nil admits the job. It never blocks: a decision is dropped while an earlier one
// has not been received.
func (j *job) decide(refusal *lovageshift.Refusal) {
	select {
	case j.decision <- refusal:
	default:
	}
}

// abort ends a running job with the refusal.
func (j *job) abort(refusal *lovageshift.Refusal) { j.cancel(refusal) }

// permitted reports whether the job's API key, or its open route, allows it under the configuration.
func (j *job) permitted(config *lovageshift.Config) bool {
	if j.start.Key != "" {
		return config.KeyInForce(lovageshift.KeyID(j.start.Key), lovageshift.AccountID(j.start.Account))
	}
	route := config.Routes[lovageshift.RouteID(j.start.Route)]
	return route != nil && route.Open && j.start.Account == ""
}

func (j *job) send(event *wire.DispatchEvent) error {
	j.sendMutex.Lock()
	defer j.sendMutex.Unlock()
	return j.stream.Send(event)
}

// Dispatch runs one request for an entry and streams the answer back; the last event is an End.
func (a *Agent) Dispatch(stream wire.DRPCAgent_DispatchStream) error {
	message, err := stream.Recv()
	if err != nil {
		return err
	}
	start := message.GetStart()
	if start == nil {
		return errors.New("a dispatch begins with its start")
	}
	ctx, cancel := context.WithCancelCause(stream.Context())
	j := &job{start: start, stream: stream, decision: make(chan *lovageshift.Refusal, 1), cancel: cancel}
	j.waiter = newWaiter(start, a.node.Now())
	var reader errgroup.Group
	reader.Go(func() error { return a.readStops(j) })
	refusal := a.handle(ctx, j)
	err = j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_End{End: a.endEvent(j, refusal)}})
	cancel(nil)
	return err
}

func newWaiter(start *wire.Start, now lovageshift.Millis) *admission.Request {
	return &admission.Request{
		ID: lovageshift.DispatchID{
			Entry:       lovageshift.EntryID(start.Entry),
			Incarnation: lovageshift.Incarnation(start.Incarnation),
			Sequence:    start.Sequence,
		},
		Account:       lovageshift.AccountID(start.Account),
		Rank:          lovageshift.Rank(start.Rank),
		PromptTokens:  lovageshift.Tokens(start.PromptTokens),
		ComputeTokens: lovageshift.Tokens(start.ComputeTokens),
		OutputLimit:   lovageshift.Tokens(start.OutputLimit),
		Fingerprint:   lovageshift.Fingerprint(start.Fingerprint),
		Deadline:      now + lovageshift.Millis(start.FirstTokenBudget),
		Alone:         start.Alone,
	}
}

// readStops follows the entry's Stop messages until the stream ends; the end of the stream stops the job as well.
func (a *Agent) readStops(j *job) error {
	for {
		message, err := j.stream.Recv()
		if err != nil {
			j.cancel(errCallerLeft)
			a.withdraw(j)
			return nil
		}
		stop := message.GetStop()
		if stop == nil {
			continue
		}
		withdrawn := a.withdraw(j)
		if !withdrawn && !stop.OnlyWaiting {
			j.cancel(errCallerLeft)
		}
	}
}

// withdraw takes a queued job back and reports whether it had not started.
func (a *Agent) withdraw(j *job) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.queue.Withdraw(j.waiter) {
		return false
	}
	j.decide(lovageshift.NotRun(lovageshift.ReasonMoved, "taken back before it started"))
	return true
}

// handle takes a dispatch from its checks to the end of its answer; nil means a complete answer.
func (a *Agent) handle(ctx context.Context, j *job) *lovageshift.Refusal {
	answer, refusal := a.enqueueOrReplay(j)
	if refusal != nil {
		return refusal
	}
	if answer != nil {
		return a.replay(j, answer)
	}
	refusal = a.awaitAdmission(ctx, j)
	if refusal == nil {
		refusal = a.run(ctx, j)
	}
	a.finish(j, refusal)
	return refusal
}

// enqueueOrReplay checks a dispatch and puts it into the queue, or returns the recorded answer of an earlier run of the
// same call.
func (a *Agent) enqueueOrReplay(j *job) (*idempotency.Answer, *lovageshift.Refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: j.start.Entry}, j.start.Stamp, now)
	if config := a.node.Revisions.Config(); config != nil {
		a.apply(config)
	}
	if refusal := a.checkDispatch(now, j); refusal != nil {
		return nil, refusal
	}
	if answer, refusal := a.beginIdempotent(j); answer != nil || refusal != nil {
		return answer, refusal
	}
	displaced, refusal := a.queue.Enqueue(now, j.waiter)
	if refusal != nil {
		a.abandonIdempotent(j)
		return nil, refusal
	}
	if displaced != nil {
		a.jobs[displaced].decide(lovageshift.NotRun(lovageshift.ReasonDisplaced, "gave way to more urgent work").
			WithRetryAfter(a.queue.EstimatedWait(displaced.Rank)))
	}
	a.jobs[j.waiter] = j
	a.admitWaiting()
	return nil, nil
}

// checkDispatch returns the refusal of a dispatch that must not run here now, or nil; a.mutex must be held.
func (a *Agent) checkDispatch(now lovageshift.Millis, j *job) *lovageshift.Refusal {
	start := j.start
	if lovageshift.TargetID(start.Target) != a.options.Target {
		return lovageshift.NotRun(lovageshift.ReasonWrongTarget, "this is another target's agent")
	}
	if start.TargetIncarnation != int64(a.node.Incarnation) {
		return lovageshift.NotRun(lovageshift.ReasonOldIncarnation, "the agent has restarted")
	}
	if refusal := a.replayWindow.Accept(now, j.waiter.ID, lovageshift.Millis(start.SentAt)); refusal != nil {
		return refusal
	}
	if a.draining {
		return lovageshift.NotRun(lovageshift.ReasonTargetLeaving, "the agent is stopping")
	}
	return a.checkConfig(j)
}

// checkConfig returns the refusal under the configuration and the engine's state, or nil. As both may change while a
// request is queued, it is checked again on admission; a.mutex must be held.
func (a *Agent) checkConfig(j *job) *lovageshift.Refusal {
	switch {
	case a.config == nil || !a.node.AllowsNewWork():
		return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the agent cannot confirm its configuration").WithRetryAfter(1000)
	case !a.config.TargetInService(a.options.Target):
		return lovageshift.NotRun(lovageshift.ReasonTargetOutOfService, "the target or its zone is out of service")
	case !j.permitted(a.config):
		return lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key is not in force")
	case a.engineDown:
		return lovageshift.NotRun(lovageshift.ReasonTargetFailing, "the engine is down").WithRetryAfter(1000)
	}
	return a.checkQuarantine(j)
}

func (a *Agent) checkQuarantine(j *job) *lovageshift.Refusal {
	if j.waiter.Alone {
		// The entry may know of the first crash before this agent does.
		a.node.LearnSuspects([]*wire.Suspect{{Fingerprint: j.start.Fingerprint, Crashes: 1}})
	}
	switch a.node.CheckSuspect(j.waiter.Fingerprint) {
	case quarantine.Refused:
		return lovageshift.NotRun(lovageshift.ReasonQuarantined, "this request has crashed its targets")
	case quarantine.Alone:
		if !j.waiter.Alone {
			return lovageshift.NotRun(lovageshift.ReasonMoved, "a suspect runs alone at its own place")
		}
	}
	return nil
}

// beginIdempotent records a call that must run at most once, or returns the answer of its earlier run; a.mutex must be
// held.
func (a *Agent) beginIdempotent(j *job) (*idempotency.Answer, *lovageshift.Refusal) {
	if j.start.IdempotencyKey == "" {
		if j.start.Route != "" && !j.start.Repeatable {
			return nil, lovageshift.NotRun(lovageshift.ReasonIdempotencyKeyMissing, "this call needs an Idempotency-Key")
		}
		return nil, nil
	}
	key := j.idempotencyKey()
	a.improveTenures()
	since, owned := a.homeTenure.OwnedSince(key.Home)
	if !owned {
		return nil, lovageshift.NotRun(lovageshift.ReasonMoved, "another agent is the key's home")
	}
	call := idempotency.Call{Key: key, Fingerprint: j.waiter.Fingerprint}
	answer, refusal := a.ledger.Begin(a.options.Clock.Wall(), a.wallTime(since), call)
	j.recorded = answer == nil && refusal == nil
	return answer, refusal
}

func (j *job) idempotencyKey() idempotency.Key {
	return idempotency.Key{Account: lovageshift.AccountID(j.start.Account), Text: j.start.IdempotencyKey}
}

// abandonIdempotent drops the record of a call that did not run; a.mutex must be held.
func (a *Agent) abandonIdempotent(j *job) {
	if j.recorded {
		a.ledger.Abandon(j.idempotencyKey())
	}
}

// awaitAdmission waits until the job is admitted or refused, and reports to the entry that it waits.
func (a *Agent) awaitAdmission(ctx context.Context, j *job) *lovageshift.Refusal {
	select {
	case refusal := <-j.decision:
		return a.recheck(j, refusal)
	default:
	}
	a.mutex.Lock()
	load := a.loadMessage()
	a.mutex.Unlock()
	_ = j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Waiting{Waiting: &wire.Waiting{Load: load}}})
	select {
	case refusal := <-j.decision:
		return a.recheck(j, refusal)
	case <-ctx.Done():
		a.withdraw(j)
		return a.recheck(j, <-j.decision)
	}
}

// recheck repeats for an admitted job the checks whose outcome may have changed while it was queued.
func (a *Agent) recheck(j *job, refusal *lovageshift.Refusal) *lovageshift.Refusal {
	if refusal != nil {
		return refusal
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if config := a.node.Revisions.Config(); config != nil {
		a.apply(config)
	}
	if a.node.Now() > j.waiter.Deadline {
		return lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token is overdue")
	}
	return a.checkConfig(j)
}

// finish ends a dispatch that was queued or admitted, and frees its slot.
func (a *Agent) finish(j *job, refusal *lovageshift.Refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	complete := refusal == nil
	a.queue.Withdraw(j.waiter)
	a.queue.Finish(a.node.Now(), j.waiter, admission.Result{
		Complete: complete, OutputTokens: j.usage.output, ComputedTokens: j.usage.prompt - j.usage.cached,
	})
	delete(a.jobs, j.waiter)
	if refusal != nil && refusal.Outcome == lovageshift.OutcomeNotRun {
		a.abandonIdempotent(j)
	}
	if complete {
		a.consecutiveFailures = 0
		a.node.ClearSuspect(j.waiter.Fingerprint)
	} else if j.recorded && refusal.Outcome == lovageshift.OutcomeUnknown {
		a.ledger.Finish(j.idempotencyKey(), nil)
	}
	a.admitWaiting()
	a.notifyWatchers()
}

// replay sends the recorded answer of an earlier run of the call.
func (a *Agent) replay(j *job, answer *idempotency.Answer) *lovageshift.Refusal {
	head := &wire.Head{Status: int32(answer.Status), ContentType: answer.ContentType}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Head{Head: head}}); err != nil {
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
	}
	return a.sendBody(j, answer.Body)
}

func (a *Agent) endEvent(j *job, refusal *lovageshift.Refusal) *wire.End {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	end := &wire.End{
		Outcome: int32(lovageshift.OutcomeAnswered), Load: a.loadMessage(), Crashed: j.engineCrashed,
		PromptTokens: int64(j.usage.prompt), OutputTokens: int64(j.usage.output), CachedTokens: int64(j.usage.cached),
	}
	if refusal == nil {
		a.options.Metrics.Add(metrics.Responses, "whole", 1)
		return end
	}
	a.options.Metrics.AddRefusal(refusal.Reason)
	end.Outcome = int32(refusal.Outcome)
	end.Reason = string(refusal.Reason)
	end.Detail = refusal.Detail
	end.RetryAfter = int64(refusal.RetryAfter)
	return end
}
