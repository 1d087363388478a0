package catalog

import (
	"lovageshift"
)

// ServiceID identifies a service: a group of interchangeable targets.
type ServiceID string

// Kind is the kind of a route's requests: whether they may run more than once, and whether the response is a stream of
// events.
type Kind int

// Kinds of requests.
const (
	// KindUnsafe requests must not run more than once; it is the zero value.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered by a stream of events. They may run more than once if Route.Resumable is set.
	KindStream
)

// String returns the kind's name as shown to operators.
func (k Kind) String() string {
	switch k {
	case KindSafe:
		return "safe"
	case KindStream:
		return "stream"
	default:
		return "unsafe"
	}
}

// Route sends the requests for a host and a path prefix to one or several services.
type Route struct {
	ID   lovageshift.RouteID
	Host string
	// Prefix is compared with the path as a string: /a also matches /ab.
	Prefix string
	Kind   Kind
	// Timeout is the time from the arrival of a request at the entry to its deadline, in milliseconds, 0 for no deadline.
	Timeout lovageshift.Millis
	// Objective is the latency objective: the desired time to the answer, or to the first event of a stream, in
	// milliseconds. With 0, a default objective applies, and requests do not wait for tokens of their account's quota.
	Objective lovageshift.Millis
	// MaxGap is the longest pause between two events with which a stream is still on time, in milliseconds, 0 for no limit.
	MaxGap lovageshift.Millis
	// Rank orders requests of accounts with equal Account.Rank. Those on the route with the lowest rank are served first.
	Rank lovageshift.Rank
	// Splits divide the route's requests among services, as ServiceFor describes.
	Splits []Split
	// Attempts is how many times a repeatable request (see Repeatable) may run, at least 1. An attempt that the target did
	// not run is not counted.
	Attempts int
	// Anonymous is set if requests on the route need no key.
	Anonymous bool
	// Resumable is set if an interrupted stream may continue on another target after the last event that was sent to the
	// caller. It applies to KindStream only.
	Resumable bool
}

// Split gives a service a share of a route's requests in proportion to Weight. A weight of 0 gives no share, unless all
// splits of the route have the weight 0.
type Split struct {
	Service ServiceID
	Weight  int
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// ServiceFor maps a point in [0, 1) to a service: the splits divide that interval, in their order and in proportion to
// their weights. It returns "" if there are no splits, and the service of the last split if all weights are 0.
func (r *Route) ServiceFor(point float64) ServiceID {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	remaining := point * float64(total)
	for _, split := range r.Splits {
		remaining -= float64(split.Weight)
		if remaining < 0 {
			return split.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Allows reports whether the route has a split of the service with a weight above 0.
func (r *Route) Allows(service ServiceID) bool {
	for _, split := range r.Splits {
		if split.Service == service && split.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is the operator's configuration of a group of interchangeable targets. A target that has just started, or
// whose zone has just returned to service, is cold: until Target.ColdUntil the entries send it requests only at a
// limited rate.
type Service struct {
	ID ServiceID
	// ConnectionLimit is the number of connections that one target accepts from all entries together, 0 for no bound.
	ConnectionLimit int
	// ColdPerSecond is the request rate that a cold target sustains, in requests per second, 0 if cold targets need no
	// limit.
	ColdPerSecond float64
	// ColdMillis is how long a target stays cold after its start or its zone's return to service, in milliseconds. After a
	// known start, the target's record has the time that remains (Target.ColdRemaining).
	ColdMillis lovageshift.Millis
	// Engine is true for engines, which batch requests and cache prompts, and false for plain services.
	Engine bool
	// EngineSlots is the number of requests that an engine runs at once unless its record says otherwise (Target.Slots).
	// It is 0 for a plain service.
	EngineSlots int
	// EventTokens is the number of output tokens in one event of an engine's stream, 0 if unknown.
	EventTokens int
}

// Account is a client account with its keys and its quota of tokens.
type Account struct {
	ID   lovageshift.AccountID
	Keys []string
	// Rank orders the requests of different accounts; those of the account with the lowest rank are served first. HasRank
	// is false if the operator gave no rank; a default then applies in place of Rank.
	Rank    lovageshift.Rank
	HasRank bool
	// Rate and Burst limit the account's use over all entries together: Rate in tokens per second, 0 for no limit, and
	// Burst in tokens.
	Rate  float64
	Burst float64
	// DefaultCharge is the number of tokens charged for a request that declares no token counts, unless PerRequest is set.
	DefaultCharge lovageshift.Tokens
	// PerRequest is set if every request is charged one token, whatever token counts it declares.
	PerRequest bool
}
