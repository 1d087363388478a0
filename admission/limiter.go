package admission

import (
	"lovageshift"
)

const (
	// If a first token takes longer than coldStartFactor times the time expected at the measured prefill speed, plus
	// coldStartSlackMillis, the target is taken to be cold; see ConcurrencyLimiter.
	coldStartFactor      = 4
	coldStartSlackMillis = 250
	// Weight of a new sample in the moving average of the prefill speed, from 0 to 1.
	prefillSpeedWeight = 0.4
	// Requests for which the target computed fewer prompt tokens are not used to measure the prefill speed.
	minSpeedTokens = 128
	// While the inter-token latency is above latencyHighShare of its bound, each window sets the latency limit to this
	// factor times its value or times the number of running requests, whichever is lower, but not below the cold limit.
	latencyBackoff = 0.93
	// Inter-token latencies are averaged over windows of latencyWindowMillis. latencyWeight is the weight of one window's
	// mean in the moving average, from 0 to 1.
	latencyWeight       = 0.4
	latencyWindowMillis = 250
	// The latency limit shrinks while the inter-token latency is above latencyHighShare of its bound, and may grow while
	// it is below latencyLowShare of the bound.
	latencyHighShare = 0.88
	latencyLowShare  = 0.78
	latencyGrowth    = 0.5 // requests by which the latency limit grows in a window
)

// Epoch is the number of a target's warm-up, from 0: each reset to the cold limit begins the next one. Answers to requests
// admitted in an earlier epoch don't raise the warm-up limit, as they say nothing about the engine's present state.
type Epoch int

// ConcurrencyLimiter decides how many requests a target runs at once. Its warm-up limit starts at the cold limit and grows
// by one for each complete answer to a request that was admitted in the present epoch, up to the maximum. The target is
// cold, that is, warming up, from the start of an epoch until such an answer brings the warm-up limit to the maximum. The
// latency limit keeps the inter-token latency within its bound. The lower of the two limits applies, or the cold limit if
// both are below it.
type ConcurrencyLimiter struct {
	coldLimit, maxLimit int
	warmUpLimit         int     // in requests at once
	latencyLimit        float64 // in requests at once
	epoch               Epoch
	engineIncarnation   string
	prefillSpeed        float64 // moving average in prompt tokens per millisecond, 0 if unknown
	interTokenLatency   float64 // moving average in milliseconds, 0 if unknown
	cold                bool    // no answer in the present epoch has brought the warm-up limit to the maximum yet

	// Inter-token latencies of the present window, of latencyWindowMillis: their sum in milliseconds, and their number.
	latencySum, latencyCount float64
	latencyWindowStart       lovageshift.Millis
}

// NewConcurrencyLimiter returns the limiter of a cold target. It allows coldLimit requests at once at first, and at most
// maxLimit later.
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

// Cold reports whether the target is still cold, that is, no complete answer to a request that was admitted in the present
// epoch has brought the warm-up limit to the maximum yet.
func (l *ConcurrencyLimiter) Cold() bool { return l.cold }

// PrefillSpeed returns the measured prefill speed in prompt tokens per second, or 0 if it has not been measured in the
// present epoch.
func (l *ConcurrencyLimiter) PrefillSpeed() float64 { return l.prefillSpeed * 1000 }

// InterTokenLatency returns the measured mean inter-token latency in milliseconds, or 0 before the first window has ended.
// ResetToCold does not change it.
func (l *ConcurrencyLimiter) InterTokenLatency() float64 { return l.interTokenLatency }

// ResetToCold sets the warm-up limit to the cold limit, forgets the prefill speed and begins a new epoch.
func (l *ConcurrencyLimiter) ResetToCold() {
	l.warmUpLimit = l.coldLimit
	l.cold = true
	l.epoch++
	l.prefillSpeed = 0
}

// ObserveEngine records the engine's incarnation. If another one was recorded before, ObserveEngine resets the limiter to
// cold and returns true. An empty incarnation is ignored.
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

// ObserveFirstToken compares the time to a request's first token, the elapsed milliseconds since the request was admitted,
// with the time expected at the measured prefill speed. The target had to compute at most promptTokens before the first
// token: those of the request and of the others in prefill when it was admitted. If the token came so late that the target
// is taken to be cold, ObserveFirstToken resets the limiter to cold and returns true. It has no effect while the target is
// already cold or its prefill speed unknown.
func (l *ConcurrencyLimiter) ObserveFirstToken(promptTokens lovageshift.Tokens, elapsed lovageshift.Millis) bool {
	if l.prefillSpeed == 0 || l.cold {
		return false
	}
	expected := float64(promptTokens)/l.prefillSpeed + l.interTokenLatency
	if float64(elapsed) <= coldStartFactor*expected+coldStartSlackMillis {
		return false
	}
	l.ResetToCold()
	return true
}

// ObservePrefill updates the measured prefill speed with one request: the target computed the given number of prompt
// tokens for it, with no other prompt in prefill, and its first token came elapsed milliseconds after its admission.
func (l *ConcurrencyLimiter) ObservePrefill(tokens lovageshift.Tokens, elapsed lovageshift.Millis) {
	// The time for few tokens is mostly that of the engine step which they join, and says little about the prefill speed.
	if tokens < minSpeedTokens {
		return
	}
	computing := max(float64(elapsed)-l.interTokenLatency, 1)
	l.prefillSpeed = ewma(l.prefillSpeed, float64(tokens)/computing, prefillSpeedWeight)
}

// ObserveCompletion raises the warm-up limit by one, up to the maximum, for a complete answer to a request admitted in the
// given epoch. It has no effect if the request was admitted in an earlier epoch.
func (l *ConcurrencyLimiter) ObserveCompletion(epoch Epoch) {
	if epoch != l.epoch {
		return
	}
	l.warmUpLimit = min(l.warmUpLimit+1, l.maxLimit)
	if l.warmUpLimit == l.maxLimit {
		l.cold = false
	}
}

// ObserveInterTokenLatency records the latency, in milliseconds, between two tokens of one answer, while the given number
// of requests are running. At the end of each window it adds the window's mean to the moving average and adjusts the
// latency limit: it lowers the limit if the average is above latencyHighShare of the bound, and raises it if the average is
// below latencyLowShare of the bound and at least Limit requests are running. The bound is in milliseconds; 0 means that
// there is none.
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

// ewma returns the exponentially weighted moving average after a new sample. A mean of 0 stands for no earlier sample.
func ewma(mean, sample, weight float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + weight*(sample-mean)
}
