package framing

import (
	"bytes"
	"strconv"
	"strings"
)

// bodyState is the part of a body that the next byte belongs to.
type bodyState int

const (
	stateDone bodyState = iota
	// stateLength is a body with a Content-Length.
	stateLength
	stateChunkSize
	stateChunkData
	// stateChunkEnd is the line end after a chunk's data.
	stateChunkEnd
	stateTrailer
)

// Longest line accepted for a chunk's size or a trailer field.
const maxLineBytes = 4 << 10

// bodyScanner finds the end of a request's body.
type bodyScanner struct {
	state bodyState
	// remaining is the number of bytes left in the body or in the current chunk.
	remaining int64
	// line is the part of the current line received so far.
	line []byte
}

func (s *bodyScanner) inBody() bool { return s.state != stateDone }

// consume scans received bytes and returns how many of them belong to the body.
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

func (s *bodyScanner) afterData() bodyState {
	if s.state == stateChunkData {
		return stateChunkEnd
	}
	return stateDone
}

// scanLine collects a line and handles it once it is complete.
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
	line, found := strings.CutSuffix(string(s.line), "\r\n")
	s.line = s.line[:0]
	if !found || strings.ContainsRune(line, '\r') {
		return 0, ErrAmbiguous
	}
	return used, s.handleLine(line)
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
