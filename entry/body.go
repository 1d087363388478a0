package entry

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/routing"
)

const (
	prefixBytes = 512
	maxPrefixes = 32
	maxChoices  = 16
)

// CompletionRequest is what the scheduler reads of a completion request.
type CompletionRequest struct {
	Model     lovageshift.ModelID
	Stream    bool
	MaxTokens lovageshift.Tokens // 0 when the body sets none
	Choices   int
	Prefixes  []routing.Prefix
}

// readBody reads a request's body within the limit and the time a caller may be idle.
func readBody(w http.ResponseWriter, r *http.Request, limits *lovageshift.Limits) ([]byte, *lovageshift.Refusal) {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(time.Now().Add(limits.CallerIdleMillis.Duration()))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limits.BodyBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, lovageshift.NotRun(lovageshift.ReasonBodyTooLarge, fmt.Sprintf("the body exceeds %d bytes", limits.BodyBytes))
	case err != nil:
		// The deadline stays, so that nobody waits for the rest of the body.
		w.Header().Set("Connection", "close")
		return nil, lovageshift.NotRun(lovageshift.ReasonBodyUnreadable, "the body was cut short or came too slowly")
	}
	_ = control.SetReadDeadline(time.Time{})
	return body, nil
}

// ParseCompletion reads a completion request; the error says what is wrong with it.
func ParseCompletion(body []byte, depth int) (*CompletionRequest, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("the body is not UTF-8")
	}
	if nesting(body) > depth {
		return nil, fmt.Errorf("the body is nested more than %d deep", depth)
	}
	if !json.Valid(body) {
		return nil, errors.New("the body is not JSON")
	}
	fields, err := topLevel(body)
	if err != nil {
		return nil, err
	}
	return completionOf(fields)
}

// nesting returns how deep objects and arrays are nested outside strings.
func nesting(body []byte) int {
	depth, deepest := 0, 0
	inString, escaped := false, false
	for _, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = b == '\\'
			inString = b != '"'
		case b == '"':
			inString = true
		case b == '{' || b == '[':
			depth++
			deepest = max(deepest, depth)
		case b == '}' || b == ']':
			depth--
		}
	}
	return deepest
}

// field is one top-level member of the request.
type field struct {
	name string
	raw  json.RawMessage
}

// topLevel returns the members; a doubled name is an error, since engines differ in which one they take.
func topLevel(body []byte) ([]field, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	if opening, err := decoder.Token(); err != nil || opening != json.Delim('{') {
		return nil, errors.New("the body is not a JSON object")
	}
	var fields []field
	seen := map[string]bool{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		if seen[name] {
			return nil, fmt.Errorf("%q is given twice", name)
		}
		seen[name] = true
		var raw json.RawMessage
		if err := decoder.Decode(&raw); err != nil {
			return nil, err
		}
		fields = append(fields, field{name, raw})
	}
	return fields, nil
}

func completionOf(fields []field) (*CompletionRequest, error) {
	ask := &CompletionRequest{Choices: 1}
	for _, f := range fields {
		var err error
		switch f.name {
		case "model":
			err = json.Unmarshal(f.raw, &ask.Model)
		case "stream":
			err = json.Unmarshal(f.raw, &ask.Stream)
		case "max_tokens", "max_completion_tokens":
			err = ask.limitOutput(f.raw)
		case "n", "best_of":
			err = ask.multiply(f.raw)
		case "messages", "prompt":
			ask.Prefixes = prefixesOf(f.raw)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.name, err)
		}
	}
	if ask.Model == "" {
		return nil, errors.New("model is missing")
	}
	return ask, nil
}

var errCount = errors.New("must be a whole number above 0")

func (c *CompletionRequest) limitOutput(raw json.RawMessage) error {
	count, err := strconv.ParseInt(string(raw), 10, 32)
	if err != nil || count <= 0 {
		return errCount
	}
	if c.MaxTokens != 0 {
		return errors.New("the output limit is given twice")
	}
	c.MaxTokens = lovageshift.Tokens(count)
	return nil
}

func (c *CompletionRequest) multiply(raw json.RawMessage) error {
	count, err := strconv.ParseInt(string(raw), 10, 32)
	if err != nil || count <= 0 {
		return errCount
	}
	if count > maxChoices {
		return fmt.Errorf("must be at most %d", maxChoices)
	}
	c.Choices = max(c.Choices, int(count))
	return nil
}

// prefixesOf chains hashes over the whole blocks at the beginning of a prompt.
func prefixesOf(raw []byte) []routing.Prefix {
	var prefixes []routing.Prefix
	var chain [8]byte
	for len(raw) >= prefixBytes && len(prefixes) < maxPrefixes {
		digest := xxhash.New()
		_, _ = digest.Write(chain[:])
		_, _ = digest.Write(raw[:prefixBytes])
		raw = raw[prefixBytes:]
		binary.LittleEndian.PutUint64(chain[:], digest.Sum64())
		prefixes = append(prefixes, routing.Prefix(digest.Sum64()))
	}
	return prefixes
}

// withLimit sets the output limit in a body that has none and leaves the rest as it is.
func withLimit(body []byte, limit lovageshift.Tokens) []byte {
	opening := bytes.IndexByte(body, '{')
	limited := make([]byte, 0, len(body)+32)
	limited = append(limited, body[:opening+1]...)
	limited = append(limited, `"max_tokens":`...)
	limited = strconv.AppendInt(limited, int64(limit), 10)
	limited = append(limited, ',')
	return append(limited, body[opening+1:]...)
}

// fingerprintOf hashes what links the resends of a request.
func fingerprintOf(account lovageshift.AccountID, path string, body []byte) lovageshift.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(account))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(path)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return lovageshift.Fingerprint(digest.Sum64())
}

func fingerprintText(fingerprint lovageshift.Fingerprint) string {
	return strconv.FormatUint(uint64(fingerprint), 16)
}
