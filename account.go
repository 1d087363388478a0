package lovageshift

import "slices"

// Account is a client account: its tier, the rate and size of its token bucket, and the models and routes that it may
// call.
type Account struct {
	ID     AccountID `toml:"-"`
	Tier   TierID    `toml:"tier"`
	Rate   Tokens    `toml:"rate"`   // refill rate of the account's bucket, in tokens per second
	Burst  Tokens    `toml:"burst"`  // capacity of the bucket, in tokens
	Models []string  `toml:"models"` // models that the account may call; an empty list allows all
	Routes []string  `toml:"routes"` // routes that the account may call; an empty list allows all
}

// MayUseModel reports whether the account may call the model; an empty list allows all.
func (a *Account) MayUseModel(model ModelID) bool {
	return len(a.Models) == 0 || slices.Contains(a.Models, string(model))
}

// MayUseRoute reports whether the account may call the route; an empty list allows all.
func (a *Account) MayUseRoute(route RouteID) bool {
	return len(a.Routes) == 0 || slices.Contains(a.Routes, string(route))
}

func (a *Account) validate(config *Config) []Problem {
	var problems []Problem
	path := "accounts." + string(a.ID)
	if config.Tiers[a.Tier] == nil {
		problems = append(problems, problem(path+".tier", "no tier %q", a.Tier))
	}
	if a.Rate <= 0 {
		problems = append(problems, problem(path+".rate", "must be above 0 tokens a second"))
	}
	if a.Burst <= 0 {
		problems = append(problems, problem(path+".burst", "must be above 0 tokens"))
	}
	for _, model := range a.Models {
		if config.Models[ModelID(model)] == nil {
			problems = append(problems, problem(path+".models", "no model %q", model))
		}
	}
	for _, route := range a.Routes {
		if config.Routes[RouteID(route)] == nil {
			problems = append(problems, problem(path+".routes", "no route %q", route))
		}
	}
	return problems
}
