// Package metrics holds the counters, histograms and gauges of a process, built
// on OpenTelemetry and served in the Prometheus format.
//
// Exported names don't change, because dashboards and alerts use them. Some of
// them therefore differ from the Go names: the exported names say answers for
// responses, cold starts for cold resets, and belief changes for record changes.
// For the same reason every counter and histogram has one label, which is named
// "reason" even if its value is an outcome, a result, a cause, a kind or a
// receiver.
package metrics
