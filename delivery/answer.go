package delivery

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strconv"
)

// ErrNotGuarded means that the answer ends with the connection and that the end of the process would look like its end, since
// the connection cannot be reset.
var ErrNotGuarded = errors.New("the caller's connection cannot be reset")

// lingerOff makes closing a connection reset it, and discards what has not been received; lingerDefault undoes this.
const (
	lingerOff     = 0
	lingerDefault = -1
)

// Answer writes one answer to a caller. After Begin, the handler must call End or Break; if it panics or the process ends
// instead, the caller gets an answer that it can tell is not complete.
type Answer struct {
	w       http.ResponseWriter
	req     *http.Request
	begun   bool
	framing Framing
}

// New returns the answer to the request. The server of the request must have ConnContext as its http.Server.ConnContext.
func New(w http.ResponseWriter, req *http.Request) *Answer { return &Answer{w: w, req: req} }

// Begun reports whether Begin has been called.
func (a *Answer) Begun() bool { return a.begun }

// Begin writes the status and the header. Length is the size of the body in bytes, -1 if it is not known. An error, which is
// ErrNotGuarded, does not keep the answer from being written.
func (a *Answer) Begin(status, length int) error {
	a.begun, a.framing = true, FramingOf(a.req, status, length)
	header := a.w.Header()
	delete(header, "Transfer-Encoding")
	delete(header, "Content-Length")
	var err error
	switch a.framing {
	case Length:
		header["Content-Length"] = []string{strconv.Itoa(length)}
	case ConnectionEnd:
		err = a.setLinger(lingerOff)
	default: // net/http writes the chunks
	}
	a.w.WriteHeader(status)
	return err
}

// Write writes a part of the body.
func (a *Answer) Write(part []byte) (int, error) { return a.w.Write(part) }

// Flush sends what has been written to the caller. It does nothing if the writer cannot do that.
func (a *Answer) Flush() {
	if flusher, ok := a.w.(http.Flusher); ok {
		flusher.Flush()
	}
}

// End ends the answer as complete. The error, if any, is that of lifting the reset of a connection that ends with the answer.
func (a *Answer) End() error {
	if a.framing != ConnectionEnd {
		return nil
	}
	// What is still buffered must reach the kernel before a close stops being a reset.
	if err := http.NewResponseController(a.w).Flush(); err != nil {
		return err
	}
	return a.setLinger(lingerDefault)
}

// Break sends what has been written and ends the connection within the answer. It does not return: it panics with
// http.ErrAbortHandler.
func (a *Answer) Break() {
	if a.begun {
		a.Flush()
	}
	panic(http.ErrAbortHandler)
}

// connectionKey is the key of the caller's connection in the context of its requests.
type connectionKey struct{}

// ConnContext adds the caller's connection to the context of its requests. It is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// setLinger sets what closing the caller's connection does, as net.TCPConn.SetLinger does.
func (a *Answer) setLinger(seconds int) error {
	connection, ok := a.req.Context().Value(connectionKey{}).(interface{ SetLinger(seconds int) error })
	if !ok {
		return ErrNotGuarded
	}
	if err := connection.SetLinger(seconds); err != nil {
		return errors.Join(ErrNotGuarded, err)
	}
	return nil
}
