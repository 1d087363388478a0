package admission

import (
	"lovageshift"
)

const (
	// If a first token takes longer than coldStartFactor times the expected time plus coldStartSlackMillis, the engine
	// counts as cold.
	coldStartFactor      = 4
	coldStartSlackMillis = 250
	// Weight of a new sample in the moving average of the prefill speed, from 0 to 1.
	prefillSpeedWeight = 0.4
	// Prompts with fewer tokens to compute are no sample of the prefill speed.
	minSpeedTokens = 128
	// Inter-token latency above latencyHighShare of its bound reduces the latency limit to this share of itself, or of the
	// running requests if they are fewer.
	latencyBackoff = 0.93
	// Weight of a window's mean in the moving average of the inter-token latency, and the window's length in
	// milliseconds.
	latencyWeight       = 0.4
	latencyWindowMillis = 250
	// Shares of the bound on the inter-token latency above which the latency limit shrinks and below which it may grow.
	latencyHighShare = 0.88
	latencyLowShare  = 0.78
	latencyGrowth    = 0.5 // requests per window
)

// Epoch numbers the warm-ups of a target: each reset to the cold limit begins the next one. Requests admitted in an earlier
// epoch don't raise the limit, as they say nothing about the engine's present state.
type Epoch int

// ConcurrencyLimiter decides how many requests a target runs at once. Its warm-up limit starts at the cold limit and grows
// by one for each complete answer to a request of the present epoch, up to the maximum. Its latency limit follows the
// inter-token latency. The lower of the two applies, but never less than the cold limit.
type ConcurrencyLimiter struct {
	coldLimit, maxLimit int
	warmUpLimit         int     // requests at once that the target can handle, as shown in the present epoch
	latencyLimit        float64 // requests at once that keep the inter-token latency within its bound
	epoch               Epoch
	engineIncarnation   string
	prefillSpeed        float64 // moving average in prompt tokens per millisecond, 0 if unknown
	interTokenLatency   float64 // moving average in milliseconds, 0 if unknown
	cold                bool    // the warm-up limit has not yet grown to the maximum in the present epoch

	// Inter-token latencies of the present window: their sum in milliseconds, and how many there are.
	latencySum, latencyCount float64
	latencyWindowStart       lovageshift.Millis
}

// NewConcurrencyLimiter returns the limiter of a cold target, which allows coldLimit requests at once now and up to
// maxLimit when it is warm.
func NewConcurrencyLimiter(coldLimit, maxLimit int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{
		coldLimit: coldLimit, maxLimit: maxLimit, warmUpLimit: coldLimit, latencyLimit: float64(maxLimit), cold: true,
	}
}

// SetLimits changes the cold limit and the maximum, both in requests at once. A new maximum also becomes the latency limit.
func (l *ConcurrencyLimiter) SetLimits(coldLimit, maxLimit int) {
	if maxLimit != l.maxLimit {
		l.latencyLimit = float64(maxLimit)
	}
	l.coldLimit, l.maxLimit = coldLimit, maxLimit
	l.warmUpLimit = min(max(l.warmUpLimit, coldLimit), maxLimit)
}

// Limit returns how many requests may run at once.
func (l *ConcurrencyLimiter) Limit() int {
	return max(min(l.warmUpLimit, int(l.latencyLimit)), l.coldLimit)
}

// Epoch returns the number of the present epoch, from 0.
func (l *ConcurrencyLimiter) Epoch() Epoch { return l.epoch }

// Cold reports whether the target is still warming up, that is, no complete answer of the present epoch has brought the
// warm-up limit to the maximum yet.
func (l *ConcurrencyLimiter) Cold() bool { return l.cold }

// PrefillSpeed returns the measured prefill speed in prompt tokens per second, or 0 if there has been no sample in the
// present epoch.
func (l *ConcurrencyLimiter) PrefillSpeed() float64 { return l.prefillSpeed * 1000 }

// InterTokenLatency returns the measured mean inter-token latency in milliseconds, or 0 before the first window has ended.
// Resets to cold keep it.
func (l *ConcurrencyLimiter) InterTokenLatency() float64 { return l.interTokenLatency }

// ResetToCold sets the warm-up limit to the cold limit, forgets the prefill speed and begins a new epoch.
func (l *ConcurrencyLimiter) ResetToCold() {
	l.warmUpLimit = l.coldLimit
	l.cold = true
	l.epoch++
	l.prefillSpeed = 0
}

// ObserveEngine records the engine's incarnation and reports whether it has changed, which resets the limiter to cold. The
// first incarnation is no change, and an empty one is ignored.
func (l *ConcurrencyLimiter) ObserveEngine(incarnation string) bool {
	if incarnation == "" || incarnation == l.engineIncarnation {
		return false
	}
	first := l.engineIncarnation == ""
	l.engineIncarnation = incarnation
	if first {
		return false
	}
	l.ResetToCold()
	return true
}

// ObserveFirstToken records a first token that came elapsed milliseconds after admission, with at most prefillAhead
// prompt tokens to compute before it. It reports whether the token came so late that the engine counts as cold, which
// resets the limiter. It has no effect while the target is cold anyway or its prefill speed unknown.
func (l *ConcurrencyLimiter) ObserveFirstToken(prefillAhead lovageshift.Tokens, elapsed lovageshift.Millis) bool {
	if l.prefillSpeed == 0 || l.cold {
		return false
	}
	expected := float64(prefillAhead)/l.prefillSpeed + l.interTokenLatency
	if float64(elapsed) <= coldStartFactor*expected+coldStartSlackMillis {
		return false
	}
	l.ResetToCold()
	return true
}

// ObservePrefill records that the target computed the given number of prompt tokens for one request, with no other prompt
// in prefill, in the elapsed milliseconds from admission to the first token.
func (l *ConcurrencyLimiter) ObservePrefill(tokens lovageshift.Tokens, elapsed lovageshift.Millis) {
	// A short prompt's time is mostly that of the engine step it joins, and says little about the prefill speed.
	if tokens < minSpeedTokens {
		return
	}
	computing := max(float64(elapsed)-l.interTokenLatency, 1)
	l.prefillSpeed = ewma(l.prefillSpeed, float64(tokens)/computing, prefillSpeedWeight)
}

// ObserveCompletion raises the warm-up limit by one, up to the maximum, for a complete answer to a request admitted in the
// given epoch. It has no effect if that isn't the present epoch.
func (l *ConcurrencyLimiter) ObserveCompletion(epoch Epoch) {
	if epoch != l.epoch {
		return
	}
	l.warmUpLimit = min(l.warmUpLimit+1, l.maxLimit)
	if l.warmUpLimit == l.maxLimit {
		l.cold = false
	}
}

// ObserveInterTokenLatency records the latency, in milliseconds, between two tokens of one answer. At the end of each
// window it adjusts the latency limit by the moving average of the windows' mean latencies: down if the average is above
// latencyHighShare of the bound, and up if it is below latencyLowShare and as many requests run as may. The bound is in
// milliseconds; 0 means none.
func (l *ConcurrencyLimiter) ObserveInterTokenLatency(now lovageshift.Millis, latency float64, bound lovageshift.Millis, running int) {
	l.latencySum += latency
	l.latencyCount++
	if now-l.latencyWindowStart < latencyWindowMillis {
		return
	}
	l.interTokenLatency = ewma(l.interTokenLatency, l.latencySum/l.latencyCount, latencyWeight)
	l.latencySum, l.latencyCount, l.latencyWindowStart = 0, 0, now
	switch {
	case bound <= 0:
	case l.interTokenLatency > latencyHighShare*float64(bound):
		l.latencyLimit = max(min(l.latencyLimit, float64(running))*latencyBackoff, float64(l.coldLimit))
	case l.interTokenLatency < latencyLowShare*float64(bound) && running >= l.Limit():
		l.latencyLimit = min(l.latencyLimit+latencyGrowth, float64(l.maxLimit))
	}
}

// ewma returns the exponentially weighted moving average after a new sample; a mean of 0 means that this is the first.
func ewma(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}
