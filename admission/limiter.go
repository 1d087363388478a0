package admission

import (
	"lovageshift"
)

const (
	// A first token this many times later than expected marks a cold engine.
	coldFactor      = 4
	coldSlackMillis = 250
	speedWeight     = 0.4
	speedTokens     = 128
	// Gaps near the bound shrink the number of running requests to this share.
	gapBackoff = 0.93
	gapWeight  = 0.4
	gapWindow  = 250 // milliseconds
	// Shares of the bound above which the limit shrinks and below which it may grow.
	gapCeiling = 0.88
	gapFloor   = 0.78
	gapGrowth  = 0.5 // requests a window
)

// Epoch numbers the warm-ups of a target; work admitted in an earlier one proves nothing.
type Epoch int

// ConcurrencyLimiter is how many requests at once a target bears.
type ConcurrencyLimiter struct {
	cold, most int
	proven     int     // requests at once that the present warm-up has shown it to bear
	steer      float64 // requests at once that keep the gaps between tokens
	epoch      Epoch
	engine     string
	speed      float64 // prompt tokens per millisecond
	gap        float64 // milliseconds between tokens
	warming    bool

	// The gaps of the present window.
	gapSum, gapCount float64
	gapStart         lovageshift.Millis
}

// NewConcurrencyLimiter returns a cold target that bears cold requests now and at most most.
func NewConcurrencyLimiter(cold, most int) *ConcurrencyLimiter {
	return &ConcurrencyLimiter{cold: cold, most: most, proven: cold, steer: float64(most), warming: true}
}

// SetLimits changes the cold limit and the most requests, counted in requests.
func (w *ConcurrencyLimiter) SetLimits(cold, most int) {
	if most != w.most {
		w.steer = float64(most)
	}
	w.cold, w.most = cold, most
	w.proven = min(max(w.proven, cold), most)
}

// Limit returns how many requests may run at once.
func (w *ConcurrencyLimiter) Limit() int { return max(min(w.proven, int(w.steer)), w.cold) }

// Epoch returns the present warm-up.
func (w *ConcurrencyLimiter) Epoch() Epoch { return w.epoch }

// Cold reports whether the target is still warming up.
func (w *ConcurrencyLimiter) Cold() bool { return w.warming }

// PrefillSpeed returns the measured prompt tokens per second, or 0 before the first answer.
func (w *ConcurrencyLimiter) PrefillSpeed() float64 { return w.speed * 1000 }

// InterTokenLatency returns the measured milliseconds between tokens, or 0 before the first answer.
func (w *ConcurrencyLimiter) InterTokenLatency() float64 { return w.gap }

// ResetToCold falls back to the cold limit and begins a new warm-up.
func (w *ConcurrencyLimiter) ResetToCold() {
	w.proven = w.cold
	w.warming = true
	w.epoch++
	w.speed = 0
}

// ObserveEngine records the engine's incarnation and reports whether a new one made the target cold.
func (w *ConcurrencyLimiter) ObserveEngine(incarnation string) bool {
	if incarnation == "" || incarnation == w.engine {
		return false
	}
	first := w.engine == ""
	w.engine = incarnation
	if first {
		return false
	}
	w.ResetToCold()
	return true
}

// ObserveFirstToken records a first token after elapsed milliseconds with at most ahead prompt tokens to compute before it, and reports whether it shows a cold engine.
func (w *ConcurrencyLimiter) ObserveFirstToken(ahead lovageshift.Tokens, elapsed lovageshift.Millis) bool {
	if w.speed == 0 || w.warming {
		return false
	}
	expected := float64(ahead)/w.speed + w.gap
	if float64(elapsed) <= coldFactor*expected+coldSlackMillis {
		return false
	}
	w.ResetToCold()
	return true
}

// ObservePrefill records that the target computed prompt tokens for one request alone in the milliseconds until its first token.
func (w *ConcurrencyLimiter) ObservePrefill(tokens lovageshift.Tokens, elapsed lovageshift.Millis) {
	// A short prompt's time is mostly the step that it joins, and says little of the speed.
	if tokens < speedTokens {
		return
	}
	computing := max(float64(elapsed)-w.gap, 1)
	w.speed = blend(w.speed, float64(tokens)/computing, speedWeight)
}

// ObserveCompletion raises the limit by one for a whole answer that was admitted in the present warm-up.
func (w *ConcurrencyLimiter) ObserveCompletion(epoch Epoch) {
	if epoch != w.epoch {
		return
	}
	w.proven = min(w.proven+1, w.most)
	if w.proven == w.most {
		w.warming = false
	}
}

// ObserveInterTokenLatency records the milliseconds between two tokens of one answer while so many requests run. The mean over
// a short window steers the limit: down near the bound, and up below it while the limit is in use.
func (w *ConcurrencyLimiter) ObserveInterTokenLatency(now lovageshift.Millis, gap float64, bound lovageshift.Millis, running int) {
	w.gapSum += gap
	w.gapCount++
	if now-w.gapStart < gapWindow {
		return
	}
	w.gap = blend(w.gap, w.gapSum/w.gapCount, gapWeight)
	w.gapSum, w.gapCount, w.gapStart = 0, 0, now
	switch {
	case bound <= 0:
	case w.gap > gapCeiling*float64(bound):
		w.steer = max(min(w.steer, float64(running))*gapBackoff, float64(w.cold))
	case w.gap < gapFloor*float64(bound) && running >= w.Limit():
		w.steer = min(w.steer+gapGrowth, float64(w.most))
	}
}

func blend(old, latest, weight float64) float64 {
	if old == 0 {
		return latest
	}
	return old + weight*(latest-old)
}
