package trial

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"lovageshift"
	"lovageshift/fleet"
)

// bytesPerToken is the number of prompt bytes that the stand-in engines count as one token.
const bytesPerToken = 4

// Class is one kind of request of a client account.
type Class struct {
	Account      lovageshift.AccountID
	Tier         lovageshift.TierID
	Share        float64 // weight of the class: its part of all requests is Share over the sum of all Shares
	PromptTokens Range   // tokens after the shared prefix
	OutputTokens Range   // tokens of the answer
	PrefixCount  int     // number of different shared prefixes; 0 for prompts without one
	PrefixTokens int     // tokens of each shared prefix
}

// Range is a log-uniform distribution of numbers of tokens from Min to Max.
type Range struct{ Min, Max int }

// sample draws a number of tokens, rounded down.
func (r Range) sample(random *rand.Rand) int {
	ratio := float64(r.Max) / float64(r.Min)
	return int(float64(r.Min) * math.Pow(ratio, random.Float64()))
}

// Mean returns the mean of the distribution in tokens, without the rounding of samples.
func (r Range) Mean() float64 {
	if r.Max == r.Min {
		return float64(r.Min)
	}
	return float64(r.Max-r.Min) / math.Log(float64(r.Max)/float64(r.Min))
}

// Arrival is one request of a workload.
type Arrival struct {
	At      time.Duration // when it is sent, from the start of the workload
	Entry   int           // number of the entry that it is sent to, from 0
	Class   *Class
	Request fleet.CompletionRequest
}

// MixedClasses returns classes of five client accounts in three tiers, one per account. Prompts and answers differ in
// length by a factor of 100 or more, and prompts begin with shared prefixes.
func MixedClasses() []Class {
	return []Class{
		{Account: "parents", Tier: "urgent", Share: 0.14, PromptTokens: Range{20, 200}, OutputTokens: Range{8, 60}, PrefixCount: 4, PrefixTokens: 512},
		{Account: "members", Tier: "urgent", Share: 0.06, PromptTokens: Range{100, 2000}, OutputTokens: Range{60, 400}, PrefixCount: 6, PrefixTokens: 1024},
		{Account: "drivers", Tier: "normal", Share: 0.35, PromptTokens: Range{40, 400}, OutputTokens: Range{10, 80}, PrefixCount: 6, PrefixTokens: 512},
		{Account: "desk", Tier: "normal", Share: 0.10, PromptTokens: Range{400, 6000}, OutputTokens: Range{100, 800}, PrefixCount: 8, PrefixTokens: 1024},
		{Account: "makers", Tier: "patient", Share: 0.35, PromptTokens: Range{40, 1000}, OutputTokens: Range{8, 100}, PrefixCount: 12, PrefixTokens: 1024},
	}
}

// Arrivals returns a random workload, sorted by time: a Poisson process of rate requests per second, each to an entry
// chosen at random.
func Arrivals(classes []Class, rate float64, duration time.Duration, entries int, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	var arrivals []Arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= duration.Seconds() {
			return arrivals
		}
		class := pickClass(classes, random.Float64())
		arrivals = append(arrivals, Arrival{
			At: time.Duration(at * float64(time.Second)), Entry: random.IntN(entries),
			Class: class, Request: class.newRequest(len(arrivals), random),
		})
	}
}

// pickClass returns the class at a position, from 0 to 1, of the cumulated shares, so that a uniformly random position
// picks each class in proportion to its share.
func pickClass(classes []Class, position float64) *Class {
	total := 0.0
	for i := range classes {
		total += classes[i].Share
	}
	position *= total
	for i := range classes {
		if position -= classes[i].Share; position < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

// newRequest returns a request of the class; its number makes the prompt unique after the prefix.
func (c *Class) newRequest(number int, random *rand.Rand) fleet.CompletionRequest {
	var prompt strings.Builder
	if c.PrefixCount > 0 {
		prefix := fmt.Sprintf("%s beginning %d. ", c.Account, random.IntN(c.PrefixCount))
		prompt.WriteString(repeatTo(prefix, c.PrefixTokens*bytesPerToken))
	}
	prompt.WriteString(repeatTo(fmt.Sprintf("request %d ", number), c.PromptTokens.sample(random)*bytesPerToken))
	output := c.OutputTokens.sample(random)
	return fleet.CompletionRequest{Account: c.Account, Prompt: prompt.String(), OutputTokens: output, MaxTokens: min(2*output, 1500)}
}

// repeatTo repeats the text up to a size in bytes.
func repeatTo(text string, size int) string {
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// Capacity estimates the requests per second that saturate the engines at a mean inter-token latency of 30 ms. In each
// 30 ms an engine takes the fixed time of one decode step. The rest of the time goes to prefill and to what each
// running request adds to the step.
func Capacity(classes []Class, engines []fleet.Engine) float64 {
	prompt, output, total := 0.0, 0.0, 0.0
	for _, class := range classes {
		prompt += class.Share * (class.PromptTokens.Mean() + float64(class.PrefixTokens)*prefixMissRatio)
		output += class.Share * class.OutputTokens.Mean()
		total += class.Share
	}
	rate := 0.0
	for _, engine := range engines {
		profile := engine.Profile
		remaining := 1 - profile.StepMillis/interTokenLimitMillis
		rate += remaining / (profile.StepMillisPerRequest*output/total/1000 + prompt/total/profile.PrefillTokensPerSecond)
	}
	return rate
}

const (
	interTokenLimitMillis = 30.0
	// The assumed fraction of the shared prefixes' tokens that is not cached and must be computed.
	prefixMissRatio = 0.25
)
