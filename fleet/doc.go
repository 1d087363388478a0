// Package fleet runs entries, agents and stand-in back ends in one process over an
// in-memory network with injectable faults, for tests and measurements.
package fleet
