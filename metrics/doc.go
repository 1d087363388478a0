// Package metrics holds the counters, histograms and gauges of a process, built
// on OpenTelemetry and served in the Prometheus format.
//
// Exported names are fixed, as dashboards and alerts use them. Some keep an
// earlier word for what the Go name says: answers for responses, cold starts for
// cold resets, and belief changes for record changes. For the same reason the one
// label of every counter and histogram is named "reason", also where its value is
// an outcome, a result, a cause, a kind or a receiver.
package metrics
