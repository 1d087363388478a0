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

// completion is what the engine reads of a request.
type completion struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
	Metadata struct {
		// OutputTokens ends the answer earlier than max_tokens, as an engine's stop token would.
		OutputTokens int `json:"outputTokens"`
	} `json:"metadata"`

	raw []byte
}

func readCompletion(raw []byte) (*completion, error) {
	ask := &completion{raw: raw}
	return ask, json.Unmarshal(raw, ask)
}

func (c *completion) text() string {
	var text strings.Builder
	for _, message := range c.Messages {
		text.WriteString(message.Content)
	}
	text.WriteString(c.Prompt)
	return text.String()
}

func (c *completion) holds(poison string) bool { return bytes.Contains(c.raw, []byte(poison)) }

func (c *completion) promptTokens() lovageshift.Tokens {
	return lovageshift.Tokens(len(c.text())/bytesPerToken + 1)
}

func (c *completion) outputTokens() int {
	most := max(c.MaxTokens, 1)
	if c.Metadata.OutputTokens > 0 {
		return min(c.Metadata.OutputTokens, most)
	}
	return most
}

func (c *completion) tag() string { return PromptTag(c.text()) }

// blocks returns the chained hashes of the whole blocks of the prompt.
func (c *completion) blocks() []uint64 {
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

// PromptTag returns the mark that every token of the answer to a prompt carries.
func PromptTag(prompt string) string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(prompt))) }

// CompletionToken returns the text of a prompt's answer token, counted from 1.
func CompletionToken(tag string, number int) string { return fmt.Sprintf("%s-%d ", tag, number) }

// CompletionText returns the whole answer to a prompt with the number of tokens.
func CompletionText(prompt string, tokens int) string {
	var text strings.Builder
	for number := 1; number <= tokens; number++ {
		text.WriteString(CompletionToken(PromptTag(prompt), number))
	}
	return text.String()
}
