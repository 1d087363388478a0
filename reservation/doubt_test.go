package reservation_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"lovageshift/placement"
)

// TestStreamGetsTheTargetThatItsEntryDoubtedForAMoment guards against passing over a target for good because the entry doubted,
// for a moment longer than the coordinator, that it had not restarted.
func TestStreamGetsTheTargetThatItsEntryDoubtedForAMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, entries := newNetwork(3, 1, 4)
		coordinator, other := coordinatorAndOther(entries)
		held := other.reserve(100)
		if held.Slot == nil {
			t.Fatal("no slot")
		}
		other.scheduler.Release(n.clock.Now(), held.Slot, placement.Result{Outcome: placement.ConnectionLost})
		time.Sleep(5 * time.Millisecond)
		coordinator.scheduler.ConfirmIncarnation(n.clock.Now(), n.clock.Now()-1, "a", 0)
		time.AfterFunc(50*time.Millisecond, func() {
			other.scheduler.ConfirmIncarnation(n.clock.Now(), n.clock.Now()-1, "a", 0)
		})
		now := n.clock.Now()
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		decision := other.client.Reserve(ctx, &placement.Job{
			Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + 1500, Resumes: true, HasVersion: true,
		})
		if decision.Slot == nil {
			t.Errorf("refused after %d ms", n.clock.Now()-now)
		}
	})
}

// TestCoordinatorKnowsWhichRequestsGoOnWithStreams guards against refusing a stream by the estimate that is for new requests.
func TestCoordinatorKnowsWhichRequestsGoOnWithStreams(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n, entries := newNetwork(3, 1, 1)
		coordinator, other := coordinatorAndOther(entries)
		held := coordinator.reserve(100)
		time.AfterFunc(100*time.Millisecond, func() {
			coordinator.scheduler.Release(n.clock.Now(), held.Slot, placement.Result{Outcome: placement.Served})
		})
		for _, resumes := range []bool{false, true} {
			now := n.clock.Now()
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			decision := other.client.Reserve(ctx, &placement.Job{
				Service: pool, Arrived: now, Objective: 500, QueueDeadline: now + 300, Resumes: resumes, HasVersion: true,
			})
			cancel()
			if (decision.Slot != nil) != resumes {
				t.Errorf("goes on with a stream: %t, got a slot: %t", resumes, decision.Slot != nil)
			}
		}
	})
}
