// Package exchange shares state among the entries of an installation, such as
// their use of client accounts, and keeps a list of the other entries and of
// which of them are live.
//
// At a short interval, every entry sends its state, called a state update, in one
// UDP datagram each to the next few of the other entries, so that its cost does
// not grow with their number. The next update makes up for a lost one. Which
// entries are live is spread by gossip: an update also lists the newest
// heartbeats of some other entries, so that an entry is known to be live within a
// few intervals, long before its own update arrives. A stream per pair of entries
// would only add connections that can become unresponsive.
package exchange
