package entry

import (
	"net"

	"k8s.io/klog/v2"

	"lovageshift"
	"lovageshift/connection"
	"lovageshift/metrics"
)

// newCallerListener returns the listener that decides when the connections of callers are closed.
func (e *Entry) newCallerListener(listener net.Listener) *connection.Listener {
	return connection.NewListener(listener, connection.Options{
		Clock: e.options.Clock, Limit: e.options.MaxConnections, HeaderTimeout: readHeaderTimeout,
		OnFull: e.callersFull, OnUnanswered: e.logUnanswered,
		TooSlow:  encodeRefusal(lovageshift.NotRun(lovageshift.ReasonHeaderTooSlow, "the header came too slowly")),
		Stopping: encodeRefusal(stoppingRefusal()),
	})
}

// logUnanswered logs and counts a connection that was closed although a request on it had no answer.
func (e *Entry) logUnanswered(c connection.Unanswered) {
	e.options.Metrics.Add(metrics.ClosedUnanswered, c.State.String(), 1)
	klog.Infof("entry %s: closed the connection of %s without an answer: state %s, %d bytes, the last one %d ms ago, draining %v",
		e.options.ID, c.Caller, c.State, c.Received, c.Age, e.draining.Load())
}

// callersFull makes room for another connection of a caller, by evicting bodies that have stalled.
func (e *Entry) callersFull() { e.options.Budget.EvictStalled(e.options.Clock.Now()) }
