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

// CallerRequest is a request of a client of the users' platform.
type CallerRequest struct {
	ID     string
	Host   string
	Method string
	Path   string
	Key    string
	Body   string
	// TimeoutMillis is the deadline that the client declares, in milliseconds from now; 0 declares none.
	TimeoutMillis int
	// PromptTokens and OutputTokens are the declared token counts.
	PromptTokens int
	OutputTokens int
}

// Reply is the response as the client received it.
type Reply struct {
	// Status is the HTTP status, 0 if no response came.
	Status int
	// Signed is set if the response has a target's signature; ID is the request id that the response names.
	Signed    bool
	RequestID string
	// EventIDs are the ids of a stream's events in order, Targets the targets that its lines name after " of ".
	EventIDs []int
	Targets  []string
	Body     string
	// Complete is set if the body ended as HTTP requires, and not with a broken connection.
	Complete bool
}

// Send sends a request to an IP:port address over the transport and reads the response to its end.
func Send(ctx context.Context, transport http.RoundTripper, address string, request CallerRequest) Reply {
	// Without GetBody the transport cannot retry the request on a second connection.
	body := struct{ io.Reader }{strings.NewReader(request.Body)}
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, "http://"+address+request.Path, body)
	if err != nil {
		return Reply{}
	}
	httpRequest.Host = request.Host
	httpRequest.ContentLength = int64(len(request.Body))
	httpRequest.Header.Set(HeaderRequestID, request.ID)
	httpRequest.Header.Set("Authorization", authScheme+request.Key)
	httpRequest.Header.Set("Lovageshift-Token-Counts", fmt.Sprintf("%d,%d", request.PromptTokens, request.OutputTokens))
	if request.TimeoutMillis > 0 {
		httpRequest.Header.Set("Lovageshift-Deadline-Milliseconds", strconv.Itoa(request.TimeoutMillis))
	}
	response, err := transport.RoundTrip(httpRequest)
	if err != nil {
		return Reply{}
	}
	defer func() { _ = response.Body.Close() }()
	reply := Reply{
		Status:    response.StatusCode,
		Signed:    response.Header.Get(HeaderSignature) != "",
		RequestID: response.Header.Get(HeaderRequestID),
	}
	reply.read(response)
	return reply
}

const authScheme = "Token "

func (r *Reply) read(response *http.Response) {
	reader := bufio.NewReader(response.Body)
	var body strings.Builder
	for {
		line, err := reader.ReadString('\n')
		body.WriteString(line)
		r.readEvent(line)
		if err != nil {
			r.Complete = errors.Is(err, io.EOF)
			r.Body = body.String()
			return
		}
	}
}

func (r *Reply) readEvent(line string) {
	if number, found := strings.CutPrefix(line, "id: "); found {
		id, err := strconv.Atoi(strings.TrimSpace(number))
		if err == nil && strings.HasSuffix(number, "\n") {
			r.EventIDs = append(r.EventIDs, id)
		}
	}
	if _, writer, found := strings.Cut(line, " of "); found {
		r.Targets = append(r.Targets, strings.TrimSpace(writer))
	}
}

// Curl returns a curl command line that sends the request to an IP:port address.
func (r CallerRequest) Curl(address string) string {
	return fmt.Sprintf("curl -N -X %s http://%s%s -H 'Host: %s' -H '%s: %s' -H 'Authorization: %s%s'",
		r.Method, address, r.Path, r.Host, HeaderRequestID, r.ID, authScheme, r.Key)
}
