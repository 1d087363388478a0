package framing

import (
	"bytes"
	"strconv"
	"strings"
)

// bodyState says what part of a body the next byte belongs to.
type bodyState int

const (
	// stateDone means that the body has ended, or that there is none.
	stateDone bodyState = iota
	// stateLength is a body with a Content-Length.
	stateLength
	// stateChunkSize is the line with a chunk's size.
	stateChunkSize
	stateChunkData
	// stateChunkEnd is the line end after a chunk's data.
	stateChunkEnd
	// stateTrailer is the trailer fields after the last chunk, with the blank line that ends them.
	stateTrailer
)

// Longest line accepted for a chunk's size or a trailer field, in bytes, with its line end.
const maxLineBytes = 4 << 10

// bodyScanner finds the end of a request's body.
type bodyScanner struct {
	state bodyState
	// remaining is the number of bytes left in a body with a Content-Length or in the current chunk's data.
	remaining int64
	// line is the part of the current line received so far.
	line []byte
}

func (s *bodyScanner) inBody() bool { return s.state != stateDone }

// consume scans received bytes and returns how many of them belong to the body, or ErrAmbiguous.
func (s *bodyScanner) consume(received []byte) (int, error) {
	count := 0
	for s.inBody() && count < len(received) {
		used, err := s.scan(received[count:])
		if err != nil {
			return 0, err
		}
		count += used
	}
	return count, nil
}

// scan scans received bytes up to the end of the current part of the body (see bodyState) or of the current line, or
// all of them if that end has not been received. It returns how many bytes it has scanned.
func (s *bodyScanner) scan(received []byte) (int, error) {
	switch s.state {
	case stateLength, stateChunkData:
		used := int(min(int64(len(received)), s.remaining))
		s.remaining -= int64(used)
		if s.remaining == 0 {
			s.state = s.afterData()
		}
		return used, nil
	default:
		return s.scanLine(received)
	}
}

// afterData returns the state that follows the last byte of data.
func (s *bodyScanner) afterData() bodyState {
	if s.state == stateChunkData {
		return stateChunkEnd
	}
	return stateDone
}

// scanLine adds received bytes to the current line, up to its line feed, and handles the line once it is complete. It
// returns how many bytes it has added.
func (s *bodyScanner) scanLine(received []byte) (int, error) {
	used := bytes.IndexByte(received, '\n') + 1
	complete := used > 0
	if !complete {
		used = len(received)
	}
	s.line = append(s.line, received[:used]...)
	if len(s.line) > maxLineBytes {
		return 0, ErrAmbiguous
	}
	if !complete {
		return used, nil
	}
	line, found := bytes.CutSuffix(s.line, []byte("\r\n"))
	s.line = s.line[:0]
	if !found || bytes.IndexByte(line, '\r') >= 0 {
		return 0, ErrAmbiguous
	}
	return used, s.handleLine(string(line))
}

func (s *bodyScanner) handleLine(line string) error {
	switch s.state {
	case stateChunkSize:
		return s.parseChunkSize(line)
	case stateChunkEnd:
		if line != "" {
			return ErrAmbiguous
		}
		s.state = stateChunkSize
	case stateTrailer:
		if line == "" {
			s.state = stateDone
		}
	default:
	}
	return nil
}

// parseChunkSize parses the line with a chunk's size, in hexadecimal digits. Chunk extensions, which follow a
// semicolon, are ignored.
func (s *bodyScanner) parseChunkSize(line string) error {
	digits, _, _ := strings.Cut(line, ";")
	if digits == "" || strings.ContainsAny(digits, "+-_ \txX") {
		return ErrAmbiguous
	}
	size, err := strconv.ParseInt(digits, 16, 62)
	if err != nil {
		return ErrAmbiguous
	}
	s.remaining, s.state = size, stateChunkData
	if size == 0 {
		s.state = stateTrailer
	}
	return nil
}
