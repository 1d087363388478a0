// Package idempotency keeps the record of calls that must run at most once.
// Each key has one home agent; the agent runs a call only when it can prove
// that it would remember an earlier run of the same key.
package idempotency
