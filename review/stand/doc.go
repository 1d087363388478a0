// Command stand runs one case of the review: it starts the built programs as separate processes on loopback addresses, with a
// stand-in of the platform's store, replicas and clients of its own, and checks one rule by what these have seen.
package main
