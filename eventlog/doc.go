// Package eventlog writes one structured line for each event, such as the end of
// a request or a retry. Lines of an event beyond its rate limit are dropped. The
// others are queued, so that a slow reader of the log never blocks the program.
package eventlog
