package standin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// CallerRequest is a request that a caller sends to an entry of the platform.
type CallerRequest struct {
	ID     string // request id, sent in a header
	Host   string // Host header, which selects the route together with Path
	Method string
	Path   string // with the query, if any
	Key    string // API key
	Body   string
	// TimeoutMillis is the deadline that the caller declares, in milliseconds after the request is sent; 0 declares
	// none.
	TimeoutMillis int
	// PromptTokens and OutputTokens are the token counts that the caller declares.
	PromptTokens int
	OutputTokens int
	// PromptParts are the parts of the prompt as ID:TOKENS entries, separated by commas; "" declares none.
	PromptParts string
	// LastEventID is the number of the last event that the caller has of a stream that it takes up, 0 for a new stream, and
	// Resumes the request id of the attempt that brought the stream's first event.
	LastEventID int
	Resumes     string
	// LeaveAfter is the number of events of a stream after which the caller closes the connection, 0 to read all.
	LeaveAfter int
	// Discards is set if nothing of the response's body is kept, as it may be large.
	Discards bool
}

// Reply is the response as the caller received it.
type Reply struct {
	// Status is the HTTP status, 0 if no response headers were received.
	Status int
	// Signed is set if the response has the header of a target's signature; the signature is not verified.
	Signed bool
	// RequestID is the request id in the response's header.
	RequestID string
	// EventIDs are the ids of a stream's events in order of arrival.
	EventIDs []int
	// Targets holds, for each line of the body that contains " of ", the text after it, as the id of the target that
	// wrote the line. Replica writes no such lines.
	Targets []string
	// Versions holds the version of the Replica that wrote it for each event of a stream, in order of arrival.
	Versions []string
	Body     string
	// Complete is set if the body arrived to its end; it is not set if the connection broke before.
	Complete bool
}

// Send sends a request to an IP:port address over the transport and reads the response to its end. The reply is empty
// if the request could not be built or no response headers were received.
func Send(ctx context.Context, transport http.RoundTripper, address string, request CallerRequest) Reply {
	httpRequest, err := request.build(ctx, address)
	if err != nil {
		return Reply{}
	}
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		return Reply{}
	}
	return readReply(response, request)
}

// build returns the request to an IP:port address.
func (r CallerRequest) build(ctx context.Context, address string) (*http.Request, error) {
	// The struct hides the type of the reader, so that the request has no GetBody: without it, net/http cannot send the
	// body a second time.
	body := struct{ io.Reader }{strings.NewReader(r.Body)}
	httpRequest, err := http.NewRequestWithContext(ctx, r.Method, "http://"+address+r.Path, body)
	if err != nil {
		return nil, err
	}
	httpRequest.Host = r.Host
	httpRequest.ContentLength = int64(len(r.Body))
	httpRequest.Header.Set(HeaderRequestID, r.ID)
	httpRequest.Header.Set("Authorization", authScheme+r.Key)
	httpRequest.Header.Set("Lovageshift-Token-Counts", fmt.Sprintf("%d,%d", r.PromptTokens, r.OutputTokens))
	if r.PromptParts != "" {
		httpRequest.Header.Set(HeaderPromptParts, r.PromptParts)
	}
	if r.LastEventID > 0 {
		httpRequest.Header.Set(headerLastEvent, strconv.Itoa(r.LastEventID))
		httpRequest.Header.Set(headerResumes, r.Resumes)
	}
	if r.TimeoutMillis > 0 {
		httpRequest.Header.Set("Lovageshift-Deadline-Milliseconds", strconv.Itoa(r.TimeoutMillis))
	}
	return httpRequest, nil
}

// readReply reads the response to its end, or until it has had the number of events if that is not 0.
func readReply(response *http.Response, request CallerRequest) Reply {
	defer func() { _ = response.Body.Close() }()
	reply := Reply{
		Status:    response.StatusCode,
		Signed:    response.Header.Get(HeaderSignature) != "",
		RequestID: response.Header.Get(HeaderRequestID),
	}
	if request.Discards {
		_, err := io.Copy(io.Discard, response.Body)
		reply.Complete = err == nil
		return reply
	}
	reply.read(response, request.LeaveAfter)
	return reply
}

const authScheme = "Token "

// read reads the response to its end, or until it has had the number of events if that is not 0.
func (r *Reply) read(response *http.Response, leaveAfter int) {
	reader := bufio.NewReader(response.Body)
	var body strings.Builder
	for {
		line, err := reader.ReadString('\n')
		body.WriteString(line)
		r.readLine(line)
		left := leaveAfter > 0 && len(r.EventIDs) >= leaveAfter && line == "\n"
		if err != nil || left {
			r.Complete = errors.Is(err, io.EOF)
			r.Body = body.String()
			return
		}
	}
}

// readLine adds what a line of the body tells about the stream: an event id, a version or a target.
func (r *Reply) readLine(line string) {
	if number, found := strings.CutPrefix(line, "id: "); found {
		id, err := strconv.Atoi(strings.TrimSpace(number))
		if err == nil && strings.HasSuffix(number, "\n") {
			r.EventIDs = append(r.EventIDs, id)
		}
	}
	if version, found := strings.CutPrefix(line, versionMark); found && strings.HasSuffix(version, "\n") {
		r.Versions = append(r.Versions, strings.TrimSpace(version))
	}
	if _, target, found := strings.Cut(line, " of "); found {
		r.Targets = append(r.Targets, strings.TrimSpace(target))
	}
}

// Curl returns a curl command line that sends the request to an IP:port address, without its body, deadline and token
// counts.
func (r CallerRequest) Curl(address string) string {
	return fmt.Sprintf("curl -N -X %s http://%s%s -H 'Host: %s' -H '%s: %s' -H 'Authorization: %s%s'",
		r.Method, address, r.Path, r.Host, HeaderRequestID, r.ID, authScheme, r.Key)
}
