package lovageshift

// Limits bound what callers may send, how long work may take, and how much state processes keep.
type Limits struct {
	BodyBytes           int64  `toml:"bodyBytes"`           // of a request
	AnswerBytes         int64  `toml:"answerBytes"`         // of an engine's answer
	NestingDepth        int    `toml:"nestingDepth"`        // of a completion request's JSON
	RequestMillis       Millis `toml:"requestMillis"`       // until a completion request must be answered
	TransitMillis       Millis `toml:"transitMillis"`       // that a message may be in transit
	ConfirmMillis       Millis `toml:"confirmMillis"`       // that a confirmation of the configuration is valid
	LeaseMillis         Millis `toml:"leaseMillis"`         // that a lease of an account's tokens is valid
	ShareTokens         Tokens `toml:"shareTokens"`         // smallest share of an account's burst
	MaxShares           int    `toml:"maxShares"`           // most shares of an account's bucket
	ClockSkewMillis     Millis `toml:"clockSkewMillis"`     // between the wall clocks of callers and agents
	KeyLifetimeMillis   Millis `toml:"keyLifetimeMillis"`   // that an idempotency key may be sent again
	IdempotencyRecords  int    `toml:"idempotencyRecords"`  // calls that an agent keeps on record
	QuarantineMillis    Millis `toml:"quarantineMillis"`    // until a suspect expires
	RetryShare          int    `toml:"retryShare"`          // retries earned per hundred successes
	SubsetTargets       int    `toml:"subsetTargets"`       // targets of an entry, and peers of an agent
	UnconfirmedPolicy   string `toml:"unconfirmedPolicy"`   // one of the Unconfirmed constants
	WeightLoadsAtOnce   int    `toml:"weightLoadsAtOnce"`   // engines that change their model weights together
	CallerIdleMillis    Millis `toml:"callerIdleMillis"`    // that a caller may take to send its body or read a chunk
	EngineSilenceMillis Millis `toml:"engineSilenceMillis"` // between two parts of an engine's answer
}

// The policies for a process that cannot confirm its configuration: it always starts new work, never does, or does
// while more than half of its peers answer.
const (
	UnconfirmedOpen   = "open"
	UnconfirmedClosed = "closed"
	UnconfirmedQuorum = "quorum"
)

// DefaultLimits returns the limits that apply where the configuration sets none.
func DefaultLimits() Limits {
	return Limits{
		BodyBytes: 1 << 20, AnswerBytes: 8 << 20, NestingDepth: 64,
		RequestMillis: 120_000, TransitMillis: 2_000, ConfirmMillis: 4_000,
		LeaseMillis: 3_000, ShareTokens: 16_384, MaxShares: 8,
		ClockSkewMillis: 5_000, KeyLifetimeMillis: 900_000, IdempotencyRecords: 20_000,
		QuarantineMillis: 600_000, RetryShare: 10, SubsetTargets: 32,
		UnconfirmedPolicy: UnconfirmedQuorum, WeightLoadsAtOnce: 2,
		CallerIdleMillis: 30_000, EngineSilenceMillis: 30_000,
	}
}

func (l *Limits) validate() []Problem {
	var problems []Problem
	positive := []struct {
		name  string
		value int64
	}{
		{"bodyBytes", l.BodyBytes},
		{"answerBytes", l.AnswerBytes},
		{"nestingDepth", int64(l.NestingDepth)},
		{"requestMillis", int64(l.RequestMillis)},
		{"transitMillis", int64(l.TransitMillis)},
		{"confirmMillis", int64(l.ConfirmMillis)},
		{"leaseMillis", int64(l.LeaseMillis)},
		{"shareTokens", int64(l.ShareTokens)},
		{"maxShares", int64(l.MaxShares)},
		{"clockSkewMillis", int64(l.ClockSkewMillis)},
		{"keyLifetimeMillis", int64(l.KeyLifetimeMillis)},
		{"idempotencyRecords", int64(l.IdempotencyRecords)},
		{"quarantineMillis", int64(l.QuarantineMillis)},
		{"subsetTargets", int64(l.SubsetTargets)},
		{"weightLoadsAtOnce", int64(l.WeightLoadsAtOnce)},
		{"callerIdleMillis", int64(l.CallerIdleMillis)},
		{"engineSilenceMillis", int64(l.EngineSilenceMillis)},
	}
	for _, limit := range positive {
		if limit.value <= 0 {
			problems = append(problems, problem("limits."+limit.name, "must be above 0"))
		}
	}
	if l.RetryShare < 0 || l.RetryShare > 100 {
		problems = append(problems, problem("limits.retryShare", "must be a percentage from 0 to 100"))
	}
	switch l.UnconfirmedPolicy {
	case UnconfirmedOpen, UnconfirmedClosed, UnconfirmedQuorum:
	default:
		problems = append(problems, problem("limits.unconfirmedPolicy", "must be open, closed or quorum"))
	}
	return problems
}
