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
	moveInterval = 100 * time.Millisecond
	// A waiting request moves when another target promises less than this part of the time here.
	moveGain = 0.5
	// and at least this many milliseconds less.
	moveMillis = 100.0
	maxMoves   = 3
)

// sink takes an answer as it arrives.
type sink interface {
	Head(status int, contentType string) error
	Chunk(data []byte) error
}

// work is one caller's request on its way to a target.
type work struct {
	account        *lovageshift.Account // nil on an open route
	key            lovageshift.KeyID
	rank           lovageshift.Rank
	model          lovageshift.ModelID
	adapter        string
	route          *lovageshift.Route
	method, path   string
	headers        []*wire.Header
	body           []byte
	stream         bool
	request        routing.Request
	fingerprint    lovageshift.Fingerprint
	idempotencyKey string
	firstToken     lovageshift.Millis // when it is due
	deadline       lovageshift.Millis
	tokens         lovageshift.Tokens // the most it may use
	charge         *grant.Charge

	asked []lovageshift.TargetID
	moves int
	alone bool
	// compute is the prompt tokens that the chosen target probably has to compute.
	compute lovageshift.Tokens
	used    lovageshift.Tokens
	began   bool // the answer's head has gone out
}

func (w *work) accountID() lovageshift.AccountID {
	if w.account == nil {
		return ""
	}
	return w.account.ID
}

// perform charges the account, dispatches until there is an answer or a final refusal, and settles.
func (e *Entry) perform(ctx context.Context, w *work, out sink) *lovageshift.Refusal {
	if w.account != nil && w.tokens > 0 {
		charge, refusal := e.charge(ctx, w.account, w.tokens)
		if refusal != nil {
			return refusal
		}
		w.charge = charge
	}
	refusal := e.dispatch(ctx, w, out)
	e.settle(w.charge, w.used)
	return refusal
}

// dispatch asks one fit target after the other as long as each proves that it did not run the request.
func (e *Entry) dispatch(ctx context.Context, w *work, out sink) *lovageshift.Refusal {
	var last *lovageshift.Refusal
	for {
		target, incarnation, left, refusal := e.pick(w)
		if refusal != nil {
			return finalRefusal(last, refusal)
		}
		if refusal := e.lastCheck(ctx, w); refusal != nil {
			return refusal
		}
		refusal = e.attempt(ctx, w, target, incarnation, out)
		if refusal == nil {
			return nil
		}
		last = refusal
		if refusal.Reason != lovageshift.ReasonMoved {
			w.asked = append(w.asked, target.ID)
			left--
		}
		if !e.again(w, target.ID, refusal, left) {
			return refusal
		}
		e.options.Metrics.Retried(refusal.Reason)
	}
}

// finalRefusal prefers what the last target said over the fact that none is left.
func finalRefusal(last, none *lovageshift.Refusal) *lovageshift.Refusal {
	if last != nil && none.Reason == lovageshift.ReasonNoTarget {
		return last
	}
	return none
}

func (e *Entry) again(w *work, target lovageshift.TargetID, refusal *lovageshift.Refusal, left int) bool {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return e.budget.Decide(retry.Attempt{
		Account: w.accountID(), Target: target, Refusal: refusal,
		Now: e.node.Now(), Deadline: min(w.firstToken, w.deadline), UntriedTargets: left,
	}).Retry
}

// lastCheck asks again, right before a dispatch, what time may have changed.
func (e *Entry) lastCheck(ctx context.Context, w *work) *lovageshift.Refusal {
	config := e.node.Revisions.Config()
	now := e.node.Now()
	switch {
	case !e.node.AllowsNewWork():
		return lovageshift.NotRun(lovageshift.ReasonUnconfirmed, "the entry cannot confirm its configuration").WithRetryAfter(1000)
	case w.key != "" && !config.KeyInForce(w.key, w.accountID()):
		return lovageshift.NotRun(lovageshift.ReasonKeyWithdrawn, "the key was withdrawn")
	case now >= w.firstToken || now >= w.deadline:
		return lovageshift.NotRun(lovageshift.ReasonDeadline, "the first token could no longer be in time").WithRetryAfter(1000)
	case !e.live(w.charge):
		return e.recharge(ctx, w)
	}
	return nil
}

// recharge takes the tokens anew after a wait that outlived their leases.
func (e *Entry) recharge(ctx context.Context, w *work) *lovageshift.Refusal {
	e.settle(w.charge, 0)
	w.charge = nil
	charge, refusal := e.charge(ctx, w.account, w.tokens)
	w.charge = charge
	return refusal
}

// attempt dispatches to one target; nil is a whole answer.
func (e *Entry) attempt(ctx context.Context, w *work, target *lovageshift.Target, incarnation lovageshift.Incarnation, out sink) *lovageshift.Refusal {
	e.mutex.Lock()
	known := e.links[target.ID]
	if known == nil {
		e.mutex.Unlock()
		return lovageshift.NotRun(lovageshift.ReasonAgentUnreachable, "the agent is no longer linked")
	}
	lost := known.lost
	w.compute = e.board.ComputeTokens(target.ID, w.request)
	e.board.RecordDispatch(e.node.Now(), target.ID, w.request)
	e.mutex.Unlock()

	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(lost, func() { cancel(errLost) })()
	refusal := e.call(ctx, w, target, incarnation, out)

	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.board.RecordEnd(e.node.Now(), target.ID, refusal != nil && targetsFault(refusal))
	if refusal == nil {
		e.budget.RecordSuccess(w.accountID(), target.ID)
	}
	return refusal
}

// targetsFault tells failures of a target from refusals that say nothing about it.
func targetsFault(refusal *lovageshift.Refusal) bool {
	switch refusal.Reason {
	case lovageshift.ReasonEngineFailed, lovageshift.ReasonEngineAnswerMalformed, lovageshift.ReasonEngineAnswerTooLarge,
		lovageshift.ReasonEngineTimeout, lovageshift.ReasonConnectionLost, lovageshift.ReasonTargetFailing,
		lovageshift.ReasonAgentUnreachable:
		return true
	default:
		return false
	}
}

// call runs the dispatch on a connection to the agent.
func (e *Entry) call(ctx context.Context, w *work, target *lovageshift.Target, incarnation lovageshift.Incarnation, out sink) *lovageshift.Refusal {
	conn, err := e.node.Pool.Get(ctx, target.Agent)
	if err != nil {
		return lovageshift.NotRun(lovageshift.ReasonAgentUnreachable, link.ErrUnreachable.Error())
	}
	e.options.Metrics.Add(metrics.Dispatches, "agent", 1)
	end, err := e.converse(ctx, conn, w, target, incarnation, out)
	if err != nil {
		e.node.Pool.Drop(conn)
		if errors.Is(err, errCaller) || callerGone(ctx) {
			return lovageshift.Unknown(lovageshift.ReasonSlowCaller, "the caller left or reads too slowly")
		}
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, "the connection to the agent broke")
	}
	e.node.Pool.Put(target.Agent, conn)
	return e.conclude(w, target.ID, end)
}

// callerGone reports whether the caller's own context, not the lost link, ended the call.
func callerGone(ctx context.Context) bool {
	return ctx.Err() != nil && !errors.Is(context.Cause(ctx), errLost)
}

// errLost ends dispatches to an agent that has been out of reach for long.
var errLost = errors.New("the agent is out of reach")

// errCaller is returned when the answer cannot be passed on.
var errCaller = errors.New("caller does not take the answer")

func (e *Entry) converse(ctx context.Context, conn *drpcconn.Conn, w *work, target *lovageshift.Target, incarnation lovageshift.Incarnation, out sink) (*wire.End, error) {
	stream, err := wire.NewDRPCAgentClient(conn).Dispatch(ctx)
	if err != nil {
		return nil, err
	}
	start := e.startOf(w, target, incarnation)
	if err := stream.Send(&wire.DispatchMessage{Body: &wire.DispatchMessage_Start{Start: start}}); err != nil {
		return nil, err
	}
	var mover errgroup.Group
	settled, settle := context.WithCancel(ctx)
	defer func() {
		settle()
		_ = mover.Wait()
		_ = stream.Close()
	}()
	for {
		event, err := stream.Recv()
		if err != nil {
			return nil, err
		}
		switch body := event.Body.(type) {
		case *wire.DispatchEvent_Waiting:
			mover.Go(func() error { return e.considerMoves(settled, w, target.ID, stream) })
		case *wire.DispatchEvent_Head:
			settle()
			w.began = true
			err = out.Head(int(body.Head.Status), body.Head.ContentType)
		case *wire.DispatchEvent_Chunk:
			err = out.Chunk(body.Chunk)
		case *wire.DispatchEvent_End:
			return body.End, nil
		}
		if err != nil {
			return nil, errors.Join(errCaller, err)
		}
	}
}

func (e *Entry) startOf(w *work, target *lovageshift.Target, incarnation lovageshift.Incarnation) *wire.Start {
	now := e.node.Now()
	start := &wire.Start{
		Entry: string(e.options.ID), Incarnation: int64(e.node.Incarnation), Sequence: e.sequence.Add(1),
		SentAt: int64(now), Target: string(target.ID), TargetIncarnation: int64(incarnation), Stamp: e.node.Stamp(),
		Account: string(w.accountID()), Key: string(w.key), Rank: int32(w.rank),
		Method: w.method, Path: w.path, Headers: w.headers, Body: w.body, Stream: w.stream,
		PromptTokens: int64(w.request.Prompt), ComputeTokens: int64(w.compute), OutputLimit: int64(w.request.Output),
		FirstTokenBudget: int64(w.firstToken - now), TotalBudget: int64(w.deadline - now),
		Fingerprint: uint64(w.fingerprint), Alone: w.alone, IdempotencyKey: w.idempotencyKey,
	}
	if w.route != nil {
		start.Route, start.Repeatable = string(w.route.ID), w.route.Repeatable
	}
	return start
}

// considerMoves takes a waiting request back when another target would serve it much sooner.
func (e *Entry) considerMoves(ctx context.Context, w *work, here lovageshift.TargetID, stream wire.DRPCAgent_DispatchClient) error {
	ticker := time.NewTicker(moveInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if e.better(w, here) {
			w.moves++
			stop := &wire.Stop{OnlyWaiting: true}
			return stream.Send(&wire.DispatchMessage{Body: &wire.DispatchMessage_Stop{Stop: stop}})
		}
	}
}

func (e *Entry) better(w *work, here lovageshift.TargetID) bool {
	if w.moves >= maxMoves || w.alone || w.idempotencyKey != "" {
		return false
	}
	config := e.node.Revisions.Config()
	e.mutex.Lock()
	defer e.mutex.Unlock()
	fit, refusal := e.fit(config, w)
	if refusal != nil {
		return false
	}
	now := e.node.Now()
	wait := e.board.EstimateCost(now, here, w.request)
	for _, id := range fit {
		there := e.board.EstimateCost(now, id, w.request)
		if id != here && there < moveGain*wait && there+moveMillis < wait {
			return true
		}
	}
	return false
}

// conclude reads how the agent ended the dispatch.
func (e *Entry) conclude(w *work, target lovageshift.TargetID, end *wire.End) *lovageshift.Refusal {
	if end.Load != nil {
		e.mutex.Lock()
		if e.links[target] != nil {
			e.board.Update(e.node.Now(), target, loadOf(end.Load))
		}
		if end.PromptTokens > 0 && end.CachedTokens == 0 {
			e.board.RecordCacheMiss(target, w.request)
		}
		e.mutex.Unlock()
	}
	outcome := lovageshift.Outcome(end.Outcome)
	if outcome != lovageshift.OutcomeNotRun {
		w.used = e.usedBy(w, end, outcome)
	}
	if outcome == lovageshift.OutcomeAnswered {
		return nil
	}
	return &lovageshift.Refusal{
		Reason: lovageshift.Reason(end.Reason), Outcome: outcome,
		RetryAfter: lovageshift.Millis(end.RetryAfter), Detail: end.Detail,
	}
}

// usedBy returns the tokens to settle: the engine's count for a whole answer, and the whole charge where nothing is known.
func (e *Entry) usedBy(w *work, end *wire.End, outcome lovageshift.Outcome) lovageshift.Tokens {
	if w.route != nil {
		return w.tokens
	}
	prompt := lovageshift.Tokens(end.PromptTokens)
	if prompt == 0 {
		prompt = w.request.Prompt
	}
	if outcome != lovageshift.OutcomeAnswered {
		// The engine may have computed more than it told.
		return w.tokens
	}
	return min(prompt+lovageshift.Tokens(end.OutputTokens), w.tokens)
}
