// Package routing chooses a target for a request from what one entry knows:
// the agents' last reports, what the entry itself has sent since, the measured
// speeds, and the prompt prefixes that each target has probably cached.
package routing
