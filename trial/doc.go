// Package trial compares the scheduler with plain load balancers. It sends workloads with fixed seeds to fleets of the
// real entries and agents over stand-in engines, and measures the replies. Its tests run them on virtual time.
package trial
