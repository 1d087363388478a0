package gateway

import (
	"sync"

	"lovageshift"
)

// Weight of a new answer in the average of its route's output.
const outputWeight = 0.05

// outputAverages keeps the moving average of the output tokens of each route's complete answers. Callers declare the most
// that they accept, often many times what they get.
type outputAverages struct {
	mutex  sync.Mutex
	tokens map[lovageshift.RouteID]float64
}

func newOutputAverages() *outputAverages {
	return &outputAverages{tokens: map[lovageshift.RouteID]float64{}}
}

func (o *outputAverages) add(route lovageshift.RouteID, tokens int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	average, found := o.tokens[route]
	if !found {
		average = float64(tokens)
	}
	o.tokens[route] = average + outputWeight*(float64(tokens)-average)
}

// of returns the route's average, 0 if it has had no complete answer.
func (o *outputAverages) of(route lovageshift.RouteID) lovageshift.Tokens {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	return lovageshift.Tokens(o.tokens[route])
}

// expectedOutput returns the expected number of output tokens: the caller's estimate or else the average of the route,
// but no more than the caller declared; 0 if neither is known.
func (r *request) expectedOutput() lovageshift.Tokens {
	expected := r.headers.OutputEstimate
	if expected == 0 {
		expected = r.gateway.outputs.of(r.route.ID)
	}
	if r.headers.HasTokenCounts {
		expected = min(expected, r.headers.OutputTokens)
	}
	return expected
}

// tokenMicros returns the mean time between two output tokens of the stream from the last target, in microseconds, 0 if
// that target has sent too few events to measure it.
func (r *request) tokenMicros() int64 {
	const minEvents = 4
	events := r.summary.targetEvents
	if events < minEvents {
		return 0
	}
	between := r.summary.lastEventAt - r.summary.sentAt - r.summary.firstEventOfTarget
	return int64(between) * 1000 / int64((events-1)*r.tokensPerEvent)
}
