// Package admission decides which requests an agent lets its target run. Queue
// orders waiting requests by tier and client account. ConcurrencyLimiter bounds
// how many requests run at once, above all while the target warms up. ReplayWindow
// refuses dispatches that were seen before, were in transit for too long or come
// from an older incarnation of an entry.
//
// The types do no I/O and start no goroutine. They are not safe for concurrent
// use: the code that uses them holds a lock and passes the current time, in
// milliseconds of the agent's clock.
package admission
