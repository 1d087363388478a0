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

// errCallerLeft ends work whose entry has gone or has cancelled it.
var errCallerLeft = errors.New("the caller left")

// job is one dispatch at this agent.
type job struct {
	start   *wire.Start
	ticket  *admission.Waiter
	stream  wire.DRPCAgent_DispatchStream
	verdict chan *lovageshift.Refusal
	cancel  context.CancelCauseFunc
	sending sync.Mutex
	begun   bool        // recorded in the ledger
	sent    atomic.Bool // the engine may have got a byte
	usage   usage
	crashed bool
}

// usage is what an answer consumed, in tokens.
type usage struct {
	prompt, output, cached lovageshift.Tokens
	reported               bool
}

// decide ends the wait: nil admits the job.
func (j *job) decide(refusal *lovageshift.Refusal) {
	select {
	case j.verdict <- refusal:
	default:
	}
}

// cut ends running work.
func (j *job) cut(refusal *lovageshift.Refusal) { j.cancel(refusal) }

// permitted reports whether the job's key, or its open route, still allows it.
func (j *job) permitted(config *lovageshift.Config) bool {
	if j.start.Key != "" {
		return config.KeyInForce(lovageshift.KeyID(j.start.Key), lovageshift.AccountID(j.start.Account))
	}
	route := config.Routes[lovageshift.RouteID(j.start.Route)]
	return route != nil && route.Open && j.start.Account == ""
}

func (j *job) send(event *wire.DispatchEvent) error {
	j.sending.Lock()
	defer j.sending.Unlock()
	return j.stream.Send(event)
}

// Dispatch runs one request of an entry.
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
	j := &job{start: start, stream: stream, verdict: make(chan *lovageshift.Refusal, 1), cancel: cancel}
	j.ticket = ticketOf(start, a.node.Now())
	var reader errgroup.Group
	reader.Go(func() error { return a.readStops(j) })
	refusal := a.handle(ctx, j)
	err = j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_End{End: a.endOf(j, refusal)}})
	cancel(nil)
	return err
}

func ticketOf(start *wire.Start, now lovageshift.Millis) *admission.Waiter {
	return &admission.Waiter{
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

// readStops follows the entry's messages until the call ends.
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

func (a *Agent) withdraw(j *job) bool {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if !a.room.Withdraw(j.ticket) {
		return false
	}
	j.decide(lovageshift.NotRun(lovageshift.ReasonMoved, "taken back before it started"))
	return true
}

// handle brings a dispatch to its end; nil is a whole answer.
func (a *Agent) handle(ctx context.Context, j *job) *lovageshift.Refusal {
	answer, refusal := a.enter(j)
	if refusal != nil {
		return refusal
	}
	if answer != nil {
		return a.replay(j, answer)
	}
	refusal = a.await(ctx, j)
	if refusal == nil {
		refusal = a.run(ctx, j)
	}
	a.leave(j, refusal)
	return refusal
}

// enter checks a dispatch and puts it into the room; it returns the answer of an earlier run of the same call, if any.
func (a *Agent) enter(j *job) (*idempotency.Answer, *lovageshift.Refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: j.start.Entry}, j.start.Stamp, now)
	if config := a.node.Revisions.Config(); config != nil {
		a.apply(config)
	}
	if refusal := a.check(now, j); refusal != nil {
		return nil, refusal
	}
	if answer, refusal := a.begin(j); answer != nil || refusal != nil {
		return answer, refusal
	}
	displaced, refusal := a.room.Enqueue(now, j.ticket)
	if refusal != nil {
		a.abandon(j)
		return nil, refusal
	}
	if displaced != nil {
		a.jobs[displaced].decide(lovageshift.NotRun(lovageshift.ReasonDisplaced, "gave way to more urgent work").
			WithRetryAfter(a.room.EstimatedWait(displaced.Rank)))
	}
	a.jobs[j.ticket] = j
	a.pump()
	return nil, nil
}

// check needs the lock; it refuses what must not run here now.
func (a *Agent) check(now lovageshift.Millis, j *job) *lovageshift.Refusal {
	start := j.start
	if lovageshift.TargetID(start.Target) != a.options.Target {
		return lovageshift.NotRun(lovageshift.ReasonWrongTarget, "this is another target's agent")
	}
	if start.TargetIncarnation != int64(a.node.Incarnation) {
		return lovageshift.NotRun(lovageshift.ReasonOldIncarnation, "the agent has restarted")
	}
	if refusal := a.window.Accept(now, j.ticket.ID, lovageshift.Millis(start.SentAt)); refusal != nil {
		return refusal
	}
	if a.stopping {
		return lovageshift.NotRun(lovageshift.ReasonTargetLeaving, "the agent is stopping")
	}
	return a.checkConfig(j)
}

// checkConfig needs the lock; it is asked again after every wait.
func (a *Agent) checkConfig(j *job) *lovageshift.Refusal {
	switch {
	case a.config == nil || !a.node.AllowsNewWork():
		return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the agent cannot confirm its configuration").WithRetryAfter(1000)
	case !a.config.TargetInService(a.options.Target):
		return lovageshift.NotRun(lovageshift.ReasonTargetOutOfService, "the target or its zone is out of service")
	case !j.permitted(a.config):
		return lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key is not in force")
	case a.down:
		return lovageshift.NotRun(lovageshift.ReasonTargetFailing, "the engine is down").WithRetryAfter(1000)
	}
	return a.checkSuspect(j)
}

func (a *Agent) checkSuspect(j *job) *lovageshift.Refusal {
	if j.ticket.Alone {
		// The entry may know of the first crash before this agent does.
		a.node.LearnSuspects([]*wire.Suspect{{Fingerprint: j.start.Fingerprint, Crashes: 1}})
	}
	switch a.node.CheckSuspect(j.ticket.Fingerprint) {
	case quarantine.Refused:
		return lovageshift.NotRun(lovageshift.ReasonQuarantined, "this request has crashed its targets")
	case quarantine.Alone:
		if !j.ticket.Alone {
			return lovageshift.NotRun(lovageshift.ReasonMoved, "a suspect runs alone at its own place")
		}
	}
	return nil
}

// begin needs the lock; it records a call that must run at most once.
func (a *Agent) begin(j *job) (*idempotency.Answer, *lovageshift.Refusal) {
	if j.start.IdempotencyKey == "" {
		if j.start.Route != "" && !j.start.Repeatable {
			return nil, lovageshift.NotRun(lovageshift.ReasonIdempotencyKeyMissing, "this call needs an Idempotency-Key")
		}
		return nil, nil
	}
	key := j.idempotencyKey()
	a.improveTenure()
	since, owned := a.homes.OwnedSince(key.Home)
	if !owned {
		return nil, lovageshift.NotRun(lovageshift.ReasonMoved, "another agent is the key's home")
	}
	call := idempotency.Call{Key: key, Fingerprint: j.ticket.Fingerprint}
	answer, refusal := a.ledger.Begin(a.options.Clock.Wall(), a.wallOf(since), call)
	j.begun = answer == nil && refusal == nil
	return answer, refusal
}

func (j *job) idempotencyKey() idempotency.Key {
	return idempotency.Key{Account: lovageshift.AccountID(j.start.Account), Text: j.start.IdempotencyKey}
}

// abandon needs the lock.
func (a *Agent) abandon(j *job) {
	if j.begun {
		a.ledger.Abandon(j.idempotencyKey())
	}
}

// await waits for the room's verdict and checks again what the wait may have changed.
func (a *Agent) await(ctx context.Context, j *job) *lovageshift.Refusal {
	select {
	case refusal := <-j.verdict:
		return a.recheck(j, refusal)
	default:
	}
	a.mutex.Lock()
	load := a.load()
	a.mutex.Unlock()
	_ = j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Waiting{Waiting: &wire.Waiting{Load: load}}})
	select {
	case refusal := <-j.verdict:
		return a.recheck(j, refusal)
	case <-ctx.Done():
		a.withdraw(j)
		return a.recheck(j, <-j.verdict)
	}
}

func (a *Agent) recheck(j *job, refusal *lovageshift.Refusal) *lovageshift.Refusal {
	if refusal != nil {
		return refusal
	}
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if config := a.node.Revisions.Config(); config != nil {
		a.apply(config)
	}
	if a.node.Now() > j.ticket.Deadline {
		return lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token is overdue")
	}
	return a.checkConfig(j)
}

// leave ends a dispatch that had entered the room.
func (a *Agent) leave(j *job, refusal *lovageshift.Refusal) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	whole := refusal == nil
	a.room.Withdraw(j.ticket)
	a.room.Finish(a.node.Now(), j.ticket, admission.Result{
		Complete: whole, OutputTokens: j.usage.output, ComputedTokens: j.usage.prompt - j.usage.cached,
	})
	delete(a.jobs, j.ticket)
	if refusal != nil && refusal.Outcome == lovageshift.OutcomeNotRun {
		a.abandon(j)
	}
	if whole {
		a.failures = 0
		a.node.ClearSuspect(j.ticket.Fingerprint)
	} else if j.begun && refusal.Outcome == lovageshift.OutcomeUnknown {
		a.ledger.Finish(j.idempotencyKey(), nil)
	}
	a.pump()
	a.notify()
}

// replay sends the recorded answer of an earlier run.
func (a *Agent) replay(j *job, answer *idempotency.Answer) *lovageshift.Refusal {
	head := &wire.Head{Status: int32(answer.Status), ContentType: answer.ContentType}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Head{Head: head}}); err != nil {
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
	}
	return a.sendBody(j, answer.Body)
}

func (a *Agent) endOf(j *job, refusal *lovageshift.Refusal) *wire.End {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	end := &wire.End{
		Outcome: int32(lovageshift.OutcomeAnswered), Load: a.load(), Crashed: j.crashed,
		PromptTokens: int64(j.usage.prompt), OutputTokens: int64(j.usage.output), CachedTokens: int64(j.usage.cached),
	}
	if refusal == nil {
		a.options.Metrics.Add(metrics.Answers, "whole", 1)
		return end
	}
	a.options.Metrics.Refused(refusal.Reason)
	end.Outcome = int32(refusal.Outcome)
	end.Reason = string(refusal.Reason)
	end.Detail = refusal.Detail
	end.RetryAfter = int64(refusal.RetryAfter)
	return end
}
