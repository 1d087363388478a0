package placement

import "lovageshift"

const (
	// Granted slots and submitted requests are counted over a sliding window of this length, in steps of rateStep.
	rateWindow lovageshift.Millis = 1000
	rateStep   lovageshift.Millis = 100
	rateSteps                     = int64(rateWindow / rateStep)
)

// rateMeter sums amounts over the last rateWindow, which it divides into rateSteps steps.
type rateMeter struct {
	step   int64          // number of the newest step, counted from time 0
	counts [rateSteps]int // sum of each step, at its number modulo rateSteps
}

// advance clears the steps that have left the window.
func (m *rateMeter) advance(now lovageshift.Millis) {
	step := int64(now / rateStep)
	for next := max(m.step+1, step-rateSteps+1); next <= step; next++ {
		m.counts[next%rateSteps] = 0
	}
	m.step = max(step, m.step)
}

func (m *rateMeter) add(now lovageshift.Millis, amount int) {
	m.advance(now)
	m.counts[m.step%rateSteps] += amount
}

// remove takes back an amount that was added at the given time.
func (m *rateMeter) remove(now, at lovageshift.Millis, amount int) {
	m.advance(now)
	if step := int64(at / rateStep); step > m.step-rateSteps {
		m.counts[step%rateSteps] -= amount
	}
}

func (m *rateMeter) perSecond(now lovageshift.Millis) float64 {
	m.advance(now)
	total := 0
	for _, count := range m.counts {
		total += count
	}
	return float64(total) / rateWindow.Seconds()
}
