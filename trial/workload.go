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
	Account  lovageshift.AccountID
	Tier     lovageshift.TierID
	Share    float64 // of all requests
	Prompt   Range   // tokens of its own
	Output   Range   // tokens
	Prefixes int     // how many shared beginnings there are
	Prefix   int     // tokens of a shared beginning
}

// Range is a range of sizes, drawn evenly over its orders of magnitude.
type Range struct{ Least, Most int }

func (r Range) draw(random *rand.Rand) int {
	spread := float64(r.Most) / float64(r.Least)
	return int(float64(r.Least) * math.Pow(spread, random.Float64()))
}

// Mean returns the mean of the sizes drawn.
func (r Range) Mean() float64 {
	if r.Most == r.Least {
		return float64(r.Least)
	}
	return float64(r.Most-r.Least) / math.Log(float64(r.Most)/float64(r.Least))
}

// Arrival is one request of a workload.
type Arrival struct {
	At    time.Duration
	Entry int
	Class *Class
	Ask   fleet.Ask
}

// Mixed returns the classes of five client accounts, with lengths a hundredfold apart and shared beginnings.
func Mixed() []Class {
	return []Class{
		{Account: "parents", Tier: "urgent", Share: 0.14, Prompt: Range{20, 200}, Output: Range{8, 60}, Prefixes: 4, Prefix: 512},
		{Account: "members", Tier: "urgent", Share: 0.06, Prompt: Range{100, 2000}, Output: Range{60, 400}, Prefixes: 6, Prefix: 1024},
		{Account: "drivers", Tier: "normal", Share: 0.35, Prompt: Range{40, 400}, Output: Range{10, 80}, Prefixes: 6, Prefix: 512},
		{Account: "desk", Tier: "normal", Share: 0.10, Prompt: Range{400, 6000}, Output: Range{100, 800}, Prefixes: 8, Prefix: 1024},
		{Account: "makers", Tier: "patient", Share: 0.35, Prompt: Range{40, 1000}, Output: Range{8, 100}, Prefixes: 12, Prefix: 1024},
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
			Class: class, Ask: class.ask(len(arrivals), random),
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

func (c *Class) ask(number int, random *rand.Rand) fleet.Ask {
	var prompt strings.Builder
	if c.Prefixes > 0 {
		prefix := fmt.Sprintf("%s beginning %d. ", c.Account, random.IntN(c.Prefixes))
		prompt.WriteString(repeat(prefix, c.Prefix*bytesPerToken))
	}
	prompt.WriteString(repeat(fmt.Sprintf("request %d ", number), c.Prompt.draw(random)*bytesPerToken))
	output := c.Output.draw(random)
	return fleet.Ask{Account: c.Account, Prompt: prompt.String(), Tokens: output, Limit: min(2*output, 1500)}
}

func repeat(text string, size int) string {
	return strings.Repeat(text, size/len(text)+1)[:size]
}

// Capacity returns the requests a second that keep the engines just busy with a mean gap between tokens
// of 30 ms. Of each 30 ms an engine spends one step on decoding and the rest on prompts.
func Capacity(classes []Class, engines []fleet.Engine) float64 {
	prompt, output, total := 0.0, 0.0, 0.0
	for _, class := range classes {
		prompt += class.Share * (class.Prompt.Mean() + float64(class.Prefix)*prefixMisses)
		output += class.Share * class.Output.Mean()
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
