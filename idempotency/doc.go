// Package idempotency records calls that must run at most once, each known by
// an idempotency key. Each key has one home agent, which runs a call only if it
// has no record of the key and would still have one if the call had run before.
package idempotency
