package trial

import (
	"fmt"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/routing"
	"lovageshift/standin"
)

const (
	engineCount    = 12
	zoneCount      = 3
	entryCount     = 3
	ampleRate      = 10_000_000 // tokens per second, and tokens of burst
	fastMaxRunning = 32         // requests that run at once on a fast engine
	slowMaxRunning = 16         // likewise on a slow one
	maxWaiting     = 32         // requests that wait at once at an engine's agent
)

// Candidate is a policy under comparison.
type Candidate struct {
	Name        string
	NewPolicy   func() routing.Policy // as in fleet.Spec; nil is the entry's default
	PassThrough bool                  // as in fleet.Spec: agents admit every request at once
}

// Candidates returns the policies to compare: first lovageshift's own, then the plain load balancers.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "lovageshift"},
		{"round robin", func() routing.Policy { return &routing.RoundRobin{} }, true},
		{"least outstanding", func() routing.Policy { return routing.LeastOutstanding{} }, true},
		{"random two choices", func() routing.Policy { return routing.PowerOfTwoChoices{} }, true},
	}
}

// FleetSpec returns a fleet that runs the policy on a dozen engines of two speeds in three availability zones, half of
// each zone's engines fast. It has the accounts of the classes, with quotas far above the load. The engines start cold.
func (c Candidate) FleetSpec(classes []Class, seed uint64) fleet.Spec {
	spec := fleet.Spec{Entries: entryCount, NewPolicy: c.NewPolicy, PassThrough: c.PassThrough, Seed: seed}
	for i := range engineCount {
		engine := fleet.Engine{
			ID:   lovageshift.TargetID(fmt.Sprintf("e%02d", i)),
			Zone: lovageshift.ZoneID([]string{"a", "b", "c"}[i%zoneCount]), MaxWaiting: maxWaiting,
		}
		if i/zoneCount%2 == 0 {
			engine.Profile, engine.MaxRunning = standin.FastProfile(), fastMaxRunning
		} else {
			engine.Profile, engine.MaxRunning = standin.SlowProfile(), slowMaxRunning
		}
		spec.Engines = append(spec.Engines, engine)
	}
	seen := map[lovageshift.AccountID]bool{}
	for _, class := range classes {
		if !seen[class.Account] {
			seen[class.Account] = true
			spec.Accounts = append(spec.Accounts, fleet.Account{ID: class.Account, Tier: class.Tier, Rate: ampleRate, Burst: ampleRate})
		}
	}
	return spec
}
