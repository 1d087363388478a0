package placement_test

import (
	"fmt"
	"testing"

	"lovageshift/catalog"
	"lovageshift/placement"
)

// BenchmarkSubmit measures the assignment and release of one slot, in a service with 12 targets (one group) and in
// services with 54 and 600 (several groups).
func BenchmarkSubmit(b *testing.B) {
	for _, count := range []int{12, 54, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(count, 14)...)
			b.ReportAllocs()
			for b.Loop() {
				got := submit(s, 1, &placement.Job{PromptTokens: 6000, OutputTokens: 400})
				s.Release(2, got.Slot, placement.Result{Outcome: placement.Served, FirstEvent: 60})
			}
		})
	}
}
