package fleet_test

import (
	"context"
	"testing"
	"testing/synctest"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/standin"
)

func smallSpec() fleet.Spec {
	profile := standin.FastProfile()
	return fleet.Spec{
		Entries: 2, Seed: 1,
		Engines: []fleet.Engine{
			{ID: "e1", Zone: "a", Profile: profile, MaxRunning: 8, MaxWaiting: 16},
			{ID: "e2", Zone: "b", Profile: profile, MaxRunning: 8, MaxWaiting: 16},
		},
		Services: []fleet.Service{{ID: "s1", Zone: "a"}, {ID: "s2", Zone: "b"}},
		Accounts: []fleet.Account{
			{ID: "painters", Tier: "urgent", Rate: 10_000, Burst: 100_000},
			{ID: "rounds", Tier: "patient", Rate: 10_000, Burst: 100_000},
		},
	}
}

func withFleet(t *testing.T, spec fleet.Spec, run func(t *testing.T, f *fleet.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := fleet.Start(spec)
		defer f.Stop()
		run(t, f)
	})
}

func TestEndToEnd(t *testing.T) {
	withFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, nonStreaming := range []bool{false, true} {
			request := fleet.CompletionRequest{Account: "painters", Prompt: "Draft a proposal.", OutputTokens: 20, NonStreaming: nonStreaming}
			reply := f.Entry(0).Complete(context.Background(), request)
			if !reply.Correct(request) {
				t.Fatalf("non-streaming %v: %+v", nonStreaming, reply)
			}
		}
		// The key has no creation time, and the agents' records of calls do not yet cover the keys' time to live of 900
		// s, so the call may have run before.
		var account lovageshift.AccountID = "painters"
		if reply := f.Entry(1).Deposit(context.Background(), account, "k", "fair"); reply.Status != 409 {
			t.Fatalf("%+v", reply)
		}
	})
}
