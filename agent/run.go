package agent

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/idempotency"
	"lovageshift/metrics"
	"lovageshift/wire"
)

const (
	answerChunkBytes  = 256 << 10
	maxResumes        = 2
	statusServerError = 500
	eventStream       = "text/event-stream"
	// An engine that fails this many times in a row gets no more requests at once than its cold limit.
	failuresToReset = 3
)

// run sends the admitted job to the engine and passes the answer on; nil means a complete answer.
func (a *Agent) run(ctx context.Context, j *job) *lovageshift.Refusal {
	ctx, cancel := context.WithTimeoutCause(ctx, lovageshift.Millis(j.start.TotalBudget).Duration(),
		lovageshift.Unknown(lovageshift.ReasonEngineTimeout, "the request took too long"))
	defer cancel()
	ctx, watchdog := newWatchdog(ctx, a.node.Limits().EngineSilenceMillis.Duration())
	defer watchdog.stop()

	a.options.Metrics.Add(metrics.Dispatches, "engine", 1)
	answer, refusal := a.open(ctx, j)
	if refusal != nil {
		return refusal
	}
	defer func() { _ = answer.Body.Close() }()
	watchdog.reset()
	a.observeEngine(answer.Incarnation)
	if j.start.Stream && answer.Status == http.StatusOK {
		if !strings.HasPrefix(answer.ContentType, eventStream) {
			a.recordFailure()
			return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, "the engine's answer is not an event stream")
		}
		return a.runStream(ctx, j, answer, watchdog)
	}
	return a.runBuffered(ctx, j, answer, watchdog)
}

// open sends the request to the engine and returns the answer's head.
func (a *Agent) open(ctx context.Context, j *job) (*engine.Response, *lovageshift.Refusal) {
	a.mutex.Lock()
	target := a.engine
	a.mutex.Unlock()
	j.sent.Store(true)
	answer, err := target.Open(ctx, requestOf(j.start))
	if err == nil {
		return answer, nil
	}
	if errors.Is(err, engine.ErrNotSent) && context.Cause(ctx) == nil {
		j.sent.Store(false)
		a.markEngineDown()
		return nil, lovageshift.NotRun(lovageshift.ReasonTargetFailing, "the engine cannot be reached")
	}
	return nil, a.classifyFailure(ctx, j, err)
}

func requestOf(start *wire.Start) engine.Request {
	request := engine.Request{
		Method: start.Method, Path: start.Path, Body: start.Body,
		NoRetry: !start.Repeatable,
	}
	for _, header := range start.Headers {
		request.Headers = append(request.Headers, engine.Header{Name: header.Name, Value: header.Value})
	}
	return request
}

// classifyFailure returns the refusal for a failed engine call whose request may have run.
func (a *Agent) classifyFailure(ctx context.Context, j *job, err error) *lovageshift.Refusal {
	var refusal *lovageshift.Refusal
	if cause := context.Cause(ctx); cause != nil {
		if errors.As(cause, &refusal) {
			return refusal
		}
		return lovageshift.Unknown(lovageshift.ReasonWithdrawnByCaller, "cancelled while running")
	}
	j.engineCrashed = a.checkForCrash()
	a.recordFailure()
	return lovageshift.Unknown(lovageshift.ReasonEngineFailed, err.Error())
}

// runBuffered reads the whole answer before passing on its head, so that a truncated answer is never taken for a
// complete one.
func (a *Agent) runBuffered(ctx context.Context, j *job, answer *engine.Response, watchdog *watchdog) *lovageshift.Refusal {
	maxBytes := a.node.Limits().AnswerBytes
	body, err := io.ReadAll(io.LimitReader(watchdog.reader(answer.Body), maxBytes+1))
	if err != nil {
		return a.classifyFailure(ctx, j, err)
	}
	if int64(len(body)) > maxBytes {
		a.recordFailure()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerTooLarge, "the answer is larger than the limit")
	}
	if refusal := a.checkAnswer(j, answer, body); refusal != nil {
		a.recordFailure()
		return refusal
	}
	a.firstToken(j)
	if j.recorded {
		a.recordAnswer(j, answer, body)
	}
	if refusal := a.sendHead(j, answer); refusal != nil {
		return refusal
	}
	return a.sendBody(j, body)
}

// checkAnswer returns the refusal of an invalid engine answer: one that is not JSON, or has a status of 500 or above.
// The answer of a plain service is passed on as it is.
func (a *Agent) checkAnswer(j *job, answer *engine.Response, body []byte) *lovageshift.Refusal {
	if answer.Status >= statusServerError && j.start.Route == "" {
		return lovageshift.Unknown(lovageshift.ReasonEngineFailed, "the engine answered "+http.StatusText(answer.Status))
	}
	if j.start.Route != "" {
		return nil
	}
	if !json.Valid(body) {
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, "the engine's answer is not JSON")
	}
	if answer.Status == http.StatusOK {
		j.usage.update(body)
	}
	return nil
}

func (a *Agent) recordAnswer(j *job, answer *engine.Response, body []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ledger.Finish(j.idempotencyKey(), &idempotency.Answer{
		Status: answer.Status, ContentType: answer.ContentType, Body: body,
	})
}

func (a *Agent) sendHead(j *job, answer *engine.Response) *lovageshift.Refusal {
	head := &wire.Head{
		Status: int32(answer.Status), ContentType: answer.ContentType,
		WaitedMillis: int64(a.node.Now() - j.waiter.Admitted()),
	}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Head{Head: head}}); err != nil {
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
	}
	return nil
}

func (a *Agent) sendBody(j *job, body []byte) *lovageshift.Refusal {
	for len(body) > 0 {
		chunk := body[:min(len(body), answerChunkBytes)]
		body = body[len(chunk):]
		if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Chunk{Chunk: chunk}}); err != nil {
			return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
		}
	}
	return nil
}

// firstToken records in the queue that the prompt is computed, which lets the next one be admitted.
func (a *Agent) firstToken(j *job) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.queue.FirstToken(a.node.Now(), j.waiter) {
		a.options.Metrics.Add(metrics.ColdResets, "slowPrefill", 1)
		a.notifyWatchers()
	}
	a.wakeAdmission()
}

// usageReport is the part of an engine's answer that counts tokens.
type usageReport struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// update takes the token counts from an engine's answer or event, if it has any.
func (u *usage) update(data []byte) {
	var report usageReport
	if json.Unmarshal(data, &report) != nil || report.Usage == nil {
		return
	}
	u.prompt = lovageshift.Tokens(report.Usage.PromptTokens)
	u.output = max(u.output, lovageshift.Tokens(report.Usage.CompletionTokens))
	u.cached = lovageshift.Tokens(report.Usage.Details.CachedTokens)
	u.reported = true
}

// watchdog cancels a call when the engine sends no byte within the timeout.
type watchdog struct {
	timer   *time.Timer
	timeout time.Duration
	cancel  context.CancelCauseFunc
}

func newWatchdog(ctx context.Context, timeout time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() {
		cancel(lovageshift.Unknown(lovageshift.ReasonEngineTimeout, "the engine fell silent"))
	})
	return ctx, &watchdog{timer, timeout, cancel}
}

func (w *watchdog) reset() { w.timer.Reset(w.timeout) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

func (w *watchdog) reader(from io.Reader) io.Reader { return watchedReader{from, w} }

type watchedReader struct {
	io.Reader
	watchdog *watchdog
}

// Read restarts the watchdog's timeout when it has read a byte.
func (r watchedReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.watchdog.reset()
	}
	return n, err
}
