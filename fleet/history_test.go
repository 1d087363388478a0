package fleet_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"golang.org/x/sync/errgroup"

	"lovageshift/fleet"
)

// depositObservation is what one attempt of a deposit observed, or how often the deposit ran in the end.
type depositObservation int

const (
	replyAnswered depositObservation = iota
	replyNotRun
	replyUnknown
	ranZeroTimes // by the services' own counts, at the end
	ranOnce      // likewise
)

// depositModel models one deposit that runs at most once. Its state is the number of runs, 0 or 1: an answer means that
// the deposit has run, "not run" leaves the state unchanged, and after an unknown outcome it may or may not have run.
func depositModel() porcupine.Model {
	model := porcupine.NondeterministicModel{
		Init: func() []any { return []any{0} },
		Step: func(state, _, output any) []any {
			runs := state.(int)
			switch output.(depositObservation) {
			case replyAnswered:
				return []any{1}
			case replyNotRun:
				return []any{runs}
			case ranZeroTimes, ranOnce:
				if runs != int(output.(depositObservation)-ranZeroTimes) {
					return nil
				}
				return []any{runs}
			default:
				return []any{runs, 1}
			}
		},
	}
	return model.ToModel()
}

func observationOf(reply *fleet.Reply) depositObservation {
	switch {
	case reply.Status == 200:
		return replyAnswered
	case reply.Outcome == "notRun":
		return replyNotRun
	default:
		return replyUnknown
	}
}

// TestDepositHistories sends each deposit several times with the same idempotency key, concurrently through two
// entries, while an agent and an entry are killed. It checks each key's history, ended by the services' own counts of
// runs, against depositModel.
func TestDepositHistories(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, service := range f.Services {
			service.SetDelay(100 * time.Millisecond)
		}
		const keys, clients = 30, 3
		var mutex sync.Mutex
		histories := make([][]porcupine.Operation, keys)
		start := time.Now()
		var callers errgroup.Group
		for number := range keys {
			time.Sleep(150 * time.Millisecond)
			key, body := uuidV7(number), fmt.Sprintf("deposit %d", number)
			for client := range clients {
				callers.Go(func() error {
					for attempt := range 4 {
						called := time.Since(start)
						ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
						reply := f.Entry((client+attempt)%2).Deposit(ctx, "painters", key, body)
						cancel()
						mutex.Lock()
						histories[number] = append(histories[number], porcupine.Operation{
							ClientId: client, Call: int64(called), Output: observationOf(reply), Return: int64(time.Since(start)),
						})
						mutex.Unlock()
						time.Sleep(500 * time.Millisecond)
					}
					return nil
				})
			}
			if number == 8 {
				f.KillAgent("s1")
				f.StartAgent("s1")
			}
			if number == 16 {
				f.KillEntry(1)
				f.StartEntry(1)
			}
		}
		_ = callers.Wait()
		ran := 0
		for number, history := range histories {
			runs := 0
			for _, service := range f.Services {
				runs += service.Runs(fmt.Sprintf("deposit %d", number))
			}
			if runs > 1 {
				t.Fatalf("deposit %d ran %d times", number, runs)
			}
			final := porcupine.Operation{ClientId: clients, Call: int64(time.Since(start)), Return: int64(time.Since(start)) + 1, Output: ranZeroTimes}
			if runs == 1 {
				final.Output = ranOnce
				ran++
			}
			if !porcupine.CheckOperations(depositModel(), append(history, final)) {
				t.Fatalf("deposit %d: %+v", number, history)
			}
		}
		if ran == 0 {
			t.Fatal("no deposit ran")
		}
	})
}
