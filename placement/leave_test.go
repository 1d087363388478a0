package placement_test

import (
	"testing"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/placement"
)

// contend lets an urgent request arrive at each of the steps and a stream at each step of an interval, at the end of which one slot
// comes free, and returns how many of the slots of the second half of the steps streams got. Before each step it lets streams
// arrive and leave.
func contend(steps, interval, leaving int, leave func(s *placement.Scheduler, now lovageshift.Millis, sub *submission)) int {
	s := newScheduler(&catalog.Service{ID: pool, Engine: true}, targets(1, 1)...)
	now := lovageshift.Millis(1)
	newJob := func(rank lovageshift.Rank) *placement.Job {
		return &placement.Job{Rank: rank, QueueDeadline: 1_000_000, ExpectedOutput: 1000, Resumes: rank > 0}
	}
	all := []*submission{submit(s, now, newJob(0))}
	isStream := map[*submission]bool{}
	streams := 0
	for step := range steps {
		now += 100
		for range leaving {
			job := newJob(1)
			job.QueueDeadline = now + 1
			leave(s, now, submit(s, now, job))
		}
		all = append(all, submit(s, now, newJob(0)))
		if step%interval == 0 {
			sub := submit(s, now, newJob(1))
			all, isStream[sub] = append(all, sub), true
		}
		for _, sub := range all {
			if sub.Slot != nil {
				s.Release(now, sub.Slot, placement.Result{Outcome: placement.Served})
				if step >= steps/2 && isStream[sub] {
					streams++
				}
				sub.Slot = nil
				break
			}
		}
	}
	return streams
}

// TestStreamsGetTheirShareHoweverOthersLeft guards against a count of the waiting streams that drifts.
func TestStreamsGetTheirShareHoweverOthersLeft(t *testing.T) {
	const steps = 200
	for name, leave := range map[string]func(*placement.Scheduler, lovageshift.Millis, *submission){
		"canceled": func(s *placement.Scheduler, _ lovageshift.Millis, sub *submission) { s.Cancel(sub.waiter) },
		"refused":  func(s *placement.Scheduler, now lovageshift.Millis, _ *submission) { s.Tick(now + 1) },
	} {
		for _, interval := range []int{1, 4} {
			for _, leaving := range []int{0, 1, 5} {
				streams := contend(steps, interval, leaving, leave)
				t.Logf("a stream every %d steps, %d %s: streams got %d of %d slots", interval, leaving, name, streams, steps/2)
				if streams < steps/2/max(interval, 3)*4/5 || streams > steps/4+2 {
					t.Errorf("a stream every %d steps, %d %s: streams got %d of %d slots", interval, leaving, name, streams, steps/2)
				}
			}
		}
	}
}
