// Package trial measures the policy over real entries and agents with stand-in
// engines on virtual time, beside plain balancers, with fixed seeds.
package trial
