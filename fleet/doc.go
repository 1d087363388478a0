// Package fleet brings up entries, agents and stand-ins in one process over an
// in-memory network with faults, for tests and measurements.
package fleet
