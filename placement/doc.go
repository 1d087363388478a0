// Package placement assigns requests to targets: it decides which target runs a request, which requests wait in a queue
// and which are refused. It does no network I/O and reads no clock; callers pass the time.
//
// It handles bursts beyond the slots of all targets, targets of different speed whose load is known late, and targets
// that refuse, fail or are cold.
package placement
