// Package link connects the system's own processes: it dials and listens with
// mutual TLS, or without TLS on loopback, pools drpc connections and serves drpc
// calls.
package link
