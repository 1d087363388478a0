package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
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
	// Most bytes of a body that ReadBody holds in memory.
	maxBufferedBytes = 256 << 10
	// Largest body, in bytes, of a response that is not read as events.
	maxBodyBytes = 16 << 20
	// Longest text of an error of net/http that is kept, in bytes.
	maxQuotedBytes = 256
)

// Request is a request in the form in which it is sent to a target.
type Request struct {
	// ID is the request ID, which Header contains too. A response with another request ID is skipped, and one without a
	// request ID is invalid.
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
	// Verify, if set, is called once the connection is open. If it returns an error, nothing is sent on it.
	Verify func(ctx context.Context) error
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
	// beginning is how many bytes of the body ReadBody has read.
	beginning int
	// complete is set once the body has been read to its end.
	complete bool
}

// Send writes the request to the target and reads the response header. At most limit connections to the target are open
// at a time, 0 for no limit; if all of them are in use, Send fails at once. If the context ends before the response is
// closed, reading the response fails and the connection is closed. If Send fails, the request may have run unless the
// error matches ErrNotSent.
func (p *Pool) Send(ctx context.Context, target *catalog.Target, limit int, request *Request) (*TargetResponse, error) {
	key := connKey{target.ID, target.Born, target.Address}
	c, reused, err := p.acquire(ctx, key, limit, request)
	if err != nil {
		return nil, err
	}
	if request.Verify != nil {
		if err := request.Verify(ctx); err != nil {
			p.discard(c)
			return nil, errors.Join(ErrNotSent, err)
		}
	}
	stopCancel := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, err := p.roundTrip(c, request)
	if err != nil {
		stopCancel()
		p.abort(c)
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
	if err := c.writeRequest(request); err != nil {
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
	httpResponse, err := c.readHeader(request.Method)
	if err != nil {
		return nil, false, headerError(err)
	}
	if httpResponse.StatusCode < http.StatusOK {
		p.report(c.key, platform.ResponseHeader{Faults: platform.MisplacedHeaders(httpResponse.Header, platform.FaultInterim)})
		return nil, true, nil
	}
	decoded := platform.ParseResponseHeader(httpResponse.StatusCode, httpResponse.Header)
	decoded.Faults = append(decoded.Faults, platform.MisplacedHeaders(httpResponse.Trailer, platform.FaultTrailer)...)
	if p.isFrom(c.key, request, decoded) {
		p.report(c.key, decoded)
	}
	if decoded.RequestID != "" && decoded.RequestID != request.ID {
		return nil, true, skipLate(c, request, httpResponse)
	}
	if err := validate(httpResponse, decoded); err != nil {
		return nil, false, err
	}
	return &TargetResponse{
		Status: httpResponse.StatusCode, Header: httpResponse.Header, Decoded: decoded,
		conn: c, pool: p, httpResponse: httpResponse,
	}, false, nil
}

// readHeader reads a response header, within the limits of headLimiter.
func (c *conn) readHeader(method string) (*http.Response, error) {
	defer c.head.stop()
	buffered, _ := c.reader.Peek(c.reader.Buffered())
	if err := c.head.start(buffered); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, &http.Request{Method: method})
}

// skipLate reads a response to another request to its end. It returns an error if the next response cannot be read after
// it: a response to a HEAD request has no body whatever its header says, but the other request may have been none.
func skipLate(c *conn, request *Request, late *http.Response) error {
	c.outOfTurn = true
	_, err := io.CopyN(io.Discard, late.Body, maxLateBytes)
	if err != io.EOF || late.Close || request.Method == http.MethodHead {
		return trace.Wrap(ErrInvalidResponse, "an answer to another request")
	}
	return nil
}

// headerError returns ErrInvalidResponse if the response header is too large or net/http reports it as malformed, ErrNoRoom
// unchanged, and ErrConnectionLost for any other error of reading it. It searches the error's text, as most of net/http's errors have
// no type of their own, and cuts that, as it may quote a whole line of the response.
func headerError(err error) error {
	if errors.Is(err, ErrNoRoom) {
		return err
	}
	text := err.Error()
	if len(text) > maxQuotedBytes {
		text = strings.Clone(text[:maxQuotedBytes])
	}
	if errors.Is(err, errHeaderTooLarge) || strings.Contains(text, "malformed") {
		return trace.Wrap(ErrInvalidResponse, "%s", text)
	}
	return trace.Wrap(ErrConnectionLost, "read: %s", text)
}

// validate returns an error for a response that proves nothing of the request and must not be forwarded: one without a
// request ID, as any response of the target may be, one whose body has a content encoding, one with a success status that
// lacks a signature or says that the request did not run, or one that is not HTTP/1.
func validate(response *http.Response, decoded platform.ResponseHeader) error {
	success := response.StatusCode >= 200 && response.StatusCode < 300
	switch {
	case response.ProtoMajor != 1:
		return trace.Wrap(ErrInvalidResponse, "protocol %q", response.Proto)
	case response.Header.Get("Content-Encoding") != "":
		return trace.Wrap(ErrInvalidResponse, "an encoded body")
	case decoded.RequestID == "":
		return trace.Wrap(ErrInvalidResponse, "an answer that names no request")
	case success && !decoded.Signed:
		return trace.Wrap(ErrInvalidResponse, "a success without its signature")
	case decoded.Contradictory:
		return trace.Wrap(ErrInvalidResponse, "status %d for a request that did not run", response.StatusCode)
	default:
		return nil
	}
}

// writeRequest writes the request as an HTTP/1.1 message. It does not copy the body, as the memory budget of the callers' bodies
// has no room for that.
func (c *conn) writeRequest(request *Request) error {
	message := net.Buffers{encodeHeader(request), request.Body}
	_, err := message.WriteTo(c.Conn)
	return err
}

// encodeHeader returns the request up to its body, with the headers sorted by name.
func encodeHeader(request *Request) []byte {
	var out bytes.Buffer
	out.Grow(512)
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
	return out.Bytes()
}

// ReadBody reads the body into memory, up to 256 KiB, or less if the memory budget has no room for that. The second result reports
// whether that is the complete body; if it is not, CopyRest forwards the rest.
func (r *TargetResponse) ReadBody() ([]byte, bool, error) {
	body, err := r.readBeginning()
	r.beginning = len(body)
	switch {
	case err == nil:
		return body, false, nil
	case err != io.EOF:
		return nil, false, trace.Wrap(ErrConnectionLost, "body: %v", err)
	}
	r.complete = true
	return body, true, nil
}

// readBeginning reads the body until it ends, with the error io.EOF, or there is no room for more of it, without an error.
func (r *TargetResponse) readBeginning() ([]byte, error) {
	body := make([]byte, 0, r.firstBlock())
	for {
		if len(body) == cap(body) {
			larger, err := r.conn.body.grow(body, min(max(2*cap(body), r.Length()+1), maxBufferedBytes))
			if err != nil {
				return body, nil
			}
			body = larger
		}
		count, err := r.httpResponse.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+count]
		if err != nil {
			return body, err
		}
		if len(body) == maxBufferedBytes {
			return body, nil
		}
	}
}

// firstBlock returns how many bytes of the body are read before more memory is reserved.
func (r *TargetResponse) firstBlock() int {
	if length := r.Length(); length >= 0 {
		return min(length+1, readBufferBytes)
	}
	return readBufferBytes
}

// CopyRest forwards to the writer what ReadBody has left of the body. It returns ErrInvalidResponse if the whole body is
// larger than 16 MiB, ErrConnectionLost if it is not received to its end, and an error of the writer unchanged.
func (r *TargetResponse) CopyRest(to io.Writer) error {
	most := int64(maxBodyBytes - r.beginning)
	rest := &bodyReader{reader: io.LimitReader(r.httpResponse.Body, most+1)}
	count, err := io.CopyBuffer(to, rest, make([]byte, readBufferBytes))
	switch {
	case rest.err != nil:
		return trace.Wrap(ErrConnectionLost, "body: %v", rest.err)
	case err != nil:
		return err
	case count > most:
		return trace.Wrap(ErrInvalidResponse, "the body is larger than %d bytes", maxBodyBytes)
	}
	r.complete = true
	return nil
}

// bodyReader keeps the error of reading a body, to tell it from one of writing.
type bodyReader struct {
	reader io.Reader
	err    error
}

func (b *bodyReader) Read(into []byte) (int, error) {
	count, err := b.reader.Read(into)
	if err != nil && err != io.EOF {
		b.err = err
	}
	return count, err
}

// Length returns the size of the body in bytes if the target announced it, or -1.
func (r *TargetResponse) Length() int { return int(r.httpResponse.ContentLength) }

// EndsWithConnection reports whether the body has neither a length nor chunks, so that only the end of the connection
// ends it. Nothing then shows whether the target sent all of it.
func (r *TargetResponse) EndsWithConnection() bool {
	return r.httpResponse.ContentLength < 0 && len(r.httpResponse.TransferEncoding) == 0 && r.httpResponse.Body != http.NoBody
}

// Events returns a reader of the server-sent events in the body. It must not be combined with ReadBody.
func (r *TargetResponse) Events() *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r.httpResponse.Body, readBufferBytes), response: r}
}

// Close returns the connection to the pool, for the next request, if the response was read completely, no surplus bytes
// have arrived after it and no response to another request before it, the target has not announced that it closes the
// connection, and the context has not ended. Otherwise it closes the connection.
func (r *TargetResponse) Close() {
	r.once.Do(func() {
		clean := r.stopCancel() && r.complete && !r.httpResponse.Close && r.conn.inTurn()
		if !r.complete {
			r.pool.abort(r.conn)
			return
		}
		if !clean || r.ctx.Err() != nil {
			r.pool.discard(r.conn)
			return
		}
		r.pool.putIdle(r.conn, keepAliveTimeout(r.Header.Get("Keep-Alive")))
	})
}
