package standin

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
)

// completionRequest holds those fields of a completion request that the stand-in engine uses.
type completionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Metadata struct {
		// OutputTokens is the length of the answer if it is above 0 and below max_tokens: it ends the answer early, as
		// a stop token does.
		OutputTokens int `json:"outputTokens"`
	} `json:"metadata"`

	raw []byte // the request body
}

func parseCompletion(raw []byte) (*completionRequest, error) {
	request := &completionRequest{raw: raw}
	return request, json.Unmarshal(raw, request)
}

// text returns the prompt: the contents of all messages, followed by the prompt field.
func (c *completionRequest) text() string {
	var text strings.Builder
	for _, message := range c.Messages {
		text.WriteString(message.Content)
	}
	text.WriteString(c.Prompt)
	return text.String()
}

func (c *completionRequest) contains(text string) bool { return bytes.Contains(c.raw, []byte(text)) }

// promptTokens returns the number of prompt tokens: one for every 4 whole bytes of the prompt, and one more.
func (c *completionRequest) promptTokens() lovageshift.Tokens {
	return lovageshift.Tokens(len(c.text())/bytesPerToken + 1)
}

// outputTokens returns the length of the answer in tokens, at least 1.
func (c *completionRequest) outputTokens() int {
	limit := max(c.MaxTokens, 1)
	if c.Metadata.OutputTokens > 0 {
		return min(c.Metadata.OutputTokens, limit)
	}
	return limit
}

func (c *completionRequest) tag() string { return PromptTag(c.text()) }

// blocks returns a chained hash for each full block of 64 tokens of the prompt. Each hash covers its block and all
// blocks before it, so that equal hashes mean equal prefixes.
func (c *completionRequest) blocks() []uint64 {
	const blockBytes = blockTokens * bytesPerToken
	text := c.text()
	var chain [8]byte
	var blocks []uint64
	for len(text) >= blockBytes {
		digest := xxhash.New()
		_, _ = digest.Write(chain[:])
		_, _ = digest.WriteString(text[:blockBytes])
		text = text[blockBytes:]
		binary.LittleEndian.PutUint64(chain[:], digest.Sum64())
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// PromptTag returns the tag of a prompt: its hash as 8 hexadecimal digits. Every token of the completion starts with
// it, so that a test can tell which prompt a token answers.
func PromptTag(prompt string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(prompt))) }

// CompletionToken returns the text of one token of the completion of a prompt with the tag. Tokens are numbered from 1.
func CompletionToken(tag string, number int) string { return fmt.Sprintf("%s-%d ", tag, number) }

// CompletionText returns the completion of a prompt, which has the given number of tokens.
func CompletionText(prompt string, tokens int) string {
	var text strings.Builder
	for number := 1; number <= tokens; number++ {
		text.WriteString(CompletionToken(PromptTag(prompt), number))
	}
	return text.String()
}
