package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"lovageshift"
)

// Invariant is a promise of the system's pages.
type Invariant string

// The promises that a run checks.
const (
	AtMostOnce           Invariant = "what may not be repeated runs once at most"
	RefusedNotRun        Invariant = "what was refused as not run has not run"
	RequestUnchanged     Invariant = "a target gets what the client sent, for the account that holds the key"
	ResponseIntact       Invariant = "an answer belongs to its request, and only a whole one looks complete"
	StreamIntact         Invariant = "a stream's events come once, in order, from one run"
	KeysRevoked          Invariant = "a withdrawn key works nowhere after its time"
	ZonesEvacuated       Invariant = "a zone that was taken out of service gets nothing after its time"
	TargetsDrained       Invariant = "a target that leaves gets nothing after its time"
	ColdRateLimited      Invariant = "cold targets get no more requests than they bear"
	QuotaEnforced        Invariant = "an account gets no more than its quota"
	RetriesBounded       Invariant = "second arrivals stay in the budget"
	FatalRequestsStopped Invariant = "a request that crashes targets is stopped"
	NoLossOnStopOrReload Invariant = "a stop or a reload loses no request that was passed on"
	AnsweredByDeadline   Invariant = "requests are answered by their route's time"
	ValidNotDenied       Invariant = "proper requests are not denied"
	NoUnexpectedExits    Invariant = "processes end only when told to, and well"
	NoDataRaces          Invariant = "no data races"
	ServedAfterRecovery  Invariant = "requests are served again after trouble"
)

// Violation is a promise that was broken, and how.
type Violation struct {
	Invariant Invariant
	Detail    string
}

// Bounds that the settings of the soak's entries name.
const (
	contactMillis        lovageshift.Millis = 4000
	revokeMillis         lovageshift.Millis = 5000
	evacuationMillis     lovageshift.Millis = 5000
	drainMillis          lovageshift.Millis = 3000
	applyMillis          lovageshift.Millis = 3000
	recoveryMillis       lovageshift.Millis = 12000
	graceMillis          lovageshift.Millis = 8000
	budgetWindow         lovageshift.Millis = 10000
	quotaWindow          lovageshift.Millis = 8000
	lateMillis           lovageshift.Millis = 500
	coldWindow           lovageshift.Millis = 1000
	budgetRatio                             = 0.2
	budgetSlack                             = 20
	quotaOvershoot                          = 0.25
	quotaSlack                              = 500
	coldOvershoot                           = 1.5
	coldSlack                               = 5
	fatalTargets                            = 3
	fatalRetries                            = 3
	deniedSlack                             = 5
	deniedOneIn                             = 500
	lateSlack                               = 8
	lateOneIn                               = 4
	servedOneIn                             = 4
	statusClassDivisor                      = 100
	clientErrorClass                        = 4
	findingsOfOnePromise                    = 5
)

// Check returns the promises that a history breaks, a few findings for each.
func Check(h *History) []Violation {
	j := &judge{History: h, byID: h.attempts(), runs: h.arrivals(), count: map[Invariant]int{}}
	for _, check := range []func(){
		j.ends, j.once, j.refusals, j.unchanged, j.answers, j.streams, j.keys, j.zones, j.leaving, j.cold, j.quota,
		j.budget, j.fatal, j.lost, j.late, j.denied, j.served,
	} {
		check()
	}
	return j.found
}

type judge struct {
	*History
	byID  map[string]*Attempt
	runs  map[string][]Arrival
	count map[Invariant]int
	found []Violation
}

func (j *judge) add(promise Invariant, format string, values ...any) {
	j.count[promise]++
	if j.count[promise] <= findingsOfOnePromise {
		j.found = append(j.found, Violation{promise, fmt.Sprintf(format, values...)})
	}
}

func (j *judge) ends() {
	for _, end := range j.UnexpectedExits {
		j.add(NoUnexpectedExits, "%s", end)
	}
	for _, race := range j.DataRaces {
		j.add(NoDataRaces, "%s", race)
	}
}

// ran returns the arrivals that worked on the request.
func (j *judge) ran(id string) []Arrival {
	var ran []Arrival
	for _, arrival := range j.runs[id] {
		if arrival.Executed {
			ran = append(ran, arrival)
		}
	}
	return ran
}

func (j *judge) once() {
	for _, attempt := range j.Attempts {
		if ran := j.ran(attempt.Request.ID); !attempt.Repeatable() && len(ran) > 1 {
			j.add(AtMostOnce, "%s ran at %s at %d ms and at %s at %d ms", attempt.Request.ID, ran[0].Target, ran[0].At, ran[1].Target, ran[1].At)
		}
	}
}

func (j *judge) refusals() {
	for _, attempt := range j.Attempts {
		ran := j.ran(attempt.Request.ID)
		if attempt.ReportedNotRun() && !attempt.Repeatable() && len(ran) > 0 {
			j.add(RefusedNotRun, "%s got %d at %d ms and ran at %s at %d ms", attempt.Request.ID, attempt.Reply.Status, attempt.Ended, ran[0].Target, ran[0].At)
		}
	}
}

func (j *judge) unchanged() {
	for _, arrival := range j.Arrivals {
		attempt := j.byID[arrival.ID]
		switch {
		case attempt == nil:
			j.add(RequestUnchanged, "%s, which nobody sent, came to %s", arrival.ID, arrival.Target)
		case arrival.URI != attempt.Request.Path || arrival.Executed && arrival.Body != attempt.Request.Body:
			j.add(RequestUnchanged, "%s came to %s as %s with %q", arrival.ID, arrival.Target, arrival.URI, arrival.Body)
		case arrival.Account != attempt.Account || arrival.Authorization != "":
			j.add(RequestUnchanged, "%s came to %s for account %q", arrival.ID, arrival.Target, arrival.Account)
		}
	}
}

func (j *judge) answers() {
	for _, attempt := range j.Attempts {
		reply := attempt.Reply
		if reply.Status != 0 && reply.ID != attempt.Request.ID {
			j.add(ResponseIntact, "%s got an answer to %q", attempt.Request.ID, reply.ID)
		}
		if reply.Status != http.StatusOK {
			continue
		}
		if !reply.Signed {
			j.add(ResponseIntact, "%s got a success that no target signed", attempt.Request.ID)
		}
		plain := len(reply.Events) == 0
		if reply.Complete && plain && !strings.HasPrefix(reply.Body, "done by ") {
			j.add(ResponseIntact, "%s got %q as whole", attempt.Request.ID, reply.Body)
		}
	}
}

func (j *judge) streams() {
	for _, attempt := range j.Attempts {
		reply := attempt.Reply
		for i, id := range reply.Events {
			if id != i+1 {
				j.add(StreamIntact, "%s got event %d in place of %d", attempt.Request.ID, id, i+1)
				break
			}
		}
		if len(reply.Events) > 0 && reply.Complete && len(reply.Events) != streamEvents {
			j.add(StreamIntact, "%s ended as complete after %d events", attempt.Request.ID, len(reply.Events))
		}
		for _, writer := range reply.Targets {
			if writer != reply.Targets[0] && !attempt.Repeatable() {
				j.add(StreamIntact, "%s got events of %s and of %s", attempt.Request.ID, reply.Targets[0], writer)
				break
			}
		}
	}
}

func (j *judge) keys() {
	for _, attempt := range j.Attempts {
		gone, withdrawn := j.KeysRevokedAt[attempt.Request.Key]
		if ran := j.ran(attempt.Request.ID); withdrawn && len(ran) > 0 && attempt.Sent > gone+revokeMillis {
			j.add(KeysRevoked, "%s was sent %d ms after its key went and ran at %s", attempt.Request.ID, attempt.Sent-gone, ran[0].Target)
		}
	}
}

// bound tells whether the entry that passed the arrival on has to keep bounds of time then.
func (j *judge) bound(arrival Arrival) bool {
	attempt := j.byID[arrival.ID]
	return attempt != nil && j.Settled(attempt.Entry, arrival.At)
}

func (j *judge) zones() {
	for _, arrival := range j.Arrivals {
		for _, out := range j.ZoneOutages[arrival.Zone] {
			due := Span{out.From + evacuationMillis, out.To}
			if due.Contains(arrival.At) && (out.To == 0 || due.From < out.To) && j.bound(arrival) {
				j.add(ZonesEvacuated, "%s came to %s in %s %d ms after it was taken out", arrival.ID, arrival.Target, arrival.Zone, arrival.At-out.From)
			}
		}
	}
}

func (j *judge) leaving() {
	for _, arrival := range j.Arrivals {
		if arrival.DrainingSince > 0 && arrival.At > arrival.DrainingSince+drainMillis && j.bound(arrival) {
			j.add(TargetsDrained, "%s came to %s %d ms after it said that it leaves", arrival.ID, arrival.Target, arrival.At-arrival.DrainingSince)
		}
	}
}

func (j *judge) cold() {
	most := int(coldPerSecond*coldOvershoot + coldSlack)
	byTarget := map[string][]Arrival{}
	for _, arrival := range j.Arrivals {
		if arrival.Cold && j.couldKnow(arrival) {
			byTarget[arrival.Target] = append(byTarget[arrival.Target], arrival)
		}
	}
	for target, arrivals := range byTarget {
		for i, first := range arrivals {
			inside := 0
			for _, arrival := range arrivals[i:] {
				attempt := j.byID[arrival.ID]
				if arrival.At < first.At+coldWindow && attempt != nil && attempt.Sent >= first.At-lovageshift.Millis(1) {
					inside++
				}
			}
			if inside > most {
				j.add(ColdRateLimited, "%s was cold and got %d requests in the second from %d ms", target, inside, first.At)
				break
			}
		}
	}
}

// couldKnow tells whether entries could read that the target is cold: it is in the store only if it ran before.
func (j *judge) couldKnow(arrival Arrival) bool {
	ofStore := func(t FaultPeriod) bool { return t.Entry == AllEntries }
	return arrival.ColdAgainAt == 0 || j.calm(arrival.ColdAgainAt, arrival.At, ofStore)
}

func (j *judge) quota() {
	type taken struct{ sent, at lovageshift.Millis }
	var all []taken
	for _, arrival := range j.Arrivals {
		attempt := j.byID[arrival.ID]
		if attempt != nil && arrival.Executed && attempt.Account == smallAccount {
			all = append(all, taken{attempt.Sent, arrival.At})
		}
	}
	for _, start := range all {
		tokens := 0
		for _, other := range all {
			if other.sent >= start.sent && other.at < start.sent+quotaWindow {
				tokens += askTokens + answerTokens
			}
		}
		if most := j.most(start.sent); float64(tokens) > most {
			j.add(QuotaEnforced, "%d tokens of %.0f ran in the window from %d ms", tokens, most, start.sent)
			return
		}
	}
}

// most returns the tokens that the small account may use in the window that begins at a moment. A lower limit binds
// once entries had a window's time to apply it.
func (j *judge) most(from lovageshift.Millis) float64 {
	most := 0.0
	for i, quota := range j.Quotas {
		replaced := i+1 < len(j.Quotas) && j.Quotas[i+1].From+applyMillis+contactMillis+quotaWindow < from
		if !replaced && quota.From <= from+quotaWindow {
			most = max(most, (quota.Rate*quotaWindow.Seconds()+quota.Burst)*(1+quotaOvershoot)+quotaSlack)
		}
	}
	return most
}

func (j *judge) budget() {
	for _, service := range []string{streamService, plainService} {
		var second, first []lovageshift.Millis
		seen := map[string]bool{}
		for _, arrival := range j.Arrivals {
			if arrival.Service != service {
				continue
			}
			if seen[arrival.ID] {
				second = append(second, arrival.At)
			}
			seen[arrival.ID] = true
		}
		for _, attempt := range j.Attempts {
			stream := strings.HasPrefix(attempt.Request.Path, "/chat/") || strings.HasPrefix(attempt.Request.Path, "/resume/")
			if stream == (service == streamService) {
				first = append(first, attempt.Sent)
			}
		}
		for _, from := range second {
			requests := max(within(first, from), within(first, from-budgetWindow), within(first, from-budgetWindow/2))
			if extra := within(second, from); float64(extra) > budgetRatio*float64(requests)+budgetSlack {
				j.add(RetriesBounded, "%s got %d second arrivals for %d requests in the window from %d ms", service, extra, requests, from)
				break
			}
		}
	}
}

func within(moments []lovageshift.Millis, from lovageshift.Millis) int {
	count := 0
	for _, moment := range moments {
		if moment >= from && moment < from+budgetWindow {
			count++
		}
	}
	return count
}

func (j *judge) fatal() {
	crashed := map[string][]Arrival{}
	for _, arrival := range j.Arrivals {
		if kind, _, _ := strings.Cut(arrival.URI, "?"); strings.HasPrefix(kind, fatalPrefix) && arrival.Executed {
			crashed[kind] = append(crashed[kind], arrival)
		}
	}
	for kind, arrivals := range crashed {
		if len(arrivals) < fatalTargets {
			continue
		}
		after := 0
		for _, arrival := range arrivals[fatalTargets:] {
			if arrival.At > arrivals[fatalTargets-1].At+contactMillis && j.bound(arrival) {
				after++
			}
		}
		if after > fatalRetries {
			j.add(FatalRequestsStopped, "%s reached targets %d times after it had crashed %d", kind, after, fatalTargets)
		}
	}
}

// lost looks at requests that only planned work can have broken off.
func (j *judge) lost() {
	for _, attempt := range j.Attempts {
		arrivals := j.runs[attempt.Request.ID]
		if attempt.Abandoned || attempt.Reply.Complete || len(arrivals) == 0 || attempt.Ended > attempt.Sent+routeMillis {
			continue
		}
		unplanned := func(t FaultPeriod) bool { return t.Kind != EntryStopped && t.Kind != EntryReloaded }
		if j.calm(attempt.Sent-contactMillis, attempt.Ended, unplanned) {
			j.add(NoLossOnStopOrReload, "%s, sent at %d ms to entry %d, was passed to %s and its connection ended at %d ms", attempt.Request.ID, attempt.Sent, attempt.Entry, arrivals[0].Target, attempt.Ended)
		}
	}
}

func (j *judge) late() {
	asked, late := 0, 0
	for _, attempt := range j.Attempts {
		if attempt.Abandoned || !j.Settled(attempt.Entry, attempt.Sent) || !j.Settled(attempt.Entry, attempt.Ended) {
			continue
		}
		asked++
		if attempt.Ended > attempt.Sent+routeMillis+lateMillis {
			late++
		}
	}
	if late >= lateSlack && late*lateOneIn > asked {
		j.add(AnsweredByDeadline, "%d of %d requests had no answer by their route's time", late, asked)
	}
}

func (j *judge) denied() {
	denied := 0
	for _, attempt := range j.Attempts {
		status := attempt.Reply.Status
		_, withdrawn := j.KeysRevokedAt[attempt.Request.Key]
		changed := strings.HasPrefix(attempt.Request.Key, "key-")
		if status/statusClassDivisor == clientErrorClass && !attempt.ReportedNotRun() && !withdrawn && !changed {
			denied++
		}
	}
	if denied > deniedSlack+len(j.Attempts)/deniedOneIn {
		j.add(ValidNotDenied, "%d of %d requests were denied", denied, len(j.Attempts))
	}
}

func (j *judge) served() {
	if j.RecoveryDue == 0 {
		return
	}
	asked, served := 0, 0
	for _, attempt := range j.Attempts {
		if attempt.Sent < j.RecoveryDue || attempt.Abandoned || attempt.Account == smallAccount {
			continue
		}
		asked++
		if attempt.Reply.Status == http.StatusOK && attempt.Reply.Complete {
			served++
		}
	}
	if served*servedOneIn < asked || asked == 0 {
		j.add(ServedAfterRecovery, "%d of %d requests were served", served, asked)
	}
}

// SortByInvariant returns findings in the order of their promises.
func SortByInvariant(findings []Violation) []Violation {
	sort.SliceStable(findings, func(i, k int) bool { return findings[i].Invariant < findings[k].Invariant })
	return findings
}
