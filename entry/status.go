package entry

import (
	"net/http"

	"lovageshift"
	"lovageshift/metrics"
)

// Status is an entry's view, for operators.
type Status struct {
	Process       string                          `json:"process"`
	Ready         bool                            `json:"ready"`
	Draining      bool                            `json:"draining"`
	Revision      lovageshift.Revision            `json:"revision"`
	Hash          string                          `json:"hash"`
	Trust         string                          `json:"trust"`
	ConfirmedAgo  lovageshift.Millis              `json:"confirmedAgoMillis"`
	SourceReads   int64                           `json:"sourceReads"`
	Connections   int                             `json:"connections"`
	AccountsInUse int                             `json:"accountsInUse"`
	Zones         map[lovageshift.ZoneID]bool     `json:"zonesInService"`
	Targets       map[lovageshift.TargetID]Target `json:"targets"`
	Refusals      metrics.Counts                  `json:"refusals"`
	Retries       metrics.Counts                  `json:"retries"`
}

// Target is what an entry knows of a target.
type Target struct {
	Zone        lovageshift.ZoneID `json:"zone"`
	InService   bool               `json:"inService"`
	TakesWork   bool               `json:"takesWork"`
	Outstanding int                `json:"outstanding"`
}

// Status returns the entry's present view.
func (e *Entry) Status() Status {
	status := Status{
		Process: string(e.options.ID), Ready: e.Ready(), Draining: e.draining.Load(),
		Trust: e.node.Trust().String(), ConfirmedAgo: e.node.Revisions.ConfirmedAgo(e.node.Now()),
		SourceReads: e.node.SourceReads(), Connections: e.node.Pool.OpenConnections(),
		Zones: map[lovageshift.ZoneID]bool{}, Targets: map[lovageshift.TargetID]Target{},
		Refusals: e.options.Metrics.Counts(metrics.Refusals), Retries: e.options.Metrics.Counts(metrics.Retries),
	}
	e.walletMutex.Lock()
	status.AccountsInUse = e.wallet.Accounts()
	e.walletMutex.Unlock()
	if config := e.node.Revisions.Config(); config != nil {
		e.describe(config, &status)
	}
	return status
}

func (e *Entry) describe(config *lovageshift.Config, status *Status) {
	status.Revision, status.Hash = config.Revision, config.Hash
	for id, zone := range config.Zones {
		status.Zones[id] = zone.InService
	}
	e.mutex.Lock()
	defer e.mutex.Unlock()
	for id := range e.links {
		target := config.Targets[id]
		if target == nil {
			continue
		}
		_, takes := e.board.Accepts(id)
		status.Targets[id] = Target{
			Zone: target.Zone, InService: config.TargetInService(id),
			TakesWork: takes, Outstanding: e.board.Outstanding(id),
		}
	}
}

// Operators serves metrics and the status, on an address of its own.
func (e *Entry) Operators() http.Handler {
	return e.options.Metrics.Operators(func() any { return e.Status() })
}

// RegisterGauges shows the revision in force, the trust in it and the open connections among the metrics.
func (e *Entry) RegisterGauges() error { return e.node.RegisterGauges() }
