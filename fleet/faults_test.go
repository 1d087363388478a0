package fleet_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/fleet"
)

// uuidNow returns a UUIDv7 of the present wall time.
func uuidNow(number int) string {
	wall := time.Now().UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8000-%012x", wall>>16, wall&0xffff, number&0xfff, number)
}

// many sends asks to the entries in turn at an interval and returns the replies in their order.
func many(f *fleet.Fleet, asks []fleet.CompletionRequest, every time.Duration) []*fleet.Reply {
	replies := make([]*fleet.Reply, len(asks))
	var callers errgroup.Group
	for i, ask := range asks {
		callers.Go(func() error {
			replies[i] = f.Entry(i%f.Spec.Entries).Complete(context.Background(), ask)
			return nil
		})
		time.Sleep(every)
	}
	_ = callers.Wait()
	return replies
}

func asksOf(account lovageshift.AccountID, count, tokens int) []fleet.CompletionRequest {
	asks := make([]fleet.CompletionRequest, count)
	for i := range asks {
		asks[i] = fleet.CompletionRequest{Account: account, Prompt: fmt.Sprintf("%s %d %s", account, i, strings.Repeat("x", 400)), OutputTokens: tokens}
	}
	return asks
}

func requests(f *fleet.Fleet) int {
	total := 0
	for _, e := range f.Engines {
		total += e.Stats().Requests
	}
	return total
}

func TestPausedEntryDispatchesNothingLate(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.Network.SetFrozen("entry-1", true)
		var callers errgroup.Group
		var reply *fleet.Reply
		callers.Go(func() error {
			// The caller's own connection is held back too, so the request leaves the entry only when it wakes.
			reply = f.Entry(0).Complete(context.Background(), asksOf("painters", 1, 5)[0])
			return nil
		})
		time.Sleep(10 * time.Second)
		f.Network.SetFrozen("entry-1", false)
		_ = callers.Wait()
		if reply.Status == 200 && !reply.EndReceived {
			t.Fatalf("a broken answer was passed off as whole: %+v", reply)
		}
		if ran := requests(f); ran > 1 {
			t.Fatalf("ran %d times", ran)
		}
	})
}

func TestPauseBetweenCheckAndDispatchIsRefused(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		ask := asksOf("painters", 1, 5)[0]
		if warm := f.Entry(0).Complete(context.Background(), ask); !warm.Correct(ask) {
			t.Fatalf("%+v", warm)
		}
		before := requests(f)
		for _, id := range f.Targets() {
			f.Network.SetPartitioned("entry-1", string(id), true)
		}
		var callers errgroup.Group
		var reply *fleet.Reply
		callers.Go(func() error {
			reply = f.Entry(0).Complete(context.Background(), ask)
			return nil
		})
		time.Sleep(2500 * time.Millisecond)
		for _, id := range f.Targets() {
			f.Network.SetPartitioned("entry-1", string(id), false)
		}
		_ = callers.Wait()
		if reply.Status == 200 {
			t.Fatalf("ran late: %+v", reply)
		}
		if ran := requests(f) - before; ran != 0 && reply.Outcome == "notRun" {
			t.Fatalf("called not run, ran %d times", ran)
		}
	})
}

func TestEveryReplyIsWholeOrSaysSo(t *testing.T) {
	spec := smallSpec()
	spec.Entries = 3
	inFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		var faults errgroup.Group
		faults.Go(func() error {
			time.Sleep(time.Second)
			f.Engines["e1"].Crash()
			time.Sleep(2 * time.Second)
			f.KillAgent("e2")
			time.Sleep(500 * time.Millisecond)
			f.StartAgent("e2")
			time.Sleep(time.Second)
			f.Network.SetPartitioned("entry-1", "e1", true)
			f.Network.SetPartitioned("entry-2", "e2", true)
			time.Sleep(4 * time.Second)
			f.Network.SetPartitioned("entry-1", "e1", false)
			f.Network.SetPartitioned("entry-2", "e2", false)
			f.Engines["e1"].ResetToCold()
			f.KillAgent("e1")
			f.StartAgent("e1")
			return nil
		})
		asks := asksOf("painters", 300, 30)
		replies := many(f, asks, 40*time.Millisecond)
		_ = faults.Wait()
		whole, notRun := 0, 0
		for i, reply := range replies {
			switch {
			case reply.Correct(asks[i]):
				whole++
			case reply.EndReceived:
				t.Fatalf("an end mark without the whole answer: %+v", reply)
			case reply.Err == nil && reply.Outcome == "":
				t.Fatalf("no outcome: %+v", reply)
			case reply.Outcome == "notRun":
				notRun++
			}
		}
		ran := requests(f)
		if ran > len(asks)-notRun {
			t.Fatalf("%d ran, but of %d %d were called not run", ran, len(asks), notRun)
		}
		if whole < len(asks)/2 {
			t.Fatalf("only %d of %d whole", whole, len(asks))
		}
	})
}

const (
	deposits     = 80
	depositEvery = 200 * time.Millisecond
)

func TestDepositRunsOnceThroughCrashes(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, service := range f.Services {
			service.SetDelay(300 * time.Millisecond)
		}
		var callers errgroup.Group
		for number := range deposits {
			callers.Go(func() error {
				time.Sleep(time.Duration(number) * depositEvery)
				key, body := uuidNow(number), fmt.Sprintf("deposit %d", number)
				for try := range 6 {
					ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
					reply := f.Entry(try%2).Deposit(ctx, "painters", key, body)
					cancel()
					if reply.Status == 200 {
						break
					}
					time.Sleep(400 * time.Millisecond)
				}
				return nil
			})
		}
		time.Sleep(2 * time.Second)
		f.KillAgent("s1")
		f.StartAgent("s1")
		f.KillEntry(0)
		f.StartEntry(0)
		time.Sleep(2 * time.Second)
		f.KillAgent("s2")
		f.StartAgent("s2")
		_ = callers.Wait()
		for number := range deposits {
			runs := 0
			for _, service := range f.Services {
				runs += service.Runs(fmt.Sprintf("deposit %d", number))
			}
			if runs > 1 {
				t.Fatalf("deposit %d ran %d times", number, runs)
			}
			// The last restart is at 4 s, and leaves the keys of the skew after it unproven.
			if minted := time.Duration(number) * depositEvery; minted > 11*time.Second && runs == 0 {
				t.Fatalf("deposit %d, minted at %v, did not run", number, minted)
			}
		}
	})
}

func TestKilledAgentLeavesTheOutcomeUnknown(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, service := range f.Services {
			service.SetDelay(5 * time.Second)
		}
		var callers errgroup.Group
		var stream, deposit *fleet.Reply
		callers.Go(func() error {
			stream = f.Entry(0).Complete(context.Background(), fleet.CompletionRequest{Account: "painters", Prompt: "x", OutputTokens: 500})
			return nil
		})
		callers.Go(func() error {
			deposit = f.Entry(0).Deposit(context.Background(), "painters", uuidNow(1), "x")
			return nil
		})
		time.Sleep(time.Second)
		for _, id := range f.Targets() {
			f.KillAgent(id)
			f.StartAgent(id)
		}
		_ = callers.Wait()
		for _, reply := range []*fleet.Reply{stream, deposit} {
			if reply.Outcome != "unknown" || reply.Reason != string(lovageshift.ReasonConnectionLost) {
				t.Errorf("%+v", reply)
			}
		}
	})
}

func TestDepositAnswerIsGivenAgain(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		key := uuidNow(1)
		first := f.Entry(0).Deposit(context.Background(), "painters", key, "fair")
		again := f.Entry(1).Deposit(context.Background(), "painters", key, "fair")
		if first.Status != 200 || again.Status != 200 || first.Body != again.Body {
			t.Fatalf("%+v %+v", first, again)
		}
		other := f.Entry(1).Deposit(context.Background(), "painters", key, "another")
		if other.Reason != string(lovageshift.ReasonIdempotencyMismatch) {
			t.Fatalf("%+v", other)
		}
	})
}

func TestPoisonCostsTwoTargets(t *testing.T) {
	spec := smallSpec()
	profile := spec.Engines[0].Profile
	spec.Engines = append(spec.Engines, fleet.Engine{ID: "e3", Zone: "a", Profile: profile, MaxRunning: 8, MaxWaiting: 16},
		fleet.Engine{ID: "e4", Zone: "b", Profile: profile, MaxRunning: 8, MaxWaiting: 16})
	inFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		for _, e := range f.Engines {
			e.CrashOn("POISON")
		}
		var others errgroup.Group
		asks := asksOf("rounds", 100, 20)
		var innocent []*fleet.Reply
		others.Go(func() error {
			innocent = many(f, asks, 100*time.Millisecond)
			return nil
		})
		time.Sleep(time.Second)
		refused := 0
		for try := range 20 {
			reply := f.Entry(try%2).Complete(context.Background(), fleet.CompletionRequest{Account: "painters", Prompt: "POISON", OutputTokens: 5})
			if reply.Reason == string(lovageshift.ReasonQuarantined) {
				refused++
			}
			time.Sleep(300 * time.Millisecond)
		}
		_ = others.Wait()
		crashes := 0
		for _, e := range f.Engines {
			crashes += e.Stats().Crashes
		}
		innocents := 0
		for _, reply := range innocent {
			if reply.Reason == string(lovageshift.ReasonQuarantined) {
				innocents++
			}
		}
		t.Logf("targets lost %d, refused %d of 20, innocents refused %d", crashes, refused, innocents)
		if crashes > 2 || refused == 0 || innocents > 0 {
			t.Fatalf("targets lost %d, refused %d, innocents refused %d", crashes, refused, innocents)
		}
	})
}

func TestColdEnginesAreNotOverrun(t *testing.T) {
	spec := smallSpec()
	for i := range spec.Engines {
		spec.Engines[i].Profile.CrashOnOverload = true
	}
	inFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		var faults errgroup.Group
		faults.Go(func() error {
			time.Sleep(5 * time.Second)
			f.Engines["e1"].Crash()
			time.Sleep(5 * time.Second)
			f.Publish("90-zone.toml", "[zones.b]\ninService=false\n")
			time.Sleep(5 * time.Second)
			f.Engines["e2"].Crash()
			f.Publish("90-zone.toml", "")
			return nil
		})
		asks := asksOf("painters", 600, 20)
		many(f, asks, 40*time.Millisecond)
		_ = faults.Wait()
		for id, e := range f.Engines {
			stats := e.Stats()
			if stats.ColdOverloads > 0 {
				t.Fatalf("%s was overrun %d times when cold", id, stats.ColdOverloads)
			}
		}
	})
}
