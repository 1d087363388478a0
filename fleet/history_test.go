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

// depositResult is what one attempt of a call was told.
type depositResult int

const (
	toldAnswered depositResult = iota
	toldNotRun
	toldUnknown
	countedNone // the service's own count, at the end
	countedOne
)

// depositModel is one call that runs at most once: an answer means that it has run,
// "not run" leaves it as it was, and an unknown outcome may have run it.
func depositModel() porcupine.Model {
	nondeterministic := porcupine.NondeterministicModel{
		Init: func() []any { return []any{0} },
		Step: func(state, _, output any) []any {
			runs := state.(int)
			switch output.(depositResult) {
			case toldAnswered:
				return []any{1}
			case toldNotRun:
				return []any{runs}
			case countedNone, countedOne:
				if runs != int(output.(depositResult)-countedNone) {
					return nil
				}
				return []any{runs}
			default:
				return []any{runs, 1}
			}
		},
	}
	return nondeterministic.ToModel()
}

func resultOf(reply *fleet.Reply) depositResult {
	switch {
	case reply.Status == 200:
		return toldAnswered
	case reply.Outcome == "notRun":
		return toldNotRun
	default:
		return toldUnknown
	}
}

// TestDepositHistories records concurrent resends of each key through two entries while agents and
// entries die, and checks each key's history, closed by what the service itself counted.
func TestDepositHistories(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, service := range f.Services {
			service.SetDelay(100 * time.Millisecond)
		}
		const keys, clients = 30, 3
		var mutex sync.Mutex
		histories := make([][]porcupine.Operation, keys)
		began := time.Now()
		var callers errgroup.Group
		for number := range keys {
			time.Sleep(150 * time.Millisecond)
			key, body := uuidNow(number), fmt.Sprintf("deposit %d", number)
			for client := range clients {
				callers.Go(func() error {
					for try := range 4 {
						called := time.Since(began)
						ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
						reply := f.Entry((client+try)%2).Deposit(ctx, "painters", key, body)
						cancel()
						mutex.Lock()
						histories[number] = append(histories[number], porcupine.Operation{
							ClientId: client, Call: int64(called), Output: resultOf(reply), Return: int64(time.Since(began)),
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
		answered := 0
		for number, history := range histories {
			runs := 0
			for _, service := range f.Services {
				runs += service.Runs(fmt.Sprintf("deposit %d", number))
			}
			if runs > 1 {
				t.Fatalf("deposit %d ran %d times", number, runs)
			}
			closing := porcupine.Operation{ClientId: clients, Call: int64(time.Since(began)), Return: int64(time.Since(began)) + 1, Output: countedNone}
			if runs == 1 {
				closing.Output = countedOne
				answered++
			}
			if !porcupine.CheckOperations(depositModel(), append(history, closing)) {
				t.Fatalf("deposit %d: %+v", number, history)
			}
		}
		if answered == 0 {
			t.Fatal("nothing ran")
		}
	})
}
