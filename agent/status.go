package agent

import (
	"net/http"

	"lovageshift"
	"lovageshift/metrics"
)

// Status is an agent's state, for operators. Trust tells how far the agent can rely on its configuration being the
// newest (see revision.Trust). ConfirmedAgo and InterTokenLatency are in milliseconds, PrefillSpeed is in prompt tokens
// per second. SharesInUse counts the shares of accounts' token buckets for which the agent holds a bucket.
type Status struct {
	Process            string               `json:"process"`
	Revision           lovageshift.Revision `json:"revision"`
	Hash               string               `json:"hash"`
	Trust              string               `json:"trust"`
	ConfirmedAgo       lovageshift.Millis   `json:"confirmedAgoMillis"`
	SourceReads        int64                `json:"sourceReads"`
	InService          bool                 `json:"inService"`
	Draining           bool                 `json:"leaving"`
	TargetDown         bool                 `json:"engineDown"`
	Cold               bool                 `json:"cold"`
	ConcurrencyLimit   int                  `json:"limit"`
	InterTokenLatency  float64              `json:"gapMillis"`
	PrefillSpeed       float64              `json:"prefillTokensPerSecond"`
	Running            int                  `json:"running"`
	Waiting            int                  `json:"waiting"`
	SharesInUse        int                  `json:"sharesInUse"`
	IdempotencyRecords int                  `json:"callsOnRecord"`
	Refusals           metrics.Counts       `json:"refusals"`
	Retries            metrics.Counts       `json:"retries"`
}

// Status returns the agent's present state.
func (a *Agent) Status() Status {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	status := Status{
		Process: string(a.options.Target), Trust: a.node.Trust().String(),
		ConfirmedAgo: a.node.Revisions.ConfirmedAgo(a.node.Now()), SourceReads: a.node.SourceReads(),
		Draining: a.draining, TargetDown: a.targetDown, Cold: a.limiter.Cold(), ConcurrencyLimit: a.limiter.Limit(),
		InterTokenLatency: a.interTokenLatency(), PrefillSpeed: a.limiter.PrefillSpeed(),
		Running: a.queue.Running(), Waiting: len(a.queue.Waiting()),
		SharesInUse: a.issuer.Buckets(), IdempotencyRecords: a.ledger.Len(),
		Refusals: a.options.Metrics.Counts(metrics.Refusals), Retries: a.options.Metrics.Counts(metrics.Retries),
	}
	if a.config != nil {
		status.Revision, status.Hash = a.config.Revision, a.config.Hash
		status.InService = a.config.TargetInService(a.options.Target)
	}
	return status
}

// OperatorHandler returns the HTTP handler for the metrics and the status, served on an address of its own.
func (a *Agent) OperatorHandler() http.Handler {
	return a.options.Metrics.OperatorRouter(func() any { return a.Status() })
}

// RegisterGauges adds gauges of the revision in force, the trust in it, the open connections and the reads of the
// configuration source to the metrics.
func (a *Agent) RegisterGauges() error { return a.node.RegisterGauges() }
