package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

const maxEventBytes = 1 << 20

// Event is one complete event of a stream.
type Event struct {
	// Raw is the event as received, with the blank line that ends it.
	Raw []byte
	// ID is the event's id field, "" if it has none.
	ID string
}

// EventReader reads a stream of server-sent events.
type EventReader struct {
	reader      *bufio.Reader
	response    *TargetResponse
	partialLine []byte
	event       []byte
}

// Next returns the next complete event; its bytes are valid until the next call. It returns io.EOF at the end of a
// complete stream and ErrConnectionLost if the stream is truncated, also within an event.
func (r *EventReader) Next() (Event, error) {
	r.event = r.event[:0]
	id := ""
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.readError(err)
		}
		r.event = append(r.event, line...)
		if len(r.event) > maxEventBytes {
			return Event{}, trace.Wrap(ErrInvalidResponse, "an event is larger than %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return Event{Raw: r.event, ID: id}, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			id = string(bytes.TrimSpace(value))
		}
	}
}

func (r *EventReader) readLine() ([]byte, error) {
	r.partialLine = r.partialLine[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		r.partialLine = append(r.partialLine, part...)
		if err == nil {
			return r.partialLine, nil
		}
		if err != bufio.ErrBufferFull {
			return nil, err
		}
		if len(r.partialLine) > maxEventBytes {
			return nil, err
		}
	}
}

// Buffered reports whether more of the stream has already been received.
func (r *EventReader) Buffered() bool { return r.reader.Buffered() > 0 }

func (r *EventReader) readError(err error) error {
	if errors.Is(err, io.EOF) && len(r.event) == 0 && len(r.partialLine) == 0 {
		r.response.complete = true
		return err
	}
	return trace.Wrap(ErrConnectionLost, "stream: %v", err)
}
