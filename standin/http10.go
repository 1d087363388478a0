package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// HTTP10Transport sends each request as HTTP/1.0, on a connection of its own. Callers of HTTP/1.0 know no chunks, so that a
// body without a length ends with the connection.
type HTTP10Transport struct {
	// DialContext opens a connection, nil for TCP.
	DialContext func(ctx context.Context, network, address string) (net.Conn, error)
}

// RoundTrip sends the request and reads the header of the response. The connection ends with the response's body or the
// request's context.
func (t HTTP10Transport) RoundTrip(request *http.Request) (*http.Response, error) {
	dial := t.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(request.Context(), "tcp", request.URL.Host)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(request.Context(), func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	response, err := exchangeHTTP10(conn, request)
	if err != nil {
		stop()
		_ = conn.Close()
		return nil, err
	}
	response.Body = &http10Body{ReadCloser: response.Body, conn: conn, stop: stop}
	return response, nil
}

func exchangeHTTP10(conn net.Conn, request *http.Request) (*http.Response, error) {
	if _, err := fmt.Fprintf(conn, "%s %s HTTP/1.0\r\nHost: %s\r\n", request.Method, request.URL.RequestURI(), request.Host); err != nil {
		return nil, err
	}
	if request.ContentLength > 0 {
		if _, err := fmt.Fprintf(conn, "Content-Length: %d\r\n", request.ContentLength); err != nil {
			return nil, err
		}
	}
	if err := request.Header.Write(conn); err != nil {
		return nil, err
	}
	if _, err := io.WriteString(conn, "\r\n"); err != nil {
		return nil, err
	}
	if request.Body != nil {
		if _, err := io.Copy(conn, request.Body); err != nil {
			return nil, err
		}
	}
	return http.ReadResponse(bufio.NewReader(conn), request)
}

// http10Body is the body of a response; closing it closes the connection.
type http10Body struct {
	io.ReadCloser
	conn net.Conn
	stop func() bool
}

// Close closes the connection.
func (b *http10Body) Close() error {
	b.stop()
	return b.conn.Close()
}
