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

// CompletionRequest is one completion that a caller wants.
type CompletionRequest struct {
	Account      lovageshift.AccountID
	Prompt       string
	OutputTokens int // the answer's length
	MaxTokens    int // the output limit; 0 is the length
	NonStreaming bool
}

// Reply is what a caller got.
type Reply struct {
	Status           int
	Outcome          string
	Reason           string
	RetryAfter       string
	Body             string
	Text             string // the answer's text so far
	EndReceived      bool   // the end mark came
	SentAt           time.Time
	TimeToFirstToken time.Duration
	TimeToLastToken  time.Duration
	Tokens           int
	Err              error
}

// Correct reports whether the reply is the whole answer to the request.
func (r *Reply) Correct(ask CompletionRequest) bool {
	return r.Status == http.StatusOK && r.EndReceived && r.Text == standin.CompletionText(ask.Prompt, ask.OutputTokens)
}

// InterTokenLatency returns the mean time between tokens.
func (r *Reply) InterTokenLatency() time.Duration {
	if r.Tokens < 2 {
		return 0
	}
	return (r.TimeToLastToken - r.TimeToFirstToken) / time.Duration(r.Tokens-1)
}

// Complete sends a completion to an entry and reads the answer.
func (e *EntryProcess) Complete(ctx context.Context, ask CompletionRequest) *Reply {
	limit := ask.MaxTokens
	if limit == 0 {
		limit = ask.OutputTokens
	}
	prompt, _ := json.Marshal(ask.Prompt)
	body := fmt.Sprintf(`{"model":"drafts","messages":[{"role":"user","content":%s}],"stream":%t,"max_tokens":%d,"metadata":{"outputTokens":%d}}`,
		prompt, !ask.NonStreaming, limit, ask.OutputTokens)
	header := http.Header{"Authorization": {"Bearer " + KeyOf(ask.Account)}, "Content-Type": {"application/json"}}
	return e.Call(ctx, http.MethodPost, "/v1/chat/completions", header, body)
}

// Deposit sends a call that must run at most once.
func (e *EntryProcess) Deposit(ctx context.Context, account lovageshift.AccountID, key, body string) *Reply {
	header := http.Header{"Authorization": {"Bearer " + KeyOf(account)}, "Idempotency-Key": {key}}
	return e.Call(ctx, http.MethodPost, "/deposits/new", header, body)
}

// Call sends any request and reads the answer.
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
	reply.readWhole(content)
	return reply
}

type message struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Usage *struct {
		Completion int `json:"completion_tokens"`
	}
	Error *struct{ Code, Outcome string }
}

func (r *Reply) readWhole(content []byte) {
	var whole message
	if json.Unmarshal(content, &whole) != nil || len(whole.Choices) == 0 {
		return
	}
	r.Text, r.EndReceived = whole.Choices[0].Message.Content, true
	if whole.Usage != nil {
		r.Tokens = whole.Usage.Completion
	}
}

func (r *Reply) readEvents(from io.Reader) {
	var text strings.Builder
	defer func() { r.Text = text.String() }()
	buffer := make([]byte, 32<<10)
	var pending []byte
	for {
		count, err := from.Read(buffer)
		pending = append(pending, buffer[:count]...)
		for {
			event, rest, found := bytes.Cut(pending, []byte("\n\n"))
			if !found {
				break
			}
			pending = rest
			r.readEvent(string(event), &text)
		}
		if err != nil {
			if err != io.EOF {
				r.Err = err
			}
			return
		}
	}
}

func (r *Reply) readEvent(event string, text *strings.Builder) {
	data, found := strings.CutPrefix(event, "data: ")
	if !found {
		_, data, _ = strings.Cut(event, "data: ")
	}
	if data == "[DONE]" {
		r.EndReceived = true
		return
	}
	var part message
	if json.Unmarshal([]byte(data), &part) != nil {
		return
	}
	if part.Error != nil {
		r.Reason, r.Outcome = part.Error.Code, part.Error.Outcome
		return
	}
	if len(part.Choices) == 0 {
		return
	}
	text.WriteString(part.Choices[0].Delta.Content)
	r.Tokens++
	r.TimeToLastToken = time.Since(r.SentAt)
	if r.Tokens == 1 {
		r.TimeToFirstToken = r.TimeToLastToken
	}
}
