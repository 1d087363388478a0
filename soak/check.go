package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"lovageshift"
)

// Invariant is a documented guarantee of the system.
type Invariant string

// The invariants that Check checks.
const (
	AtMostOnce           Invariant = "a request that must not be repeated runs at most once"
	RefusedNotRun        Invariant = "a request refused as not run has not run"
	RequestUnchanged     Invariant = "a target receives what the caller sent, for the account that holds the key"
	ResponseIntact       Invariant = "a response belongs to its request, and a truncated one does not look complete"
	OneVersion           Invariant = "a stream goes on only at the software version that began it"
	StreamIntact         Invariant = "the events of a stream arrive once, in order, from one run"
	KeysRevoked          Invariant = "a revoked key works nowhere after the revocation bound"
	ZonesEvacuated       Invariant = "a zone that was taken out of service receives no requests after the evacuation bound"
	TargetsDrained       Invariant = "a draining target receives no requests after the drain bound"
	LeavingNotUsed       Invariant = "a target that says that it leaves receives no requests from that entry after the drain bound"
	RefusingNotUsed      Invariant = "a target that says for how long it refuses requests receives few from that entry until then"
	ColdRateLimited      Invariant = "a cold target receives no more requests than its cold rate allows"
	QuotaEnforced        Invariant = "an account uses no more than its quota"
	RetriesBounded       Invariant = "repeated arrivals stay within the retry budget"
	FatalRequestsStopped Invariant = "a request that crashes targets is stopped"
	FatalPartsStopped    Invariant = "requests with a part of their prompts that crashes targets are stopped"
	TargetLimitsKept     Invariant = "a target receives no more requests than the limit that it names"
	NoLossOnStopOrReload Invariant = "a stop or a reload loses no dispatched request"
	BegunAnswered        Invariant = "a request of which an entry received a part is answered, also while the entry stops"
	AnsweredByDeadline   Invariant = "requests are answered by the deadline of their route"
	ValidNotDenied       Invariant = "valid requests are not denied"
	NoUnexpectedExits    Invariant = "processes exit only when told to, and without an error"
	NoDataRaces          Invariant = "no data races"
	ServedAfterRecovery  Invariant = "requests are served again after recovery"
)

// Violation is an invariant that a run violated. Detail says what was seen and where.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Bounds that the checks enforce. boundSettings writes those of them that are settings of entries to the settings files.
const (
	// Bounds of time apply to an entry only after this long without a fault that affects the entry, all entries or the
	// store. This concerns the checks of zones, draining targets, fatal requests and deadlines (History.Settled).
	settleMillis lovageshift.Millis = 4000
	// How long after its revocation a key may still be accepted.
	revokeMillis lovageshift.Millis = 5000
	// How long after a zone was taken out of service its targets may still receive requests.
	evacuationMillis lovageshift.Millis = 5000
	// How long after a target began to drain it may still receive requests.
	drainBoundMillis lovageshift.Millis = 3000
	// A target that refuses a request with a time to wait may receive retryAfterRequests more from the same entry between
	// retryAfterDelay after the refusal and the end of that time.
	retryAfterDelay    lovageshift.Millis = 500
	retryAfterRequests                    = 2
	// How long an old quota may still apply after it was replaced by another.
	quotaApplyMillis lovageshift.Millis = 3000
	// How long after the last fault requests must be served again.
	recoveryMillis lovageshift.Millis = 12000
	// How long a process may take to exit after SIGTERM.
	stopGraceMillis lovageshift.Millis = 8000
	// The same with Options.Ends, when the entry ends what still runs.
	shortGraceMillis lovageshift.Millis = 1500
	// Window in which repeated arrivals are counted against the retry budget.
	budgetWindow lovageshift.Millis = 10000
	// Window in which tokens are counted against the quota.
	quotaWindow lovageshift.Millis = 8000
	// A response counts as late if it ends more than this after the deadline of its route.
	deadlineTolerance lovageshift.Millis = 500
	// Window in which arrivals at a cold target are counted. Targets are cold for coldMillis after a start or a reset.
	coldWindow lovageshift.Millis = 1000
	// Repeated arrivals allowed in a window: this ratio of the requests sent in a window, plus the slack.
	budgetRatio = 0.2
	budgetSlack = 20
	// Tokens allowed in a window: the quota, this fraction of the quota, and the slack.
	quotaOvershoot = 0.25
	quotaSlack     = 500
	// Requests that a cold target may receive in a window: its cold rate times coldOvershoot, plus the slack.
	coldOvershoot = 1.5
	coldSlack     = 5
	// A request that has crashed targets fatalCrashes times must be stopped. Crashes within settleMillis of the last of
	// these, or while bounds of time do not apply, are not counted. Of the others, fatalSlack are allowed.
	fatalCrashes = 3
	fatalSlack   = 3
	// The same for a part of prompts.
	fatalPartCrashes = 5
	// Requests that a target may receive in limitWindow, from settleMillis after it named limitPerSecond: limitOvershoot times
	// what the limit allows, plus the slack.
	limitWindow    lovageshift.Millis = 4000
	limitPerSecond                    = 2
	limitOvershoot                    = 1.5
	limitSlack                        = 5
	// Denials of valid requests allowed: the slack, plus one in deniedOneIn requests.
	deniedSlack = 5
	deniedOneIn = 500
	// Late responses violate the invariant if there are at least minLate and they exceed one in lateOneIn.
	minLate   = 8
	lateOneIn = 4
	// At least one in servedOneIn requests must be served after recovery.
	servedOneIn = 4
	// An HTTP status divided by statusClassDivisor gives its class; 4 is the class of client errors.
	statusClassDivisor = 100
	clientErrorClass   = 4

	maxViolationsPerInvariant = 5
)

// Check returns the violations in a history, at most maxViolationsPerInvariant for each invariant.
func Check(h *History) []Violation {
	c := &checker{
		History: h, attemptByID: h.indexAttempts(), arrivalsByID: h.indexArrivals(), counts: map[Invariant]int{},
	}
	for _, check := range []func(){
		c.checkExits, c.checkAtMostOnce, c.checkRefusals, c.checkRequests, c.checkResponses, c.checkStreams, c.checkVersions,
		c.checkKeys, c.checkZones, c.checkDraining, c.checkLeaving, c.checkRefusing, c.checkColdRate, c.checkQuota,
		c.checkRetryBudget, c.checkFatalRequests, c.checkFatalParts, c.checkLimits, c.checkLostRequests, c.checkBegunRequests,
		c.checkDeadlines, c.checkDenied, c.checkServed,
	} {
		check()
	}
	return c.violations
}

// checker collects the violations of one history.
type checker struct {
	*History
	attemptByID  map[string]*Attempt
	arrivalsByID map[string][]Arrival
	counts       map[Invariant]int
	violations   []Violation
}

// add adds a violation, unless the invariant already has maxViolationsPerInvariant of them.
func (c *checker) add(invariant Invariant, format string, values ...any) {
	c.counts[invariant]++
	if c.counts[invariant] <= maxViolationsPerInvariant {
		c.violations = append(c.violations, Violation{invariant, fmt.Sprintf(format, values...)})
	}
}

func (c *checker) checkExits() {
	for _, exit := range c.UnexpectedExits {
		c.add(NoUnexpectedExits, "%s", exit)
	}
	for _, process := range c.DataRaces {
		c.add(NoDataRaces, "%s", process)
	}
}

// executions returns the arrivals of a request at targets that ran the request.
func (c *checker) executions(id string) []Arrival {
	var ran []Arrival
	for _, arrival := range c.arrivalsByID[id] {
		if arrival.Executed {
			ran = append(ran, arrival)
		}
	}
	return ran
}

func (c *checker) checkAtMostOnce() {
	for _, attempt := range c.Attempts {
		if ran := c.executions(attempt.Request.ID); !attempt.Repeatable() && len(ran) > 1 {
			c.add(AtMostOnce, "%s ran at %s at %d ms and at %s at %d ms",
				attempt.Request.ID, ran[0].Target, ran[0].At, ran[1].Target, ran[1].At)
		}
	}
}

func (c *checker) checkRefusals() {
	for _, attempt := range c.Attempts {
		ran := c.executions(attempt.Request.ID)
		if attempt.ReportedNotRun() && len(ran) > 0 {
			c.add(RefusedNotRun, "%s got status %d at %d ms and ran at %s at %d ms",
				attempt.Request.ID, attempt.Reply.Status, attempt.Ended, ran[0].Target, ran[0].At)
		}
	}
}

func (c *checker) checkRequests() {
	for _, arrival := range c.Arrivals {
		attempt := c.attemptByID[arrival.ID]
		switch {
		case attempt == nil:
			c.add(RequestUnchanged, "%s, which no caller sent, reached %s", arrival.ID, arrival.Target)
		case arrival.URI != attempt.Request.Path || arrival.Executed && arrival.Body != attempt.Request.Body:
			c.add(RequestUnchanged, "%s reached %s as %s with body %q", arrival.ID, arrival.Target, arrival.URI, arrival.Body)
		case arrival.Account != attempt.Account || arrival.Authorization != "":
			c.add(RequestUnchanged, "%s reached %s for account %q", arrival.ID, arrival.Target, arrival.Account)
		}
	}
}

func (c *checker) checkResponses() {
	for _, attempt := range c.Attempts {
		reply := attempt.Reply
		if reply.Status != 0 && reply.RequestID != attempt.Request.ID && (reply.RequestID != "" || attempt.isNamed()) {
			c.add(ResponseIntact, "%s got a response to %q", attempt.Request.ID, reply.RequestID)
		}
		if reply.Status != http.StatusOK {
			continue
		}
		if !reply.Signed {
			c.add(ResponseIntact, "%s got status 200 without a signature of a target", attempt.Request.ID)
		}
		plain := len(reply.EventIDs) == 0
		nothingLeft := attempt.Request.LastEventID == streamEvents && reply.Body == ""
		if reply.Complete && plain && !nothingLeft && !strings.HasPrefix(reply.Body, "done by ") {
			c.add(ResponseIntact, "%s, sent at %d ms to entry %d with last event %d, got %q as a complete body",
				attempt.Request.ID, attempt.Sent, attempt.Entry, attempt.Request.LastEventID, reply.Body)
		}
	}
}

func (c *checker) checkStreams() {
	for _, attempt := range c.Attempts {
		reply := attempt.Reply
		for i, id := range reply.EventIDs {
			if expected := attempt.Request.LastEventID + i + 1; id != expected {
				c.add(StreamIntact, "%s got event %d instead of %d", attempt.Request.ID, id, expected)
				break
			}
		}
		if received := attempt.Request.LastEventID + len(reply.EventIDs); len(reply.EventIDs) > 0 && reply.Complete && received != streamEvents {
			c.add(StreamIntact, "%s ended as complete after %d events", attempt.Request.ID, received)
		}
		for _, target := range reply.Targets {
			if target != reply.Targets[0] && !attempt.Repeatable() {
				c.add(StreamIntact, "%s got events from %s and from %s", attempt.Request.ID, reply.Targets[0], target)
				break
			}
		}
	}
}

// checkVersions compares the version that wrote each event with the one that wrote the stream's first event.
func (c *checker) checkVersions() {
	for _, attempt := range c.Attempts {
		first := attempt
		if attempt.Request.Resumes != "" {
			first = c.attemptByID[attempt.Request.Resumes]
		}
		if first == nil || len(first.Reply.Versions) == 0 {
			continue
		}
		began := first.Reply.Versions[0]
		for _, version := range attempt.Reply.Versions {
			if version != began {
				c.add(OneVersion, "%s got events of version %s; the stream began as %s at version %s",
					attempt.Request.ID, version, first.Request.ID, began)
				break
			}
		}
	}
}

func (c *checker) checkKeys() {
	for _, attempt := range c.Attempts {
		revokedAt, revoked := c.KeysRevokedAt[attempt.Request.Key]
		if ran := c.executions(attempt.Request.ID); revoked && len(ran) > 0 && attempt.Sent > revokedAt+revokeMillis {
			c.add(KeysRevoked, "%s was sent %d ms after its key was revoked and ran at %s",
				attempt.Request.ID, attempt.Sent-revokedAt, ran[0].Target)
		}
	}
}

// boundsApply reports whether bounds of time applied, at the time of the arrival, to the entry that the caller had sent
// the request to. For a request that no caller sent, it returns false.
func (c *checker) boundsApply(arrival Arrival) bool {
	attempt := c.attemptByID[arrival.ID]
	return attempt != nil && c.Settled(attempt.Entry, arrival.At)
}

func (c *checker) checkZones() {
	for _, arrival := range c.Arrivals {
		for _, outage := range c.ZoneOutages[arrival.Zone] {
			evacuated := Span{outage.From + evacuationMillis, outage.To}
			if evacuated.Contains(arrival.At) && (outage.To == 0 || evacuated.From < outage.To) && c.boundsApply(arrival) {
				c.add(ZonesEvacuated, "%s reached %s in %s %d ms after the zone was taken out of service",
					arrival.ID, arrival.Target, arrival.Zone, arrival.At-outage.From)
			}
		}
	}
}

func (c *checker) checkDraining() {
	for _, arrival := range c.Arrivals {
		if arrival.DrainingSince > 0 && arrival.At > arrival.DrainingSince+drainBoundMillis && c.boundsApply(arrival) {
			c.add(TargetsDrained, "%s reached %s %d ms after the target began to drain",
				arrival.ID, arrival.Target, arrival.At-arrival.DrainingSince)
		}
	}
}

// checkLostRequests finds requests that reached a target and whose response ended incomplete before the deadline, and
// for which there was no fault other than stops (unless their grace period is too short) and reloads from settleMillis before the request was sent until the
// response ended.
func (c *checker) checkLostRequests() {
	for _, attempt := range c.Attempts {
		arrivals := c.arrivalsByID[attempt.Request.ID]
		if attempt.Abandoned || attempt.Reply.Complete || len(arrivals) == 0 || attempt.Ended > attempt.cutAllowedFrom() {
			continue
		}
		otherFault := func(p FaultPeriod) bool {
			return p.Kind != EntryReloaded && (p.Kind != EntryStopped || c.ShortGrace)
		}
		if c.faultFree(attempt.Sent-settleMillis, attempt.Ended, otherFault) {
			c.add(NoLossOnStopOrReload,
				"%s, sent at %d ms to entry %d, reached %s and got no complete response; its connection ended at %d ms",
				attempt.Request.ID, attempt.Sent, attempt.Entry, arrivals[0].Target, attempt.Ended)
		}
	}
}

// checkDeadlines counts the responses that ended more than deadlineTolerance after the deadline of their route. It
// leaves out abandoned requests, those sent in parts, and entries to which bounds of time did not apply when the request
// was sent or when the response ended.
func (c *checker) checkDeadlines() {
	sent, late := 0, 0
	for _, attempt := range c.Attempts {
		if attempt.Abandoned || attempt.Parts != nil || !c.Settled(attempt.Entry, attempt.Sent) || !c.Settled(attempt.Entry, attempt.Ended) {
			continue
		}
		sent++
		if attempt.Ended > attempt.Sent+routeMillis+deadlineTolerance {
			late++
		}
	}
	if late >= minLate && late*lateOneIn > sent {
		c.add(AnsweredByDeadline, "%d of %d requests ended later than the deadline of their route allows", late, sent)
	}
}

// checkDenied counts responses with a client error, other than those that report a request as not run. It leaves out
// requests with a key that the operator may have replaced.
func (c *checker) checkDenied() {
	denied := 0
	for _, attempt := range c.Attempts {
		status := attempt.Reply.Status
		_, revoked := c.KeysRevokedAt[attempt.Request.Key]
		mayBeReplaced := strings.HasPrefix(attempt.Request.Key, "key-")
		if status/statusClassDivisor == clientErrorClass && !attempt.ReportedNotRun() && !revoked && !mayBeReplaced {
			denied++
		}
	}
	if denied > deniedSlack+len(c.Attempts)/deniedOneIn {
		c.add(ValidNotDenied, "%d of %d requests were denied", denied, len(c.Attempts))
	}
}

// checkServed counts, of the requests sent at or after RecoveryDue, those that got a complete response with status 200.
// It leaves out abandoned requests, those sent in parts and the small account, whose requests may be refused because of its quota.
func (c *checker) checkServed() {
	if c.RecoveryDue == 0 {
		return
	}
	sent, served := 0, 0
	for _, attempt := range c.Attempts {
		if attempt.Sent < c.RecoveryDue || attempt.Abandoned || attempt.Parts != nil || attempt.Account == smallAccount {
			continue
		}
		sent++
		if attempt.Reply.Status == http.StatusOK && attempt.Reply.Complete {
			served++
		}
	}
	if served*servedOneIn < sent || sent == 0 {
		c.add(ServedAfterRecovery, "%d of %d requests were served", served, sent)
	}
}

// SortByInvariant sorts violations in place by the text of their invariant and returns them.
func SortByInvariant(violations []Violation) []Violation {
	sort.SliceStable(violations, func(i, k int) bool { return violations[i].Invariant < violations[k].Invariant })
	return violations
}
