package lovageshift

import "net/netip"

// Kind says what stands behind a target.
type Kind string

// The kinds of targets.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// Target is one engine or one replica of a plain service, with its agent.
type Target struct {
	ID            TargetID `toml:"-"`
	Kind          Kind     `toml:"kind"`
	Zone          ZoneID   `toml:"zone"`
	Address       string   `toml:"address"`
	Agent         string   `toml:"agent"`
	Model         ModelID  `toml:"model"`
	Adapter       string   `toml:"adapter"`
	Version       string   `toml:"version"`
	Role          string   `toml:"role"`
	Route         RouteID  `toml:"route"`
	Generation    string   `toml:"generation"`
	ColdLimit     int      `toml:"coldLimit"`
	MaxRunning    int      `toml:"maxRunning"`
	MaxWaiting    int      `toml:"maxWaiting"`
	ChecksFencing bool     `toml:"checksFencing"`
	InService     bool     `toml:"inService"`
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
