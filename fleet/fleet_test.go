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

func inFleet(t *testing.T, spec fleet.Spec, run func(t *testing.T, f *fleet.Fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := fleet.Start(spec)
		defer f.Stop()
		run(t, f)
	})
}

func TestWholePath(t *testing.T) {
	inFleet(t, smallSpec(), func(t *testing.T, f *fleet.Fleet) {
		for _, whole := range []bool{false, true} {
			ask := fleet.CompletionRequest{Account: "painters", Prompt: "Draft a proposal.", OutputTokens: 20, NonStreaming: whole}
			reply := f.Entry(0).Complete(context.Background(), ask)
			if !reply.Correct(ask) {
				t.Fatalf("whole %v: %+v", whole, reply)
			}
		}
		var account lovageshift.AccountID = "painters"
		if reply := f.Entry(1).Deposit(context.Background(), account, "k", "fair"); reply.Status != 409 {
			t.Fatalf("%+v", reply)
		}
	})
}
