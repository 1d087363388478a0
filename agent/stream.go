package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/wire"
)

const (
	readBufferBytes = 16 << 10
	maxEventBytes   = 1 << 20 // of an event whose end has not arrived
)

var (
	errMalformedEvent = errors.New("not a server-sent event with JSON data")
	// More bytes than limits.answerBytes, or more output tokens than the request allows.
	errResponseTooLarge = errors.New("more than was asked for")
	// The stream ended without a [DONE] event.
	errTruncated = errors.New("the stream ended without its end mark")

	eventSeparator = []byte("\n\n")
	dataPrefix     = []byte("data:")
	doneMarker     = []byte("[DONE]")
	usageKey       = []byte(`"usage"`)
)

// eventParser splits one response stream into server-sent events, checks them and counts the tokens in them. It is kept
// when the stream is resumed, and goes on counting.
type eventParser struct {
	pending   []byte // the beginning of an event whose end has not arrived
	tokens    int
	bytesRead int64
	done      bool // the [DONE] event was read
	usage     *tokenUsage

	previousTokenAt lovageshift.Millis // when this stream's latest token arrived; 0 before the first
}

// parse takes the next bytes of the stream and returns the bytes of all events that are now complete, or nil if there
// are none.
func (p *eventParser) parse(data []byte) ([]byte, error) {
	p.bytesRead += int64(len(data))
	p.pending = append(p.pending, data...)
	end := bytes.LastIndex(p.pending, eventSeparator)
	if end < 0 {
		if len(p.pending) > maxEventBytes {
			return nil, errMalformedEvent
		}
		return nil, nil
	}
	complete := append([]byte(nil), p.pending[:end+len(eventSeparator)]...)
	p.pending = append(p.pending[:0], p.pending[end+len(eventSeparator):]...)
	for _, event := range bytes.Split(complete[:end], eventSeparator) {
		if err := p.parseEvent(event); err != nil {
			return nil, err
		}
	}
	return complete, nil
}

// parseEvent checks one event and counts it as one token, unless it is a comment, [DONE], or an event with a "usage"
// field, from which it takes the token counts. After [DONE], only comments are valid.
func (p *eventParser) parseEvent(event []byte) error {
	event = bytes.TrimSpace(event)
	if len(event) == 0 || event[0] == ':' {
		return nil
	}
	data, found := bytes.CutPrefix(event, dataPrefix)
	if !found || p.done {
		return errMalformedEvent
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMarker) {
		p.done = true
		return nil
	}
	if !json.Valid(data) {
		return errMalformedEvent
	}
	if bytes.Contains(data, usageKey) {
		p.usage.update(data)
		return nil
	}
	p.tokens++
	p.usage.output = max(p.usage.output, lovageshift.Tokens(p.tokens))
	return nil
}

// runStream passes a stream on to the entry in complete events. If the stream breaks, it is resumed up to maxResumes
// times. It returns nil only if it has read the [DONE] event, without which the response is not complete.
func (a *Agent) runStream(ctx context.Context, j *job, response *engine.Response, watchdog *watchdog) *lovageshift.Refusal {
	if refusal := a.sendHead(j, response); refusal != nil {
		return refusal
	}
	parser := &eventParser{usage: &j.usage}
	for resumes := 0; ; resumes++ {
		err := a.copyEvents(j, parser, watchdog.reader(response.Body))
		if err == nil {
			return nil
		}
		next := a.resume(ctx, response, parser, err, resumes)
		if next == nil {
			return a.handleStreamFailure(ctx, j, err)
		}
		_ = response.Body.Close()
		response = next
	}
}

// copyEvents passes events on to the entry until it has read [DONE]. If the stream ends before that, it returns
// errTruncated.
func (a *Agent) copyEvents(j *job, parser *eventParser, from io.Reader) error {
	buffer := make([]byte, readBufferBytes)
	maxBytes := a.node.Limits().AnswerBytes
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if err := a.forwardEvents(j, parser, buffer[:n], maxBytes); err != nil {
				return err
			}
		}
		switch {
		case parser.done:
			return nil
		case err == io.EOF:
			return errTruncated
		case err != nil:
			return err
		}
	}
}

// forwardEvents parses the bytes just read, records their tokens and sends the events that are now complete to the
// entry.
func (a *Agent) forwardEvents(j *job, parser *eventParser, data []byte, maxBytes int64) error {
	tokensBefore := parser.tokens
	complete, err := parser.parse(data)
	if err != nil {
		return err
	}
	if parser.bytesRead > maxBytes || lovageshift.Tokens(parser.tokens) > j.request.OutputLimit {
		return errResponseTooLarge
	}
	if tokensBefore == 0 && parser.tokens > 0 {
		a.recordFirstToken(j)
	}
	if parser.tokens > tokensBefore {
		a.observeTokens(parser, parser.tokens-tokensBefore)
	}
	if len(complete) == 0 {
		return nil
	}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Chunk{Chunk: complete}}); err != nil {
		return errDispatchStopped
	}
	return nil
}

// resume asks the engine to continue a broken stream after the tokens already read, and discards the incomplete event
// at its end, which the engine sends again. It returns nil if the stream cannot be resumed: err is not a break of the
// stream (the response is invalid or too large, or the dispatch was stopped), the stream has no id or has been resumed
// maxResumes times, the context has ended, or the engine refuses or has restarted.
func (a *Agent) resume(ctx context.Context, response *engine.Response, parser *eventParser, err error, resumes int) *engine.Response {
	final := errors.Is(err, errMalformedEvent) || errors.Is(err, errResponseTooLarge) || errors.Is(err, errDispatchStopped)
	if final || resumes >= maxResumes || ctx.Err() != nil || response.StreamID == "" {
		return nil
	}
	a.mutex.Lock()
	client := a.client
	a.mutex.Unlock()
	next, err := client.Resume(ctx, response.StreamID, parser.tokens)
	if err != nil {
		return nil
	}
	if next.Incarnation != response.Incarnation {
		_ = next.Body.Close()
		return nil
	}
	parser.pending = parser.pending[:0]
	a.options.Metrics.AddRetry("streamResumed")
	return next
}

// handleStreamFailure returns the refusal, with an unknown outcome, for a stream that failed and cannot be resumed.
func (a *Agent) handleStreamFailure(ctx context.Context, j *job, err error) *lovageshift.Refusal {
	switch {
	case errors.Is(err, errMalformedEvent):
		a.recordFailure()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, err.Error())
	case errors.Is(err, errResponseTooLarge):
		a.recordFailure()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerTooLarge, err.Error())
	case errors.Is(err, errDispatchStopped):
		return lovageshift.Unknown(lovageshift.ReasonWithdrawnByCaller, err.Error())
	default:
		return a.handleFailure(ctx, j, err)
	}
}

// observeTokens records in the concurrency limiter the inter-token latency, in milliseconds, of tokens that have just
// arrived together: the time since the stream's previous token, divided by the number of these tokens.
func (a *Agent) observeTokens(parser *eventParser, tokens int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.node.Now()
	a.lastTokenAt = now
	if parser.previousTokenAt > 0 {
		latency := float64(now-parser.previousTokenAt) / float64(tokens)
		a.limiter.ObserveInterTokenLatency(now, latency, a.interTokenLatencyBound, a.queue.Running())
	}
	parser.previousTokenAt = now
}

// lowestInterTokenLatencyBound returns the lowest betweenTokensMillis of any tier, or 0 without tiers.
func lowestInterTokenLatencyBound(config *lovageshift.Config) lovageshift.Millis {
	var bound lovageshift.Millis
	for _, tier := range config.Tiers {
		if bound == 0 || tier.BetweenTokensMillis < bound {
			bound = tier.BetweenTokensMillis
		}
	}
	return bound
}
