// Package eventlog writes one structured line for each event, such as the end of
// a request or a retry. Each event has a rate limit, beyond which its lines are
// dropped. The others are queued, or dropped if the queue is full, so that a slow
// reader of the log never blocks the program.
package eventlog
