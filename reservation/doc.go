// Package reservation obtains slots at targets from the entry that assigns them. The targets of a service are divided
// into groups. Rendezvous hashing gives each group to one of the live entries, its coordinator, which grants the slots
// of the group's targets and so is the only entry that knows of all requests at these targets without delay. The live
// entry with the second-highest score is the group's backup, from which slots are requested while the coordinator is
// unresponsive.
//
// An entry obtains a slot for one of its jobs (a caller's request) by a reservation request to the coordinator, which
// replies that the reservation is granted, queued or refused. The entry repeats the message with the same id until the
// reservation is granted or refused, and sends an end message when it no longer needs the slot.
//
// The package is meant for many entries that share few slots: entries that learned of each other's load only after a
// delay would all choose the same free slot, or none.
package reservation
