// Package retry is the one place that decides whether a request is tried
// again, and keeps the budgets that limit retries.
package retry
