package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
)

const (
	maxIdleConns    = 64
	maxReportBytes  = 1 << 20
	connectTimeout  = time.Second
	idleConnTimeout = 90 * time.Second
	// Most bytes of a response header. net/http reads up to 10 MB by default, which take several times as much when parsed.
	maxHeaderBytes = 64 << 10
	// Longest text of an error, in bytes. Errors of net/http may quote a whole line of a malformed response.
	maxErrorBytes = 512
)

// DialFunc opens a network connection to the target's address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends HTTP requests to the target at one address. It is safe for concurrent use.
type Client struct {
	base     string       // the URL without a path
	pooled   *http.Client // reuses connections; net/http may retry a request if a reused connection breaks
	unpooled *http.Client // opens a new connection for each request, on which net/http never retries
}

// NewClient returns a client of the target at an IP:port address. A nil dial opens TCP connections and gives up after
// 1 s.
func NewClient(address string, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Client{
		base:     "http://" + address,
		pooled:   &http.Client{Transport: newTransport(dial, false), CheckRedirect: noRedirect},
		unpooled: &http.Client{Transport: newTransport(dial, true), CheckRedirect: noRedirect},
	}
}

func newTransport(dial DialFunc, disableKeepAlives bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   disableKeepAlives,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxHeaderBytes,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// oneTimeBody hides the type of its reader: without GetBody, net/http cannot send the body a second time.
type oneTimeBody struct {
	io.Reader
}

// Open sends a request and returns the response once its headers have arrived; whoever called Open closes the
// response's body. The error matches ErrNotSent if no connection was opened or the request could not be built, so that
// the target received no byte of it. After any other error, the target may have received the request.
func (c *Client) Open(ctx context.Context, request Request) (*Response, error) {
	var written atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }})
	outgoing, err := c.newRequest(ctx, request)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	client := c.pooled
	if request.NoRetry {
		client = c.unpooled
	}
	response, err := client.Do(outgoing)
	if err != nil {
		if written.Load() {
			return nil, shortError{err} // also if net/http tried another connection, which could not be opened
		}
		return nil, markNotSent(shortError{err})
	}
	return &Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		StreamID:    response.Header.Get(HeaderStream),
		Incarnation: response.Header.Get(HeaderIncarnation),
		Body:        response.Body,
	}, nil
}

func (c *Client) newRequest(ctx context.Context, request Request) (*http.Request, error) {
	var body io.Reader
	if len(request.Body) > 0 {
		body = oneTimeBody{bytes.NewReader(request.Body)}
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, c.base+request.Path, body)
	if err != nil {
		return nil, trace.Wrap(err, "build engine request")
	}
	outgoing.ContentLength = int64(len(request.Body))
	for _, header := range request.Headers {
		outgoing.Header.Set(header.Name, header.Value)
	}
	return outgoing, nil
}

// shortError is an error whose text is cut to maxErrorBytes.
type shortError struct{ err error }

func (e shortError) Error() string {
	text := e.err.Error()
	return text[:min(len(text), maxErrorBytes)]
}

func (e shortError) Unwrap() error { return e.err }

// markNotSent joins ErrNotSent to an error from dialling, as nothing is sent before a connection is open. It returns
// any other error unchanged.
func markNotSent(err error) error {
	var opError *net.OpError
	if errors.As(err, &opError) && opError.Op == "dial" {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// Resume continues a stream whose connection broke. The stream is identified by its StreamID, and after is the number
// of its events that were already read. It returns ErrNoResume if the stream id is empty or the engine answers with any
// status but 200.
func (c *Client) Resume(ctx context.Context, stream string, after int) (*Response, error) {
	if stream == "" {
		return nil, ErrNoResume
	}
	path := "/streams/" + stream + "?after=" + strconv.Itoa(after)
	response, err := c.Open(ctx, Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return nil, err
	}
	if response.Status != http.StatusOK {
		_ = response.Body.Close()
		return nil, ErrNoResume
	}
	return response, nil
}

// FetchLoad returns the engine's load report.
func (c *Client) FetchLoad(ctx context.Context) (LoadReport, error) {
	var report LoadReport
	err := c.getJSON(ctx, "/load", &report)
	return report, err
}

// FetchCacheEvents returns the changes of the engine's prefix cache, starting at sequence number from.
func (c *Client) FetchCacheEvents(ctx context.Context, from uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.getJSON(ctx, "/cache?from="+strconv.FormatUint(from, 10), &events)
	return events, err
}

// getJSON decodes the answer to a GET request, of which it reads at most 1 MiB.
func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	response, err := c.Open(ctx, Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.Status != http.StatusOK {
		return trace.BadParameter("%s answered %d", path, response.Status)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(response.Body, maxReportBytes)).Decode(into), "read %s", path)
}

// SendOrder sends an order and waits until the engine has answered that it carried the order out. It returns
// ErrOldFencing if the engine refused the fencing number, and ErrRateLimited if the weight store refused the load
// because its rate was exceeded.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err, "write order")
	}
	response, err := c.Open(ctx, Request{Method: http.MethodPost, Path: "/orders", Body: body, NoRetry: true})
	if err != nil {
		return err
	}
	defer response.Body.Close()
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrOldFencing
	case http.StatusTooManyRequests:
		return ErrRateLimited
	default:
		return trace.BadParameter("order answered %d", response.Status)
	}
}

// Close closes the idle connections. Requests that still run keep theirs.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}
