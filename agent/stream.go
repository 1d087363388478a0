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
	errGarbage   = errors.New("not a server-sent event with JSON data")
	errTooMuch   = errors.New("more than was asked for")
	errTruncated = errors.New("the stream ended without its end mark")

	eventEnd   = []byte("\n\n")
	dataPrefix = []byte("data:")
	doneMark   = []byte("[DONE]")
	usageMark  = []byte(`"usage"`)
)

// events follows a stream of server-sent events from an engine.
type events struct {
	pending []byte
	tokens  int
	size    int64
	done    bool
	usage   *usage

	lastToken lovageshift.Millis
}

// take returns the whole events among the bytes read so far.
func (e *events) take(data []byte) ([]byte, error) {
	e.size += int64(len(data))
	e.pending = append(e.pending, data...)
	cut := bytes.LastIndex(e.pending, eventEnd)
	if cut < 0 {
		if len(e.pending) > maxEventBytes {
			return nil, errGarbage
		}
		return nil, nil
	}
	whole := append([]byte(nil), e.pending[:cut+len(eventEnd)]...)
	e.pending = append(e.pending[:0], e.pending[cut+len(eventEnd):]...)
	for _, event := range bytes.Split(whole[:cut], eventEnd) {
		if err := e.count(event); err != nil {
			return nil, err
		}
	}
	return whole, nil
}

func (e *events) count(event []byte) error {
	event = bytes.TrimSpace(event)
	if len(event) == 0 || event[0] == ':' {
		return nil
	}
	data, found := bytes.CutPrefix(event, dataPrefix)
	if !found || e.done {
		return errGarbage
	}
	data = bytes.TrimSpace(data)
	if bytes.Equal(data, doneMark) {
		e.done = true
		return nil
	}
	if !json.Valid(data) {
		return errGarbage
	}
	if bytes.Contains(data, usageMark) {
		e.usage.read(data)
		return nil
	}
	e.tokens++
	e.usage.output = max(e.usage.output, lovageshift.Tokens(e.tokens))
	return nil
}

// runStream passes a stream on event by event; only one with its end mark counts as whole.
func (a *Agent) runStream(ctx context.Context, j *job, answer *engine.Answer, watchdog *watchdog) *lovageshift.Refusal {
	if refusal := a.sendHead(j, answer); refusal != nil {
		return refusal
	}
	follow := &events{usage: &j.usage}
	for resumes := 0; ; resumes++ {
		err := a.copyEvents(j, follow, watchdog.reader(answer.Body))
		if err == nil {
			return nil
		}
		next := a.resume(ctx, answer, follow, err, resumes)
		if next == nil {
			return a.streamRefusal(ctx, j, err)
		}
		_ = answer.Body.Close()
		answer = next
	}
}

func (a *Agent) copyEvents(j *job, follow *events, from io.Reader) error {
	buffer := make([]byte, readBytes)
	most := a.node.Limits().AnswerBytes
	for {
		count, err := from.Read(buffer)
		if count > 0 {
			if err := a.passEvents(j, follow, buffer[:count], most); err != nil {
				return err
			}
		}
		switch {
		case follow.done:
			return nil
		case err == io.EOF:
			return errTruncated
		case err != nil:
			return err
		}
	}
}

func (a *Agent) passEvents(j *job, follow *events, data []byte, most int64) error {
	before := follow.tokens
	whole, err := follow.take(data)
	if err != nil {
		return err
	}
	if follow.size > most || lovageshift.Tokens(follow.tokens) > j.ticket.OutputLimit {
		return errTooMuch
	}
	if before == 0 && follow.tokens > 0 {
		a.firstToken(j)
	}
	if follow.tokens > before {
		a.progressed(follow, follow.tokens-before)
	}
	if len(whole) == 0 {
		return nil
	}
	if err := j.send(&wire.DispatchEvent{Body: &wire.DispatchEvent_Chunk{Chunk: whole}}); err != nil {
		return errCallerLeft
	}
	return nil
}

// resume goes on with a broken stream at the same run of the same engine, where that offers it.
func (a *Agent) resume(ctx context.Context, answer *engine.Answer, follow *events, err error, resumes int) *engine.Answer {
	final := errors.Is(err, errGarbage) || errors.Is(err, errTooMuch) || errors.Is(err, errCallerLeft)
	if final || resumes >= maxResumes || ctx.Err() != nil || answer.Stream == "" {
		return nil
	}
	a.mutex.Lock()
	target := a.engine
	a.mutex.Unlock()
	next, err := target.Resume(ctx, answer.Stream, follow.tokens)
	if err != nil {
		return nil
	}
	if next.Incarnation != answer.Incarnation {
		_ = next.Body.Close()
		return nil
	}
	follow.pending = follow.pending[:0]
	a.options.Metrics.Retried("streamResumed")
	return next
}

func (a *Agent) streamRefusal(ctx context.Context, j *job, err error) *lovageshift.Refusal {
	switch {
	case errors.Is(err, errGarbage):
		a.fail()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerMalformed, err.Error())
	case errors.Is(err, errTooMuch):
		a.fail()
		return lovageshift.Unknown(lovageshift.ReasonEngineAnswerTooLarge, err.Error())
	case errors.Is(err, errCallerLeft):
		return lovageshift.Unknown(lovageshift.ReasonWithdrawnByCaller, err.Error())
	default:
		return a.broken(ctx, j, err)
	}
}

// progressed tells the target's warmth how far apart the tokens of a stream come.
func (a *Agent) progressed(follow *events, tokens int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	now := a.node.Now()
	a.progress = now
	if follow.lastToken > 0 {
		gap := float64(now-follow.lastToken) / float64(tokens)
		a.warmth.ObserveInterTokenLatency(now, gap, a.bound, a.room.Running())
	}
	follow.lastToken = now
}

// gapBound returns the tightest limit between tokens of any tier, in milliseconds.
func gapBound(config *lovageshift.Config) lovageshift.Millis {
	var bound lovageshift.Millis
	for _, tier := range config.Tiers {
		if bound == 0 || tier.BetweenTokensMillis < bound {
			bound = tier.BetweenTokensMillis
		}
	}
	return bound
}
