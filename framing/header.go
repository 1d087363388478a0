package framing

import (
	"bytes"
	"errors"
	"strconv"
	"strings"
)

// ErrAmbiguous is the error for a request that could be interpreted in two ways, or whose request line, header fields,
// length or chunks are malformed.
var ErrAmbiguous = errors.New("ambiguous request")

// checkHeader validates a complete request header, including its blank line, and returns a scanner of the body that
// follows.
func checkHeader(header []byte) (bodyScanner, error) {
	if hasBareLineFeed(header) || bytes.IndexByte(header, 0) >= 0 {
		return bodyScanner{}, ErrAmbiguous
	}
	text := strings.TrimSuffix(string(header), "\r\n\r\n")
	requestLine, fieldLines, _ := strings.Cut(text, "\r\n")
	if strings.Contains(strings.ReplaceAll(text, "\r\n", ""), "\r") {
		return bodyScanner{}, ErrAmbiguous
	}
	if err := checkRequestLine(requestLine); err != nil {
		return bodyScanner{}, err
	}
	fields, err := readFields(fieldLines)
	if err != nil {
		return bodyScanner{}, err
	}
	return fields.scanner(strings.HasSuffix(requestLine, "HTTP/1.0"))
}

// checkRequestLine accepts only a method, a URI and HTTP/1.0 or HTTP/1.1, separated by single spaces.
func checkRequestLine(line string) error {
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" {
		return ErrAmbiguous
	}
	if parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return ErrAmbiguous
	}
	return nil
}

// framingFields holds what the header says about the length of the body, and how many Host fields it has.
type framingFields struct {
	// lengths and encodings are the values of all Content-Length and Transfer-Encoding fields.
	lengths   []string
	encodings []string
	// hosts is the number of Host fields.
	hosts int
}

// readFields reads the header fields, one on each line.
func readFields(text string) (framingFields, error) {
	var fields framingFields
	if text == "" {
		return fields, nil
	}
	for line := range strings.SplitSeq(text, "\r\n") {
		name, value, colon := strings.Cut(line, ":")
		if !colon || !isToken(name) {
			return fields, ErrAmbiguous
		}
		value = strings.Trim(value, " \t")
		switch strings.ToLower(name) {
		case "content-length":
			fields.lengths = append(fields.lengths, value)
		case "transfer-encoding":
			fields.encodings = append(fields.encodings, value)
		case "host":
			fields.hosts++
		}
	}
	return fields, nil
}

// scanner returns a scanner of the body. It returns ErrAmbiguous if there is more than one Host, Content-Length or
// Transfer-Encoding, if there is both a Content-Length and a Transfer-Encoding, or if one of these two has an invalid
// value. An HTTP/1.0 request must not have a Transfer-Encoding.
func (f framingFields) scanner(http10 bool) (bodyScanner, error) {
	switch {
	case f.hosts > 1, len(f.lengths) > 1, len(f.encodings) > 1:
		return bodyScanner{}, ErrAmbiguous
	case len(f.lengths) > 0 && len(f.encodings) > 0:
		return bodyScanner{}, ErrAmbiguous
	case len(f.encodings) == 1:
		if http10 || !strings.EqualFold(f.encodings[0], "chunked") {
			return bodyScanner{}, ErrAmbiguous
		}
		return bodyScanner{state: stateChunkSize}, nil
	case len(f.lengths) == 1:
		return lengthScanner(f.lengths[0])
	default:
		return bodyScanner{}, nil
	}
}

// lengthScanner returns a scanner of a body whose Content-Length has the value. The value must consist of digits only,
// as ParseInt would also accept a sign.
func lengthScanner(value string) (bodyScanner, error) {
	for _, digit := range value {
		if digit < '0' || digit > '9' {
			return bodyScanner{}, ErrAmbiguous
		}
	}
	length, err := strconv.ParseInt(value, 10, 63)
	if err != nil {
		return bodyScanner{}, ErrAmbiguous
	}
	if length == 0 {
		return bodyScanner{}, nil
	}
	return bodyScanner{state: stateLength, remaining: length}, nil
}

// isToken reports whether the text is an HTTP token, as methods and names of header fields must be.
func isToken(text string) bool {
	for i := range len(text) {
		b := text[i]
		letter := b|0x20 >= 'a' && b|0x20 <= 'z'
		if !letter && (b < '0' || b > '9') && strings.IndexByte("!#$%&'*+-.^_`|~", b) < 0 {
			return false
		}
	}
	return text != ""
}
