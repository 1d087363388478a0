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

// uuidV7 returns a UUIDv7 with the present time; the number makes it unique.
func uuidV7(number int) string {
	millis := time.Now().UnixMilli()
	return fmt.Sprintf("%08x-%04x-7%03x-8000-%012x", millis>>16, millis&0xffff, number&0xfff, number)
}

// completeAll starts a request every interval, to the entries in turn, without waiting for the answers to the earlier
// ones. It returns the replies in the order of the requests.
func completeAll(f *fleet.Fleet, requests []fleet.CompletionRequest, interval time.Duration) []*fleet.Reply {
	replies := make([]*fleet.Reply, len(requests))
	var callers errgroup.Group
	for i, request := range requests {
		callers.Go(func() error {
			replies[i] = f.Entry(i%f.Spec.Entries).Complete(context.Background(), request)
			return nil
		})
		time.Sleep(interval)
	}
	_ = callers.Wait()
	return replies
}

// requestsFor returns requests with different prompts of about 400 bytes and answers of the given number of tokens.
func requestsFor(account lovageshift.AccountID, count, tokens int) []fleet.CompletionRequest {
	requests := make([]fleet.CompletionRequest, count)
	for i := range requests {
		requests[i] = fleet.CompletionRequest{Account: account, Prompt: fmt.Sprintf("%s %d %s", account, i, strings.Repeat("x", 400)), OutputTokens: tokens}
	}
	return requests
}

// engineRequests returns how many requests all engines received.
func engineRequests(f *fleet.Fleet) int {
	total := 0
	for _, e := range f.Engines {
		total += e.Stats().Requests
	}
	return total
}

// TestPausedEntryRunsRequestAtMostOnce sends a request to an entry that is paused for 10 s.
func TestPausedEntryRunsRequestAtMostOnce(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.Network.SetPaused("entry-1", true)
		var callers errgroup.Group
		var reply *fleet.Reply
		callers.Go(func() error {
			// The caller's writes are held back too, so the request reaches the entry only when the entry resumes.
			reply = f.Entry(0).Complete(context.Background(), requestsFor("painters", 1, 5)[0])
			return nil
		})
		time.Sleep(10 * time.Second)
		f.Network.SetPaused("entry-1", false)
		_ = callers.Wait()
		if reply.Status == 200 && !reply.EndReceived {
			t.Fatalf("a broken answer was reported as complete: %+v", reply)
		}
		if ran := engineRequests(f); ran > 1 {
			t.Fatalf("the request ran %d times", ran)
		}
	})
}

// TestDelayedDispatchIsRefused holds back a dispatch for 2.5 s, longer than the maximum transit time of 2 s, by a
// partition between the entry and all agents.
func TestDelayedDispatchIsRefused(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		request := requestsFor("painters", 1, 5)[0]
		if reply := f.Entry(0).Complete(context.Background(), request); !reply.Correct(request) {
			t.Fatalf("%+v", reply)
		}
		before := engineRequests(f)
		for _, id := range f.Targets() {
			f.Network.SetPartitioned("entry-1", string(id), true)
		}
		var callers errgroup.Group
		var reply *fleet.Reply
		callers.Go(func() error {
			reply = f.Entry(0).Complete(context.Background(), request)
			return nil
		})
		time.Sleep(2500 * time.Millisecond)
		for _, id := range f.Targets() {
			f.Network.SetPartitioned("entry-1", string(id), false)
		}
		_ = callers.Wait()
		if reply.Status == 200 {
			t.Fatalf("the delayed dispatch ran: %+v", reply)
		}
		if ran := engineRequests(f) - before; ran != 0 && reply.Outcome == "notRun" {
			t.Fatalf("reported as not run, but ran %d times", ran)
		}
	})
}

// TestEveryReplyIsCompleteOrReportsItsOutcome sends requests while engines crash, agents restart and entries are
// partitioned from agents. Every reply must be complete or report its outcome, and the engines may have received at
// most the requests that were not reported as not run.
func TestEveryReplyIsCompleteOrReportsItsOutcome(t *testing.T) {
	spec := smallSpec()
	spec.Entries = 3
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
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
		requests := requestsFor("painters", 300, 30)
		replies := completeAll(f, requests, 40*time.Millisecond)
		_ = faults.Wait()
		complete, notRun := 0, 0
		for i, reply := range replies {
			switch {
			case reply.Correct(requests[i]):
				complete++
			case reply.EndReceived:
				t.Fatalf("an end marker without the complete answer: %+v", reply)
			case reply.Err == nil && reply.Outcome == "":
				t.Fatalf("no outcome: %+v", reply)
			case reply.Outcome == "notRun":
				notRun++
			}
		}
		ran := engineRequests(f)
		if ran > len(requests)-notRun {
			t.Fatalf("%d ran, but of %d requests %d were reported as not run", ran, len(requests), notRun)
		}
		if complete < len(requests)/2 {
			t.Fatalf("only %d of %d answers complete", complete, len(requests))
		}
	})
}

const (
	depositCount    = 80
	depositInterval = 200 * time.Millisecond
)

// TestDepositRunsOnceThroughCrashes resends each deposit with the same idempotency key after a timeout of 200 ms, while
// the service takes 300 ms and agents and an entry are killed and restarted.
func TestDepositRunsOnceThroughCrashes(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, service := range f.Services {
			service.SetDelay(300 * time.Millisecond)
		}
		var callers errgroup.Group
		for number := range depositCount {
			callers.Go(func() error {
				time.Sleep(time.Duration(number) * depositInterval)
				key, body := uuidV7(number), fmt.Sprintf("deposit %d", number)
				for attempt := range 6 {
					ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
					reply := f.Entry(attempt%2).Deposit(ctx, "painters", key, body)
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
		for number := range depositCount {
			runs := 0
			for _, service := range f.Services {
				runs += service.Runs(fmt.Sprintf("deposit %d", number))
			}
			if runs > 1 {
				t.Fatalf("deposit %d ran %d times", number, runs)
			}
			// The last agent restarts after about 4 s. It refuses keys created up to the clock skew (5 s) after its
			// start, since such a key may have run before the restart. Keys created after 11 s must run.
			if createdAt := time.Duration(number) * depositInterval; createdAt > 11*time.Second && runs == 0 {
				t.Fatalf("deposit %d, created at %v, did not run", number, createdAt)
			}
		}
	})
}

// TestKilledAgentLeavesOutcomeUnknown kills all agents while a stream and a deposit run.
func TestKilledAgentLeavesOutcomeUnknown(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
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
			deposit = f.Entry(0).Deposit(context.Background(), "painters", uuidV7(1), "x")
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

// TestDepositAnswerIsReplayed sends a deposit again through another entry: with the same body it gets the recorded
// answer, with another body it is refused.
func TestDepositAnswerIsReplayed(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		key := uuidV7(1)
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

// TestPoisonRequestCrashesAtMostTwoTargets sends, among other requests, one that crashes every engine it reaches. It
// may crash two at most before it is refused. The other requests must not be refused as quarantined.
func TestPoisonRequestCrashesAtMostTwoTargets(t *testing.T) {
	spec := smallSpec()
	profile := spec.Engines[0].Profile
	spec.Engines = append(spec.Engines, fleet.Engine{ID: "e3", Zone: "a", Profile: profile, MaxRunning: 8, MaxWaiting: 16},
		fleet.Engine{ID: "e4", Zone: "b", Profile: profile, MaxRunning: 8, MaxWaiting: 16})
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		for _, e := range f.Engines {
			e.CrashOn("POISON")
		}
		var otherCallers errgroup.Group
		requests := requestsFor("rounds", 100, 20)
		var otherReplies []*fleet.Reply
		otherCallers.Go(func() error {
			otherReplies = completeAll(f, requests, 100*time.Millisecond)
			return nil
		})
		time.Sleep(time.Second)
		refused := 0
		for attempt := range 20 {
			reply := f.Entry(attempt%2).Complete(context.Background(), fleet.CompletionRequest{Account: "painters", Prompt: "POISON", OutputTokens: 5})
			if reply.Reason == string(lovageshift.ReasonQuarantined) {
				refused++
			}
			time.Sleep(300 * time.Millisecond)
		}
		_ = otherCallers.Wait()
		crashes := 0
		for _, e := range f.Engines {
			crashes += e.Stats().Crashes
		}
		othersRefused := 0
		for _, reply := range otherReplies {
			if reply.Reason == string(lovageshift.ReasonQuarantined) {
				othersRefused++
			}
		}
		t.Logf("%d targets crashed, %d of 20 poison requests and %d other requests refused", crashes, refused, othersRefused)
		if crashes > 2 || refused == 0 || othersRefused > 0 {
			t.Fatalf("%d targets crashed, %d poison requests and %d other requests refused", crashes, refused, othersRefused)
		}
	})
}

// TestColdEnginesAreNotOverloaded crashes engines, which return cold, and takes a zone out of service for 5 s under
// load.
func TestColdEnginesAreNotOverloaded(t *testing.T) {
	spec := smallSpec()
	for i := range spec.Engines {
		spec.Engines[i].Profile.CrashOnOverload = true
	}
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
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
		requests := requestsFor("painters", 600, 20)
		completeAll(f, requests, 40*time.Millisecond)
		_ = faults.Wait()
		for id, e := range f.Engines {
			stats := e.Stats()
			if stats.ColdOverloads > 0 {
				t.Fatalf("%s was overloaded %d times while cold", id, stats.ColdOverloads)
			}
		}
	})
}
