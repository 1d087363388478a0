package agent

import (
	"net/http"

	"lovageshift"
	"lovageshift/metrics"
)

// Status is an agent's view, for operators.
type Status struct {
	Process      string               `json:"process"`
	Revision     lovageshift.Revision `json:"revision"`
	Hash         string               `json:"hash"`
	Trust        string               `json:"trust"`
	ConfirmedAgo lovageshift.Millis   `json:"confirmedAgoMillis"`
	SourceReads  int64                `json:"sourceReads"`
	InService    bool                 `json:"inService"`
	Leaving      bool                 `json:"leaving"`
	EngineDown   bool                 `json:"engineDown"`
	Cold         bool                 `json:"cold"`
	Limit        int                  `json:"limit"`
	GapMillis    float64              `json:"gapMillis"`
	Speed        float64              `json:"prefillTokensPerSecond"`
	Running      int                  `json:"running"`
	Waiting      int                  `json:"waiting"`
	Shares       int                  `json:"sharesInUse"`
	Calls        int                  `json:"callsOnRecord"`
	Refusals     metrics.Counts       `json:"refusals"`
	Retries      metrics.Counts       `json:"retries"`
}

// Status returns the agent's present view.
func (a *Agent) Status() Status {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	status := Status{
		Process: string(a.options.Target), Trust: a.node.Trust().String(),
		ConfirmedAgo: a.node.Revisions.ConfirmedAgo(a.node.Now()), SourceReads: a.node.SourceReads(),
		Leaving: a.stopping, EngineDown: a.down, Cold: a.warmth.Cold(), Limit: a.warmth.Limit(),
		GapMillis: a.gap(), Speed: a.warmth.PrefillSpeed(),
		Running: a.room.Running(), Waiting: len(a.room.Waiting()),
		Shares: a.keeper.Buckets(), Calls: a.ledger.Len(),
		Refusals: a.options.Metrics.Counts(metrics.Refusals), Retries: a.options.Metrics.Counts(metrics.Retries),
	}
	if a.config != nil {
		status.Revision, status.Hash = a.config.Revision, a.config.Hash
		status.InService = a.config.TargetInService(a.options.Target)
	}
	return status
}

// Operators serves metrics and the status, on an address of its own.
func (a *Agent) Operators() http.Handler {
	return a.options.Metrics.Operators(func() any { return a.Status() })
}

// RegisterGauges shows the revision in force, the trust in it and the open connections among the metrics.
func (a *Agent) RegisterGauges() error { return a.node.RegisterGauges() }
