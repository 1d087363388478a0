// Package engine is the HTTP client that an agent uses to reach its target: a
// model engine or a replica of a plain service. Resumption, reports and orders
// exist for model engines only.
package engine
