// Package discovery follows the platform's metadata store. It keeps an entry's
// local copy of the routes, client accounts, targets and availability zones in
// the store, and tracks how long ago that copy was confirmed to be the newest.
package discovery
