// Package agent implements the process beside a target. Only the agent sends
// requests to its target, so it makes the decisions that must be serialized for
// that target: admission, the concurrency limit while the target warms up, the
// record of calls with an idempotency key, which run at most once, and orders to
// the engine. It also leases tokens of client accounts to entries: an account's
// token bucket is divided into shares, each of which one agent owns.
package agent
