package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/gravitational/trace"
)

const (
	// Largest size of an event, in bytes, with the blank line that ends it.
	maxEventBytes = 256 << 10
	// Largest ID of an event, in bytes. The last one is kept while the stream goes on, and sent to a target that is to go on with it.
	maxEventIDBytes = 4 << 10
	// Least size of the buffer of events, in bytes.
	minEventBuffer = 512
)

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
// read to its end. An event above maxEventBytes or with an ID above maxEventIDBytes, or the head of another response, is
// ErrInvalidResponse. ErrNoRoom means that the memory budget has no room for the event.
func (r *EventReader) Next() (Event, error) {
	if cap(r.event) > readBufferBytes {
		r.event = nil
		r.response.conn.body.release()
	}
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
			if len(value) > maxEventIDBytes {
				return Event{}, trace.Wrap(ErrInvalidResponse, "the ID of an event is larger than %d bytes", maxEventIDBytes)
			}
			event.ID = string(bytes.TrimSpace(value))
		}
		event.HasData = event.HasData || bytes.HasPrefix(text, []byte("data"))
	}
}

// readLine adds the next line to the event and returns it with its line feed. The error is errEventTooLarge, ErrNoRoom or one of
// reading.
func (r *EventReader) readLine() ([]byte, error) {
	begin := len(r.event)
	for {
		part, err := r.reader.ReadSlice('\n')
		if addErr := r.add(part); addErr != nil {
			return nil, addErr
		}
		switch {
		case err == nil:
			return r.event[begin:], nil
		case err != bufio.ErrBufferFull:
			return nil, err
		}
	}
}

// add adds the bytes to the event.
func (r *EventReader) add(part []byte) error {
	size := len(r.event) + len(part)
	if size > maxEventBytes {
		return errEventTooLarge
	}
	if size > cap(r.event) {
		larger, err := r.response.conn.body.grow(r.event, min(max(2*cap(r.event), size, minEventBuffer), maxEventBytes))
		if err != nil {
			return err
		}
		r.event = larger
	}
	r.event = append(r.event, part...)
	return nil
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
	if errors.Is(err, ErrNoRoom) {
		return err
	}
	if errors.Is(err, errEventTooLarge) {
		return trace.Wrap(ErrInvalidResponse, "an event is larger than %d bytes", maxEventBytes)
	}
	return trace.Wrap(ErrConnectionLost, "stream: %v", err)
}
