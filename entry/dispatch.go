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

const (
	moveCheckInterval = 100 * time.Millisecond
	// A waiting request moves only if its estimated cost at another target is below moveCostRatio times the cost at its
	// current target, and lower by more than minMoveSavingMillis.
	moveCostRatio       = 0.5
	minMoveSavingMillis = 100.0
	maxMoves            = 3
)

// sink receives a response as it arrives from an agent.
type sink interface {
	Head(status int, contentType string) error
	Chunk(data []byte) error
}

// pendingRequest is one caller's request, from its validation until its charge is settled.
type pendingRequest struct {
	account            *lovageshift.Account // nil on an open route
	key                lovageshift.KeyID
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
	firstTokenDeadline lovageshift.Millis // by the node's clock, like deadline
	deadline           lovageshift.Millis
	maxTokens          lovageshift.Tokens // the most that the request may use
	charge             *grant.Charge

	tried []lovageshift.TargetID // targets that refused the request
	moves int                    // how often the request left a target's queue for another target
	alone bool                   // a suspect, which runs with no other request on its target
	// computeTokens is how many prompt tokens the chosen target probably has to compute, since they are not cached.
	computeTokens lovageshift.Tokens
	usedTokens    lovageshift.Tokens
	headSent      bool // the response's head has been sent
}

func (p *pendingRequest) accountID() lovageshift.AccountID {
	if p.account == nil {
		return ""
	}
	return p.account.ID
}

// perform charges the account, dispatches until there is a response or a final refusal, and settles the charge.
func (e *Entry) perform(ctx context.Context, p *pendingRequest, out sink) *lovageshift.Refusal {
	if p.account != nil && p.maxTokens > 0 {
		charge, refusal := e.charge(ctx, p.account, p.maxTokens)
		if refusal != nil {
			return refusal
		}
		p.charge = charge
	}
	refusal := e.dispatch(ctx, p, out)
	e.settle(p.charge, p.usedTokens)
	return refusal
}

// dispatch tries one eligible target after the other as long as each proves that it did not run the request and the
// retry budget allows it.
func (e *Entry) dispatch(ctx context.Context, p *pendingRequest, out sink) *lovageshift.Refusal {
	var lastRefusal *lovageshift.Refusal
	for {
		target, incarnation, untried, refusal := e.pickTarget(p)
		if refusal != nil {
			return finalRefusal(lastRefusal, refusal)
		}
		if refusal := e.recheck(ctx, p); refusal != nil {
			return refusal
		}
		refusal = e.attempt(ctx, p, target, incarnation, out)
		if refusal == nil {
			return nil
		}
		lastRefusal = refusal
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

// finalRefusal prefers the last target's refusal to one that only says that no target is left.
func finalRefusal(last, pickRefusal *lovageshift.Refusal) *lovageshift.Refusal {
	if last != nil && pickRefusal.Reason == lovageshift.ReasonNoTarget {
		return last
	}
	return pickRefusal
}

// shouldRetry asks the retry budget whether the request may be dispatched again.
func (e *Entry) shouldRetry(p *pendingRequest, target lovageshift.TargetID, refusal *lovageshift.Refusal, untried int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.retryBudget.Decide(retry.Attempt{
		Account: p.accountID(), Target: target, Refusal: refusal,
		Now: e.node.Now(), Deadline: min(p.firstTokenDeadline, p.deadline), UntriedTargets: untried,
	}).Retry
}

// recheck repeats, right before a dispatch, the checks whose result may have changed in the meantime.
func (e *Entry) recheck(ctx context.Context, p *pendingRequest) *lovageshift.Refusal {
	config := e.node.Revisions.Config()
	now := e.node.Now()
	switch {
	case !e.node.AllowsNewWork():
		return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the entry cannot confirm its configuration").WithRetryAfter(1000)
	case p.key != "" && !config.KeyInForce(p.key, p.accountID()):
		return lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key was withdrawn")
	case now >= p.firstTokenDeadline || now >= p.deadline:
		return lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token could no longer be in time").WithRetryAfter(1000)
	case !e.chargeLive(p.charge):
		return e.recharge(ctx, p)
	}
	return nil
}

// recharge gives up a charge whose leases ended while the request waited, and charges the tokens again.
func (e *Entry) recharge(ctx context.Context, p *pendingRequest) *lovageshift.Refusal {
	e.settle(p.charge, 0)
	p.charge = nil
	charge, refusal := e.charge(ctx, p.account, p.maxTokens)
	p.charge = charge
	return refusal
}

// attempt dispatches to one target; it returns nil after a complete response.
func (e *Entry) attempt(ctx context.Context, p *pendingRequest, target *lovageshift.Target, incarnation lovageshift.Incarnation, out sink) *lovageshift.Refusal {
	e.mutex.Lock()
	l := e.links[target.ID]
	if l == nil {
		e.mutex.Unlock()
		return lovageshift.NotRun(lovageshift.ReasonAgentUnreachable, "the agent is no longer linked")
	}
	lost := l.lost
	p.computeTokens = e.loads.ComputeTokens(target.ID, p.routingRequest)
	e.loads.RecordDispatch(e.node.Now(), target.ID, p.routingRequest)
	e.mutex.Unlock()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(lost, func() { cancel(errAgentLost) })()
	refusal := e.callAgent(ctx, p, target, incarnation, out)

	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.loads.RecordEnd(e.node.Now(), target.ID, refusal != nil && isTargetFailure(refusal))
	if refusal == nil {
		e.retryBudget.RecordSuccess(p.accountID(), target.ID)
	}
	return refusal
}

// isTargetFailure reports whether a refusal is a failure of the target; other refusals say nothing about its health.
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

// callAgent runs the dispatch on a pooled connection to the agent.
func (e *Entry) callAgent(ctx context.Context, p *pendingRequest, target *lovageshift.Target, incarnation lovageshift.Incarnation, out sink) *lovageshift.Refusal {
	conn, err := e.node.Pool.Get(ctx, target.Agent)
	if err != nil {
		return lovageshift.NotRun(lovageshift.ReasonAgentUnreachable, link.ErrUnreachable.Error())
	}
	e.options.Metrics.Add(metrics.Dispatches, "agent", 1)
	end, err := e.streamDispatch(ctx, conn, p, target, incarnation, out)
	if err != nil {
		e.node.Pool.Drop(conn)
		if errors.Is(err, errCallerWrite) || callerGone(ctx) {
			return lovageshift.Unknown(lovageshift.ReasonSlowCaller, "the caller left or reads too slowly")
		}
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, "the connection to the agent broke")
	}
	e.node.Pool.Put(target.Agent, conn)
	return e.handleEnd(p, target.ID, end)
}

// callerGone reports whether the caller's own context ended the call, and not errAgentLost.
func callerGone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errAgentLost)
}

// errAgentLost ends the dispatches to an agent that has been unreachable for lostTimeout.
var errAgentLost = errors.New("agent unreachable for longer than the timeout")

// errCallerWrite is returned when the response cannot be written to the caller.
var errCallerWrite = errors.New("cannot write the response to the caller")

// streamDispatch sends the request to the agent and passes the response to out until the agent ends the dispatch.
// From the time the agent reports the request as waiting until the response starts, watchForMove runs beside it.
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
	waitCtx, stopWaiting := context.WithCancel(ctx)
	defer func() {
		stopWaiting()
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
			moveWatch.Go(func() error { return e.watchForMove(waitCtx, p, target.ID, stream) })
		case *wire.DispatchEvent_Head:
			stopWaiting()
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

// startMessage returns the message that starts a dispatch; its time budgets are milliseconds from now.
func (e *Entry) startMessage(p *pendingRequest, target *lovageshift.Target, incarnation lovageshift.Incarnation) *wire.Start {
	now := e.node.Now()
	start := &wire.Start{
		Entry: string(e.options.ID), Incarnation: int64(e.node.Incarnation), Sequence: e.sequence.Add(1),
		SentAt: int64(now), Target: string(target.ID), TargetIncarnation: int64(incarnation), Stamp: e.node.Stamp(),
		Account: string(p.accountID()), Key: string(p.key), Rank: int32(p.rank),
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

// watchForMove withdraws a waiting request from the agent's queue when another target would serve it much sooner.
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
			p.moves++
			stop := &wire.Stop{OnlyWaiting: true}
			return stream.Send(&wire.DispatchMessage{Body: &wire.DispatchMessage_Stop{Stop: stop}})
		}
	}
}

// shouldMove reports whether another eligible target would serve a waiting request much sooner. A suspect and a call
// with an idempotency key never move, since only one target may run them.
func (e *Entry) shouldMove(p *pendingRequest, current lovageshift.TargetID) bool {
	if p.moves >= maxMoves || p.alone || p.idempotencyKey != "" {
		return false
	}
	config := e.node.Revisions.Config()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	eligible, refusal := e.eligible(config, p)
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

// handleEnd records the load, the cache miss and the used tokens that the agent reports at the end of a dispatch. It
// returns nil if the request was answered, else the agent's refusal.
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

// settledTokens returns the tokens to settle: the engine's count for a complete response of a model, else the whole
// charge.
func (e *Entry) settledTokens(p *pendingRequest, end *wire.End, outcome lovageshift.Outcome) lovageshift.Tokens {
	if p.route != nil {
		return p.maxTokens
	}
	prompt := lovageshift.Tokens(end.PromptTokens)
	if prompt == 0 {
		prompt = p.routingRequest.Prompt
	}
	if outcome != lovageshift.OutcomeAnswered {
		// The engine may have computed more than it reported.
		return p.maxTokens
	}
	return min(prompt+lovageshift.Tokens(end.OutputTokens), p.maxTokens)
}
