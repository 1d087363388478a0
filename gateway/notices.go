package gateway

import (
	"net/netip"
	"sync"

	"lovageshift"
	"lovageshift/placement"
	"lovageshift/platform"
	"lovageshift/wire"
)

// Most header faults of which it is kept that they were logged.
const maxLoggedFaults = 1024

// loggedFaults are the header faults that were logged.
type loggedFaults struct {
	mutex sync.Mutex
	seen  map[targetFault]struct{}
}

// targetFault is a header fault of one target.
type targetFault struct {
	target lovageshift.TargetID
	platform.HeaderFault
}

func newLoggedFaults() *loggedFaults { return &loggedFaults{seen: map[targetFault]struct{}{}} }

// add reports whether the fault is to be logged, as it was not before.
func (l *loggedFaults) add(fault targetFault) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, found := l.seen[fault]; found {
		return false
	}
	if len(l.seen) >= maxLoggedFaults {
		clear(l.seen)
	}
	l.seen[fault] = struct{}{}
	return true
}

// observe records what an incarnation of a target says of itself in the header of a response.
func (g *Gateway) observe(id lovageshift.TargetID, born int64, response platform.ResponseHeader) {
	for _, fault := range response.Faults {
		if g.loggedFaults.add(targetFault{id, fault}) {
			g.log.Info("targetHeaderFault", "target", id, "header", fault.Header, "fault", fault.Kind)
		}
	}
	now := g.clock.Now()
	switch {
	case response.RetryAfter > 0:
		if until := g.scheduler.RecordUnavailable(now, id, born, response.RetryAfter); until > 0 {
			g.log.Info("targetUnavailable", "target", id, "wantedMillis", response.RetryAfter, "forMillis", until, "request", response.RequestID)
		}
	case !response.NotRun && response.RequestID != "":
		g.scheduler.RecordAccepted(now, id, born)
	}
	if response.Leaving && g.scheduler.RecordLeaving(now, id, born) {
		g.log.Info("targetSaysLeaving", "target", id, "born", born, "request", response.RequestID)
	}
}

// maySend reports whether the incarnation of the target that started at born may get a new request.
func (g *Gateway) maySend(id lovageshift.TargetID, born int64) bool {
	view := g.tracker.View()
	return view != nil && view.MaySend(id, born) && !g.scheduler.IsLeaving(id, born)
}

// mergeLeaving applies another entry's reports of targets that leave.
func (g *Gateway) mergeLeaving(now lovageshift.Millis, from netip.Addr, messages []*wire.TargetLeaving) {
	if len(messages) == 0 {
		return
	}
	var reports []placement.LeavingReport
	for _, message := range messages {
		reports = append(reports, placement.LeavingReport{
			Target: placement.TargetHash(message.Target), Born: message.Born, Age: lovageshift.Millis(message.AgeMillis),
		})
	}
	for _, id := range g.scheduler.MergeLeaving(now, reports) {
		g.log.Info("targetReportedLeaving", "target", id, "peer", from.String())
	}
}

func leavingMessages(reports []placement.LeavingReport) []*wire.TargetLeaving {
	var messages []*wire.TargetLeaving
	for _, report := range reports {
		messages = append(messages, &wire.TargetLeaving{Target: uint32(report.Target), Born: report.Born, AgeMillis: uint32(report.Age)})
	}
	return messages
}
