package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

// Largest size of an event, in bytes, with the blank line that ends it.
const maxEventBytes = 256 << 10

// errEventTooLarge is the error for an event above maxEventBytes.
var errEventTooLarge = errors.New("the event is too large")

// statusLinePrefix begins a response. A target that fails within a stream may write one there, where no event begins so.
var statusLinePrefix = []byte("HTTP/1.")

// Event is one complete event of a stream.
type Event struct {
	// Raw is the event as received, with the blank line that ends it.
	Raw []byte
	// ID is the value of the event's id field, "" if it has none.
	ID string
	// HasData is set if the event has a data field. Without one it may only keep the connection open.
	HasData bool
}

// IsComment reports whether the event has neither data nor an ID and begins as a comment.
func (e Event) IsComment() bool {
	return !e.HasData && e.ID == "" && (bytes.HasPrefix(e.Raw, []byte(":")) || len(bytes.TrimSpace(e.Raw)) == 0)
}

// EventReader reads the server-sent events in the body of one response.
type EventReader struct {
	reader   *bufio.Reader
	response *TargetResponse
	// event is the part of the current event received so far.
	event []byte
}

// Next returns the next complete event, whose bytes are valid until the next call. It returns io.EOF if the stream ends
// after a complete event or without any event, and ErrConnectionLost if the stream ends within an event or cannot be
// read to its end. An event above maxEventBytes, or the head of another response, is ErrInvalidResponse.
func (r *EventReader) Next() (Event, error) {
	r.event = r.event[:0]
	var event Event
	for {
		begin := len(r.event)
		line, err := r.readLine()
		if err != nil {
			return Event{}, r.readError(err)
		}
		if begin == 0 && bytes.HasPrefix(line, statusLinePrefix) {
			return Event{}, trace.Wrap(ErrInvalidResponse, "another response within the stream")
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			event.Raw = r.event
			return event, nil
		}
		if value, found := bytes.CutPrefix(text, []byte("id:")); found {
			event.ID = string(bytes.TrimSpace(value))
		}
		event.HasData = event.HasData || bytes.HasPrefix(text, []byte("data"))
	}
}

// readLine adds the next line to the event and returns it with its line feed. The error is errEventTooLarge or one of reading.
func (r *EventReader) readLine() ([]byte, error) {
	begin := len(r.event)
	for {
		part, err := r.reader.ReadSlice('\n')
		r.event = append(r.event, part...)
		switch {
		case len(r.event) > maxEventBytes:
			return nil, errEventTooLarge
		case err == nil:
			return r.event[begin:], nil
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

// Buffered reports whether bytes after the last event are already in the reader's buffer.
func (r *EventReader) Buffered() bool { return r.reader.Buffered() > 0 }

// readError returns the error of Next for an error of readLine. If the stream has ended after a complete event, it
// marks the response as complete.
func (r *EventReader) readError(err error) error {
	if errors.Is(err, io.EOF) && len(r.event) == 0 {
		r.response.complete = true
		return err
	}
	if errors.Is(err, errEventTooLarge) {
		return trace.Wrap(ErrInvalidResponse, "an event is larger than %d bytes", maxEventBytes)
	}
	return trace.Wrap(ErrConnectionLost, "stream: %v", err)
}
