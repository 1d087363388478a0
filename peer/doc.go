// Package peer keeps the configuration of one process equal to that of all
// others: a few processes watch what the platform publishes, the rest hear of a
// new revision on the messages that they exchange and fetch the files they lack
// from whoever told them.
package peer
