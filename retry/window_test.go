package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/retry"
)

// TestSecondArrivalsInAnyWindow plays entries that know nothing of each other and retry whenever they may, and checks
// the bound over all of them in every window.
func TestSecondArrivalsInAnyWindow(t *testing.T) {
	bounds := retry.Bounds{Ratio: 0.2, Slack: 52, Window: 10_000}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "entries")
		var windows []*retry.WindowBudget
		for range count {
			window := retry.NewWindowBudget(bounds)
			window.SetEntries(count)
			windows = append(windows, window)
		}
		const step, steps = 100, 400
		var requests, seconds [steps]int
		for i := range steps {
			now := lovageshift.Millis(i * step)
			for _, window := range windows {
				for range rapid.IntRange(0, 2).Draw(t, "requests") {
					window.RecordRequest(now, "pool")
					requests[i]++
				}
				if window.Spend(now, "pool") {
					seconds[i]++
				}
			}
		}
		const width = 10_000 / step
		for first := range steps - width {
			asked, arrived := 0, 0
			for i := first; i < first+width; i++ {
				asked += requests[i]
				arrived += seconds[i]
			}
			if before := sum(requests[max(first-width, 0):first]); before > asked {
				asked = before
			}
			if float64(arrived) > bounds.Ratio*float64(asked)+bounds.Slack {
				t.Fatalf("%d second arrivals for %d requests", arrived, asked)
			}
		}
	})
}

func sum(counts []int) int {
	total := 0
	for _, count := range counts {
		total += count
	}
	return total
}
