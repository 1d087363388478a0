package retry_test

import (
	"testing"

	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/retry"
)

// TestRetriesInAnyWindow simulates entries that exchange no messages and retry whenever their own budget allows it. In
// every window the retries of all entries together must stay within the bounds. The bounds are computed from the number
// of requests in that window or in the one before it, whichever is higher: an entry decides on a retry early in a
// window by requests that came before that window.
func TestRetriesInAnyWindow(t *testing.T) {
	bounds := retry.Bounds{Ratio: 0.2, Slack: 52, Window: 10_000}
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 30).Draw(t, "entries")
		var budgets []*retry.WindowBudget
		for range count {
			budget := retry.NewWindowBudget(bounds)
			budget.SetEntries(count)
			budgets = append(budgets, budget)
		}
		const step, steps = 100, 400
		var requests, retries [steps]int
		for i := range steps {
			now := lovageshift.Millis(i * step)
			for _, budget := range budgets {
				for range rapid.IntRange(0, 2).Draw(t, "requests") {
					budget.RecordRequest(now, "pool")
					requests[i]++
				}
				if budget.Spend(now, "pool") {
					retries[i]++
				}
			}
		}
		const width = 10_000 / step
		for first := range steps - width {
			requested, retried := 0, 0
			for i := first; i < first+width; i++ {
				requested += requests[i]
				retried += retries[i]
			}
			if previous := sum(requests[max(first-width, 0):first]); previous > requested {
				requested = previous
			}
			if float64(retried) > bounds.Ratio*float64(requested)+bounds.Slack {
				t.Fatalf("%d retries for %d requests", retried, requested)
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
