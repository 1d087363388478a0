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
	maxChunkBytes        = 256 << 10 // of the body in one DispatchEvent
	maxResumes           = 2         // of one stream that breaks
	minServerErrorStatus = 500
	eventStreamType      = "text/event-stream"
	// From this many failures of the target on, without a complete response in between, each resets the concurrency
	// limiter to the target's cold limit.
	failuresToResetLimit = 3
)

// run sends the request of an admitted job to the target and passes the response on. It returns nil if the complete
// response was sent to the entry.
func (a *Agent) run(ctx context.Context, j *job) *lovageshift.Refusal {
	ctx, cancel := context.WithTimeoutCause(ctx, lovageshift.Millis(j.start.TotalBudget).Duration(),
		lovageshift.Unknown(lovageshift.ReasonEngineTimeout, "the request took too long"))
	defer cancel()
	ctx, watchdog := newWatchdog(ctx, a.node.Limits().EngineSilenceMillis.Duration())
	defer watchdog.stop()

	// The label names the receiver: entries count their dispatches to agents under "agent", and agents count their
	// requests to targets, also to plain services, under "engine".
	a.options.Metrics.Add(metrics.Dispatches, "engine", 1)
	response, refusal := a.open(ctx, j)
	if refusal != nil {
		return refusal
	}
	defer func() { _ = response.Body.Close() }()
	watchdog.reset()
	a.observeEngineIncarnation(response.Incarnation)
	if j.start.Stream && response.Status == http.StatusOK {
		if !strings.HasPrefix(response.ContentType, eventStreamType) {
			a.recordFailure()
			return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, "the engine's answer is not an event stream")
		}
		return a.runStream(ctx, j, response, watchdog)
	}
	return a.runBuffered(ctx, j, response, watchdog)
}

// open sends the request to the target and returns the response once its headers have arrived. Its body must be closed
// after use.
func (a *Agent) open(ctx context.Context, j *job) (*engine.Response, *lovageshift.Refusal) {
	a.mutex.Lock()
	client := a.client
	a.mutex.Unlock()
	j.maybeSent.Store(true)
	response, err := client.Open(ctx, engineRequestOf(j.start))
	if err == nil {
		return response, nil
	}
	if errors.Is(err, engine.ErrNotSent) && context.Cause(ctx) == nil {
		j.maybeSent.Store(false)
		a.recordUnreachable()
		return nil, lovageshift.NotRun(lovageshift.ReasonTargetFailing, "the engine cannot be reached")
	}
	return nil, a.handleFailure(ctx, j, err)
}

func engineRequestOf(start *wire.Start) engine.Request {
	request := engine.Request{
		Method: start.Method, Path: start.Path, Body: start.Body,
		NoRetry: !start.Repeatable,
	}
	for _, header := range start.Headers {
		request.Headers = append(request.Headers, engine.Header{Name: header.Name, Value: header.Value})
	}
	return request
}

// handleFailure returns the refusal, with an unknown outcome, for a failed request of which the target may have
// received a part. Unless the context has ended, it counts a failure of the target and checks whether the target has
// crashed.
func (a *Agent) handleFailure(ctx context.Context, j *job, err error) *lovageshift.Refusal {
	var refusal *lovageshift.Refusal
	if cause := context.Cause(ctx); cause != nil {
		if errors.As(cause, &refusal) {
			return refusal
		}
		// A context whose cause is no refusal ended because the dispatch was stopped (errDispatchStopped).
		return lovageshift.Unknown(lovageshift.ReasonWithdrawnByCaller, "cancelled while running")
	}
	j.targetCrashed = a.checkForCrash(j)
	a.recordFailure()
	return lovageshift.Unknown(lovageshift.ReasonEngineFailed, err.Error())
}

// runBuffered reads the whole response before it sends its status and content type to the entry, so that a truncated
// response is never taken for a complete one.
func (a *Agent) runBuffered(ctx context.Context, j *job, response *engine.Response, watchdog *watchdog) *lovageshift.Refusal {
	maxBytes := a.node.Limits().AnswerBytes
	body, err := io.ReadAll(io.LimitReader(watchdog.reader(response.Body), maxBytes+1))
	if err != nil {
		return a.handleFailure(ctx, j, err)
	}
	if int64(len(body)) > maxBytes {
		a.recordFailure()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerTooLarge, "the answer is larger than the limit")
	}
	if refusal := a.checkResponse(j, response, body); refusal != nil {
		a.recordFailure()
		return refusal
	}
	a.recordFirstToken(j)
	if j.ownsRecord {
		a.storeAnswer(j, response, body)
	}
	if refusal := a.sendHead(j, response); refusal != nil {
		return refusal
	}
	return a.sendBody(j, body)
}

// checkResponse returns a refusal if an engine's response is not JSON or has a status of 500 or above. From a valid
// response with status 200 it takes the token counts. It accepts every response of a plain service.
func (a *Agent) checkResponse(j *job, response *engine.Response, body []byte) *lovageshift.Refusal {
	if response.Status >= minServerErrorStatus && j.start.Route == "" {
		return lovageshift.Unknown(lovageshift.ReasonEngineFailed, "the engine answered "+http.StatusText(response.Status))
	}
	if j.start.Route != "" {
		return nil
	}
	if !json.Valid(body) {
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, "the engine's answer is not JSON")
	}
	if response.Status == http.StatusOK {
		j.usage.update(body)
	}
	return nil
}

// storeAnswer records the response in the ledger, as the answer to later jobs with the same idempotency key.
func (a *Agent) storeAnswer(j *job, response *engine.Response, body []byte) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.ledger.Finish(j.idempotencyKey(), &idempotency.Answer{
		Status: response.Status, ContentType: response.ContentType, Body: body,
	})
}

func (a *Agent) sendHead(j *job, response *engine.Response) *lovageshift.Refusal {
	// WaitedMillis is the time since admission, not the time in the queue; no entry reads it.
	head := &wire.Head{
		Status: int32(response.Status), ContentType: response.ContentType,
		WaitedMillis: int64(a.node.Now() - j.request.AdmittedAt()),
	}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Head{Head: head}}); err != nil {
		return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
	}
	return nil
}

func (a *Agent) sendBody(j *job, body []byte) *lovageshift.Refusal {
	for len(body) > 0 {
		chunk := body[:min(len(body), maxChunkBytes)]
		body = body[len(chunk):]
		if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Chunk{Chunk: chunk}}); err != nil {
			return lovageshift.Unknown(lovageshift.ReasonConnectionLost, err.Error())
		}
	}
	return nil
}

// recordFirstToken records in the queue that the job's prefill has ended, so that another request may be admitted. For
// a buffered response, whose first token does not arrive separately, it is called when the whole response has been
// read.
func (a *Agent) recordFirstToken(j *job) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	// True means that the token came so much later than the prefill speed suggests that the engine counts as cold, and
	// that ObserveFirstToken has reset the limiter to the cold limit.
	if a.queue.ObserveFirstToken(a.node.Now(), j.request) {
		a.options.Metrics.Add(metrics.ColdResets, "slowPrefill", 1)
		a.notifyLoadChanged()
	}
	a.wakeAdmission()
}

// usageReport is the part of an engine's response or event that counts tokens.
type usageReport struct {
	Usage *struct {
		PromptTokens     int64 `json:"prompt_tokens"`
		CompletionTokens int64 `json:"completion_tokens"`
		Details          struct {
			CachedTokens int64 `json:"cached_tokens"`
		} `json:"prompt_tokens_details"`
	} `json:"usage"`
}

// update takes the token counts from an engine's response or event, if it has any.
func (u *tokenUsage) update(data []byte) {
	var report usageReport
	if json.Unmarshal(data, &report) != nil || report.Usage == nil {
		return
	}
	u.prompt = lovageshift.Tokens(report.Usage.PromptTokens)
	u.output = max(u.output, lovageshift.Tokens(report.Usage.CompletionTokens))
	u.cached = lovageshift.Tokens(report.Usage.Details.CachedTokens)
	u.reported = true
}

// watchdog cancels the context of a request when the target sends no byte within the timeout, which runs from the start
// of the request, the arrival of the response's headers or the last byte of the body, whichever is latest.
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

func (w *watchdog) reader(from io.Reader) io.Reader { return watchdogReader{from, w} }

type watchdogReader struct {
	io.Reader
	watchdog *watchdog
}

// Read restarts the watchdog's timeout if it has read at least one byte.
func (r watchdogReader) Read(buffer []byte) (int, error) {
	n, err := r.Reader.Read(buffer)
	if n > 0 {
		r.watchdog.reset()
	}
	return n, err
}
