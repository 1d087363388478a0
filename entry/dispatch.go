package entry

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"
	"storj.io/drpc/drpcconn"

	"lovageshift"
	"lovageshift/grant"
	"lovageshift/link"
	"lovageshift/metrics"
	"lovageshift/retry"
	"lovageshift/routing"
	"lovageshift/wire"
)

// To move a request that waits in an agent's queue, the entry asks the agent to end the dispatch without running the request,
// and then dispatches the request again.
const (
	// The entry checks at this interval whether a waiting request should be moved.
	moveCheckInterval = 100 * time.Millisecond
	// A request is moved only if its estimated cost at another target is below moveCostRatio times the cost at its current
	// target, and lower by more than minMoveSavingMillis.
	moveCostRatio       = 0.5
	minMoveSavingMillis = 100.0
	maxMoveAttempts     = 3 // per request, over all its dispatches
)

// sink receives a response as it arrives from an agent: first the head (HTTP status and content type), then the body in
// chunks.
type sink interface {
	Head(status int, contentType string) error
	Chunk(data []byte) error
}

// pendingRequest is one request of a caller that the entry has checked and now has a target run. Model and adapter are set
// for a completion request, route for a call to a plain service.
type pendingRequest struct {
	account            *lovageshift.Account // nil on an open route
	keyID              lovageshift.KeyID
	rank               lovageshift.Rank
	model              lovageshift.ModelID
	adapter            string
	route              *lovageshift.Route
	method, path       string
	headers            []*wire.Header
	body               []byte
	stream             bool
	routingRequest     routing.Request
	fingerprint        lovageshift.Fingerprint
	idempotencyKey     string
	firstTokenDeadline lovageshift.Millis // for the first output token; in milliseconds of Entry.node's clock, like deadline
	deadline           lovageshift.Millis // for the whole response
	maxTokens          lovageshift.Tokens // the most that the request may use, prompt and output together; the amount of the charge
	charge             *grant.Charge      // nil if nothing is charged

	tried        []lovageshift.TargetID // targets whose dispatch ended with a refusal, except one with ReasonMoved
	moveAttempts int                    // number of times that the entry asked an agent to end a dispatch so that the request could move
	alone        bool                   // the request is a suspect (package quarantine): no other may run at its target at the same time
	// computeTokens estimates how many prompt tokens the chosen target has to compute because its prefix cache lacks them.
	computeTokens lovageshift.Tokens
	usedTokens    lovageshift.Tokens // to settle the charge with; 0 until an agent reports the end of a dispatch that ran or may have run
	headSent      bool               // the response's head has been sent
}

func (p *pendingRequest) accountID() lovageshift.AccountID {
	if p.account == nil {
		return ""
	}
	return p.account.ID
}

// perform charges the account, has the request run with retries, and settles the charge. It returns nil after a complete
// response.
func (e *Entry) perform(ctx context.Context, p *pendingRequest, out sink) *lovageshift.Refusal {
	if p.account != nil && p.maxTokens > 0 {
		charge, refusal := e.charge(ctx, p.account, p.maxTokens)
		if refusal != nil {
			return refusal
		}
		p.charge = charge
	}
	refusal := e.dispatchWithRetries(ctx, p, out)
	e.settle(p.charge, p.usedTokens)
	return refusal
}

// dispatchWithRetries dispatches the request to one eligible target after the other, until one answers it, a refusal must
// not be retried or no target is left. It returns nil after a complete response.
func (e *Entry) dispatchWithRetries(ctx context.Context, p *pendingRequest, out sink) *lovageshift.Refusal {
	var lastRefusal *lovageshift.Refusal
	for {
		target, incarnation, untried, refusal := e.pickTarget(p)
		if refusal != nil {
			return finalRefusal(lastRefusal, refusal)
		}
		if refusal := e.recheck(ctx, p); refusal != nil {
			return refusal
		}
		refusal = e.dispatchOnce(ctx, p, target, incarnation, out)
		if refusal == nil {
			return nil
		}
		lastRefusal = refusal
		// A target whose agent ended the dispatch only so that the request could move may be tried again.
		if refusal.Reason != lovageshift.ReasonMoved {
			p.tried = append(p.tried, target.ID)
			untried--
		}
		if !e.shouldRetry(p, target.ID, refusal, untried) {
			return refusal
		}
		e.options.Metrics.AddRetry(refusal.Reason)
	}
}

// finalRefusal returns the refusal for the caller after pickTarget has returned pickRefusal. If pickRefusal only says that no
// target is left, and a dispatch was refused before, that is the refusal of the last dispatch; otherwise it is pickRefusal.
func finalRefusal(lastRefusal, pickRefusal *lovageshift.Refusal) *lovageshift.Refusal {
	if lastRefusal != nil && pickRefusal.Reason == lovageshift.ReasonNoTarget {
		return lastRefusal
	}
	return pickRefusal
}

// shouldRetry reports whether the retry budget allows another dispatch after the refusal by the target. The parameter untried
// is the number of eligible targets to which the request may still be dispatched.
func (e *Entry) shouldRetry(p *pendingRequest, target lovageshift.TargetID, refusal *lovageshift.Refusal, untried int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.retryBudget.Decide(retry.Attempt{
		Account: p.accountID(), Target: target, Refusal: refusal,
		Now: e.node.Now(), Deadline: min(p.firstTokenDeadline, p.deadline), UntriedTargets: untried,
	}).Retry
}

// recheck is called right before each dispatch. It repeats the checks whose result may have changed since the request
// arrived. If the charge is too old for a dispatch (chargeDispatchable), recheck replaces it by a new one.
func (e *Entry) recheck(ctx context.Context, p *pendingRequest) *lovageshift.Refusal {
	config := e.node.Revisions.Config()
	now := e.node.Now()
	switch {
	case !e.node.AllowsNewWork():
		return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the entry cannot confirm its configuration").WithRetryAfter(1000)
	case p.keyID != "" && !config.KeyInForce(p.keyID, p.accountID()):
		return lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key was withdrawn")
	case now >= p.firstTokenDeadline || now >= p.deadline:
		return lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token could no longer be in time").WithRetryAfter(1000)
	case !e.chargeDispatchable(p.charge):
		return e.recharge(ctx, p)
	}
	return nil
}

// recharge settles the request's charge as not used at all and charges the account again.
func (e *Entry) recharge(ctx context.Context, p *pendingRequest) *lovageshift.Refusal {
	e.settle(p.charge, 0)
	p.charge = nil
	charge, refusal := e.charge(ctx, p.account, p.maxTokens)
	p.charge = charge
	return refusal
}

// dispatchOnce dispatches the request to one target and records the result in the load table and the retry budget. The agent
// refuses the dispatch if the given incarnation is not its own. dispatchOnce returns nil after a complete response.
func (e *Entry) dispatchOnce(ctx context.Context, p *pendingRequest, target *lovageshift.Target, incarnation lovageshift.Incarnation, out sink) *lovageshift.Refusal {
	e.mutex.Lock()
	l := e.links[target.ID]
	if l == nil {
		e.mutex.Unlock()
		return lovageshift.NotRun(lovageshift.ReasonAgentUnreachable, "the agent is no longer linked")
	}
	lostContext := l.lostContext
	l.dispatches++
	p.computeTokens = e.loads.ComputeTokens(target.ID, p.routingRequest)
	e.loads.RecordDispatch(e.node.Now(), target.ID, p.routingRequest)
	e.mutex.Unlock()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(lostContext, func() { cancel(errAgentLost) })()
	refusal := e.callAgent(ctx, p, target, incarnation, out)

	e.mutex.Lock()
	defer e.mutex.Unlock()
	l.endDispatches(1)
	e.loads.RecordEnd(e.node.Now(), target.ID, refusal != nil && isTargetFailure(refusal))
	if refusal == nil {
		e.retryBudget.RecordSuccess(p.accountID(), target.ID)
	}
	return refusal
}

// isTargetFailure reports whether a refusal counts as a failure of the target in the load table, which raises the target's
// estimated cost for a while. Refusals for other reasons are not taken as a sign of a fault at the target.
func isTargetFailure(refusal *lovageshift.Refusal) bool {
	switch refusal.Reason {
	case lovageshift.ReasonEngineFailed, lovageshift.ReasonEngineAnswerMalformed, lovageshift.ReasonEngineAnswerTooLarge,
		lovageshift.ReasonEngineTimeout, lovageshift.ReasonConnectionLost, lovageshift.ReasonTargetFailing,
		lovageshift.ReasonAgentUnreachable:
		return true
	default:
		return false
	}
}

// callAgent runs one dispatch on a pooled connection to the target's agent, and closes the connection if the dispatch breaks
// off. It returns nil after a complete response.
func (e *Entry) callAgent(ctx context.Context, p *pendingRequest, target *lovageshift.Target, incarnation lovageshift.Incarnation, out sink) *lovageshift.Refusal {
	conn, err := e.node.Pool.Get(ctx, target.Agent)
	if err != nil {
		return lovageshift.NotRun(lovageshift.ReasonAgentUnreachable, link.ErrUnreachable.Error())
	}
	e.options.Metrics.Add(metrics.Dispatches, "agent", 1)
	end, err := e.streamDispatch(ctx, conn, p, target, incarnation, out)
	if err != nil {
		e.node.Pool.Drop(conn)
		if errors.Is(err, errAnswerNotHeld) {
			return lovageshift.Unknown(lovageshift.ReasonMemoryExhausted, errAnswerNotHeld.Error())
		}
		if errors.Is(err, errCallerWrite) || callerGone(ctx) {
			return lovageshift.Unknown(lovageshift.ReasonSlowCaller, "the caller left or reads too slowly")
		}
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, "the connection to the agent broke")
	}
	e.node.Pool.Put(target.Agent, conn)
	return e.handleEnd(p, target.ID, end)
}

// callerGone reports whether the context of a dispatch ended because the caller left, and not because of errAgentLost.
func callerGone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errAgentLost)
}

// errAgentLost is the cause with which dispatches are canceled lostTimeout after the watch on their agent broke, if it is
// still broken.
var errAgentLost = errors.New("agent unreachable for longer than the timeout")

// errCallerWrite marks an error in writing the response to the caller, to tell it from an error of the connection to the agent.
var errCallerWrite = errors.New("cannot write the response to the caller")

// streamDispatch sends the request to the agent and passes the response to out. It returns the message with which the agent
// ends the dispatch, or an error if the stream breaks or out fails. If the agent reports that it has queued the request,
// watchForMove runs until the response starts or the dispatch ends.
func (e *Entry) streamDispatch(ctx context.Context, conn *drpcconn.Conn, p *pendingRequest, target *lovageshift.Target, incarnation lovageshift.Incarnation, out sink) (*wire.End, error) {
	stream, err := wire.NewDRPCAgentClient(conn).Dispatch(ctx)
	if err != nil {
		return nil, err
	}
	start := e.startMessage(p, target, incarnation)
	if err := stream.Send(&wire.DispatchMessage{Body: &wire.DispatchMessage_Start{Start: start}}); err != nil {
		return nil, err
	}
	var moveWatch errgroup.Group
	watchCtx, stopMoveWatch := context.WithCancel(ctx)
	defer func() {
		stopMoveWatch()
		_ = moveWatch.Wait()
		_ = stream.Close()
	}()
	for {
		event, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		switch body := event.Body.(type) {
		case *wire.DispatchEvent_Waiting:
			moveWatch.Go(func() error { return e.watchForMove(watchCtx, p, target.ID, stream) })
		case *wire.DispatchEvent_Head:
			stopMoveWatch()
			p.headSent = true
			err = out.Head(int(body.Head.Status), body.Head.ContentType)
		case *wire.DispatchEvent_Chunk:
			err = out.Chunk(body.Chunk)
		case *wire.DispatchEvent_End:
			return body.End, nil
		}
		if err != nil {
			return nil, errors.Join(errCallerWrite, err)
		}
	}
}

// startMessage returns the message that starts a dispatch. FirstTokenBudget and TotalBudget are the milliseconds left until
// firstTokenDeadline and deadline, since the clocks of the entry and the agent start at different times.
func (e *Entry) startMessage(p *pendingRequest, target *lovageshift.Target, incarnation lovageshift.Incarnation) *wire.Start {
	now := e.node.Now()
	start := &wire.Start{
		Entry: string(e.options.ID), Incarnation: int64(e.node.Incarnation), Sequence: e.sequence.Add(1),
		SentAt: int64(now), Target: string(target.ID), TargetIncarnation: int64(incarnation), Stamp: e.node.Stamp(),
		Account: string(p.accountID()), Key: string(p.keyID), Rank: int32(p.rank),
		Method: p.method, Path: p.path, Headers: p.headers, Body: p.body, Stream: p.stream,
		PromptTokens: int64(p.routingRequest.Prompt), ComputeTokens: int64(p.computeTokens),
		OutputLimit:      int64(p.routingRequest.Output),
		FirstTokenBudget: int64(p.firstTokenDeadline - now), TotalBudget: int64(p.deadline - now),
		Fingerprint: uint64(p.fingerprint), Alone: p.alone, IdempotencyKey: p.idempotencyKey,
	}
	if p.route != nil {
		start.Route, start.Repeatable = string(p.route.ID), p.route.Repeatable
	}
	return start
}

// watchForMove checks every moveCheckInterval whether a waiting request should move to another target. If so, it asks the
// agent to end the dispatch, and returns. The agent then ends the dispatch with ReasonMoved, unless the request has started
// in the meantime. When the context ends, watchForMove returns without asking.
func (e *Entry) watchForMove(ctx context.Context, p *pendingRequest, current lovageshift.TargetID, stream wire.DRPCAgent_DispatchClient) error {
	ticker := time.NewTicker(moveCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if e.shouldMove(p, current) {
			p.moveAttempts++
			stop := &wire.Stop{OnlyWaiting: true}
			return stream.Send(&wire.DispatchMessage{Body: &wire.DispatchMessage_Stop{Stop: stop}})
		}
	}
}

// shouldMove reports whether another eligible target has so much lower an estimated cost for a waiting request that the
// request should move there (moveCostRatio, minMoveSavingMillis). A request already known as a suspect and a call with an
// idempotency key are not moved, since only one target may run them.
func (e *Entry) shouldMove(p *pendingRequest, current lovageshift.TargetID) bool {
	if p.moveAttempts >= maxMoveAttempts || p.alone || p.idempotencyKey != "" {
		return false
	}
	config := e.node.Revisions.Config()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	eligible, refusal := e.eligibleTargets(config, p)
	if refusal != nil {
		return false
	}
	now := e.node.Now()
	currentCost := e.loads.EstimateCost(now, current, p.routingRequest)
	for _, id := range eligible {
		cost := e.loads.EstimateCost(now, id, p.routingRequest)
		if id != current && cost < moveCostRatio*currentCost && cost+minMoveSavingMillis < currentCost {
			return true
		}
	}
	return false
}

// handleEnd applies the message with which the agent ended a dispatch. If the message contains the target's load, handleEnd
// stores the load in the load table, and records there if no part of the prompt was in the target's prefix cache. It sets
// p.usedTokens if the request ran or may have run.
// It returns nil if the request was answered, else the agent's refusal.
func (e *Entry) handleEnd(p *pendingRequest, target lovageshift.TargetID, end *wire.End) *lovageshift.Refusal {
	if end.Load != nil {
		e.mutex.Lock()
		if e.links[target] != nil {
			e.loads.Update(e.node.Now(), target, loadFromWire(end.Load))
		}
		if end.PromptTokens > 0 && end.CachedTokens == 0 {
			e.loads.RecordCacheMiss(target, p.routingRequest)
		}
		e.mutex.Unlock()
	}
	outcome := lovageshift.Outcome(end.Outcome)
	if outcome != lovageshift.OutcomeNotRun {
		p.usedTokens = e.settledTokens(p, end, outcome)
	}
	if outcome == lovageshift.OutcomeAnswered {
		return nil
	}
	return &lovageshift.Refusal{
		Reason: lovageshift.Reason(end.Reason), Outcome: outcome,
		RetryAfter: lovageshift.Millis(end.RetryAfter), Detail: end.Detail,
	}
}

// settledTokens returns with how many tokens to settle the charge of a request that the agent reports as run or possibly run.
// For a complete response of an engine these are the tokens that the engine counted, but at most p.maxTokens; if it did not
// count the prompt tokens, their upper bound is used instead. In all other cases the result is p.maxTokens.
func (e *Entry) settledTokens(p *pendingRequest, end *wire.End, outcome lovageshift.Outcome) lovageshift.Tokens {
	if p.route != nil {
		return p.maxTokens
	}
	promptTokens := lovageshift.Tokens(end.PromptTokens)
	if promptTokens == 0 {
		promptTokens = p.routingRequest.Prompt
	}
	if outcome != lovageshift.OutcomeAnswered {
		// The engine may have computed more than it reported.
		return p.maxTokens
	}
	return min(promptTokens+lovageshift.Tokens(end.OutputTokens), p.maxTokens)
}
