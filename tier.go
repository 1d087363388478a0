package lovageshift

// Tier is the priority of client accounts' requests: their rank and their latency bounds.
type Tier struct {
	ID                  TierID `toml:"-"`
	Rank                Rank   `toml:"rank"`                // from 1 (served first) to 32 (LastRank); no two tiers have the same rank
	FirstTokenMillis    Millis `toml:"firstTokenMillis"`    // longest time from a request's arrival to its first output token
	BetweenTokensMillis Millis `toml:"betweenTokensMillis"` // bound of the inter-token latency; agents adapt the requests at once to the lowest of all tiers
}

func newTier(id TierID) *Tier {
	return &Tier{ID: id, FirstTokenMillis: 1700, BetweenTokensMillis: 30}
}

func (t *Tier) validate(config *Config) []Problem {
	var problems []Problem
	path := "tiers." + string(t.ID)
	if t.Rank < 1 || t.Rank > 32 {
		problems = append(problems, problem(path+".rank", "must be from 1 to 32"))
	}
	if t.FirstTokenMillis <= 0 {
		problems = append(problems, problem(path+".firstTokenMillis", "must be above 0 ms"))
	}
	if t.BetweenTokensMillis <= 0 {
		problems = append(problems, problem(path+".betweenTokensMillis", "must be above 0 ms"))
	}
	for _, other := range config.Tiers {
		if other.ID < t.ID && other.Rank == t.Rank {
			problems = append(problems, problem(path+".rank", "tier %q has the same rank", other.ID))
		}
	}
	return problems
}
