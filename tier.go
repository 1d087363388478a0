package lovageshift

// Tier is a class of requests with its rank and its latency limits.
type Tier struct {
	ID                  TierID `toml:"-"`
	Rank                Rank   `toml:"rank"`                // from 1, served first, to 32; no two tiers have the same
	FirstTokenMillis    Millis `toml:"firstTokenMillis"`    // longest time until the first output token
	BetweenTokensMillis Millis `toml:"betweenTokensMillis"` // longest time between two output tokens
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
