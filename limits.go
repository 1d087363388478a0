package lovageshift

// Limits bound what callers may send, how long work may take, and how much state processes keep.
type Limits struct {
	BodyBytes           int64  `toml:"bodyBytes"`           // most bytes of a request's body
	AnswerBytes         int64  `toml:"answerBytes"`         // most bytes of an answer of an engine or a plain service
	NestingDepth        int    `toml:"nestingDepth"`        // most levels of nested values in a completion request's JSON
	RequestMillis       Millis `toml:"requestMillis"`       // time from the arrival of a completion request to its deadline
	TransitMillis       Millis `toml:"transitMillis"`       // longest time that a message is assumed to be in transit
	ConfirmMillis       Millis `toml:"confirmMillis"`       // time for which a process may rely on a confirmation that its configuration is the newest
	LeaseMillis         Millis `toml:"leaseMillis"`         // time for which a lease of an account's tokens is valid
	ShareTokens         Tokens `toml:"shareTokens"`         // smallest burst of one share, if an account's bucket is divided into several
	MaxShares           int    `toml:"maxShares"`           // most shares that an account's bucket is divided into (package grant)
	ClockSkewMillis     Millis `toml:"clockSkewMillis"`     // largest difference between the wall clocks of callers and agents
	KeyLifetimeMillis   Millis `toml:"keyLifetimeMillis"`   // longest time from the creation of an idempotency key to a call with it
	IdempotencyRecords  int    `toml:"idempotencyRecords"`  // most calls with idempotency keys that an agent keeps on record
	QuarantineMillis    Millis `toml:"quarantineMillis"`    // time from a suspect's last crash until it is forgotten (package quarantine)
	RetryShare          int    `toml:"retryShare"`          // retries that an account and a target each earn at an entry per hundred successes
	SubsetTargets       int    `toml:"subsetTargets"`       // about how many targets an entry dispatches to; also the most peers of an agent
	UnconfirmedPolicy   string `toml:"unconfirmedPolicy"`   // open, closed or quorum, as explained at the constants below
	WeightLoadsAtOnce   int    `toml:"weightLoadsAtOnce"`   // about how many engines load model weights at the same time during a rollout
	CallerIdleMillis    Millis `toml:"callerIdleMillis"`    // longest time for a caller to send a request's whole body, and to accept one write of the response
	EngineSilenceMillis Millis `toml:"engineSilenceMillis"` // longest time in which an engine or a plain service sends nothing during a request
}

// The values of Limits.UnconfirmedPolicy. They say what a process does with new requests when the last confirmation
// that its configuration is the newest is older than Limits.ConfirmMillis. Confirmations come from the configuration's
// source.
const (
	UnconfirmedOpen   = "open"   // accepts new requests
	UnconfirmedClosed = "closed" // refuses new requests
	UnconfirmedQuorum = "quorum" // accepts new requests while more than half of its peers have recently reported no newer configuration
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
