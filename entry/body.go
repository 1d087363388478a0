package entry

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"unicode/utf8"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/routing"
)

const (
	prefixBlockBytes = 512 // bytes of one block; prompts are hashed in blocks of their JSON text (hashPrefixes)
	maxPrefixes      = 32  // most blocks hashed of a prompt
	maxChoices       = 16  // highest value accepted for n and best_of
)

// CompletionRequest holds the fields of a completion request's body that the entry uses. The engine gets the whole body.
type CompletionRequest struct {
	Model       lovageshift.ModelID
	Stream      bool
	OutputLimit lovageshift.Tokens // output limit of each choice; 0 when the body sets none
	Choices     int                // the larger of n and best_of, 1 when the body sets neither
	Prefixes    []routing.Prefix   // hashes of the start of messages or prompt (hashPrefixes)
}

// ParseCompletion parses the body of a completion request, which must be a JSON object with at most maxDepth levels of nested
// objects and arrays. The text of the error is sent to the caller.
func ParseCompletion(body []byte, maxDepth int) (*CompletionRequest, error) {
	if !utf8.Valid(body) {
		return nil, errors.New("the body is not UTF-8")
	}
	if nestingDepth(body) > maxDepth {
		return nil, fmt.Errorf("the body is nested more than %d deep", maxDepth)
	}
	if !json.Valid(body) {
		return nil, errors.New("the body is not JSON")
	}
	fields, err := topLevelFields(body)
	if err != nil {
		return nil, err
	}
	return newCompletionRequest(fields)
}

// nestingDepth returns how deep objects and arrays are nested in a JSON text. Brackets inside strings do not count.
func nestingDepth(body []byte) int {
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

// field is one top-level member of a request's JSON object.
type field struct {
	name string
	raw  json.RawMessage
}

// topLevelFields returns the members of the JSON object in the body. A duplicate name is an error, since engines differ in
// which of its values they use.
func topLevelFields(body []byte) ([]field, error) {
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

// newCompletionRequest returns the request with the values of the fields that the entry uses. It ignores all other fields. Only
// the model is required.
func newCompletionRequest(fields []field) (*CompletionRequest, error) {
	c := &CompletionRequest{Choices: 1}
	for _, f := range fields {
		var err error
		switch f.name {
		case "model":
			err = json.Unmarshal(f.raw, &c.Model)
		case "stream":
			err = json.Unmarshal(f.raw, &c.Stream)
		case "max_tokens", "max_completion_tokens":
			err = c.setOutputLimit(f.raw)
		case "n", "best_of":
			err = c.setChoices(f.raw)
		case "messages", "prompt":
			c.Prefixes = hashPrefixes(f.raw)
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", f.name, err)
		}
	}
	if c.Model == "" {
		return nil, errors.New("model is missing")
	}
	return c, nil
}

var errNotPositive = errors.New("must be a whole number above 0")

// setOutputLimit sets OutputLimit from max_tokens or max_completion_tokens. Only one of these may be given.
func (c *CompletionRequest) setOutputLimit(raw json.RawMessage) error {
	limit, err := strconv.ParseInt(string(raw), 10, 32)
	if err != nil || limit <= 0 {
		return errNotPositive
	}
	if c.OutputLimit != 0 {
		return errors.New("the output limit is given twice")
	}
	c.OutputLimit = lovageshift.Tokens(limit)
	return nil
}

// setChoices sets Choices to the value of n or best_of. If both are given, the larger one is kept.
func (c *CompletionRequest) setChoices(raw json.RawMessage) error {
	count, err := strconv.ParseInt(string(raw), 10, 32)
	if err != nil || count <= 0 {
		return errNotPositive
	}
	if count > maxChoices {
		return fmt.Errorf("must be at most %d", maxChoices)
	}
	c.Choices = max(c.Choices, int(count))
	return nil
}

// hashPrefixes returns a hash for each of the first maxPrefixes whole blocks of a prompt, which is the JSON text of messages
// or prompt. The hashes are chained: each covers the prompt from its start to the end of its block. An incomplete last block
// has no hash.
func hashPrefixes(rawPrompt []byte) []routing.Prefix {
	var prefixes []routing.Prefix
	var chain [8]byte
	for len(rawPrompt) >= prefixBlockBytes && len(prefixes) < maxPrefixes {
		digest := xxhash.New()
		_, _ = digest.Write(chain[:])
		_, _ = digest.Write(rawPrompt[:prefixBlockBytes])
		rawPrompt = rawPrompt[prefixBlockBytes:]
		binary.LittleEndian.PutUint64(chain[:], digest.Sum64())
		prefixes = append(prefixes, routing.Prefix(digest.Sum64()))
	}
	return prefixes
}

// withOutputLimit returns a body with max_tokens inserted as its first member, for a completion request that sets no output
// limit. All other bytes stay as the caller sent them. The body must be a JSON object with at least one member.
func withOutputLimit(body []byte, limit lovageshift.Tokens) []byte {
	opening := bytes.IndexByte(body, '{')
	limited := make([]byte, 0, len(body)+32)
	limited = append(limited, body[:opening+1]...)
	limited = append(limited, `"max_tokens":`...)
	limited = strconv.AppendInt(limited, int64(limit), 10)
	limited = append(limited, ',')
	return append(limited, body[opening+1:]...)
}

// requestFingerprint hashes the account, the operation and the body of a request, so that every resend of the request has
// the same fingerprint. The operation is the path of a completion request, or the method, the path and the query of a call to
// a plain service. The body is hashed as the caller sent it.
func requestFingerprint(account lovageshift.AccountID, operation string, body []byte) lovageshift.Fingerprint {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(account))
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(operation)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.Write(body)
	return lovageshift.Fingerprint(digest.Sum64())
}
