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

// bytesPerToken is how the stand-in engines count prompts.
const bytesPerToken = 4

// Class is one kind of request of a client account.
type Class struct {
	Account      lovageshift.AccountID
	Tier         lovageshift.TierID
	Share        float64 // of all requests
	PromptTokens Range   // tokens of its own
	OutputTokens Range   // tokens
	PrefixCount  int     // how many shared beginnings there are
	PrefixTokens int     // tokens of a shared beginning
}

// Range is a range of sizes, drawn evenly over its orders of magnitude.
type Range struct{ Min, Max int }

func (r Range) draw(random *rand.Rand) int {
	spread := float64(r.Max) / float64(r.Min)
	return int(float64(r.Min) * math.Pow(spread, random.Float64()))
}

// Mean returns the mean of the sizes drawn.
func (r Range) Mean() float64 {
	if r.Max == r.Min {
		return float64(r.Min)
	}
	return float64(r.Max-r.Min) / math.Log(float64(r.Max)/float64(r.Min))
}

// Arrival is one request of a workload.
type Arrival struct {
	At      time.Duration
	Entry   int
	Class   *Class
	Request fleet.CompletionRequest
}

// MixedClasses returns the classes of five client accounts, with lengths a hundredfold apart and shared beginnings.
func MixedClasses() []Class {
	return []Class{
		{Account: "parents", Tier: "urgent", Share: 0.14, PromptTokens: Range{20, 200}, OutputTokens: Range{8, 60}, PrefixCount: 4, PrefixTokens: 512},
		{Account: "members", Tier: "urgent", Share: 0.06, PromptTokens: Range{100, 2000}, OutputTokens: Range{60, 400}, PrefixCount: 6, PrefixTokens: 1024},
		{Account: "drivers", Tier: "normal", Share: 0.35, PromptTokens: Range{40, 400}, OutputTokens: Range{10, 80}, PrefixCount: 6, PrefixTokens: 512},
		{Account: "desk", Tier: "normal", Share: 0.10, PromptTokens: Range{400, 6000}, OutputTokens: Range{100, 800}, PrefixCount: 8, PrefixTokens: 1024},
		{Account: "makers", Tier: "patient", Share: 0.35, PromptTokens: Range{40, 1000}, OutputTokens: Range{8, 100}, PrefixCount: 12, PrefixTokens: 1024},
	}
}

// Arrivals draws a workload of rate requests a second, at random times, over the entries.
func Arrivals(classes []Class, rate float64, length time.Duration, entries int, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 7))
	var arrivals []Arrival
	for at := 0.0; ; {
		at += random.ExpFloat64() / rate
		if at >= length.Seconds() {
			return arrivals
		}
		class := pick(classes, random.Float64())
		arrivals = append(arrivals, Arrival{
			At: time.Duration(at * float64(time.Second)), Entry: random.IntN(entries),
			Class: class, Request: class.ask(len(arrivals), random),
		})
	}
}

func pick(classes []Class, at float64) *Class {
	total := 0.0
	for i := range classes {
		total += classes[i].Share
	}
	at *= total
	for i := range classes {
		if at -= classes[i].Share; at < 0 {
			return &classes[i]
		}
	}
	return &classes[len(classes)-1]
}

func (c *Class) ask(number int, random *rand.Rand) fleet.CompletionRequest {
	var prompt strings.Builder
	if c.PrefixCount > 0 {
		prefix := fmt.Sprintf("%s beginning %d. ", c.Account, random.IntN(c.PrefixCount))
		prompt.WriteString(repeat(prefix, c.PrefixTokens*bytesPerToken))
	}
	prompt.WriteString(repeat(fmt.Sprintf("request %d ", number), c.PromptTokens.draw(random)*bytesPerToken))
	output := c.OutputTokens.draw(random)
	return fleet.CompletionRequest{Account: c.Account, Prompt: prompt.String(), OutputTokens: output, MaxTokens: min(2*output, 1500)}
}

func repeat(text string, size int) string {
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// Capacity returns the requests a second that keep the engines just busy with a mean gap between tokens
// of 30 ms. Of each 30 ms an engine spends one step on decoding and the rest on prompts.
func Capacity(classes []Class, engines []fleet.Engine) float64 {
	prompt, output, total := 0.0, 0.0, 0.0
	for _, class := range classes {
		prompt += class.Share * (class.PromptTokens.Mean() + float64(class.PrefixTokens)*prefixMisses)
		output += class.Share * class.OutputTokens.Mean()
		total += class.Share
	}
	rate := 0.0
	for _, engine := range engines {
		profile := engine.Profile
		left := 1 - profile.StepMillis/gapLimit
		rate += left / (profile.StepMillisPerRequest*output/total/1000 + prompt/total/profile.PrefillTokensPerSecond)
	}
	return rate
}

const (
	gapLimit = 30.0 // milliseconds
	// The part of shared beginnings that is reckoned to be computed.
	prefixMisses = 0.25
)
