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
	chunkBytes  = 256 << 10
	maxResumes  = 2
	serverError = 500
	eventStream = "text/event-stream"
	// An engine that fails this often in a row gets one request at a time.
	failuresToDoubt = 3
)

// run gives the admitted job to the engine and passes the answer on; nil is a whole answer.
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
	watchdog.seen()
	a.noteEngine(answer.Incarnation)
	if j.start.Stream && answer.Status == http.StatusOK {
		if !strings.HasPrefix(answer.ContentType, eventStream) {
			a.fail()
			return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, "the engine's answer is not an event stream")
		}
		return a.runStream(ctx, j, answer, watchdog)
	}
	return a.runWhole(ctx, j, answer, watchdog)
}

func (a *Agent) open(ctx context.Context, j *job) (*engine.Answer, *lovageshift.Refusal) {
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
		a.engineDown()
		return nil, lovageshift.NotRun(lovageshift.ReasonTargetFailing, "the engine cannot be reached")
	}
	return nil, a.broken(ctx, j, err)
}

func requestOf(start *wire.Start) engine.Request {
	request := engine.Request{
		Method: start.Method, Path: start.Path, Body: start.Body,
		Once: !start.Repeatable,
	}
	for _, header := range start.Headers {
		request.Headers = append(request.Headers, engine.Header{Name: header.Name, Value: header.Value})
	}
	return request
}

// broken classifies a failed engine call whose request may have run.
func (a *Agent) broken(ctx context.Context, j *job, err error) *lovageshift.Refusal {
	var refusal *lovageshift.Refusal
	if cause := context.Cause(ctx); cause != nil {
		if errors.As(cause, &refusal) {
			return refusal
		}
		return lovageshift.Unknown(lovageshift.ReasonWithdrawnByCaller, "cancelled while running")
	}
	j.crashed = a.investigate()
	a.fail()
	return lovageshift.Unknown(lovageshift.ReasonEngineFailed, err.Error())
}

// runWhole reads the whole answer before its head is passed on, so that a broken one is never taken for it.
func (a *Agent) runWhole(ctx context.Context, j *job, answer *engine.Answer, watchdog *watchdog) *lovageshift.Refusal {
	most := a.node.Limits().AnswerBytes
	body, err := io.ReadAll(io.LimitReader(watchdog.reader(answer.Body), most+1))
	if err != nil {
		return a.broken(ctx, j, err)
	}
	if int64(len(body)) > most {
		a.fail()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerTooLarge, "the answer is larger than the limit")
	}
	if refusal := a.judgeWhole(j, answer, body); refusal != nil {
		a.fail()
		return refusal
	}
	a.firstToken(j)
	if j.begun {
		a.record(j, answer, body)
	}
	if refusal := a.sendHead(j, answer); refusal != nil {
		return refusal
	}
	return a.sendBody(j, body)
}

// judgeWhole checks an engine's answer; a plain service may answer what it likes below 500.
func (a *Agent) judgeWhole(j *job, answer *engine.Answer, body []byte) *lovageshift.Refusal {
	if answer.Status >= serverError && j.start.Route == "" {
		return lovageshift.Unknown(lovageshift.ReasonEngineFailed, "the engine answered "+http.StatusText(answer.Status))
	}
	if j.start.Route != "" {
		return nil
	}
	if !json.Valid(body) {
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, "the engine's answer is not JSON")
	}
	if answer.Status == http.StatusOK {
		j.usage.read(body)
	}
	return nil
}

func (a *Agent) record(j *job, answer *engine.Answer, body []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ledger.Finish(j.idempotencyKey(), &idempotency.Answer{
		Status: answer.Status, ContentType: answer.ContentType, Body: body,
	})
}

func (a *Agent) sendHead(j *job, answer *engine.Answer) *lovageshift.Refusal {
	head := &wire.Head{
		Status: int32(answer.Status), ContentType: answer.ContentType,
		WaitedMillis: int64(a.node.Now() - j.ticket.Admitted()),
	}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Head{Head: head}}); err != nil {
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
	}
	return nil
}

func (a *Agent) sendBody(j *job, body []byte) *lovageshift.Refusal {
	for len(body) > 0 {
		part := body[:min(len(body), chunkBytes)]
		body = body[len(part):]
		if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Chunk{Chunk: part}}); err != nil {
			return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
		}
	}
	return nil
}

// firstToken tells the room that the prompt is computed.
func (a *Agent) firstToken(j *job) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	if a.room.FirstToken(a.node.Now(), j.ticket) {
		a.options.Metrics.Add(metrics.ColdStarts, "slowPrefill", 1)
		a.notify()
	}
	a.poke()
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

// read takes in an engine's own count, where the answer has one.
func (u *usage) read(data []byte) {
	var report usageReport
	if json.Unmarshal(data, &report) != nil || report.Usage == nil {
		return
	}
	u.prompt = lovageshift.Tokens(report.Usage.PromptTokens)
	u.output = max(u.output, lovageshift.Tokens(report.Usage.CompletionTokens))
	u.cached = lovageshift.Tokens(report.Usage.Details.CachedTokens)
	u.reported = true
}

// watchdog cancels a call whose engine has been silent too long.
type watchdog struct {
	timer   *time.Timer
	silence time.Duration
	cancel  context.CancelCauseFunc
}

func newWatchdog(ctx context.Context, silence time.Duration) (context.Context, *watchdog) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(silence, func() {
		cancel(lovageshift.Unknown(lovageshift.ReasonEngineTimeout, "the engine fell silent"))
	})
	return ctx, &watchdog{timer, silence, cancel}
}

func (w *watchdog) seen() { w.timer.Reset(w.silence) }

func (w *watchdog) stop() {
	w.timer.Stop()
	w.cancel(nil)
}

func (w *watchdog) reader(from io.Reader) io.Reader { return watchedReader{from, w} }

type watchedReader struct {
	io.Reader
	watchdog *watchdog
}

// Read notes each sign of life.
func (r watchedReader) Read(into []byte) (int, error) {
	count, err := r.Reader.Read(into)
	if count > 0 {
		r.watchdog.seen()
	}
	return count, err
}
