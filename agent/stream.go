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
	readBytes     = 16 << 10
	maxEventBytes = 1 << 20
)

var (
	errMalformedEvent = errors.New("not a server-sent event with JSON data")
	errAnswerTooLarge = errors.New("more than was asked for")
	errTruncated      = errors.New("the stream ended without its end mark")

	eventSeparator = []byte("\n\n")
	dataPrefix     = []byte("data:")
	doneMarker     = []byte("[DONE]")
	usageKey       = []byte(`"usage"`)
)

// eventParser checks the server-sent events of one answer and counts its tokens.
type eventParser struct {
	pending []byte // the beginning of an incomplete event
	tokens  int
	size    int64 // bytes read
	done    bool  // the [DONE] event was read
	usage   *usage

	previousTokenAt lovageshift.Millis // of this stream; 0 before its first token
}

// parse takes in bytes as they arrive and returns the events that are complete with them.
func (p *eventParser) parse(data []byte) ([]byte, error) {
	p.size += int64(len(data))
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
		if err := p.countEvent(event); err != nil {
			return nil, err
		}
	}
	return complete, nil
}

// countEvent checks one event and counts it as one token, unless it is a comment, the usage or [DONE].
func (p *eventParser) countEvent(event []byte) error {
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

// runStream passes a stream on in complete events; the answer is complete only with its [DONE] event.
func (a *Agent) runStream(ctx context.Context, j *job, answer *engine.Response, watchdog *watchdog) *lovageshift.Refusal {
	if refusal := a.sendHead(j, answer); refusal != nil {
		return refusal
	}
	parser := &eventParser{usage: &j.usage}
	for resumes := 0; ; resumes++ {
		err := a.copyEvents(j, parser, watchdog.reader(answer.Body))
		if err == nil {
			return nil
		}
		next := a.resume(ctx, answer, parser, err, resumes)
		if next == nil {
			return a.streamRefusal(ctx, j, err)
		}
		_ = answer.Body.Close()
		answer = next
	}
}

func (a *Agent) copyEvents(j *job, parser *eventParser, from io.Reader) error {
	buffer := make([]byte, readBytes)
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

func (a *Agent) forwardEvents(j *job, parser *eventParser, data []byte, maxBytes int64) error {
	before := parser.tokens
	complete, err := parser.parse(data)
	if err != nil {
		return err
	}
	if parser.size > maxBytes || lovageshift.Tokens(parser.tokens) > j.waiter.OutputLimit {
		return errAnswerTooLarge
	}
	if before == 0 && parser.tokens > 0 {
		a.firstToken(j)
	}
	if parser.tokens > before {
		a.observeTokens(parser, parser.tokens-before)
	}
	if len(complete) == 0 {
		return nil
	}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Chunk{Chunk: complete}}); err != nil {
		return errCallerLeft
	}
	return nil
}

// resume continues a broken stream after the tokens already read, or returns nil if the engine does not offer that or
// has another incarnation.
func (a *Agent) resume(ctx context.Context, answer *engine.Response, parser *eventParser, err error, resumes int) *engine.Response {
	final := errors.Is(err, errMalformedEvent) || errors.Is(err, errAnswerTooLarge) || errors.Is(err, errCallerLeft)
	if final || resumes >= maxResumes || ctx.Err() != nil || answer.StreamID == "" {
		return nil
	}
	a.mutex.Lock()
	target := a.engine
	a.mutex.Unlock()
	next, err := target.Resume(ctx, answer.StreamID, parser.tokens)
	if err != nil {
		return nil
	}
	if next.Incarnation != answer.Incarnation {
		_ = next.Body.Close()
		return nil
	}
	parser.pending = parser.pending[:0]
	a.options.Metrics.AddRetry("streamResumed")
	return next
}

func (a *Agent) streamRefusal(ctx context.Context, j *job, err error) *lovageshift.Refusal {
	switch {
	case errors.Is(err, errMalformedEvent):
		a.recordFailure()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, err.Error())
	case errors.Is(err, errAnswerTooLarge):
		a.recordFailure()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerTooLarge, err.Error())
	case errors.Is(err, errCallerLeft):
		return lovageshift.Unknown(lovageshift.ReasonWithdrawnByCaller, err.Error())
	default:
		return a.classifyFailure(ctx, j, err)
	}
}

// observeTokens records the inter-token latency of a stream in the target's concurrency limiter.
func (a *Agent) observeTokens(parser *eventParser, tokens int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.node.Now()
	a.lastTokenAt = now
	if parser.previousTokenAt > 0 {
		latency := float64(now-parser.previousTokenAt) / float64(tokens)
		a.limiter.ObserveInterTokenLatency(now, latency, a.interTokenBound, a.queue.Running())
	}
	parser.previousTokenAt = now
}

// tightestInterTokenBound returns the lowest limit between tokens of any tier, in milliseconds, or 0 without tiers.
func tightestInterTokenBound(config *lovageshift.Config) lovageshift.Millis {
	var bound lovageshift.Millis
	for _, tier := range config.Tiers {
		if bound == 0 || tier.BetweenTokensMillis < bound {
			bound = tier.BetweenTokensMillis
		}
	}
	return bound
}
