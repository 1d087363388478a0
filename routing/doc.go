// Package routing chooses a target for a request from what one entry knows:
// the agents' last load reports with their measured speeds, the entry's own
// dispatches since those reports, recent failures, and the prompt prefixes that
// each target has probably cached.
package routing
