package fleet_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/folderservice"
	"lovageshift/metrics"
	"lovageshift/standin"
)

// waitForRevision waits until the revision is active in every entry and agent, at most a minute, and returns the time
// waited. It does not report whether the minute ran out.
func waitForRevision(f *fleet.Fleet, revision lovageshift.Revision) time.Duration {
	start := time.Now()
	for {
		behind := 0
		for _, id := range f.Targets() {
			if f.Agent(id).Status().Revision != revision {
				behind++
			}
		}
		for number := range f.Spec.Entries {
			if f.Entry(number).Status().Revision != revision {
				behind++
			}
		}
		if behind == 0 || time.Since(start) > time.Minute {
			return time.Since(start)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestOutOfServiceZoneTakesNoNewWork takes zone b, with engine e2, out of service and back.
func TestOutOfServiceZoneTakesNoNewWork(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		revision := f.Publish("90-zone.toml", "[zones.b]\ninService = false\n")
		if took := waitForRevision(f, revision); took > 4*time.Second {
			t.Fatalf("the revision was active everywhere only after %v", took)
		}
		before := f.Engines["e2"].Stats().Requests
		requests := requestsFor("painters", 20, 5)
		for i, reply := range completeAll(f, requests, 50*time.Millisecond) {
			if !reply.Correct(requests[i]) {
				t.Fatalf("%+v", reply)
			}
		}
		if after := f.Engines["e2"].Stats().Requests; after != before {
			t.Fatalf("the engine of the zone out of service got %d requests", after-before)
		}
		if refused := f.Agent("e2").Status().Refusals[string(lovageshift.ReasonTargetOutOfService)]; refused != 0 {
			t.Fatalf("entries sent %d requests to the zone out of service", refused)
		}
		revision = f.Publish("90-zone.toml", "")
		waitForRevision(f, revision)
		completeAll(f, requests, 20*time.Millisecond)
		if f.Engines["e2"].Stats().Requests == before {
			t.Fatal("the zone got no requests after it was back in service")
		}
	})
}

// TestLeavingVMGetsNoNewWork lists the VM of e2 as leaving.
func TestLeavingVMGetsNoNewWork(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.ConfigService.SetVMs(folderservice.VMList{Live: []string{"e1"}, Leaving: []string{"e2"}})
		time.Sleep(20 * time.Second)
		before := f.Engines["e2"].Stats().Requests
		requests := requestsFor("painters", 20, 5)
		for i, reply := range completeAll(f, requests, 50*time.Millisecond) {
			if !reply.Correct(requests[i]) {
				t.Fatalf("%+v", reply)
			}
		}
		if after := f.Engines["e2"].Stats().Requests; after != before {
			t.Fatalf("the leaving VM got %d requests", after-before)
		}
	})
}

// TestKeyIsRefusedWhileWithdrawalSpreads sends requests while the withdrawal of a key reaches the entry and the agents.
// The first refusal may come from an agent that has the withdrawal before the entry. The next request must
// then be answered with status 401.
func TestKeyIsRefusedWhileWithdrawalSpreads(t *testing.T) {
	spec := smallSpec()
	spec.Entries = 1
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		request := requestsFor("painters", 1, 5)[0]
		f.Publish("90-key.toml", "[keys.painters]\nwithdrawn = true\n")
		answered := 0
		for range 400 {
			reply := f.Entry(0).Complete(context.Background(), request)
			if reply.Correct(request) {
				answered++
			}
			if reply.Reason == string(lovageshift.ReasonKeyWithdrawn) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		reply := f.Entry(0).Complete(context.Background(), request)
		if reply.Status != http.StatusUnauthorized || reply.Outcome != "notRun" {
			t.Fatalf("withdrawn key not refused after %d answers: %+v", answered, reply)
		}
	})
}

func TestWithdrawnKeyAbortsOpenStreams(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		request := fleet.CompletionRequest{Account: "painters", Prompt: "long", OutputTokens: 2000}
		var callers errgroup.Group
		var reply *fleet.Reply
		callers.Go(func() error {
			reply = f.Entry(0).Complete(context.Background(), request)
			return nil
		})
		time.Sleep(2 * time.Second)
		withdrawn := time.Now()
		f.Publish("90-key.toml", "[keys.painters]\nwithdrawn = true\n")
		_ = callers.Wait()
		if took := time.Since(withdrawn); took > 4*time.Second {
			t.Fatalf("the stream ended only %v after the withdrawal", took)
		}
		if reply.EndReceived || reply.Reason != string(lovageshift.ReasonKeyWithdrawn) || reply.Outcome != "unknown" {
			t.Fatalf("%+v", reply)
		}
	})
}

// TestKeysNeverReachTargets sends the API key in the body, which is refused, and in other headers, which are not
// forwarded.
func TestKeysNeverReachTargets(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		secret := fleet.KeyOf("painters")
		header := http.Header{"Authorization": {"Bearer " + secret}}
		body := `{"model":"drafts","max_tokens":2,"messages":[{"role":"user","content":"` + secret + `"}]}`
		reply := f.Entry(0).Call(context.Background(), http.MethodPost, "/v1/chat/completions", header, body)
		if reply.Status != http.StatusBadRequest {
			t.Fatalf("%+v", reply)
		}
		header.Set("Traceparent", secret)
		header.Set("X-Api-Key", secret)
		f.Entry(0).Call(context.Background(), http.MethodPost, "/v1/chat/completions", header, strings.Replace(body, secret, "hi", 1))
		f.Entry(0).Deposit(context.Background(), "painters", uuidV7(1), "x")
		for id, e := range f.Engines {
			if leaks := e.Stats().LeakedKeys; leaks > 0 {
				t.Fatalf("%s saw the key", id)
			}
		}
		for id, service := range f.Services {
			if service.LeakedKeys() > 0 {
				t.Fatalf("%s saw the key", id)
			}
		}
	})
}

// TestRevisionNeverReverts makes the configuration service serve an old revision and restarts an entry and an agent.
func TestRevisionNeverReverts(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		revision := f.Publish("90-zone.toml", "[zones.b]\ninService = false\n")
		waitForRevision(f, revision)
		f.ConfigService.ServeRevision(1)
		f.KillEntry(0)
		f.StartEntry(0)
		f.KillAgent("e1")
		f.StartAgent("e1")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, id := range f.Targets() {
				status := f.Agent(id).Status()
				if status.Revision != revision && id != "e1" {
					t.Fatalf("agent of %s reverted to revision %d", id, status.Revision)
				}
			}
		}
		// A restarted process that read the stale configuration first gets the newer revision from its peers.
		if got := f.Entry(0).Status().Revision; got != revision {
			t.Fatalf("the restarted entry has revision %d", got)
		}
		if got := f.Agent("e1").Status().Revision; got != revision {
			t.Fatalf("the restarted agent has revision %d", got)
		}
	})
}

// TestInvalidConfigurationIsRejectedWhole publishes a valid and an invalid setting together; neither may take effect.
func TestInvalidConfigurationIsRejectedWhole(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		before := f.Entry(0).Status().Revision
		f.Publish("90-bad.toml", "[zones.b]\ninService = false\n[accounts.painters]\nrate = -1\n")
		time.Sleep(5 * time.Second)
		status := f.Entry(0).Status()
		if status.Revision != before || !status.Zones["b"] {
			t.Fatalf("%+v", status)
		}
		revision := f.Publish("90-bad.toml", "")
		if took := waitForRevision(f, revision); took > 4*time.Second {
			t.Fatalf("the next valid configuration was active only after %v", took)
		}
	})
}

// TestQuorumOutlivesConfigurationService expects that, without the configuration service, processes go on working for a
// minute, since a quorum of their peers reports no newer revision.
func TestQuorumOutlivesConfigurationService(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.ConfigService.SetDown(true)
		time.Sleep(time.Minute)
		request := requestsFor("painters", 1, 5)[0]
		if reply := f.Entry(0).Complete(context.Background(), request); !reply.Correct(request) {
			t.Fatalf("%+v", reply)
		}
		if trust := f.Entry(0).Status().Trust; trust != "quorum" {
			t.Fatalf("entry has trust %s", trust)
		}
	})
}

// TestIsolatedProcessesRefuseWork partitions entry-1 and the agent of e1 from the configuration service and from all
// other agents, and the agent of e1 also from entry-2. The two can still communicate with each other, but cannot
// confirm their revision.
func TestIsolatedProcessesRefuseWork(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.Network.SetPartitioned("e1", "platform", true)
		for _, id := range f.Targets() {
			f.Network.SetPartitioned("e1", string(id), true)
		}
		f.Network.SetPartitioned("e1", "entry-2", true)
		f.Network.SetPartitioned("entry-1", "platform", true)
		for _, id := range f.Targets() {
			f.Network.SetPartitioned("entry-1", string(id), id != "e1")
		}
		time.Sleep(10 * time.Second)
		reply := f.Entry(0).Complete(context.Background(), requestsFor("painters", 1, 5)[0])
		if reply.Reason != string(lovageshift.ReasonUnconfirmed) || reply.Outcome != "notRun" {
			t.Fatalf("%+v", reply)
		}
	})
}

// TestGracefulAgentStopAbortsNothing drains, stops and restarts the agents in turn under load. A request may be refused
// as not run, but none that runs may be aborted.
func TestGracefulAgentStopAbortsNothing(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		requests := requestsFor("painters", 60, 60)
		var stops errgroup.Group
		stops.Go(func() error {
			time.Sleep(500 * time.Millisecond)
			f.StopAgent("e1")
			f.StartAgent("e1")
			time.Sleep(500 * time.Millisecond)
			f.StopAgent("e2")
			f.StartAgent("e2")
			return nil
		})
		replies := completeAll(f, requests, 50*time.Millisecond)
		_ = stops.Wait()
		for i, reply := range replies {
			if !reply.Correct(requests[i]) && reply.Outcome != "notRun" {
				t.Fatalf("aborted: %+v", reply)
			}
		}
	})
}

func TestGracefulEntryStopAbortsNothing(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		request := requestsFor("painters", 1, 300)[0]
		var callers errgroup.Group
		var reply *fleet.Reply
		callers.Go(func() error {
			reply = f.Entry(0).Complete(context.Background(), request)
			return nil
		})
		time.Sleep(500 * time.Millisecond)
		f.StopEntry(0)
		_ = callers.Wait()
		if !reply.Correct(request) {
			t.Fatalf("aborted after %d tokens: %+v", reply.Tokens, reply.Reason)
		}
	})
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	spec := smallSpec()
	spec.Services = append(spec.Services, fleet.Service{ID: "p1", Zone: "a", Route: "public"}, fleet.Service{ID: "l1", Zone: "b", Route: "lookups"})
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		reply := f.Entry(0).Call(context.Background(), http.MethodGet, "/public/x", http.Header{}, "")
		if reply.Status != http.StatusOK || reply.Outcome != "answered" {
			t.Fatalf("%+v", reply)
		}
		reply = f.Entry(0).Call(context.Background(), http.MethodGet, "/lookups/x", http.Header{}, "")
		if reply.Reason != string(lovageshift.ReasonKeyMissing) || f.Services["l1"].Runs("") != 0 {
			t.Fatalf("%+v", reply)
		}
		reply = f.Entry(0).Call(context.Background(), http.MethodGet, "/lookups/x", bearerHeader("rounds"), "")
		if reply.Status != http.StatusOK {
			t.Fatalf("%+v", reply)
		}
	})
}

// TestOrdersFollowTheConfiguration publishes new model versions, for which agents give their engines orders.
func TestOrdersFollowTheConfiguration(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.Publish("90-version.toml", "[targets.e1]\nversion = \"2\"\n[targets.e2]\nversion = \"2\"\n")
		time.Sleep(30 * time.Second)
		for _, id := range []lovageshift.TargetID{"e1", "e2"} {
			if applied := f.Agent(id).Metrics.Counts(metrics.Orders)["done"]; applied < 2 {
				t.Fatalf("%s completed only %d orders", id, applied)
			}
			if stale := f.Engines[id].Stats().StaleOrders; stale > 0 {
				t.Fatalf("%s got %d orders with an old fencing number", id, stale)
			}
		}
		f.KillAgent("e1")
		f.StartAgent("e1")
		f.Publish("90-version.toml", "[targets.e1]\nversion = \"3\"\n")
		time.Sleep(30 * time.Second)
		if stale := f.Engines["e1"].Stats().StaleOrders; stale > 0 {
			t.Fatalf("the restarted agent gave %d orders with an old fencing number", stale)
		}
	})
}

func TestAnswersReachTheirOwnCaller(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		var requests []fleet.CompletionRequest
		for i := range 200 {
			account := lovageshift.AccountID("painters")
			if i%2 == 0 {
				account = "rounds"
			}
			requests = append(requests, fleet.CompletionRequest{Account: account, Prompt: fmt.Sprintf("question %d", i), OutputTokens: 3 + i%20, NonStreaming: i%3 == 0})
		}
		answered := 0
		for i, reply := range completeAll(f, requests, 5*time.Millisecond) {
			if reply.EndReceived && !reply.Correct(requests[i]) {
				t.Fatalf("answer to another request: %+v", reply)
			}
			if reply.EndReceived {
				answered++
			}
		}
		if answered < 100 {
			t.Fatalf("only %d of 200 answered", answered)
		}
	})
}

// TestRunningRequestsOutliveAChangeOfTheSubset guards against a change of the configuration that cuts running requests, because their
// targets are no longer among those to which the entry dispatches.
func TestRunningRequestsOutliveAChangeOfTheSubset(t *testing.T) {
	spec := smallSpec()
	for _, id := range []lovageshift.TargetID{"e3", "e4"} {
		spec.Engines = append(spec.Engines, fleet.Engine{ID: id, Zone: "a", Profile: standin.FastProfile(), MaxRunning: 8, MaxWaiting: 16})
	}
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		requests := requestsFor("painters", 8, 1500)
		var changes errgroup.Group
		changes.Go(func() error {
			time.Sleep(500 * time.Millisecond)
			waitForRevision(f, f.Publish("90-limits.toml", "[limits]\nsubsetTargets = 1\n"))
			return nil
		})
		replies := completeAll(f, requests, time.Millisecond)
		_ = changes.Wait()
		for i, reply := range replies {
			if !reply.Correct(requests[i]) {
				t.Errorf("cut after %d tokens and %v: %s, %v", reply.Tokens, reply.TimeToLastToken, reply.Reason, reply.Err)
			} else if reply.TimeToLastToken < 8*time.Second {
				t.Errorf("took only %v", reply.TimeToLastToken)
			}
		}
	})
}
