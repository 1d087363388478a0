// Package reservation requests slots at targets from the entry that assigns them. The targets of a service are divided
// into groups. Rendezvous hashing gives each group to one of the live entries, its coordinator, which grants the slots
// of the group's targets and so is the only entry that knows of all requests there without delay.
//
// The package is meant for many entries that share few slots: entries that learn of each other's load only late would
// all choose the same free slot, or none.
package reservation
