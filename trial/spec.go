package trial

import (
	"fmt"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/routing"
	"lovageshift/standin"
)

const (
	replicas     = 12
	zones        = 3
	entries      = 3
	ampleRate    = 10_000_000
	fastRunning  = 32
	slowRunning  = 16
	placesToWait = 32
)

// Candidate is a policy under comparison.
type Candidate struct {
	Name        string
	NewPolicy   func() routing.Policy
	PassThrough bool
}

// Candidates returns our policy and the plain balancers.
func Candidates() []Candidate {
	return []Candidate{
		{Name: "lovageshift"},
		{"round robin", func() routing.Policy { return &routing.RoundRobin{} }, true},
		{"least outstanding", func() routing.Policy { return routing.LeastOutstanding{} }, true},
		{"random two choices", func() routing.Policy { return routing.PowerOfTwoChoices{} }, true},
	}
}

// FleetSpec returns a fleet of a dozen engines of two speeds in three zones with warm engines and ample grants.
func (c Candidate) FleetSpec(classes []Class, seed uint64) fleet.Spec {
	spec := fleet.Spec{Entries: entries, NewPolicy: c.NewPolicy, PassThrough: c.PassThrough, Seed: seed}
	for i := range replicas {
		engine := fleet.Engine{
			ID:   lovageshift.TargetID(fmt.Sprintf("e%02d", i)),
			Zone: lovageshift.ZoneID([]string{"a", "b", "c"}[i%zones]), MaxWaiting: placesToWait,
		}
		if i/zones%2 == 0 {
			engine.Profile, engine.MaxRunning = standin.FastProfile(), fastRunning
		} else {
			engine.Profile, engine.MaxRunning = standin.SlowProfile(), slowRunning
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
