package gateway

import (
	"fmt"
	"strings"

	"lovageshift"
	"lovageshift/metrics"
	"lovageshift/placement"
)

// requestSummary holds values that are logged when a request ends.
type requestSummary struct {
	// target, zone, release and running describe the last target to which the request was to be sent. running is how many requests
	// of all entries that target had, as far as known, when it was chosen.
	target  lovageshift.TargetID
	zone    lovageshift.ZoneID
	release lovageshift.SoftwareVersion
	running int
	// obstacles is what kept the request from the targets that can run it, if it was last refused a slot.
	obstacles placement.Obstacles
	// elsewhere is the load of the groups that were not asked for a slot then.
	elsewhere placement.GroupLoad
	// groups is how many groups were last asked for a slot.
	groups int
	// throttled is how long the request had to wait for its account's tokens.
	throttled lovageshift.Millis
	// waited is the time from the request's arrival until it last got a slot or was refused one.
	waited lovageshift.Millis
	// sentAt is when the last attempt to send the request began. firstByte is the time from then to the response header,
	// firstEvent that to the first event, each 0 if there was none. firstEvent also stays 0 if an earlier target has sent
	// events.
	sentAt     lovageshift.Millis
	firstByte  lovageshift.Millis
	firstEvent lovageshift.Millis
	// targetEvents is the number of events that the last target has sent, and firstEventOfTarget the time from sentAt to the
	// first of them.
	targetEvents       int
	firstEventOfTarget lovageshift.Millis
	// sound is set once the last target has sent events for so long that the prompt cannot have crashed it.
	sound bool
	// events is the number of events that all targets together have sent.
	events int
	// lastEventAt is when the last event arrived. maxEventGap is the longest time between two successive events, also of
	// different targets.
	lastEventAt lovageshift.Millis
	maxEventGap lovageshift.Millis
	// status is the HTTP status sent to the caller, 0 if none has been sent.
	status int
	// detail is the error of writing the body of a complete response to the caller, "" if there was none.
	detail string
}

// setTarget records the target of an attempt that has been sent, and when it was.
func (s *requestSummary) setTarget(l *leg) {
	slot := l.slot
	s.sentAt = l.sentAt
	s.target, s.zone, s.release, s.running = slot.Target.ID, slot.Target.Zone, slot.Target.Version, slot.Running
	s.firstByte, s.firstEvent, s.targetEvents, s.sound = 0, 0, 0, false
}

// firstEventAt returns when the last target sent its first event, 0 if it has sent none.
func (s *requestSummary) firstEventAt() lovageshift.Millis {
	if s.targetEvents == 0 {
		return 0
	}
	return s.sentAt + s.firstEventOfTarget
}

func (s *requestSummary) addEvent(now lovageshift.Millis) {
	if s.events > 0 {
		s.maxEventGap = max(s.maxEventGap, now-s.lastEventAt)
	}
	if s.targetEvents == 0 {
		s.firstEventOfTarget = now - s.sentAt
	}
	s.events++
	s.targetEvents++
	s.lastEventAt = now
}

// oneLine joins the lines of a wrapped error's text.
func oneLine(detail string) string { return strings.ReplaceAll(detail, "\n\t", "; ") }

// observeEnd counts the request by the event of its end, and records its times.
func (r *request) observeEnd(logEvent string) {
	g := r.gateway
	g.metrics.Add(metrics.Responses, logEvent, 1)
	g.metrics.Observe(metrics.RequestSeconds, logEvent, g.clock.Now()-r.arrived)
	if r.job != nil {
		g.metrics.Observe(metrics.WaitSeconds, logEvent, r.summary.waited)
	}
	if r.summary.firstEvent > 0 {
		g.metrics.Observe(metrics.FirstEventSeconds, logEvent, r.summary.firstEvent)
	}
}

// logEnd logs the end of the request, and counts and times the request in the metrics. The event of the log line is
// answered, refused or brokenOff; it is also the value of the metrics' label.
func (r *request) logEnd(logEvent, detail string) {
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
	r.observeEnd(logEvent)
	if r.summary.obstacles != (placement.Obstacles{}) {
		detail += " (" + describeObstacles(r.summary.obstacles) + ")"
	}
	fields := []any{
		"request", r.headers.ID, "status", r.summary.status, "detail", detail,
		"route", route, "rank", rank, "account", account, "cost", r.cost,
		"prompt", r.headers.PromptTokens, "output", r.headers.OutputTokens, "expectedOutput", r.loggedOutput(),
		"version", r.version, "viewAgeMillis", g.tracker.ViewAge(),
		"target", r.summary.target, "zone", r.summary.zone, "release", r.summary.release, "resumes", r.headers.Resumes, "running", r.summary.running, "tried", r.triedCount(),
		"throttledMillis", r.summary.throttled, "waitedMillis", r.summary.waited, "firstByteMillis", r.summary.firstByte, "firstEventMillis", r.summary.firstEvent,
		"events", r.summary.events, "longestGapMillis", r.summary.maxEventGap, "totalMillis", g.clock.Now() - r.arrived,
	}
	if r.summary.groups > 1 {
		fields = append(fields, "groupsAsked", r.summary.groups)
	}
	if load := r.summary.elsewhere; load.Groups > 0 {
		fields = append(fields, "otherGroups", load.Groups, "freeElsewhere", load.Free, "waitingElsewhere", load.Waiting)
	}
	g.log.Info(logEvent, fields...)
}

// recordGroups counts a request for which a second group was asked.
func (r *request) recordGroups(decision placement.Decision) {
	r.summary.groups = decision.Groups
	if decision.Groups < 2 {
		return
	}
	answer := "refused"
	if decision.Slot != nil {
		answer = "granted"
	}
	r.gateway.metrics.Add(metrics.SecondGroups, answer, 1)
}

// triedCount returns the number of targets at which the request got a slot, including targets that turned out to be
// unknown to this entry.
func (r *request) triedCount() int {
	if r.job == nil {
		return 0
	}
	return len(r.job.Tried)
}

// partIDs returns the IDs of the prompt's parts, separated by commas.
func (r *request) partIDs() string {
	ids := make([]string, 0, len(r.headers.PromptParts))
	for _, part := range r.headers.PromptParts {
		ids = append(ids, part.ID)
	}
	return strings.Join(ids, ",")
}

// loggedOutput returns the expected output tokens by which the target was chosen, 0 if the request did not get that far.
func (r *request) loggedOutput() lovageshift.Tokens {
	if r.job == nil {
		return 0
	}
	return r.job.ExpectedOutput
}

// describeObstacles returns the counts that are not 0, such as "targets: 2 full, 1 cold".
func describeObstacles(o placement.Obstacles) string {
	var parts []string
	for _, count := range []struct {
		targets int
		reason  string
	}{
		{o.Leaving, "leaving"},
		{o.Tried, "tried before"},
		{o.Backoff, "in backoff"},
		{o.MayHaveRestarted, "may have restarted"},
		{o.Cold, "cold"},
		{o.Limited, "limited"},
		{o.Full, "full"},
		{o.Free, "free, with others first"},
	} {
		if count.targets > 0 {
			parts = append(parts, fmt.Sprintf("%d %s", count.targets, count.reason))
		}
	}
	if o.Unavailable > 0 {
		parts = append(parts, fmt.Sprintf("%d unavailable, the first for %d ms more", o.Unavailable, o.UnavailableFor))
	}
	return "targets: " + strings.Join(parts, ", ")
}
