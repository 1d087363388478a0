package catalog

import (
	"lovageshift"
)

// ServiceID names a service: a group of targets that can stand in for each other.
type ServiceID string

// Kind says what may be repeated of a request.
type Kind int

// The kinds of requests; the zero value may not be repeated.
const (
	KindUnsafe Kind = iota
	KindSafe
	KindStream
)

// String returns the kind's name in logs.
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

// Route leads requests below a path prefix of a host to one or several services.
type Route struct {
	ID     lovageshift.RouteID
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest a request may stay without its final answer, 0 for no bound.
	Timeout lovageshift.Millis
	// Objective is the time to the answer, or to the first event of a stream, that callers hope for.
	Objective lovageshift.Millis
	Rank      lovageshift.Rank
	Splits    []Split
	// Attempts is on how many targets one request may run, at least 1.
	Attempts  int
	Anonymous bool
	// Resumable streams may go on at another target after the last event that was sent.
	Resumable bool
}

// Split gives a service its part of a route's requests.
type Split struct {
	Service ServiceID
	Weight  int
}

// Repeatable reports whether a request may run more than once.
func (r *Route) Repeatable() bool {
	return r.Kind == KindSafe || (r.Kind == KindStream && r.Resumable)
}

// ServiceFor returns the service that the point in [0, 1) falls on by the splits' weights.
func (r *Route) ServiceFor(point float64) ServiceID {
	total := 0
	for _, split := range r.Splits {
		total += split.Weight
	}
	rest := point * float64(total)
	for _, split := range r.Splits {
		rest -= float64(split.Weight)
		if rest < 0 {
			return split.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}

// Allows reports whether the route may send a request to the service.
func (r *Route) Allows(service ServiceID) bool {
	for _, split := range r.Splits {
		if split.Service == service && split.Weight > 0 {
			return true
		}
	}
	return false
}

// Service is what the operator says of a group of targets.
type Service struct {
	ID ServiceID
	// ConnectionLimit is how many connections one target takes from all entries together.
	ConnectionLimit int
	// ColdPerSecond is how many requests a second a cold target bears, 0 for no bound.
	ColdPerSecond float64
	// ColdMillis is how long a target stays cold after it starts.
	ColdMillis lovageshift.Millis
	// Engine tells engines, which batch and cache prompts, from plain services.
	Engine bool
	// EngineSlots is how many requests an engine runs at once, 0 for a plain service.
	EngineSlots int
	// EventTokens is how many tokens an event of a stream holds, 0 if unknown.
	EventTokens int
}

// Account is a client account with its keys and its grant of tokens.
type Account struct {
	ID   lovageshift.AccountID
	Keys []string
	// Rank orders accounts; HasRank tells that the operator gave one.
	Rank    lovageshift.Rank
	HasRank bool
	// Rate is in tokens a second over all entries together, 0 for no limit.
	Rate  float64
	Burst float64
	// DefaultCharge is what a request without token counts is charged.
	DefaultCharge lovageshift.Tokens
	// PerRequest charges every request one unit, whatever its tokens.
	PerRequest bool
}
