// Package peer keeps the configuration of a process the same as that of all
// others, and spreads the suspects of crashes. A few processes watch what the
// platform publishes. The others learn of a new revision from the messages that
// they exchange, and fetch the files they lack from the peer that reported it.
package peer
