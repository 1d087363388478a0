// Package gateway serves callers' HTTP requests on the users' platform, where
// the entry sends them directly to targets. It authenticates a request, charges
// its account, waits for a slot at a target, sends the request and forwards the
// target's response, or reports whether the request ran.
package gateway
