package fleet_test

import (
	"context"
	"testing"
	"time"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/link"
	"lovageshift/wire"
)

// dispatchDirectly sends a start message to the agent of e1 without an entry's checks, as a faulty or outdated entry
// might, and returns the end message.
func dispatchDirectly(t *testing.T, pool *link.Pool, start *wire.Start) *wire.End {
	t.Helper()
	conn, err := pool.Get(context.Background(), "127.0.0.1:2000")
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Put("127.0.0.1:2000", conn)
	stream, err := wire.NewDRPCAgentClient(conn).Dispatch(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	if err := stream.Send(&wire.DispatchMessage{Body: &wire.DispatchMessage_Start{Start: start}}); err != nil {
		t.Fatal(err)
	}
	for {
		event, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		if end := event.GetEnd(); end != nil {
			return end
		}
	}
}

// TestAgentRefusesInvalidDispatches changes one field of a valid start message, or the configuration, in each case.
func TestAgentRefusesInvalidDispatches(t *testing.T) {
	spec := smallSpec()
	spec.ExtraConfig = "[keys.gone]\naccount=\"painters\"\nwithdrawn=true\nhash=\"" + secretHash("gone") + "\"\n"
	cases := []struct {
		name   string
		change func(*wire.Start)
		config string
		reason lovageshift.Reason
	}{
		{"another target", func(s *wire.Start) { s.Target = "e2" }, "", lovageshift.ReasonWrongTarget},
		{"an earlier incarnation of the agent", func(s *wire.Start) { s.TargetIncarnation-- }, "", lovageshift.ReasonOldIncarnation},
		{"a withdrawn key", func(s *wire.Start) { s.Key = "gone" }, "", lovageshift.ReasonKeyWithdrawn},
		// The agent measures the transit time against an entry's clock offset, which it knows from the entry's watch
		// or, as here, from an earlier dispatch.
		{"sent 3 s ago", func(s *wire.Start) { s.SentAt -= 3_000 }, "", lovageshift.ReasonStaleDispatch},
		{"another account's key", func(s *wire.Start) { s.Account = "rounds" }, "", lovageshift.ReasonKeyWithdrawn},
		{"no key", func(s *wire.Start) { s.Key, s.Account = "", "" }, "", lovageshift.ReasonKeyWithdrawn},
		{"no key on a route that is not open", func(s *wire.Start) { s.Key, s.Account, s.Route = "", "", "lookups" }, "", lovageshift.ReasonKeyWithdrawn},
		{"no idempotency key", func(s *wire.Start) { s.Route = "deposits" }, "", lovageshift.ReasonIdempotencyKeyMissing},
		{"a zone out of service", func(*wire.Start) {}, "[zones.a]\ninService = false\n", lovageshift.ReasonTargetOutOfService},
		{"a target out of service", func(*wire.Start) {}, "[targets.e1]\ninService = false\n", lovageshift.ReasonTargetOutOfService},
	}
	withFleet(t, spec, func(t *testing.T, f *fleet.Fleet) {
		pool := link.NewPool(f.Network.Host("rogue"))
		defer pool.Close()
		for number, c := range cases {
			waitForRevision(f, f.Publish("90-case.toml", c.config))
			start := &wire.Start{
				Entry: "rogue", Incarnation: 1, Sequence: uint64(number + 1), SentAt: time.Now().UnixMilli(),
				Target: "e1", TargetIncarnation: int64(f.Agent("e1").Node().Incarnation),
				Account: "painters", Key: "painters", Rank: 1, Method: "POST", Path: "/v1/completions",
				Body: []byte(`{"prompt":"x","max_tokens":1}`), OutputLimit: 1, FirstTokenBudget: 1000, TotalBudget: 5000,
			}
			c.change(start)
			end := dispatchDirectly(t, pool, start)
			if end.Reason != string(c.reason) || lovageshift.Outcome(end.Outcome) != lovageshift.OutcomeNotRun {
				t.Errorf("%s: %s, %s", c.name, end.Reason, lovageshift.Outcome(end.Outcome))
			}
		}
		if ran := engineRequests(f); ran != 0 {
			t.Fatalf("engines got %d requests", ran)
		}
	})
}
