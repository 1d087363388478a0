package lovageshift

import "math"

// Model is a model that callers may request, with its token limits.
type Model struct {
	ID                  ModelID  `toml:"-"`
	ContextTokens       Tokens   `toml:"contextTokens"`       // most tokens of a prompt and its output together
	DefaultOutputTokens Tokens   `toml:"defaultOutputTokens"` // output limit of a request that sets none
	MaxOutputTokens     Tokens   `toml:"maxOutputTokens"`     // highest output limit that a request may set
	Adapters            []string `toml:"adapters"`            // adapters that callers may request
	// MinBytesPerToken is a lower bound of the mean number of bytes per token in a prompt. MaxPromptTokens divides by it.
	MinBytesPerToken float64 `toml:"minBytesPerToken"`
}

func newModel(id ModelID) *Model {
	return &Model{ID: id, ContextTokens: 32768, DefaultOutputTokens: 512, MaxOutputTokens: 4096, MinBytesPerToken: 1}
}

func (m *Model) validate(*Config) []Problem {
	var problems []Problem
	path := "models." + string(m.ID)
	if m.ContextTokens <= 0 {
		problems = append(problems, problem(path+".contextTokens", "must be above 0"))
	}
	if m.DefaultOutputTokens <= 0 || m.DefaultOutputTokens > m.MaxOutputTokens {
		problems = append(problems, problem(path+".defaultOutputTokens", "must be from 1 to maxOutputTokens"))
	}
	if m.MaxOutputTokens > m.ContextTokens {
		problems = append(problems, problem(path+".maxOutputTokens", "must not exceed contextTokens"))
	}
	if m.MinBytesPerToken <= 0 || m.MinBytesPerToken > 16 {
		problems = append(problems, problem(path+".minBytesPerToken", "must be above 0 and at most 16"))
	}
	return problems
}

// MaxPromptTokens returns an upper bound of the number of tokens in a prompt of the given size in bytes.
func (m *Model) MaxPromptTokens(size int) Tokens {
	return Tokens(math.Ceil(float64(size) / m.MinBytesPerToken))
}
