package placement_test

import (
	"fmt"
	"testing"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
	"lovageshift/quota"
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

// BenchmarkOverload measures one release and one submission while 200 requests of 12 ranks wait, as on the coordinator of
// a group whose targets are all busy.
func BenchmarkOverload(b *testing.B) {
	measureOverload(b, 200, func(i int) placement.Job { return placement.Job{Rank: lovageshift.Rank(i % 12)} })
}

// BenchmarkSharing measures the same while 100 requests of 16 accounts wait, all of one rank.
func BenchmarkSharing(b *testing.B) {
	measureOverload(b, 100, func(i int) placement.Job {
		return placement.Job{Account: quota.AccountHash(i % 16), Weight: float64(1 + i%3)}
	})
}

func measureOverload(b *testing.B, waiting int, jobOf func(int) placement.Job) {
	s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(24, 8)...)
	const patience = 1 << 40 // ms, so that nobody is refused
	wait := func(i int) *submission {
		job := jobOf(i)
		job.PromptTokens, job.OutputTokens, job.QueueDeadline = 6000, 400, patience
		return submit(s, 1, &job)
	}
	var submitted []*submission
	for i := range 24*8 + waiting {
		submitted = append(submitted, wait(i))
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for j, sub := range submitted {
			if sub.Slot != nil {
				s.Release(2, sub.Slot, placement.Result{Outcome: placement.Served, FirstEvent: 60})
				submitted[j] = wait(i)
				break
			}
		}
	}
}
