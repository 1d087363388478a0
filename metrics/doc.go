// Package metrics holds the counters, histograms and gauges of a process, built
// on OpenTelemetry and served in the Prometheus format.
package metrics
