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

// errDispatchStopped means that the entry has stopped the dispatch, for example because the caller left, or that the
// stream between entry and agent has ended.
var errDispatchStopped = errors.New("the caller left")

// job is one dispatch to this agent, from its Start message to its End event. Its request is what the queue holds.
type job struct {
	start         *wire.Start
	request       *admission.Request
	stream        wire.DRPCAgent_DispatchStream
	decision      chan *lovageshift.Refusal // receives nil on admission, or the refusal of a job that was queued
	cancel        context.CancelCauseFunc   // ends the job's context
	sendMutex     sync.Mutex
	ownsRecord    bool        // this job made the ledger's record of its idempotency key
	maybeSent     atomic.Bool // the target may have received a part of the request
	usage         tokenUsage
	targetCrashed bool // after the request failed, checkForCrash found the target crashed or already down
	suspect       bool // a crash of the target is counted for the request; Agent.mutex guards it
}

// tokenUsage holds the token counts of a request, as the engine reports them: of the prompt, of the output, and of the
// part of the prompt that the prefix cache had. For a stream, output is at least the number of tokens received.
type tokenUsage struct {
	prompt, output, cached lovageshift.Tokens
	reported               bool
}

// decide ends the job's wait for admission: nil admits the job, a refusal ends it. It never blocks: if an earlier
// decision has not been received yet, that one stays and the new one is dropped.
func (j *job) decide(refusal *lovageshift.Refusal) {
	select {
	case j.decision <- refusal:
	default:
	}
}

// abort cancels a running job, which then ends with the refusal.
func (j *job) abort(refusal *lovageshift.Refusal) { j.cancel(refusal) }

// permitted reports whether the configuration permits the job: by its API key or, without a key and an account, by an
// open route.
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

// Dispatch runs one request for an entry and streams the response back; the last event is an End.
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
	j.request = admissionRequestOf(start, a.node.Now())
	var reader errgroup.Group
	reader.Go(func() error { return a.readStops(j) })
	refusal := a.handle(ctx, j)
	err = j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_End{End: a.endEvent(j, refusal)}})
	cancel(nil)
	return err
}

func admissionRequestOf(start *wire.Start, now lovageshift.Millis) *admission.Request {
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

// readStops carries out the entry's Stop messages until the stream ends, which stops the job too. A Stop with
// OnlyWaiting has no effect on a job that has been admitted.
func (a *Agent) readStops(j *job) error {
	for {
		message, err := j.stream.Recv()
		if err != nil {
			j.cancel(errDispatchStopped)
			a.withdrawQueued(j)
			return nil
		}
		stop := message.GetStop()
		if stop == nil {
			continue
		}
		removed := a.withdrawQueued(j)
		if !removed && !stop.OnlyWaiting {
			j.cancel(errDispatchStopped)
		}
	}
}

// withdrawQueued removes the job from the queue and refuses it. It reports whether the job was still queued; if not, it
// has no effect.
func (a *Agent) withdrawQueued(j *job) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.queue.Withdraw(j.request) {
		return false
	}
	// On ReasonMoved, an entry that sent a Stop to move the request to another target dispatches it there.
	j.decide(lovageshift.NotRun(lovageshift.ReasonMoved, "taken back before it started"))
	return true
}

// handle checks a job, waits for its admission and runs it, or sends the stored answer of an earlier job. It returns
// nil if the complete response was sent.
func (a *Agent) handle(ctx context.Context, j *job) *lovageshift.Refusal {
	answer, refusal := a.checkAndEnqueue(j)
	if refusal != nil {
		return refusal
	}
	if answer != nil {
		return a.sendStoredAnswer(j, answer)
	}
	refusal = a.awaitAdmission(ctx, j)
	if refusal == nil {
		refusal = a.run(ctx, j)
	}
	a.finish(j, refusal)
	return refusal
}

// checkAndEnqueue checks a job and puts it into the queue, and then returns nil, nil. Otherwise it returns a refusal,
// or the stored answer of an earlier job with the same idempotency key.
func (a *Agent) checkAndEnqueue(j *job) (*idempotency.Answer, *lovageshift.Refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: j.start.Entry}, j.start.Stamp, now)
	if config := a.node.Revisions.Config(); config != nil {
		a.applyConfig(config)
	}
	if refusal := a.checkDispatch(now, j); refusal != nil {
		return nil, refusal
	}
	if answer, refusal := a.beginIdempotentCall(j); answer != nil || refusal != nil {
		return answer, refusal
	}
	displaced, refusal := a.queue.Enqueue(now, j.request)
	if refusal != nil {
		a.abandonIdempotentCall(j)
		return nil, refusal
	}
	if displaced != nil {
		a.jobs[displaced].decide(lovageshift.NotRun(lovageshift.ReasonDisplaced, "gave way to more urgent work").
			WithRetryAfter(a.queue.EstimatedWait(displaced.Rank)))
	}
	a.jobs[j.request] = j
	a.admitQueued()
	return nil, nil
}

// checkDispatch returns the refusal of a job that may not run here now, or nil. In contrast to checkMayRun, it must be
// called only once for a job, as the replay window refuses a dispatch that it has seen before; a.mutex must be held.
func (a *Agent) checkDispatch(now lovageshift.Millis, j *job) *lovageshift.Refusal {
	start := j.start
	if lovageshift.TargetID(start.Target) != a.options.Target {
		return lovageshift.NotRun(lovageshift.ReasonWrongTarget, "this is another target's agent")
	}
	if start.TargetIncarnation != int64(a.node.Incarnation) {
		return lovageshift.NotRun(lovageshift.ReasonOldIncarnation, "the agent has restarted")
	}
	if refusal := a.replayWindow.Accept(now, j.request.ID, lovageshift.Millis(start.SentAt)); refusal != nil {
		return refusal
	}
	if a.draining {
		return lovageshift.NotRun(lovageshift.ReasonTargetLeaving, "the agent is stopping")
	}
	return a.checkMayRun(j)
}

// checkMayRun returns the refusal of a job that may not run under the configuration, the target's state or the
// quarantine, or nil. As these may change while a job is queued, recheck calls it again on admission; a.mutex must be
// held.
func (a *Agent) checkMayRun(j *job) *lovageshift.Refusal {
	switch {
	case a.config == nil || !a.node.AllowsNewWork():
		return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the agent cannot confirm its configuration").WithRetryAfter(1000)
	case !a.config.TargetInService(a.options.Target):
		return lovageshift.NotRun(lovageshift.ReasonTargetOutOfService, "the target or its zone is out of service")
	case !j.permitted(a.config):
		return lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key is not in force")
	case a.targetDown:
		return lovageshift.NotRun(lovageshift.ReasonTargetFailing, "the engine is down").WithRetryAfter(1000)
	}
	return a.checkQuarantine(j)
}

func (a *Agent) checkQuarantine(j *job) *lovageshift.Refusal {
	if j.request.Alone {
		// The entry knows that the request was running when a target crashed. This agent may not know that yet, and
		// counts at least one crash.
		a.node.LearnSuspects([]*wire.Suspect{{Fingerprint: j.start.Fingerprint, Crashes: 1}})
	}
	switch a.node.CheckSuspect(j.request.Fingerprint) {
	case quarantine.Refused:
		return lovageshift.NotRun(lovageshift.ReasonQuarantined, "this request has crashed its targets")
	case quarantine.Alone:
		if !j.request.Alone {
			return lovageshift.NotRun(lovageshift.ReasonMoved, "a suspect runs alone at its own place")
		}
	}
	return nil
}

// beginIdempotentCall records a job with an idempotency key in the ledger, so that it runs at most once. It returns
// nil, nil if the job may run, the stored answer if an earlier job with the same key has one, or else a refusal, for
// example because this agent does not own the key. A job without a key may run if it is repeatable or for an engine;
// a.mutex must be held.
func (a *Agent) beginIdempotentCall(j *job) (*idempotency.Answer, *lovageshift.Refusal) {
	if j.start.IdempotencyKey == "" {
		if j.start.Route != "" && !j.start.Repeatable {
			return nil, lovageshift.NotRun(lovageshift.ReasonIdempotencyKeyMissing, "this call needs an Idempotency-Key")
		}
		return nil, nil
	}
	key := j.idempotencyKey()
	a.backdateOwnership()
	since, owned := a.idempotencyOwnership.OwnedSince(key.Home)
	if !owned {
		return nil, lovageshift.NotRun(lovageshift.ReasonMoved, "another agent is the key's home")
	}
	call := idempotency.Call{Key: key, Fingerprint: j.request.Fingerprint}
	answer, refusal := a.ledger.Begin(a.options.Clock.Wall(), a.wallTime(since), call)
	j.ownsRecord = answer == nil && refusal == nil
	return answer, refusal
}

func (j *job) idempotencyKey() idempotency.Key {
	return idempotency.Key{Account: lovageshift.AccountID(j.start.Account), Text: j.start.IdempotencyKey}
}

// abandonIdempotentCall deletes the ledger's record that this job made, if any, as the job did not run; a.mutex must be
// held.
func (a *Agent) abandonIdempotentCall(j *job) {
	if j.ownsRecord {
		a.ledger.Abandon(j.idempotencyKey())
	}
}

// awaitAdmission waits until the job is admitted or refused, and returns nil or the refusal. If there is no decision
// yet, it first sends a Waiting event to the entry.
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
		// A job that is no longer queued has already been decided.
		a.withdrawQueued(j)
		return a.recheck(j, <-j.decision)
	}
}

// recheck returns the given refusal if there is one. Otherwise the job has been admitted, and recheck repeats the
// checks whose outcome may have changed while the job was queued.
func (a *Agent) recheck(j *job, refusal *lovageshift.Refusal) *lovageshift.Refusal {
	if refusal != nil {
		return refusal
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if config := a.node.Revisions.Config(); config != nil {
		a.applyConfig(config)
	}
	if a.node.Now() > j.request.Deadline {
		return lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token is overdue")
	}
	return a.checkMayRun(j)
}

// finish removes a job that checkAndEnqueue has put into the queue, and frees its slot. If the job did not run, finish
// deletes the job's record in the ledger; if its outcome is unknown, it marks the record as finished without an answer.
// The answer of a complete response needs no more here, as runBuffered has stored it.
func (a *Agent) finish(j *job, refusal *lovageshift.Refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	complete := refusal == nil
	a.queue.Withdraw(j.request)
	a.queue.Finish(a.node.Now(), j.request, admission.Result{
		Complete: complete, OutputTokens: j.usage.output, ComputedTokens: j.usage.prompt - j.usage.cached,
	})
	delete(a.jobs, j.request)
	if refusal != nil && refusal.Outcome == lovageshift.OutcomeNotRun {
		a.abandonIdempotentCall(j)
	}
	if complete {
		a.consecutiveFailures = 0
		a.node.ClearSuspect(j.request.Fingerprint)
	} else if j.ownsRecord && refusal.Outcome == lovageshift.OutcomeUnknown {
		a.ledger.Finish(j.idempotencyKey(), nil)
	}
	a.admitQueued()
	a.notifyLoadChanged()
}

// sendStoredAnswer sends the answer of an earlier job with the same idempotency key. It returns a refusal only if the
// connection to the entry broke.
func (a *Agent) sendStoredAnswer(j *job, answer *idempotency.Answer) *lovageshift.Refusal {
	head := &wire.Head{Status: int32(answer.Status), ContentType: answer.ContentType}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Head{Head: head}}); err != nil {
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
	}
	return a.sendBody(j, answer.Body)
}

// endEvent returns the last event of a job, and counts the job's response or refusal in the metrics.
func (a *Agent) endEvent(j *job, refusal *lovageshift.Refusal) *wire.End {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	end := &wire.End{
		Outcome: int32(lovageshift.OutcomeAnswered), Load: a.loadMessage(), Crashed: j.targetCrashed,
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
