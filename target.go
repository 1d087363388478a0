package lovageshift

import "net/netip"

// Kind says whether a target is a model engine or a plain service.
type Kind string

// The kinds of targets.
const (
	KindEngine  Kind = "engine"  // a model engine
	KindService Kind = "service" // a replica of a plain service
)

// Target is one engine or one replica of a plain service, with the address of its agent.
type Target struct {
	ID            TargetID `toml:"-"`
	Kind          Kind     `toml:"kind"`
	Zone          ZoneID   `toml:"zone"`
	Address       string   `toml:"address"`       // IP:port of the engine or replica
	Agent         string   `toml:"agent"`         // IP:port of its agent
	Model         ModelID  `toml:"model"`         // model that the engine runs; engines only
	Adapter       string   `toml:"adapter"`       // adapter that the engine runs, or "" for none; engines only
	Version       string   `toml:"version"`       // version of the model weights that the engine loads; engines only
	Role          string   `toml:"role"`          // mixed, prefill or decode; entries send requests only to mixed; engines only
	Route         RouteID  `toml:"route"`         // route whose calls the replica serves; plain services only
	Generation    string   `toml:"generation"`    // free text; an entry's subset takes a proportional part of each generation (membership.Subset)
	ColdLimit     int      `toml:"coldLimit"`     // most requests at once when the target is cold (admission.ConcurrencyLimiter)
	MaxRunning    int      `toml:"maxRunning"`    // most requests at once when the target is warm
	MaxWaiting    int      `toml:"maxWaiting"`    // most requests in the agent's queue
	ChecksFencing bool     `toml:"checksFencing"` // the engine refuses an order whose fencing number is not above the last one
	InService     bool     `toml:"inService"`     // if false, the target gets no new requests, even if its zone is in service
}

func newTarget(id TargetID) *Target {
	return &Target{
		ID: id, Kind: KindEngine, InService: true, Role: "mixed",
		ColdLimit: 2, MaxRunning: 16, MaxWaiting: 32,
	}
}

func (t *Target) validate(config *Config) []Problem {
	var problems []Problem
	path := "targets." + string(t.ID)
	problems = append(problems, t.validateBackEnd(config, path)...)
	if config.Zones[t.Zone] == nil {
		problems = append(problems, problem(path+".zone", "no zone %q", t.Zone))
	}
	if _, err := netip.ParseAddrPort(t.Address); err != nil {
		problems = append(problems, problem(path+".address", "must be IP:port, got %q", t.Address))
	}
	if _, err := netip.ParseAddrPort(t.Agent); err != nil {
		problems = append(problems, problem(path+".agent", "must be IP:port, got %q", t.Agent))
	}
	if t.ColdLimit < 1 {
		problems = append(problems, problem(path+".coldLimit", "must be at least 1 request"))
	}
	if t.MaxRunning < t.ColdLimit {
		problems = append(problems, problem(path+".maxRunning", "must be at least coldLimit"))
	}
	if t.MaxWaiting < 0 {
		problems = append(problems, problem(path+".maxWaiting", "must not be negative"))
	}
	return problems
}

func (t *Target) validateBackEnd(config *Config, path string) []Problem {
	switch {
	case t.Kind == KindEngine && config.Models[t.Model] == nil:
		return []Problem{problem(path+".model", "no model %q", t.Model)}
	case t.Kind == KindService && config.Routes[t.Route] == nil:
		return []Problem{problem(path+".route", "no route %q", t.Route)}
	case t.Kind != KindEngine && t.Kind != KindService:
		return []Problem{problem(path+".kind", "must be engine or service, got %q", t.Kind)}
	case t.Role != "mixed" && t.Role != "prefill" && t.Role != "decode":
		return []Problem{problem(path+".role", "must be mixed, prefill or decode, got %q", t.Role)}
	default:
		return nil
	}
}
