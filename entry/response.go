package entry

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/connection"
	"lovageshift/delivery"
	"lovageshift/memory"
	"lovageshift/metrics"
)

// Response headers. HeaderOutcome holds the request's outcome, and HeaderReason the reason if the response is a refusal. A
// streamed response from a target has neither, since its headers are sent before the outcome is known.
const (
	HeaderOutcome = "Lovageshift-Outcome"
	HeaderReason  = "Lovageshift-Reason"
)

// response writes a response to a caller; it implements sink.
type response struct {
	writer       http.ResponseWriter
	answer       *delivery.Answer
	controller   *http.ResponseController
	writeTimeout time.Duration
	stream       bool // each chunk is flushed to the caller as soon as it arrives from the target
	// endsWithConnection is set if the caller knows no chunks. Unless the response is streamed, its body is then held until it
	// is complete, so that its size can be sent first. A stream of the completions API has an event that marks its end.
	endsWithConnection bool
	held               *heldBody // nil if the body is not held
	// budget is for held bodies, whose owner is the caller.
	budget *memory.Budget
	owner  memory.Owner
	clock  lovageshift.Clock
}

// heldBody is the body of a response that is sent once it is complete.
type heldBody struct {
	status   int // the HTTP status
	parts    [][]byte
	size     int // in bytes
	reserved *memory.Reservation
}

// newResponse returns the response to the caller of the request. Its release must be called.
func (e *Entry) newResponse(w http.ResponseWriter, req *http.Request, limits *lovageshift.Limits, p *pendingRequest) *response {
	return &response{
		writer: w, answer: delivery.New(w, req), controller: http.NewResponseController(w),
		writeTimeout: limits.CallerIdleMillis.Duration(), stream: p.stream,
		endsWithConnection: !req.ProtoAtLeast(1, 1),
		budget:             e.options.Budget, owner: memory.OwnerOf(p.accountID(), req.RemoteAddr), clock: e.options.Clock,
	}
}

// release releases the memory of a held body.
func (r *response) release() {
	if r.held != nil {
		r.held.reserved.Release()
	}
}

// Head sends the HTTP status and the headers: the content type and, unless the response is streamed, the outcome answered. If
// the body then breaks off, finish ends the connection, so that the caller does not take the response for complete.
func (r *response) Head(status int, contentType string) error {
	if contentType != "" {
		r.writer.Header().Set("Content-Type", contentType)
	}
	if !r.stream {
		r.writer.Header().Set(HeaderOutcome, lovageshift.OutcomeAnswered.String())
	}
	if r.holds() {
		r.held = &heldBody{status: status}
		return nil
	}
	r.begin(status, -1)
	return nil
}

// holds reports whether the body is held until it is complete.
func (r *response) holds() bool { return r.endsWithConnection && !r.stream }

// begin sends the status and the headers. Length is the size of the body, -1 if it is not known.
func (r *response) begin(status, length int) {
	if err := r.answer.Begin(status, length); err != nil {
		klog.Infof("only its last event shows the end of a stream: %v", err)
	}
}

// end sends the held body, if there is one, and ends the response as complete.
func (r *response) end() error {
	if r.held != nil {
		r.begin(r.held.status, r.held.size)
		for _, part := range r.held.parts {
			if err := r.write(part); err != nil {
				return err
			}
		}
	}
	return r.answer.End()
}

// Chunk sends a part of the body. It fails if the caller has left or reads so slowly that the write takes longer than
// writeTimeout, and with errAnswerNotHeld if there is no memory for a body that is held.
func (r *response) Chunk(data []byte) error {
	if r.held != nil {
		return r.hold(data)
	}
	return r.write(data)
}

// errAnswerNotHeld means that the memory budget has no room for an answer that must be held.
var errAnswerNotHeld = errors.New("no memory to hold the answer for a caller of HTTP/1.0")

// hold keeps a part of the body within the memory budget.
func (r *response) hold(part []byte) error {
	var err error
	size := memory.Bytes(len(part))
	if r.held.reserved == nil {
		r.held.reserved, err = r.budget.Reserve(r.clock.Now(), r.owner, size, func() {})
		if err == nil {
			err = r.held.reserved.Complete()
		}
	} else {
		err = r.held.reserved.Grow(r.clock.Now(), size)
	}
	if err != nil {
		return errors.Join(errAnswerNotHeld, err)
	}
	r.held.parts, r.held.size = append(r.held.parts, part), r.held.size+len(part)
	return nil
}

func (r *response) write(data []byte) error {
	_ = r.controller.SetWriteDeadline(time.Now().Add(r.writeTimeout))
	if _, err := r.answer.Write(data); err != nil {
		return err
	}
	if r.stream {
		return r.controller.Flush()
	}
	return nil
}

// errorBody is the JSON body that reports a refusal to the caller, in the shape that clients of the completions API expect of
// an error.
type errorBody struct {
	Error errorDetail `json:"error"`
}

// errorDetail describes a refusal. Message is for people, Code is the reason.
type errorDetail struct {
	Message          string `json:"message"`
	Type             string `json:"type"`
	Code             string `json:"code"`
	Outcome          string `json:"outcome"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

func newErrorBody(refusal *lovageshift.Refusal) errorBody {
	return errorBody{errorDetail{
		Message: refusal.Detail, Type: errorType(refusal.Reason.Status()), Code: string(refusal.Reason),
		Outcome: refusal.Outcome.String(), RetryAfterMillis: int64(refusal.RetryAfter),
	}}
}

// errorType returns the error type that the completions API uses for errors with this HTTP status.
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

// refuse sends a refusal as the whole response, and counts it in the metrics. It must be called before anything of a response
// has been sent.
func (e *Entry) refuse(w http.ResponseWriter, refusal *lovageshift.Refusal) {
	e.options.Metrics.AddRefusal(refusal.Reason)
	setRefusalHeader(w.Header(), refusal)
	w.WriteHeader(refusal.Reason.Status())
	_ = json.NewEncoder(w).Encode(newErrorBody(refusal))
}

// encodeRefusal returns the refusal, encoded, of a request whose header is not known.
func encodeRefusal(refusal *lovageshift.Refusal) []byte {
	header := http.Header{}
	setRefusalHeader(header, refusal)
	var body strings.Builder
	_ = json.NewEncoder(&body).Encode(newErrorBody(refusal))
	return connection.Encode(refusal.Reason.Status(), header, body.String())
}

// setRefusalHeader sets the header fields of the refusal.
func setRefusalHeader(header http.Header, refusal *lovageshift.Refusal) {
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, refusal.Outcome.String())
	header.Set(HeaderReason, string(refusal.Reason))
	if refusal.RetryAfter > 0 {
		seconds := (refusal.RetryAfter + 999) / 1000
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
}

// finish ends a response and counts the result in the metrics. A nil refusal means that the response is complete. Otherwise
// finish sends the refusal if nothing has been sent yet. If a part has been sent, the connection ends within the response, so
// that the caller can tell that it is incomplete; a streamed response gets an error event before that.
func (e *Entry) finish(out *response, refusal *lovageshift.Refusal) {
	if refusal == nil {
		e.options.Metrics.Add(metrics.Responses, "whole", 1)
		if err := out.end(); err != nil {
			klog.Infof("entry %s: the end of a response: %v", e.options.ID, err)
		}
		return
	}
	if !out.answer.Begun() {
		e.refuse(out.writer, refusal)
		return
	}
	e.options.Metrics.AddRefusal(refusal.Reason)
	if out.stream {
		content, _ := json.Marshal(newErrorBody(refusal))
		_ = out.Chunk(fmt.Appendf(nil, "event: error\ndata: %s\n\n", content))
	}
	out.answer.Break()
}
