// Package exchange shares state among the entries of an installation and keeps
// the list of those that are live. Every entry sends its whole state to every
// other in one datagram at a short interval, so the next datagram makes up for
// a lost one. A stream per pair of entries would only add connections that can
// become unresponsive.
package exchange
