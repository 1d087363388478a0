// Package idempotency records calls that must run at most once, each known by
// an idempotency key. Only the agent of one target, the key's home, may run calls
// with the key. It runs a call only if it has no record of the key and if the
// absence of a record proves that no call with the key has run before.
package idempotency
