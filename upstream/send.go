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
	// Most responses read for one request. Interim responses, and late responses to earlier requests, are skipped. The
	// connection is closed if all responses read were skipped.
	maxResponses = 3
	// A late response is skipped only if its body has fewer bytes than this; otherwise the connection is closed.
	maxLateBytes = 1 << 20
	// Largest body, in bytes, of a response that is not read as events. The whole body is held in memory.
	maxBodyBytes = 16 << 20
)

// Request is a request in the form in which it is sent to a target.
type Request struct {
	// ID is the request ID, which Header contains too. A response with another request ID is skipped, and a response with
	// a success status must carry this one.
	ID     string
	Method string
	// URI is the path and query exactly as the caller sent them.
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody adds a Content-Length header, also if Body is empty.
	HasBody bool
	// Repeatable reports whether the request may run more than once. If not, it is not sent on a connection that has been
	// idle for longer than maxUnsafeIdle.
	Repeatable bool
}

// TargetResponse is a target's response whose header has been read. Close must be called.
type TargetResponse struct {
	Status int
	Header http.Header
	// Decoded is the decoded form of Status and Header.
	Decoded platform.ResponseHeader

	conn         *conn
	pool         *Pool
	httpResponse *http.Response
	// stopCancel disables the function that ends the connection when ctx, the context of Send, ends. It returns false if
	// that function has already started or been disabled.
	stopCancel func() bool
	ctx        context.Context
	// once makes further calls of Close do nothing.
	once sync.Once
	// complete is set once the body has been read to its end.
	complete bool
}

// Send writes the request to the target and reads the response header. At most limit connections to the target are open
// at a time, 0 for no limit; if all of them are in use, Send fails at once. If the context ends before the response is
// closed, reading the response fails and the connection is closed. If Send fails, the request may have run unless the
// error matches ErrNotSent.
func (p *Pool) Send(ctx context.Context, target *catalog.Target, limit int, request *Request) (*TargetResponse, error) {
	key := connKey{target.ID, target.Born, target.Address}
	c, reused, err := p.acquire(ctx, key, limit, request.Repeatable)
	if err != nil {
		return nil, err
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, err := p.roundTrip(c, request)
	if err != nil {
		stopCancel()
		p.discard(c)
		if reused {
			return nil, trace.Wrap(err, "on a kept connection")
		}
		return nil, err
	}
	response.stopCancel, response.ctx = stopCancel, ctx
	return response, nil
}

// roundTrip writes the request and returns the first response that is not skipped.
func (p *Pool) roundTrip(c *conn, request *Request) (*TargetResponse, error) {
	if _, err := c.Write(encode(request)); err != nil {
		return nil, trace.Wrap(ErrConnectionLost, "write: %v", err)
	}
	for range maxResponses {
		response, skipped, err := p.readHeader(c, request)
		if err != nil || !skipped {
			return response, err
		}
	}
	return nil, trace.Wrap(ErrInvalidResponse, "only answers to other requests")
}

// readHeader reads one response header. The second result is true if the response was skipped, because it is an interim
// one or belongs to another request.
func (p *Pool) readHeader(c *conn, request *Request) (*TargetResponse, bool, error) {
	httpResponse, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
	if err != nil {
		return nil, false, headerError(err)
	}
	if httpResponse.StatusCode < http.StatusOK {
		return nil, true, nil
	}
	decoded := platform.ParseResponseHeader(httpResponse.StatusCode, httpResponse.Header)
	if decoded.RequestID != "" && decoded.RequestID != request.ID {
		_, err := io.CopyN(io.Discard, httpResponse.Body, maxLateBytes)
		if err != io.EOF || httpResponse.Close {
			return nil, false, trace.Wrap(ErrInvalidResponse, "an answer to another request")
		}
		return nil, true, nil
	}
	if err := validate(httpResponse, decoded); err != nil {
		return nil, false, err
	}
	return &TargetResponse{
		Status: httpResponse.StatusCode, Header: httpResponse.Header, Decoded: decoded,
		conn: c, pool: p, httpResponse: httpResponse,
	}, false, nil
}

// headerError returns ErrInvalidResponse if net/http reports the response header as malformed, and ErrConnectionLost
// for any other error of reading it. It searches the error's text, as most of these errors have no type of their own.
func headerError(err error) error {
	text := err.Error()
	if strings.Contains(text, "malformed") {
		return trace.Wrap(ErrInvalidResponse, "%s", text)
	}
	return trace.Wrap(ErrConnectionLost, "read: %s", text)
}

// validate returns an error for a response that must not be forwarded: one whose body has a content encoding, one with
// a success status that lacks a signature or a request ID, or one that is not HTTP/1.
func validate(response *http.Response, decoded platform.ResponseHeader) error {
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case response.ProtoMajor != 1:
		return trace.Wrap(ErrInvalidResponse, "protocol %q", response.Proto)
	case response.Header.Get("Content-Encoding") != "":
		return trace.Wrap(ErrInvalidResponse, "an encoded body")
	case success && (!decoded.Signed || decoded.RequestID == ""):
		return trace.Wrap(ErrInvalidResponse, "a success without its signature or its request")
	default:
		return nil
	}
}

// encode returns the request as an HTTP/1.1 message, with the headers sorted by name.
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

// ReadBody returns the complete body, at most 16 MiB; for a larger one it returns ErrInvalidResponse.
func (r *TargetResponse) ReadBody() ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r.httpResponse.Body, maxBodyBytes+1))
	if err != nil {
		return nil, trace.Wrap(ErrConnectionLost, "body: %v", err)
	}
	if len(body) > maxBodyBytes {
		return nil, trace.Wrap(ErrInvalidResponse, "the body is larger than %d bytes", maxBodyBytes)
	}
	r.complete = true
	return body, nil
}

// Events returns a reader of the server-sent events in the body. It must not be combined with ReadBody.
func (r *TargetResponse) Events() *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r.httpResponse.Body, readBufferBytes), response: r}
}

// Close returns the connection to the pool, for the next request, if the response was read completely, no surplus bytes
// have arrived after it, the target has not announced that it closes the connection, and the context has not ended.
// Otherwise it closes the connection.
func (r *TargetResponse) Close() {
	r.once.Do(func() {
		clean := r.stopCancel() && r.complete && !r.httpResponse.Close && r.conn.reader.Buffered() == 0
		if !clean || r.ctx.Err() != nil {
			r.pool.discard(r.conn)
			return
		}
		r.pool.putIdle(r.conn, keepAliveTimeout(r.Header.Get("Keep-Alive")))
	})
}
