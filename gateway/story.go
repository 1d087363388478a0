package gateway

import (
	"strings"

	"lovageshift"
	"lovageshift/metrics"
	"lovageshift/placement"
)

// story is what the log tells of a request when it ends.
type story struct {
	target     lovageshift.TargetID
	zone       lovageshift.ZoneID
	running    int
	throttled  lovageshift.Millis
	waited     lovageshift.Millis
	sentAt     lovageshift.Millis
	firstByte  lovageshift.Millis
	firstEvent lovageshift.Millis
	events     int
	// lastEvent is when the last event arrived, longestGap the longest time between two.
	lastEvent  lovageshift.Millis
	longestGap lovageshift.Millis
	status     int
	detail     string
}

func (s *story) note(place *placement.Slot) {
	s.target, s.zone, s.running = place.Target.ID, place.Target.Zone, place.Running
	s.firstByte, s.firstEvent = 0, 0
}

func (s *story) noteEvent(now lovageshift.Millis) {
	if s.events > 0 {
		s.longestGap = max(s.longestGap, now-s.lastEvent)
	}
	s.events++
	s.lastEvent = now
}

// oneLine joins the lines in which wrapped errors come.
func oneLine(detail string) string { return strings.ReplaceAll(detail, "\n\t", "; ") }

// tell writes the one line with which a request ends.
func (r *request) tell(outcome, detail string) {
	g := r.gateway
	if detail == "" {
		detail = r.story.detail
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
	g.counts.Add(metrics.Answers, outcome, 1)
	g.counts.Observe(metrics.RequestSeconds, outcome, g.clock.Now()-r.arrived)
	if r.job != nil {
		g.counts.Observe(metrics.WaitSeconds, outcome, r.story.waited)
	}
	if r.story.firstEvent > 0 {
		g.counts.Observe(metrics.FirstEventSeconds, outcome, r.story.firstEvent)
	}
	g.log.Info(outcome, "request", r.ask.ID, "status", r.story.status, "detail", detail,
		"route", route, "rank", rank, "account", account, "cost", r.cost, "prompt", r.ask.Prompt, "output", r.ask.Output,
		"version", r.version, "viewAgeMillis", g.tracker.ViewAge(),
		"target", r.story.target, "zone", r.story.zone, "running", r.story.running, "tried", r.tried(),
		"throttledMillis", r.story.throttled, "waitedMillis", r.story.waited, "firstByteMillis", r.story.firstByte, "firstEventMillis", r.story.firstEvent,
		"events", r.story.events, "longestGapMillis", r.story.longestGap, "totalMillis", g.clock.Now()-r.arrived)
}

func (r *request) tried() int {
	if r.job == nil {
		return 0
	}
	return len(r.job.Tried)
}
