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
)

// inForce waits until every process has the revision in force and returns how long it took.
func inForce(f *fleet.Fleet, revision lovageshift.Revision) time.Duration {
	began := time.Now()
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
		if behind == 0 || time.Since(began) > time.Minute {
			return time.Since(began)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func TestZoneOutTakesNoNewWork(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		revision := f.Publish("90-zone.toml", "[zones.b]\ninService = false\n")
		if took := inForce(f, revision); took > 4*time.Second {
			t.Fatalf("in force after %v", took)
		}
		before := f.Engines["e2"].Stats().Requests
		asks := asksOf("painters", 20, 5)
		for i, reply := range many(f, asks, 50*time.Millisecond) {
			if !reply.Correct(asks[i]) {
				t.Fatalf("%+v", reply)
			}
		}
		if after := f.Engines["e2"].Stats().Requests; after != before {
			t.Fatalf("the zone got %d requests", after-before)
		}
		if refused := f.Agent("e2").Status().Refusals[string(lovageshift.ReasonTargetOutOfService)]; refused != 0 {
			t.Fatalf("entries sent %d requests to the zone", refused)
		}
		revision = f.Publish("90-zone.toml", "")
		inForce(f, revision)
		many(f, asks, 20*time.Millisecond)
		if f.Engines["e2"].Stats().Requests == before {
			t.Fatal("the zone got no work after its return")
		}
	})
}

func TestLeavingMachineGetsNoNewWork(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.Platform.SetVMs(folderservice.VMList{Live: []string{"e1"}, Leaving: []string{"e2"}})
		time.Sleep(20 * time.Second)
		before := f.Engines["e2"].Stats().Requests
		asks := asksOf("painters", 20, 5)
		for i, reply := range many(f, asks, 50*time.Millisecond) {
			if !reply.Correct(asks[i]) {
				t.Fatalf("%+v", reply)
			}
		}
		if after := f.Engines["e2"].Stats().Requests; after != before {
			t.Fatalf("the leaving machine got %d requests", after-before)
		}
	})
}

// TestAgentRefusesWhenOnlyItKnows cuts the entry off from the change, so that the agent alone enforces it.
func TestAgentRefusesWhenOnlyItKnows(t *testing.T) {
	spec := smallSpec()
	spec.Entries = 1
	inFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		ask := asksOf("painters", 1, 5)[0]
		f.Publish("90-key.toml", "[keys.painters]\nwithdrawn = true\n")
		ran := 0
		for range 400 {
			reply := f.Entry(0).Complete(context.Background(), ask)
			if reply.Correct(ask) {
				ran++
			}
			if reply.Reason == string(lovageshift.ReasonKeyWithdrawn) {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		reply := f.Entry(0).Complete(context.Background(), ask)
		if reply.Status != http.StatusUnauthorized || reply.Outcome != "notRun" {
			t.Fatalf("after %d answers: %+v", ran, reply)
		}
	})
}

func TestWithdrawnKeyCutsOpenStreams(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		ask := fleet.CompletionRequest{Account: "painters", Prompt: "long", OutputTokens: 2000}
		var callers errgroup.Group
		var reply *fleet.Reply
		callers.Go(func() error {
			reply = f.Entry(0).Complete(context.Background(), ask)
			return nil
		})
		time.Sleep(2 * time.Second)
		withdrawn := time.Now()
		f.Publish("90-key.toml", "[keys.painters]\nwithdrawn = true\n")
		_ = callers.Wait()
		if took := time.Since(withdrawn); took > 4*time.Second {
			t.Fatalf("the stream went on for %v", took)
		}
		if reply.EndReceived || reply.Reason != string(lovageshift.ReasonKeyWithdrawn) || reply.Outcome != "unknown" {
			t.Fatalf("%+v", reply)
		}
	})
}

func TestNoTargetSeesAKey(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
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
		f.Entry(0).Deposit(context.Background(), "painters", uuidNow(1), "x")
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

func TestRevisionNeverReverts(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		revision := f.Publish("90-zone.toml", "[zones.b]\ninService = false\n")
		inForce(f, revision)
		f.Platform.ServeRevision(1)
		f.KillEntry(0)
		f.StartEntry(0)
		f.KillAgent("e1")
		f.StartAgent("e1")
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			for _, id := range f.Targets() {
				status := f.Agent(id).Status()
				if status.Revision != revision && id != "e1" {
					t.Fatalf("%s went back to %d", id, status.Revision)
				}
			}
		}
		// A fresh process that first met the stale replica has the newer revision from its peers.
		if got := f.Entry(0).Status().Revision; got != revision {
			t.Fatalf("the fresh entry has %d", got)
		}
		if got := f.Agent("e1").Status().Revision; got != revision {
			t.Fatalf("the fresh agent has %d", got)
		}
	})
}

func TestBadSetIsRefusedWhole(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		before := f.Entry(0).Status().Revision
		f.Publish("90-bad.toml", "[zones.b]\ninService = false\n[accounts.painters]\nrate = -1\n")
		time.Sleep(5 * time.Second)
		status := f.Entry(0).Status()
		if status.Revision != before || !status.Zones["b"] {
			t.Fatalf("%+v", status)
		}
		revision := f.Publish("90-bad.toml", "")
		if took := inForce(f, revision); took > 4*time.Second {
			t.Fatalf("the next good set took %v", took)
		}
	})
}

func TestServiceDownForAll(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.Platform.SetDown(true)
		time.Sleep(time.Minute)
		ask := asksOf("painters", 1, 5)[0]
		if reply := f.Entry(0).Complete(context.Background(), ask); !reply.Correct(ask) {
			t.Fatalf("%+v", reply)
		}
		if trust := f.Entry(0).Status().Trust; trust != "quorum" {
			t.Fatalf("trust %s", trust)
		}
	})
}

func TestCutOffProcessStops(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
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
		reply := f.Entry(0).Complete(context.Background(), asksOf("painters", 1, 5)[0])
		if reply.Reason != string(lovageshift.ReasonUnconfirmed) || reply.Outcome != "notRun" {
			t.Fatalf("%+v", reply)
		}
	})
}

func TestGracefulStopCutsNothing(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		asks := asksOf("painters", 60, 60)
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
		replies := many(f, asks, 50*time.Millisecond)
		_ = stops.Wait()
		for i, reply := range replies {
			if !reply.Correct(asks[i]) && reply.Outcome != "notRun" {
				t.Fatalf("cut: %+v", reply)
			}
		}
	})
}

func TestGracefulStopOfAnEntry(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		ask := asksOf("painters", 1, 300)[0]
		var callers errgroup.Group
		var reply *fleet.Reply
		callers.Go(func() error {
			reply = f.Entry(0).Complete(context.Background(), ask)
			return nil
		})
		time.Sleep(500 * time.Millisecond)
		f.StopEntry(0)
		_ = callers.Wait()
		if !reply.Correct(ask) {
			t.Fatalf("cut: %d tokens %+v", reply.Tokens, reply.Reason)
		}
	})
}

func TestOpenRouteNeedsNoKey(t *testing.T) {
	spec := smallSpec()
	spec.Services = append(spec.Services, fleet.Service{ID: "p1", Zone: "a", Route: "public"}, fleet.Service{ID: "l1", Zone: "b", Route: "lookups"})
	inFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		reply := f.Entry(0).Call(context.Background(), http.MethodGet, "/public/x", http.Header{}, "")
		if reply.Status != http.StatusOK || reply.Outcome != "answered" {
			t.Fatalf("%+v", reply)
		}
		reply = f.Entry(0).Call(context.Background(), http.MethodGet, "/lookups/x", http.Header{}, "")
		if reply.Reason != string(lovageshift.ReasonKeyMissing) || f.Services["l1"].Runs("") != 0 {
			t.Fatalf("%+v", reply)
		}
		reply = f.Entry(0).Call(context.Background(), http.MethodGet, "/lookups/x", bearer("rounds"), "")
		if reply.Status != http.StatusOK {
			t.Fatalf("%+v", reply)
		}
	})
}

func TestOrdersFollowTheConfiguration(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		f.Publish("90-version.toml", "[targets.e1]\nversion = \"2\"\n[targets.e2]\nversion = \"2\"\n")
		time.Sleep(30 * time.Second)
		for _, id := range []lovageshift.TargetID{"e1", "e2"} {
			if done := f.Agent(id).Metrics.Counts(metrics.Orders)["done"]; done < 2 {
				t.Fatalf("%s got %d orders", id, done)
			}
			if old := f.Engines[id].Stats().StaleOrders; old > 0 {
				t.Fatalf("%s got %d orders with an old number", id, old)
			}
		}
		f.KillAgent("e1")
		f.StartAgent("e1")
		f.Publish("90-version.toml", "[targets.e1]\nversion = \"3\"\n")
		time.Sleep(30 * time.Second)
		if old := f.Engines["e1"].Stats().StaleOrders; old > 0 {
			t.Fatalf("the restarted agent gave %d orders with an old number", old)
		}
	})
}

func TestAnswersAreNotCrossed(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		var asks []fleet.CompletionRequest
		for i := range 200 {
			account := lovageshift.AccountID("painters")
			if i%2 == 0 {
				account = "rounds"
			}
			asks = append(asks, fleet.CompletionRequest{Account: account, Prompt: fmt.Sprintf("question %d", i), OutputTokens: 3 + i%20, NonStreaming: i%3 == 0})
		}
		whole := 0
		for i, reply := range many(f, asks, 5*time.Millisecond) {
			if reply.EndReceived && !reply.Correct(asks[i]) {
				t.Fatalf("another's answer: %+v", reply)
			}
			if reply.EndReceived {
				whole++
			}
		}
		if whole < 100 {
			t.Fatalf("only %d answered", whole)
		}
	})
}
