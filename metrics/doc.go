// Package metrics counts what a process does, through OpenTelemetry, and
// serves the counts in the Prometheus format.
package metrics
