package upstream

import (
	"errors"
	"io"
)

const (
	// Most bytes of a response header, of an interim response too. net/http itself sets no limit to what ReadResponse reads.
	maxHeaderBytes = 64 << 10
	// Most lines of a response header, as each takes about 90 bytes besides its text: a header of 64 KiB of short ones would take
	// more than 1 MB.
	maxHeaderLines = 256
	// How many times its size a response header takes in memory, the lines' 90 bytes not counted.
	headerCopies = 2
	// Most bytes of a status line. net/http quotes a malformed one whole in its error, which takes many times its size.
	maxStatusLineBytes = 4 << 10
)

// errHeaderTooLarge is the error for a response header with more than maxHeaderBytes, maxHeaderLines or maxStatusLineBytes.
var errHeaderTooLarge = errors.New("the response header is too large")

// headLimiter limits the bytes that are read from a connection, and the lines in them, while a response header is expected. The
// reader behind it buffers up to readBufferBytes, so that the header itself may exceed the limit of bytes by that size, and bytes
// of the body that arrive with the header count too, but not their lines.
type headLimiter struct {
	reader  io.Reader
	held    holding
	limited bool
	// left is how many more bytes may be read while limited is set.
	left int
	// lines is how many lines have been read, the present one included. It is not counted any more once headerEnded is set.
	lines       int
	statusBytes int // of the first line
	headerEnded bool
	// lineEmpty is set if nothing but a carriage return has been read of the present line.
	lineEmpty bool
}

// start limits what may be read from now on to maxHeaderBytes. The reader behind it has buffered some bytes already. The error is
// errHeaderTooLarge.
func (h *headLimiter) start(buffered []byte) error {
	*h = headLimiter{reader: h.reader, held: h.held, limited: true, left: maxHeaderBytes, lines: 1}
	return h.count(buffered)
}

// stop removes the limit, for the body.
func (h *headLimiter) stop() { h.limited = false }

// count counts the lines of the header in the bytes, and the bytes of the first one. Line ends before the status line are no end of the header.
func (h *headLimiter) count(received []byte) error {
	for _, octet := range received {
		switch {
		case h.headerEnded:
			return nil
		case octet == '\n' && h.lineEmpty:
			h.headerEnded = true
		case octet == '\n':
			h.lines++
			h.lineEmpty = true
		case octet != '\r':
			h.lineEmpty = false
		}
		if h.lines == 1 {
			h.statusBytes++
		}
		if h.lines > maxHeaderLines || h.statusBytes > maxStatusLineBytes {
			return errHeaderTooLarge
		}
	}
	return nil
}

// Read returns errHeaderTooLarge once a limit is reached, and ErrNoRoom if there is no memory for the header.
func (h *headLimiter) Read(into []byte) (int, error) {
	if !h.limited {
		return h.reader.Read(into)
	}
	if h.left == 0 {
		return 0, errHeaderTooLarge
	}
	if received := maxHeaderBytes - h.left; received >= readBufferBytes {
		if err := h.held.resize(headerCopies * (received + readBufferBytes)); err != nil {
			return 0, err
		}
	}
	count, err := h.reader.Read(into[:min(len(into), h.left)])
	h.left -= count
	if tooLarge := h.count(into[:count]); tooLarge != nil {
		return 0, tooLarge
	}
	return count, err
}
