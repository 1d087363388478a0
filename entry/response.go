package entry

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"lovageshift"
	"lovageshift/metrics"
)

// The headers that callers see besides the usual ones.
const (
	HeaderOutcome = "Lovageshift-Outcome"
	HeaderReason  = "Lovageshift-Reason"
)

// response passes an answer on to a caller.
type response struct {
	writer  http.ResponseWriter
	control *http.ResponseController
	idle    time.Duration
	stream  bool
	began   bool
}

func newResponse(w http.ResponseWriter, limits *lovageshift.Limits, stream bool) *response {
	return &response{
		writer: w, control: http.NewResponseController(w),
		idle: limits.CallerIdleMillis.Duration(), stream: stream,
	}
}

// Head sends the answer's status and type.
func (r *response) Head(status int, contentType string) error {
	r.began = true
	if contentType != "" {
		r.writer.Header().Set("Content-Type", contentType)
	}
	if !r.stream {
		r.writer.Header().Set(HeaderOutcome, lovageshift.OutcomeAnswered.String())
	}
	r.writer.WriteHeader(status)
	return nil
}

// Chunk sends a part of the answer; it fails when the caller does not take it in time.
func (r *response) Chunk(data []byte) error {
	_ = r.control.SetWriteDeadline(time.Now().Add(r.idle))
	if _, err := r.writer.Write(data); err != nil {
		return err
	}
	if r.stream {
		return r.control.Flush()
	}
	return nil
}

// errorBody is an error in the shape that callers of this interface expect.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Message          string `json:"message"`
	Type             string `json:"type"`
	Code             string `json:"code"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

func bodyOf(refusal *lovageshift.Refusal) errorBody {
	return errorBody{errorDetail{
		Message: refusal.Detail, Type: errorType(refusal.Reason.Status()), Code: string(refusal.Reason),
		Outcome: refusal.Outcome.String(), RetryAfterMillis: int64(refusal.RetryAfter),
	}}
}

func errorType(status int) string {
	switch {
	case status == http.StatusUnauthorized || status == http.StatusForbidden:
		return "authentication_error"
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	default:
		return "server_error"
	}
}

// refuse answers a request that got no head yet.
func (e *Entry) refuse(w http.ResponseWriter, refusal *lovageshift.Refusal) {
	e.options.Metrics.Refused(refusal.Reason)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(HeaderOutcome, refusal.Outcome.String())
	w.Header().Set(HeaderReason, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + 999) / 1000
		w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(refusal.Reason.Status())
	_ = json.NewEncoder(w).Encode(bodyOf(refusal))
}

// finish ends a response; a broken answer is never passed off as a whole one.
func (e *Entry) finish(out *response, refusal *lovageshift.Refusal) {
	switch {
	case refusal == nil:
		e.options.Metrics.Add(metrics.Answers, "whole", 1)
	case !out.began:
		e.refuse(out.writer, refusal)
	case out.stream:
		e.options.Metrics.Refused(refusal.Reason)
		content, _ := json.Marshal(bodyOf(refusal))
		_ = out.Chunk(fmt.Appendf(nil, "event: error\ndata: %s\n\n", content))
	default:
		e.options.Metrics.Refused(refusal.Reason)
		// The head is out already, so only a cut connection shows that the body is not whole.
		panic(http.ErrAbortHandler)
	}
}
