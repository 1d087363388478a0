package framing

import (
	"bytes"
	"errors"
	"net"
)

const (
	readBufferBytes = 4 << 10
	// Passed to net/http in place of a rejected request, or of the rest of a rejected body. As a request, net/http cannot
	// parse these bytes, answers 400 and closes the connection. As the next line of a chunked body they are not valid, so
	// that reading the body fails. If the part of the body passed on before ends within a chunk's data, a chunk extension
	// or a trailer field, net/http takes them for a part of that.
	malformedRequest = "malformed\r\n\r\n"
)

// Listener accepts connections and passes on only requests with unambiguous framing from them.
type Listener struct {
	net.Listener
	// HeaderLimit returns the size of the largest request header accepted, in bytes, without the line end and the blank
	// line that close the header. It is called each time that a header is checked. In place of a larger header, net/http
	// reads one without end, which it answers with 431 once that exceeds the server's MaxHeaderBytes.
	HeaderLimit func() int
}

// Accept returns the next connection. Reading from it returns only bytes that have been checked, or a replacement for
// those that have been rejected.
func (l *Listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: raw, headerLimit: l.HeaderLimit}, nil
}

// conn passes on the header of a request once it is complete and valid, and then its body as far as it is valid.
type conn struct {
	net.Conn
	headerLimit func() int
	// pending holds received bytes that have not been checked. ready holds bytes that Read has not returned yet: checked
	// ones, or the replacement for rejected ones.
	pending []byte
	ready   []byte
	// buffer holds pending and ready while a body is received, so that a body of many small pieces leaves no garbage.
	buffer []byte
	// body scans the body of the current request.
	body bodyScanner
	// oversized is set once a header exceeds the limit. Read then returns filler bytes, which continue the replacement
	// header without end, until net/http answers 431.
	oversized bool
	// rejected is set once a request has been rejected; all bytes received later are discarded.
	rejected bool
}

// Read returns checked bytes or their replacement; errors of the underlying connection are returned unchanged.
func (c *conn) Read(into []byte) (int, error) {
	for len(c.ready) == 0 {
		if c.oversized {
			return copy(into, bytes.Repeat([]byte{'a'}, len(into))), nil
		}
		if c.advance() {
			continue
		}
		if err := c.fill(); err != nil {
			return 0, err
		}
	}
	count := copy(into, c.ready)
	c.ready = c.ready[count:]
	return count, nil
}

// SetLinger sets what happens when the connection is closed, as net.TCPConn.SetLinger does. It returns an error if the
// underlying connection cannot do that.
func (c *conn) SetLinger(seconds int) error {
	inner, ok := c.Conn.(interface{ SetLinger(seconds int) error })
	if !ok {
		return errors.ErrUnsupported
	}
	return inner.SetLinger(seconds)
}

// NetConn returns the connection that was accepted.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Buffered returns the number of bytes received that Read has not returned yet. It must not be called during a Read.
func (c *conn) Buffered() int { return len(c.pending) + len(c.ready) }

// fill receives more bytes into pending. The ready bytes have all been read.
func (c *conn) fill() error {
	if c.body.inBody() && len(c.pending) == 0 {
		return c.fillBuffer()
	}
	c.buffer = nil
	var buffer [readBufferBytes]byte
	count, err := c.Conn.Read(buffer[:])
	c.pending = append(c.pending, buffer[:count]...)
	if count > 0 {
		return nil
	}
	return err
}

// fillBuffer receives more bytes into pending, which is empty, by way of the buffer.
func (c *conn) fillBuffer() error {
	if c.buffer == nil {
		c.buffer = make([]byte, readBufferBytes)
	}
	count, err := c.Conn.Read(c.buffer)
	c.pending = c.buffer[:count:count]
	if count > 0 {
		return nil
	}
	return err
}

// advance checks pending bytes, and moves them to ready or sets ready to their replacement. It returns false if more
// bytes must be received first.
func (c *conn) advance() bool {
	if len(c.pending) == 0 || c.rejected {
		c.pending = nil
		return false
	}
	if c.body.inBody() {
		return c.advanceBody()
	}
	return c.advanceHeader()
}

func (c *conn) advanceBody() bool {
	count, err := c.body.consume(c.pending)
	if err != nil {
		c.reject()
		return true
	}
	c.ready, c.pending = c.pending[:count:count], c.pending[count:]
	return count > 0
}

func (c *conn) advanceHeader() bool {
	end := bytes.Index(c.pending, []byte("\r\n\r\n"))
	limit := c.headerLimit()
	switch {
	case end > limit || (end < 0 && len(c.pending) > limit):
		c.ready, c.pending, c.oversized = []byte("GET / HTTP/1.1\r\nLong: "), nil, true
		return true
	case end < 0 && hasBareLineFeed(c.pending):
		c.reject()
		return true
	case end < 0:
		return false
	}
	end += len("\r\n\r\n")
	body, err := checkHeader(c.pending[:end])
	if err != nil {
		c.reject()
		return true
	}
	c.body = body
	c.ready, c.pending = c.pending[:end:end], c.pending[end:]
	return true
}

// reject discards all bytes that have not been passed on, and passes on malformedRequest in their place.
func (c *conn) reject() {
	c.ready, c.pending, c.rejected = []byte(malformedRequest), nil, true
}

// hasBareLineFeed reports whether the header contains a line feed that does not follow a carriage return.
func hasBareLineFeed(header []byte) bool {
	for i, b := range header {
		if b == '\n' && (i == 0 || header[i-1] != '\r') {
			return true
		}
	}
	return false
}
