// Package reservation requests slots at targets from the entry that assigns them. The targets of a service are divided
// into groups, and rendezvous hashing gives each group to one of the live entries, its coordinator, which alone knows of
// all requests at the group's targets.
//
// It serves many entries in front of few slots: entries that learn of each other's load only late would all choose the
// same free slot, or none.
package reservation
