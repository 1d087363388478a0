// Package idempotency records calls that must run at most once. Each key has
// one home agent, which runs a call only if it can prove that an earlier run
// of the same key would still be on record.
package idempotency
