package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"lovageshift/catalog"
	"lovageshift/platform"
)

const (
	// Late answers to earlier requests that are read past before a connection is given up.
	maxStrays = 3
	// A stray answer larger than this is not read past.
	maxStrayBytes = 1 << 20
	// Answers that are not streams are held whole up to this size.
	maxWholeBytes = 16 << 20
)

// Request is one request as a target gets it.
type Request struct {
	ID     string
	Method string
	// URI is the path and query exactly as the client sent them.
	URI        string
	Host       string
	Header     http.Header
	Body       []byte
	HasBody    bool
	Repeatable bool
}

// TargetResponse is a target's answer whose head has been read; Close must be called once.
type TargetResponse struct {
	Status  int
	Header  http.Header
	Verdict platform.Verdict

	conn     *conn
	pool     *Pool
	response *http.Response
	stop     func() bool
	ctx      context.Context
	once     sync.Once
	whole    bool
}

// Send writes the request to the target and reads the answer's head; the connection ends with the context.
func (p *Pool) Send(ctx context.Context, target *catalog.Target, limit int, request *Request) (*TargetResponse, error) {
	where := key{target.ID, target.Born, target.Address}
	c, kept, err := p.take(ctx, where, limit, request.Repeatable)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	answer, err := p.exchange(c, request)
	if err != nil {
		stop()
		p.drop(c)
		if kept {
			return nil, trace.Wrap(err, "on a kept connection")
		}
		return nil, err
	}
	answer.stop, answer.ctx = stop, ctx
	return answer, nil
}

func (p *Pool) exchange(c *conn, request *Request) (*TargetResponse, error) {
	if _, err := c.Write(encode(request)); err != nil {
		return nil, trace.Wrap(ErrConnectionLost, "write: %v", err)
	}
	for range maxStrays {
		answer, stray, err := p.readHead(c, request)
		if err != nil || !stray {
			return answer, err
		}
	}
	return nil, trace.Wrap(ErrInvalidResponse, "only answers to other requests")
}

// readHead reads one answer's head; it reads past an answer that belongs to another request.
func (p *Pool) readHead(c *conn, request *Request) (*TargetResponse, bool, error) {
	response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, false, headError(err)
	}
	if response.StatusCode < http.StatusOK {
		return nil, true, nil
	}
	verdict := platform.ReadVerdict(response.StatusCode, response.Header)
	if verdict.RequestID != "" && verdict.RequestID != request.ID {
		_, err := io.CopyN(io.Discard, response.Body, maxStrayBytes)
		if err != io.EOF || response.Close {
			return nil, false, trace.Wrap(ErrInvalidResponse, "an answer to another request")
		}
		return nil, true, nil
	}
	if err := check(response, verdict); err != nil {
		return nil, false, err
	}
	return &TargetResponse{
		Status: response.StatusCode, Header: response.Header, Verdict: verdict,
		conn: c, pool: p, response: response,
	}, false, nil
}

func headError(err error) error {
	text := err.Error()
	if strings.Contains(text, "malformed") {
		return trace.Wrap(ErrInvalidResponse, "%s", text)
	}
	return trace.Wrap(ErrConnectionLost, "read: %s", text)
}

// check refuses answers that cannot be passed on whole.
func check(response *http.Response, verdict platform.Verdict) error {
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case response.ProtoMajor != 1:
		return trace.Wrap(ErrInvalidResponse, "protocol %q", response.Proto)
	case response.Header.Get("Content-Encoding") != "":
		return trace.Wrap(ErrInvalidResponse, "an encoded body")
	case success && (!verdict.Signed || verdict.RequestID == ""):
		return trace.Wrap(ErrInvalidResponse, "a success without its signature or its request")
	default:
		return nil
	}
}

// encode writes the request in the form that goes to the target.
func encode(request *Request) []byte {
	var out bytes.Buffer
	out.Grow(512 + len(request.Body))
	out.WriteString(request.Method + " " + request.URI + " HTTP/1.1\r\n")
	out.WriteString("Host: " + request.Host + "\r\n")
	names := make([]string, 0, len(request.Header))
	for name := range request.Header {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		for _, value := range request.Header[name] {
			out.WriteString(name + ": " + value + "\r\n")
		}
	}
	if request.HasBody {
		out.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(request.Body)
	return out.Bytes()
}

// ReadBody returns the answer's complete body.
func (a *TargetResponse) ReadBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.response.Body, maxWholeBytes+1))
	if err != nil {
		return nil, trace.Wrap(ErrConnectionLost, "body: %v", err)
	}
	if len(body) > maxWholeBytes {
		return nil, trace.Wrap(ErrInvalidResponse, "the body is larger than %d bytes", maxWholeBytes)
	}
	a.whole = true
	return body, nil
}

// Events returns a reader of the answer's events.
func (a *TargetResponse) Events() *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(a.response.Body, bufferBytes), answer: a}
}

// Close keeps the connection for the next request if the answer ended cleanly, and ends it otherwise.
func (a *TargetResponse) Close() {
	a.once.Do(func() {
		clean := a.stop() && a.whole && !a.response.Close && a.conn.reader.Buffered() == 0
		if !clean || a.ctx.Err() != nil {
			a.pool.drop(a.conn)
			return
		}
		a.pool.put(a.conn, keptFor(a.Header.Get("Keep-Alive")))
	})
}
