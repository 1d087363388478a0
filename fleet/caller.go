package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"lovageshift"
	"lovageshift/entry"
	"lovageshift/standin"
)

// CompletionRequest is a request for one completion.
type CompletionRequest struct {
	Account      lovageshift.AccountID
	Prompt       string
	OutputTokens int  // tokens that the stand-in engine generates, at most MaxTokens
	MaxTokens    int  // max_tokens of the request; 0 sends OutputTokens
	NonStreaming bool // asks for one JSON answer instead of an event stream
}

// Reply is what a caller received in answer to a request. A broken stream leaves the part received before. Outcome and
// Reason are those of the answer's headers or, if a stream failed after its start, of its error event.
type Reply struct {
	Status           int // HTTP status code, 0 without an answer
	Outcome          string
	Reason           string
	RetryAfter       string // the Retry-After header
	Body             string // of an answer that is not an event stream
	Text             string // the generated text received
	EndReceived      bool   // the end marker of the stream, or a whole JSON completion, was received
	SentAt           time.Time
	TimeToFirstToken time.Duration // from SentAt; without a stream, until the whole body was received
	TimeToLastToken  time.Duration // from SentAt
	Tokens           int           // output tokens received: one per event of a stream, or the count in a JSON completion
	Err              error         // of sending the request or reading the answer; nil for a refusal
}

// Correct reports whether the reply is complete, has status 200 and the text that the stand-in engine generates for the
// request.
func (r *Reply) Correct(request CompletionRequest) bool {
	return r.Status == http.StatusOK && r.EndReceived && r.Text == standin.CompletionText(request.Prompt, request.OutputTokens)
}

// InterTokenLatency returns the mean time between successive tokens. It is 0 with fewer than 2 tokens and without a
// stream.
func (r *Reply) InterTokenLatency() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.TimeToLastToken - r.TimeToFirstToken) / time.Duration(r.Tokens-1)
}

// Complete sends a completion request to the entry and reads the answer.
func (e *EntryProcess) Complete(ctx context.Context, request CompletionRequest) *Reply {
	limit := request.MaxTokens
	if limit == 0 {
		limit = request.OutputTokens
	}
	prompt, _ := json.Marshal(request.Prompt)
	body := fmt.Sprintf(`{"model":"drafts","messages":[{"role":"user","content":%s}],"stream":%t,"max_tokens":%d,"metadata":{"outputTokens":%d}}`,
		prompt, !request.NonStreaming, limit, request.OutputTokens)
	header := http.Header{"Authorization": {"Bearer " + KeyOf(request.Account)}, "Content-Type": {"application/json"}}
	return e.Call(ctx, http.MethodPost, "/v1/chat/completions", header, body)
}

// Deposit calls the deposits route, whose requests must run at most once, with an idempotency key.
func (e *EntryProcess) Deposit(ctx context.Context, account lovageshift.AccountID, key, body string) *Reply {
	header := http.Header{"Authorization": {"Bearer " + KeyOf(account)}, "Idempotency-Key": {key}}
	return e.Call(ctx, http.MethodPost, "/deposits/new", header, body)
}

// Call sends an HTTP request to the entry and reads the answer.
func (e *EntryProcess) Call(ctx context.Context, method, path string, header http.Header, body string) *Reply {
	reply := &Reply{SentAt: time.Now()}
	request, err := http.NewRequestWithContext(ctx, method, e.URL+path, strings.NewReader(body))
	if err != nil {
		reply.Err = err
		return reply
	}
	request.Header = header
	response, err := e.Client.Do(request)
	if err != nil {
		reply.Err = err
		return reply
	}
	defer response.Body.Close()
	reply.Status = response.StatusCode
	reply.Outcome = response.Header.Get(entry.HeaderOutcome)
	reply.Reason = response.Header.Get(entry.HeaderReason)
	reply.RetryAfter = response.Header.Get("Retry-After")
	if response.Header.Get("Content-Type") == "text/event-stream" {
		reply.readEvents(response.Body)
		return reply
	}
	content, err := io.ReadAll(response.Body)
	reply.Body, reply.Err = string(content), err
	reply.TimeToLastToken = time.Since(reply.SentAt)
	reply.TimeToFirstToken = reply.TimeToLastToken
	reply.parseBody(content)
	return reply
}

// completionMessage is a JSON completion or one event of a completion stream.
type completionMessage struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Usage *struct {
		Completion int `json:"completion_tokens"`
	}
	Error *struct{ Code, Outcome string }
}

// parseBody takes text and token count from a JSON completion; other bodies change nothing.
func (r *Reply) parseBody(content []byte) {
	var parsed completionMessage
	if json.Unmarshal(content, &parsed) != nil || len(parsed.Choices) == 0 {
		return
	}
	r.Text, r.EndReceived = parsed.Choices[0].Message.Content, true
	if parsed.Usage != nil {
		r.Tokens = parsed.Usage.Completion
	}
}

// readEvents reads a completion stream to its end, or to the first read error.
func (r *Reply) readEvents(body io.Reader) {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	buffer := make([]byte, 32<<10)
	var pending []byte
	for {
		count, err := body.Read(buffer)
		pending = append(pending, buffer[:count]...)
		for {
			event, rest, found := bytes.Cut(pending, []byte("\n\n"))
			if !found {
				break
			}
			pending = rest
			r.parseEvent(string(event), &text)
		}
		if err != nil {
			if err != io.EOF {
				r.Err = err
			}
			return
		}
	}
}

// parseEvent appends an event's token to the text and records its time, or the end or failure of the stream, in the
// reply.
func (r *Reply) parseEvent(event string, text *strings.Builder) {
	data, found := strings.CutPrefix(event, "data: ")
	if !found {
		_, data, _ = strings.Cut(event, "data: ")
	}
	if data == "[DONE]" {
		r.EndReceived = true
		return
	}
	var parsed completionMessage
	if json.Unmarshal([]byte(data), &parsed) != nil {
		return
	}
	if parsed.Error != nil {
		r.Reason, r.Outcome = parsed.Error.Code, parsed.Error.Outcome
		return
	}
	if len(parsed.Choices) == 0 {
		return
	}
	text.WriteString(parsed.Choices[0].Delta.Content)
	r.Tokens++
	r.TimeToLastToken = time.Since(r.SentAt)
	if r.Tokens == 1 {
		r.TimeToFirstToken = r.TimeToLastToken
	}
}
