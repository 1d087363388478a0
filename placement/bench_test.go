package placement_test

import (
	"fmt"
	"testing"

	"lovageshift/catalog"
	"lovageshift/placement"
)

// BenchmarkPlace measures one decision and its return, over the targets of one group and of a whole service.
func BenchmarkPlace(b *testing.B) {
	for _, count := range []int{12, 54, 600} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			desk := newDesk(&catalog.Service{ID: pool, Engine: true}, targets(count, 14)...)
			b.ReportAllocs()
			for b.Loop() {
				got := enter(desk, 1, &placement.Job{PromptTokens: 6000, OutputTokens: 400})
				desk.Release(2, got.Slot, placement.Result{Outcome: placement.Served, FirstEvent: 60})
			}
		})
	}
}
