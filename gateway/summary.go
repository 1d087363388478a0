package gateway

import (
	"strings"

	"lovageshift"
	"lovageshift/metrics"
	"lovageshift/placement"
)

// requestSummary collects values that are logged when a request ends.
type requestSummary struct {
	// target, zone and running describe the last target that the request was sent to; running is how many requests the
	// target had when it was chosen.
	target  lovageshift.TargetID
	zone    lovageshift.ZoneID
	running int
	// throttled is the wait for the account's tokens.
	throttled lovageshift.Millis
	// waited is the time from the request's arrival to the last slot or refusal.
	waited lovageshift.Millis
	// sentAt is when the request was last sent. firstByte and firstEvent are the times from then to the response header
	// and to the first event, 0 if there was none; firstEvent also stays 0 if an earlier target has sent events.
	sentAt     lovageshift.Millis
	firstByte  lovageshift.Millis
	firstEvent lovageshift.Millis
	// events is the number of events that all targets together have sent.
	events int
	// lastEventAt is when the last event arrived, maxEventGap the longest time between two successive events.
	lastEventAt lovageshift.Millis
	maxEventGap lovageshift.Millis
	// status is the HTTP status sent to the caller, 0 before that.
	status int
	// detail is the error of writing the response, "" if there was none.
	detail string
}

// setTarget records the target of a new attempt.
func (s *requestSummary) setTarget(slot *placement.Slot) {
	s.target, s.zone, s.running = slot.Target.ID, slot.Target.Zone, slot.Running
	s.firstByte, s.firstEvent = 0, 0
}

func (s *requestSummary) addEvent(now lovageshift.Millis) {
	if s.events > 0 {
		s.maxEventGap = max(s.maxEventGap, now-s.lastEventAt)
	}
	s.events++
	s.lastEventAt = now
}

// oneLine joins the lines of a wrapped error's text.
func oneLine(detail string) string { return strings.ReplaceAll(detail, "\n\t", "; ") }

// logEnd writes the log line about the end of the request, and adds the request to the metrics of its outcome.
func (r *request) logEnd(outcome, detail string) {
	g := r.gateway
	if detail == "" {
		detail = r.summary.detail
	}
	detail = oneLine(detail)
	var route lovageshift.RouteID
	var rank lovageshift.Rank
	if r.route != nil {
		route, rank = r.route.ID, r.route.Rank
	}
	var account lovageshift.AccountID
	if r.account != nil {
		account = r.account.ID
	}
	g.metrics.Add(metrics.Responses, outcome, 1)
	g.metrics.Observe(metrics.RequestSeconds, outcome, g.clock.Now()-r.arrived)
	if r.job != nil {
		g.metrics.Observe(metrics.WaitSeconds, outcome, r.summary.waited)
	}
	if r.summary.firstEvent > 0 {
		g.metrics.Observe(metrics.FirstEventSeconds, outcome, r.summary.firstEvent)
	}
	g.log.Info(outcome, "request", r.headers.ID, "status", r.summary.status, "detail", detail,
		"route", route, "rank", rank, "account", account, "cost", r.cost,
		"prompt", r.headers.PromptTokens, "output", r.headers.OutputTokens,
		"version", r.version, "viewAgeMillis", g.tracker.ViewAge(),
		"target", r.summary.target, "zone", r.summary.zone, "running", r.summary.running, "tried", r.triedCount(),
		"throttledMillis", r.summary.throttled, "waitedMillis", r.summary.waited, "firstByteMillis", r.summary.firstByte, "firstEventMillis", r.summary.firstEvent,
		"events", r.summary.events, "longestGapMillis", r.summary.maxEventGap, "totalMillis", g.clock.Now()-r.arrived)
}

// triedCount returns the number of targets that were assigned to the request.
func (r *request) triedCount() int {
	if r.job == nil {
		return 0
	}
	return len(r.job.Tried)
}
