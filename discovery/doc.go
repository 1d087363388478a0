// Package discovery follows the platform's metadata store. It keeps an entry's
// local copy of the store's records, which are the catalog, the targets and the
// availability zones out of service. It also tracks how long ago the revision of
// that copy was last confirmed, that is, the store was known to have no newer
// one, either from the store itself or from another entry. Two of the entries, the
// readers, watch the store for all and send its changes to the others.
package discovery
