package lovageshift

import (
	"slices"
	"strings"
)

// Route sends the calls whose path begins with a prefix to a plain service.
type Route struct {
	ID            RouteID  `toml:"-"`
	Prefix        string   `toml:"prefix"`        // begins and ends with /
	Methods       []string `toml:"methods"`       // HTTP methods of the calls
	Repeatable    bool     `toml:"repeatable"`    // calls may run more than once; if false, each needs an Idempotency-Key header
	Open          bool     `toml:"open"`          // calls need no key of a client account
	TimeoutMillis Millis   `toml:"timeoutMillis"` // time from a call's arrival at the entry to its deadline
	CostTokens    Tokens   `toml:"costTokens"`    // charged to the account for each call
}

func newRoute(id RouteID) *Route {
	return &Route{ID: id, Methods: []string{"GET"}, TimeoutMillis: 10_000, CostTokens: 1}
}

// Allows reports whether the route accepts the HTTP method.
func (r *Route) Allows(method string) bool { return slices.Contains(r.Methods, method) }

func (r *Route) validate(config *Config) []Problem {
	var problems []Problem
	path := "routes." + string(r.ID)
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") || strings.HasPrefix(r.Prefix, "/v1/") {
		problems = append(problems, problem(path+".prefix", "must begin and end with / and not be below /v1/"))
	}
	if r.TimeoutMillis <= 0 {
		problems = append(problems, problem(path+".timeoutMillis", "must be above 0 ms"))
	}
	if r.CostTokens < 0 {
		problems = append(problems, problem(path+".costTokens", "must not be negative"))
	}
	for _, other := range config.Routes {
		if other.ID < r.ID && other.Prefix == r.Prefix {
			problems = append(problems, problem(path+".prefix", "route %q has the same prefix", other.ID))
		}
	}
	return problems
}
