// Package agent is the process beside a target. Only the agent sends requests
// to its target, so it makes the decisions that must be serialized for that
// target: admission, the cold-start limit, the record of calls that run at most
// once, and orders to the engine. It also issues leases of shares of client
// accounts' buckets.
package agent
