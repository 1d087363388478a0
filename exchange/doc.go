// Package exchange shares state among the entries of an installation, such as
// their use of client accounts, and keeps a list of the other entries and of
// which of them are live. At a short interval, every entry sends its whole state
// to every other entry in one UDP datagram, called a state update. The next state
// update therefore makes up for a lost one. A stream per pair of entries would
// only add connections that can become unresponsive.
package exchange
