// Package peer keeps the configuration of a process the same as that of all
// others, and passes on suspects: the fingerprints of requests that were running
// when their target crashed. A few processes watch the configurations that the
// platform publishes. The others learn of a new revision from the stamps in the
// messages between processes, and fetch the files that they lack from the peer
// that reported the revision.
package peer
