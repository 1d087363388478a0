package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gravitational/trace"
)

const (
	idlePerEngine   = 64
	maxReportBytes  = 1 << 20
	connectTimeout  = time.Second
	idleConnTimeout = 90 * time.Second
)

// DialFunc connects to an engine's address.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Client speaks HTTP to the target at one address.
type Client struct {
	base   string
	shared *http.Client
	once   *http.Client
}

// NewClient returns a client of the target at IP:port; a nil dial uses TCP.
func NewClient(address string, dial DialFunc) *Client {
	if dial == nil {
		dial = (&net.Dialer{Timeout: connectTimeout}).DialContext
	}
	return &Client{
		base:   "http://" + address,
		shared: &http.Client{Transport: transport(dial, false), CheckRedirect: noRedirect},
		once:   &http.Client{Transport: transport(dial, true), CheckRedirect: noRedirect},
	}
}

func transport(dial DialFunc, once bool) *http.Transport {
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: idlePerEngine,
		IdleConnTimeout:     idleConnTimeout,
		DisableKeepAlives:   once,
		DisableCompression:  true,
	}
}

func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// body hides the reader's type, so that the HTTP client cannot send it a second time.
type body struct {
	io.Reader
}

// Open sends a request and returns the answer's head; the error matches ErrNotSent when the target got no byte.
func (c *Client) Open(ctx context.Context, request Request) (*Response, error) {
	outgoing, err := c.build(ctx, request)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	client := c.shared
	if request.NoRetry {
		client = c.once
	}
	response, err := client.Do(outgoing)
	if err != nil {
		return nil, proven(err)
	}
	return &Response{
		Status:      response.StatusCode,
		ContentType: response.Header.Get("Content-Type"),
		StreamID:    response.Header.Get(HeaderStream),
		Incarnation: response.Header.Get(HeaderIncarnation),
		Body:        response.Body,
	}, nil
}

func (c *Client) build(ctx context.Context, request Request) (*http.Request, error) {
	var content io.Reader
	if len(request.Body) > 0 {
		content = body{bytes.NewReader(request.Body)}
	}
	outgoing, err := http.NewRequestWithContext(ctx, request.Method, c.base+request.Path, content)
	if err != nil {
		return nil, trace.Wrap(err, "build engine request")
	}
	outgoing.ContentLength = int64(len(request.Body))
	for _, header := range request.Headers {
		outgoing.Header.Set(header.Name, header.Value)
	}
	return outgoing, nil
}

// proven marks a failure to connect, before which nothing can have been sent.
func proven(err error) error {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return errors.Join(ErrNotSent, err)
	}
	return err
}

// Resume goes on with a broken stream after the events already read, or returns ErrNoResume.
func (c *Client) Resume(ctx context.Context, stream string, after int) (*Response, error) {
	if stream == "" {
		return nil, ErrNoResume
	}
	path := "/streams/" + stream + "?after=" + strconv.Itoa(after)
	answer, err := c.Open(ctx, Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return nil, err
	}
	if answer.Status != http.StatusOK {
		_ = answer.Body.Close()
		return nil, ErrNoResume
	}
	return answer, nil
}

// FetchLoad reads the engine's load report.
func (c *Client) FetchLoad(ctx context.Context) (LoadReport, error) {
	var load LoadReport
	err := c.getJSON(ctx, "/load", &load)
	return load, err
}

// FetchCacheEvents reads changes of the prefix cache from the sequence on.
func (c *Client) FetchCacheEvents(ctx context.Context, from uint64) (CacheEvents, error) {
	var events CacheEvents
	err := c.getJSON(ctx, "/cache?from="+strconv.FormatUint(from, 10), &events)
	return events, err
}

func (c *Client) getJSON(ctx context.Context, path string, into any) error {
	answer, err := c.Open(ctx, Request{Method: http.MethodGet, Path: path})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.Status != http.StatusOK {
		return trace.BadParameter("%s answered %d", path, answer.Status)
	}
	return trace.Wrap(json.NewDecoder(io.LimitReader(answer.Body, maxReportBytes)).Decode(into), "read %s", path)
}

// SendOrder gives an order and waits for its end; it returns ErrOldFencing or ErrRateLimited when refused for that.
func (c *Client) SendOrder(ctx context.Context, order Order) error {
	content, err := json.Marshal(order)
	if err != nil {
		return trace.Wrap(err, "write order")
	}
	answer, err := c.Open(ctx, Request{Method: http.MethodPost, Path: "/orders", Body: content, NoRetry: true})
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	switch answer.Status {
	case http.StatusOK:
		return nil
	case http.StatusConflict:
		return ErrOldFencing
	case http.StatusTooManyRequests:
		return ErrRateLimited
	default:
		return trace.BadParameter("order answered %d", answer.Status)
	}
}

// Close closes idle connections.
func (c *Client) Close() {
	c.shared.CloseIdleConnections()
	c.once.CloseIdleConnections()
}
