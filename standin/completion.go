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

// completionRequest holds the fields of a completion request that the engine reads.
type completionRequest struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Metadata struct {
		// OutputTokens ends the answer before max_tokens, as an engine's stop token does.
		OutputTokens int `json:"outputTokens"`
	} `json:"metadata"`

	raw []byte
}

func parseCompletion(raw []byte) (*completionRequest, error) {
	request := &completionRequest{raw: raw}
	return request, json.Unmarshal(raw, request)
}

func (c *completionRequest) text() string {
	var text strings.Builder
	for _, message := range c.Messages {
		text.WriteString(message.Content)
	}
	text.WriteString(c.Prompt)
	return text.String()
}

func (c *completionRequest) contains(text string) bool { return bytes.Contains(c.raw, []byte(text)) }

// promptTokens counts a token for every 4 bytes of the prompt.
func (c *completionRequest) promptTokens() lovageshift.Tokens {
	return lovageshift.Tokens(len(c.text())/bytesPerToken + 1)
}

func (c *completionRequest) outputTokens() int {
	limit := max(c.MaxTokens, 1)
	if c.Metadata.OutputTokens > 0 {
		return min(c.Metadata.OutputTokens, limit)
	}
	return limit
}

func (c *completionRequest) tag() string { return PromptTag(c.text()) }

// blocks returns the chained hashes of the prompt's full blocks: each covers its block and all before it.
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

// PromptTag returns the hash of a prompt that every token of its completion starts with, as 8 hexadecimal digits.
func PromptTag(prompt string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(prompt))) }

// CompletionToken returns the text of the numbered token, counted from 1, of the completion of a prompt with the tag.
func CompletionToken(tag string, number int) string { return fmt.Sprintf("%s-%d ", tag, number) }

// CompletionText returns the whole completion of a prompt with the number of tokens.
func CompletionText(prompt string, tokens int) string {
	var text strings.Builder
	for number := 1; number <= tokens; number++ {
		text.WriteString(CompletionToken(PromptTag(prompt), number))
	}
	return text.String()
}
