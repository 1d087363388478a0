// Package quarantine recognizes a request that crashes its target when it is
// sent again, so that it costs at most two targets.
package quarantine
