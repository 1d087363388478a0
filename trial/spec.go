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
	ampleRate      = 10_000_000
	fastMaxRunning = 32
	slowMaxRunning = 16
	maxWaiting     = 32
)

// Candidate is a policy under comparison; a nil NewPolicy is the scheduler's own.
type Candidate struct {
	Name        string
	NewPolicy   func() routing.Policy
	PassThrough bool
}

// Candidates returns the scheduling policy, first, and the plain load balancers.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "lovageshift"},
		{"round robin", func() routing.Policy { return &routing.RoundRobin{} }, true},
		{"least outstanding", func() routing.Policy { return routing.LeastOutstanding{} }, true},
		{"random two choices", func() routing.Policy { return routing.PowerOfTwoChoices{} }, true},
	}
}

// FleetSpec returns a fleet of a dozen engines of two speeds in three availability zones, with quotas far above
// the load. The engines start cold.
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
