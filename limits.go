package lovageshift

// Limits bounds what callers may send and how long work may take.
type Limits struct {
	BodyBytes           int64  `toml:"bodyBytes"`
	AnswerBytes         int64  `toml:"answerBytes"`
	NestingDepth        int    `toml:"nestingDepth"`
	RequestMillis       Millis `toml:"requestMillis"`
	TransitMillis       Millis `toml:"transitMillis"`
	ConfirmMillis       Millis `toml:"confirmMillis"`
	LeaseMillis         Millis `toml:"leaseMillis"`
	ShareTokens         Tokens `toml:"shareTokens"`
	MaxShares           int    `toml:"maxShares"`
	ClockSkewMillis     Millis `toml:"clockSkewMillis"`
	KeyLifetimeMillis   Millis `toml:"keyLifetimeMillis"`
	IdempotencyRecords  int    `toml:"idempotencyRecords"`
	QuarantineMillis    Millis `toml:"quarantineMillis"`
	RetryShare          int    `toml:"retryShare"`
	SubsetTargets       int    `toml:"subsetTargets"`
	UnconfirmedPolicy   string `toml:"unconfirmedPolicy"`
	WeightLoadsAtOnce   int    `toml:"weightLoadsAtOnce"`
	CallerIdleMillis    Millis `toml:"callerIdleMillis"`
	EngineSilenceMillis Millis `toml:"engineSilenceMillis"`
}

// The policies for a process that cannot confirm its configuration.
const (
	UnconfirmedOpen   = "open"
	UnconfirmedClosed = "closed"
	UnconfirmedQuorum = "quorum"
)

// DefaultLimits returns the limits in force where the configuration names none.
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
