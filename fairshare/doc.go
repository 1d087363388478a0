// Package fairshare counts the service that client accounts get, so that a queue can give the next slot to the account
// that has been served the least for its weight. Package admission orders an agent's queue by it, package placement the
// queue of a group of targets.
//
// A queue that serves its waiting requests in the order of their accounts' tallies gives each account that always has
// one waiting a share of the service in proportion to its weight, whatever it sends (start-time fair queueing). What is
// not served is not counted, so refused and canceled requests have no effect.
//
// The package reads no clock. Its types are not safe for concurrent use.
package fairshare
