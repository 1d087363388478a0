// Package soak runs entries as real processes on loopback with stand-in targets and a stand-in store, injects random
// faults from outside the processes, and checks what callers and targets saw against the system's invariants.
package soak
