package catalog

import (
	"lovageshift"
)

// ServiceID identifies a service: a group of interchangeable targets.
type ServiceID string

// Kind is the kind of a route's requests: whether they may run more than once, and whether a stream answers them.
type Kind int

// Kinds of requests.
const (
	// KindUnsafe requests must not run more than once; it is the zero value.
	KindUnsafe Kind = iota
	// KindSafe requests may run more than once.
	KindSafe
	// KindStream requests are answered by a stream of events; they may run more than once if the route is resumable.
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
	// Timeout is how long the final answer to a request may take from its arrival, in milliseconds, 0 for no bound.
	Timeout lovageshift.Millis
	// Objective is the latency objective: the desired time to the answer, or to the first event of a stream, in
	// milliseconds, 0 for the default.
	Objective lovageshift.Millis
	// Rank orders requests of accounts of equal rank; the lowest is served first.
	Rank lovageshift.Rank
	// Splits divide the requests among the services.
	Splits []Split
	// Attempts is the maximum number of targets that one request may run on, at least 1.
	Attempts int
	// Anonymous routes take requests without a key.
	Anonymous bool
	// Resumable is set if an interrupted stream may continue on another target after the last event sent to the client.
	Resumable bool
}

// Split gives a service a share of a route's requests in proportion to Weight; a weight of 0 gets no share.
type Split struct {
	Service ServiceID
	Weight  int
}

// Repeatable reports whether a request on the route may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// ServiceFor maps a point in [0, 1) to a service: the splits divide that interval in proportion to their weights. It
// returns "" if there are no splits, and the service of the last split if all weights are 0.
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

// Service is the operator's configuration of a group of targets.
type Service struct {
	ID ServiceID
	// ConnectionLimit is the number of connections that one target accepts from all entries together, 0 for no bound.
	ConnectionLimit int
	// ColdPerSecond is the request rate that a cold target sustains, in requests per second, 0 for no bound.
	ColdPerSecond float64
	// ColdMillis is how long a target stays cold after its start or its zone's return to service, in milliseconds.
	ColdMillis lovageshift.Millis
	// Engine is true for engines, which batch requests and cache prompts, and false for plain services.
	Engine bool
	// EngineSlots is the number of requests that an engine runs at once, 0 for a plain service.
	EngineSlots int
	// EventTokens is the number of tokens in one event of a stream, 0 if unknown.
	EventTokens int
}

// Account is a client account with its keys and its quota of tokens.
type Account struct {
	ID   lovageshift.AccountID
	Keys []string
	// Rank orders requests before the route's rank does; the lowest is served first. HasRank is false if the operator
	// gave none, and the default rank of an account applies.
	Rank    lovageshift.Rank
	HasRank bool
	// Rate is in tokens per second over all entries together, 0 for no limit; Burst is in tokens. With PerRequest, each
	// request counts as one token.
	Rate  float64
	Burst float64
	// DefaultCharge is charged for a request that declares no token counts.
	DefaultCharge lovageshift.Tokens
	// PerRequest charges one token for every request, whatever its token counts.
	PerRequest bool
}
