// Package retry limits retries. Budget decides whether a refused dispatch is
// retried and counts retries per client account and per target; WindowBudget
// only counts the retries to each service in a sliding window, so its caller
// decides whether a request may be retried at all.
package retry
