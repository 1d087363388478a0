// Package eventlog writes one structured line for each decision. Lines are
// limited in rate and queued, so that a slow reader never blocks the program.
package eventlog
