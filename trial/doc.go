// Package trial compares the scheduling policy with plain load balancers. It runs
// the real entries and agents over stand-in engines on virtual time, with fixed seeds.
package trial
