package upstream

import (
	"errors"
	"io"
)

// Most bytes of a response header, of an interim response too. net/http itself sets no limit to what ReadResponse reads.
const maxHeaderBytes = 64 << 10

// errHeaderTooLarge is the error for a response header larger than maxHeaderBytes.
var errHeaderTooLarge = errors.New("the response header is too large")

// headLimiter limits the bytes that are read from a connection while a response header is expected. The reader behind it
// buffers up to readBufferBytes, so that the header itself may exceed the limit by that size, and bytes of the body that
// arrive with the header count too.
type headLimiter struct {
	reader  io.Reader
	limited bool
	// left is how many more bytes may be read while limited is set.
	left int
}

// start limits what may be read from now on to maxHeaderBytes.
func (h *headLimiter) start() { h.limited, h.left = true, maxHeaderBytes }

// stop removes the limit, for the body.
func (h *headLimiter) stop() { h.limited = false }

// Read returns errHeaderTooLarge once the limit is reached.
func (h *headLimiter) Read(into []byte) (int, error) {
	if !h.limited {
		return h.reader.Read(into)
	}
	if h.left == 0 {
		return 0, errHeaderTooLarge
	}
	count, err := h.reader.Read(into[:min(len(into), h.left)])
	h.left -= count
	return count, err
}
