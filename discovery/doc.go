// Package discovery follows the platform's metadata store. It keeps an entry's
// local copy of the store's records, which are the catalog, the targets and the
// availability zones out of service, and tracks how long ago that copy was
// confirmed to be the newest.
package discovery
