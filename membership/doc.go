// Package membership derives who works with whom from the configured targets
// and from what processes hear of each other. Nobody is elected: every process
// computes the same answer from the same list.
package membership
