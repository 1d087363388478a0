// Package quarantine links the resends of a request that crashes its target,
// so that it costs at most two targets.
package quarantine
