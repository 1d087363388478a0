// Package exchange shares state among the entries of an installation and keeps
// the list of the other entries, with which of them are live. At a short
// interval, every entry sends its state to every other in one UDP datagram, the
// state update, so the next state update makes up for a lost one. A stream per
// pair of entries would only add connections that can become unresponsive.
package exchange
