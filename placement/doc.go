// Package placement assigns requests to targets: it decides which target runs a request, which requests wait in a queue
// and which are refused. It does no network I/O and reads no clock; the current time is a parameter of its functions.
//
// The targets of a service are divided into groups. Each group has a coordinator, the entry that normally assigns its
// targets, and a backup, the entry that takes over from an unresponsive coordinator (see package reservation). A target
// is cold for a time after its start or its zone's return to service. During that time it sustains only a low request
// rate (see ColdMillis and ColdPerSecond of catalog.Service).
//
// The package handles bursts that exceed the slots of all targets, targets of different speed whose load is reported
// with a delay, and targets that reject requests, fail or are cold.
package placement
