package lovageshift

import (
	"slices"
	"strings"
)

// Route leads calls below a path prefix to a plain service.
type Route struct {
	ID            RouteID  `toml:"-"`
	Prefix        string   `toml:"prefix"`
	Methods       []string `toml:"methods"`
	Repeatable    bool     `toml:"repeatable"`
	Open          bool     `toml:"open"`
	TimeoutMillis Millis   `toml:"timeoutMillis"`
	CostTokens    Tokens   `toml:"costTokens"`
}

func newRoute(id RouteID) *Route {
	return &Route{ID: id, Methods: []string{"GET"}, TimeoutMillis: 10_000, CostTokens: 1}
}

// Allows reports whether the route takes the HTTP method.
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
