// Package routing chooses a target for a request from what one entry knows:
// the agents' last load reports, the entry's own dispatches since then, the
// measured speeds, and the prompt prefixes that each target has probably cached.
package routing
