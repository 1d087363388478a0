// Package link connects the system's own processes: it dials with mutual TLS,
// pools drpc connections and serves drpc calls.
package link
