// Package retry limits retries. Budget decides whether a refused dispatch is
// retried, and limits the retries per client account and per target. WindowBudget
// limits the retries to each service in a sliding window, but does not check
// whether a request may run again: its caller decides that.
package retry
