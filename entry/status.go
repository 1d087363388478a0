package entry

import (
	"net/http"

	"lovageshift"
	"lovageshift/metrics"
)

// Status is the state of an entry as operators see it at /status.
type Status struct {
	Process       string                                `json:"process"`
	Ready         bool                                  `json:"ready"`
	Draining      bool                                  `json:"draining"`
	Revision      lovageshift.Revision                  `json:"revision"`
	Hash          string                                `json:"hash"`               // of the configuration
	Trust         string                                `json:"trust"`              // how far the revision can be relied on as the newest (revision.Trust)
	ConfirmedAgo  lovageshift.Millis                    `json:"confirmedAgoMillis"` // since the revision was last confirmed as the newest; -1 if never
	SourceReads   int64                                 `json:"sourceReads"`        // reads of the configuration source, including failed ones
	Connections   int                                   `json:"connections"`        // open connections to agents, idle or in use
	AccountsInUse int                                   `json:"accountsInUse"`      // client accounts with leases or recent demand (grant.LeaseCache.Accounts)
	Zones         map[lovageshift.ZoneID]bool           `json:"zonesInService"`     // whether each availability zone is in service
	Targets       map[lovageshift.TargetID]TargetStatus `json:"targets"`            // those of the subset
	Refusals      metrics.Counts                        `json:"refusals"`           // by reason
	Retries       metrics.Counts                        `json:"retries"`            // by the reason of the refusal before the retry
}

// TargetStatus is what an entry knows of one target of its subset.
type TargetStatus struct {
	Zone        lovageshift.ZoneID `json:"zone"`
	InService   bool               `json:"inService"`   // whether both the target and its zone are in service
	TakesWork   bool               `json:"takesWork"`   // agent reachable and not shutting down, and target not down; does not depend on InService
	Outstanding int                `json:"outstanding"` // number of dispatches of this entry to the target that have not ended
}

// Status returns the entry's current state.
func (e *Entry) Status() Status {
	status := Status{
		Process: string(e.options.ID), Ready: e.Ready(), Draining: e.draining.Load(),
		Trust: e.node.Trust().String(), ConfirmedAgo: e.node.Revisions.ConfirmedAgo(e.node.Now()),
		SourceReads: e.node.SourceReads(), Connections: e.node.Pool.OpenConnections(),
		Zones: map[lovageshift.ZoneID]bool{}, Targets: map[lovageshift.TargetID]TargetStatus{},
		Refusals: e.options.Metrics.Counts(metrics.Refusals), Retries: e.options.Metrics.Counts(metrics.Retries),
	}
	e.leaseMutex.Lock()
	status.AccountsInUse = e.leases.Accounts()
	e.leaseMutex.Unlock()
	if config := e.node.Revisions.Config(); config != nil {
		e.fillConfigStatus(config, &status)
	}
	return status
}

// fillConfigStatus sets the fields of the status that depend on the configuration: revision, hash, zones and targets.
func (e *Entry) fillConfigStatus(config *lovageshift.Config, status *Status) {
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
		_, acceptsWork := e.loads.Accepts(id)
		status.Targets[id] = TargetStatus{
			Zone: target.Zone, InService: config.TargetInService(id),
			TakesWork: acceptsWork, Outstanding: e.loads.Outstanding(id),
		}
	}
}

// OperatorHandler returns the HTTP handler for the metrics and the status, served on an address of its own.
func (e *Entry) OperatorHandler() http.Handler {
	return e.options.Metrics.OperatorRouter(func() any { return e.Status() })
}

// RegisterGauges adds gauges for the revision in force, the trust in it, the open connections and the source reads to the
// metrics.
func (e *Entry) RegisterGauges() error { return e.node.RegisterGauges() }
