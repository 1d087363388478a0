package standin

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"
)

// CallerConnection is a connection of a caller to an entry, over which the caller sends requests in parts.
type CallerConnection struct {
	net.Conn
	answers *bufio.Reader
}

// DialCaller opens a connection to an IP:port address.
func DialCaller(address string, timeout time.Duration) (*CallerConnection, error) {
	connection, err := net.DialTimeout("tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	return &CallerConnection{connection, bufio.NewReader(connection)}, nil
}

// Encode returns the request in HTTP/1.1 as it is sent to an IP:port address.
func (r CallerRequest) Encode(address string) ([]byte, error) {
	request, err := r.build(context.Background(), address)
	if err != nil {
		return nil, err
	}
	var encoded bytes.Buffer
	if err := request.Write(&encoded); err != nil {
		return nil, err
	}
	return encoded.Bytes(), nil
}

// IsSilent waits for the time, and reports whether meanwhile no byte of an answer arrived and the connection did not end.
func (c *CallerConnection) IsSilent(wait time.Duration) bool {
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.answers.Peek(1)
	return errors.Is(err, os.ErrDeadlineExceeded)
}

// ReadReply reads the next response to its end, for at most the time, and reports whether the connection can be used after it.
// The reply is empty if no response headers were received.
func (c *CallerConnection) ReadReply(timeout time.Duration) (reply Reply, usable bool) {
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	response, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return Reply{}, false
	}
	reply = readReply(response, CallerRequest{})
	return reply, reply.Complete && !response.Close
}
