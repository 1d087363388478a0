// Package peer distributes the configuration, so that all processes come to have
// the newest one in force. It also passes on suspects: the fingerprints of
// requests that were running when their target crashed. A few processes, the
// watchers, read the configurations that the platform publishes. The others learn
// of a new revision from messages between processes: each carries a stamp, which
// names the revision that its sender has in force. They then fetch the files that
// they lack from the peer that reported the revision.
package peer
