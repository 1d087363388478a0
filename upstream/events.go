package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

const maxEventBytes = 1 << 20

// Event is one whole event of a stream, with the blank line that ends it.
type Event struct {
	Raw []byte
	// ID is the event's id, "" if it has none.
	ID string
}

// EventReader reads a stream event by event.
type EventReader struct {
	reader *bufio.Reader
	answer *TargetResponse
	line   []byte
	raw    []byte
}

// Next returns the next whole event; the bytes are valid until the next call. It returns io.EOF at the end
// of a whole stream and ErrConnectionLost when the stream broke off, also in the middle of an event.
func (e *EventReader) Next() (Event, error) {
	e.raw = e.raw[:0]
	id := ""
	for {
		line, err := e.readLine()
		if err != nil {
			return Event{}, e.end(err)
		}
		e.raw = append(e.raw, line...)
		if len(e.raw) > maxEventBytes {
			return Event{}, trace.Wrap(ErrInvalidResponse, "an event is larger than %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return Event{Raw: e.raw, ID: id}, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}

func (e *EventReader) readLine() ([]byte, error) {
	e.line = e.line[:0]
	for {
		part, err := e.reader.ReadSlice('\n')
		e.line = append(e.line, part...)
		if err == nil {
			return e.line, nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(e.line) > maxEventBytes {
			return nil, err
		}
	}
}

// Buffered reports whether more of the stream has already been received.
func (e *EventReader) Buffered() bool { return e.reader.Buffered() > 0 }

func (e *EventReader) end(err error) error {
	if errors.Is(err, io.EOF) && len(e.raw) == 0 && len(e.line) == 0 {
		e.answer.whole = true
		return err
	}
	return trace.Wrap(ErrConnectionLost, "stream: %v", err)
}
