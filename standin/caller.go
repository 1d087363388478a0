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

// ClientRequest is one request of a client of the users' platform.
type ClientRequest struct {
	ID     string
	Host   string
	Method string
	Path   string
	Key    string
	Body   string
	// TimeoutMillis is how long the client says that it waits, 0 to say nothing.
	TimeoutMillis int
	// PromptTokens and Output are declared tokens.
	PromptTokens int
	OutputTokens int
}

// Reply is what the client got.
type Reply struct {
	// Status is 0 if no answer came.
	Status int
	// Signed tells that a target vouches for the answer, and ID which request the answer names.
	Signed bool
	ID     string
	// Events are the ids of a stream's events in their order, and Writers the targets that made them.
	Events  []int
	Targets []string
	Body    string
	// Complete tells that the answer ended as the protocol says.
	Complete bool
}

// Send sends a request over the transport and reads its answer to the end.
func Send(ctx context.Context, transport http.RoundTripper, address string, ask ClientRequest) Reply {
	// Without GetBody the transport cannot repeat the request by itself on a second connection.
	body := struct{ io.Reader }{strings.NewReader(ask.Body)}
	request, err := http.NewRequestWithContext(ctx, ask.Method, "http://"+address+ask.Path, body)
	if err != nil {
		return Reply{}
	}
	request.Host = ask.Host
	request.ContentLength = int64(len(ask.Body))
	request.Header.Set(HeaderRequestID, ask.ID)
	request.Header.Set("Authorization", keyPrefix+ask.Key)
	request.Header.Set("Lovageshift-Token-Counts", fmt.Sprintf("%d,%d", ask.PromptTokens, ask.OutputTokens))
	if ask.TimeoutMillis > 0 {
		request.Header.Set("Lovageshift-Deadline-Milliseconds", strconv.Itoa(ask.TimeoutMillis))
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return Reply{}
	}
	defer func() { _ = response.Body.Close() }()
	reply := Reply{
		Status: response.StatusCode,
		Signed: response.Header.Get(HeaderSignature) != "",
		ID:     response.Header.Get(HeaderRequestID),
	}
	reply.read(response)
	return reply
}

const keyPrefix = "Token "

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
			r.Events = append(r.Events, id)
		}
	}
	if _, writer, found := strings.Cut(line, " of "); found {
		r.Targets = append(r.Targets, strings.TrimSpace(writer))
	}
}

// Curl returns a command line that sends the request to the address.
func (a ClientRequest) Curl(address string) string {
	return fmt.Sprintf("curl -N -X %s http://%s%s -H 'Host: %s' -H '%s: %s' -H 'Authorization: %s%s'",
		a.Method, address, a.Path, a.Host, HeaderRequestID, a.ID, keyPrefix, a.Key)
}
