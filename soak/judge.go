package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"

	"lovageshift"
)

// Promise is a promise of the system's pages.
type Promise string

// The promises that a run checks.
const (
	RunsOnce         Promise = "what may not be repeated runs once at most"
	TrueRefusal      Promise = "what was refused as not run has not run"
	Unchanged        Promise = "a target gets what the client sent, for the account that holds the key"
	WholeAnswers     Promise = "an answer belongs to its request, and only a whole one looks complete"
	OneStream        Promise = "a stream's events come once, in order, from one run"
	WithdrawnKeys    Promise = "a withdrawn key works nowhere after its time"
	ZonesLeft        Promise = "a zone that was taken out of service gets nothing after its time"
	LeavingTargets   Promise = "a target that leaves gets nothing after its time"
	ColdTargets      Promise = "cold targets get no more requests than they bear"
	Quotas           Promise = "an account gets no more than its quota"
	RetryBudget      Promise = "second arrivals stay in the budget"
	FatalRequests    Promise = "a request that crashes targets is stopped"
	NoneLost         Promise = "a stop or a reload loses no request that was passed on"
	AnsweredInTime   Promise = "requests are answered by their route's time"
	ProperServed     Promise = "proper requests are not denied"
	ProcessesStay    Promise = "processes end only when told to, and well"
	NoRaces          Promise = "no data races"
	ServedAfterwards Promise = "requests are served again after trouble"
)

// Finding is a promise that was broken, and how.
type Finding struct {
	Promise Promise
	What    string
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

// Judge returns the promises that a history breaks, a few findings for each.
func Judge(h *History) []Finding {
	j := &judge{History: h, byID: h.attempts(), runs: h.arrivals(), count: map[Promise]int{}}
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
	count map[Promise]int
	found []Finding
}

func (j *judge) add(promise Promise, format string, values ...any) {
	j.count[promise]++
	if j.count[promise] <= findingsOfOnePromise {
		j.found = append(j.found, Finding{promise, fmt.Sprintf(format, values...)})
	}
}

func (j *judge) ends() {
	for _, end := range j.Ends {
		j.add(ProcessesStay, "%s", end)
	}
	for _, race := range j.Races {
		j.add(NoRaces, "%s", race)
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
		if ran := j.ran(attempt.Ask.ID); !attempt.Repeatable() && len(ran) > 1 {
			j.add(RunsOnce, "%s ran at %s at %d ms and at %s at %d ms", attempt.Ask.ID, ran[0].Target, ran[0].At, ran[1].Target, ran[1].At)
		}
	}
}

func (j *judge) refusals() {
	for _, attempt := range j.Attempts {
		ran := j.ran(attempt.Ask.ID)
		if attempt.Promised() && !attempt.Repeatable() && len(ran) > 0 {
			j.add(TrueRefusal, "%s got %d at %d ms and ran at %s at %d ms", attempt.Ask.ID, attempt.Reply.Status, attempt.Ended, ran[0].Target, ran[0].At)
		}
	}
}

func (j *judge) unchanged() {
	for _, arrival := range j.Arrivals {
		attempt := j.byID[arrival.ID]
		switch {
		case attempt == nil:
			j.add(Unchanged, "%s, which nobody sent, came to %s", arrival.ID, arrival.Target)
		case arrival.URI != attempt.Ask.Path || arrival.Executed && arrival.Body != attempt.Ask.Body:
			j.add(Unchanged, "%s came to %s as %s with %q", arrival.ID, arrival.Target, arrival.URI, arrival.Body)
		case arrival.Account != attempt.Account || arrival.Authorization != "":
			j.add(Unchanged, "%s came to %s for account %q", arrival.ID, arrival.Target, arrival.Account)
		}
	}
}

func (j *judge) answers() {
	for _, attempt := range j.Attempts {
		reply := attempt.Reply
		if reply.Status != 0 && reply.ID != attempt.Ask.ID {
			j.add(WholeAnswers, "%s got an answer to %q", attempt.Ask.ID, reply.ID)
		}
		if reply.Status != http.StatusOK {
			continue
		}
		if !reply.Signed {
			j.add(WholeAnswers, "%s got a success that no target signed", attempt.Ask.ID)
		}
		plain := len(reply.Events) == 0
		if reply.Complete && plain && !strings.HasPrefix(reply.Body, "done by ") {
			j.add(WholeAnswers, "%s got %q as whole", attempt.Ask.ID, reply.Body)
		}
	}
}

func (j *judge) streams() {
	for _, attempt := range j.Attempts {
		reply := attempt.Reply
		for i, id := range reply.Events {
			if id != i+1 {
				j.add(OneStream, "%s got event %d in place of %d", attempt.Ask.ID, id, i+1)
				break
			}
		}
		if len(reply.Events) > 0 && reply.Complete && len(reply.Events) != streamEvents {
			j.add(OneStream, "%s ended as complete after %d events", attempt.Ask.ID, len(reply.Events))
		}
		for _, writer := range reply.Targets {
			if writer != reply.Targets[0] && !attempt.Repeatable() {
				j.add(OneStream, "%s got events of %s and of %s", attempt.Ask.ID, reply.Targets[0], writer)
				break
			}
		}
	}
}

func (j *judge) keys() {
	for _, attempt := range j.Attempts {
		gone, withdrawn := j.Withdrawn[attempt.Ask.Key]
		if ran := j.ran(attempt.Ask.ID); withdrawn && len(ran) > 0 && attempt.Sent > gone+revokeMillis {
			j.add(WithdrawnKeys, "%s was sent %d ms after its key went and ran at %s", attempt.Ask.ID, attempt.Sent-gone, ran[0].Target)
		}
	}
}

// bound tells whether the entry that passed the arrival on has to keep bounds of time then.
func (j *judge) bound(arrival Arrival) bool {
	attempt := j.byID[arrival.ID]
	return attempt != nil && j.InTouch(attempt.Entry, arrival.At)
}

func (j *judge) zones() {
	for _, arrival := range j.Arrivals {
		for _, out := range j.ZonesOut[arrival.Zone] {
			due := Span{out.From + evacuationMillis, out.To}
			if due.Holds(arrival.At) && (out.To == 0 || due.From < out.To) && j.bound(arrival) {
				j.add(ZonesLeft, "%s came to %s in %s %d ms after it was taken out", arrival.ID, arrival.Target, arrival.Zone, arrival.At-out.From)
			}
		}
	}
}

func (j *judge) leaving() {
	for _, arrival := range j.Arrivals {
		if arrival.Leaving > 0 && arrival.At > arrival.Leaving+drainMillis && j.bound(arrival) {
			j.add(LeavingTargets, "%s came to %s %d ms after it said that it leaves", arrival.ID, arrival.Target, arrival.At-arrival.Leaving)
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
				j.add(ColdTargets, "%s was cold and got %d requests in the second from %d ms", target, inside, first.At)
				break
			}
		}
	}
}

// couldKnow tells whether entries could read that the target is cold: it is in the store only if it ran before.
func (j *judge) couldKnow(arrival Arrival) bool {
	ofStore := func(t Trouble) bool { return t.Entry == AllEntries }
	return arrival.ColdAgain == 0 || j.calm(arrival.ColdAgain, arrival.At, ofStore)
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
			j.add(Quotas, "%d tokens of %.0f ran in the window from %d ms", tokens, most, start.sent)
			return
		}
	}
}

// most returns the tokens that the small account may use in the window that begins at a moment. A lower limit binds
// once entries had a window's time to apply it.
func (j *judge) most(from lovageshift.Millis) float64 {
	most := 0.0
	for i, quota := range j.Limits {
		replaced := i+1 < len(j.Limits) && j.Limits[i+1].From+applyMillis+contactMillis+quotaWindow < from
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
			stream := strings.HasPrefix(attempt.Ask.Path, "/chat/") || strings.HasPrefix(attempt.Ask.Path, "/resume/")
			if stream == (service == streamService) {
				first = append(first, attempt.Sent)
			}
		}
		for _, from := range second {
			requests := max(within(first, from), within(first, from-budgetWindow), within(first, from-budgetWindow/2))
			if extra := within(second, from); float64(extra) > budgetRatio*float64(requests)+budgetSlack {
				j.add(RetryBudget, "%s got %d second arrivals for %d requests in the window from %d ms", service, extra, requests, from)
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
			j.add(FatalRequests, "%s reached targets %d times after it had crashed %d", kind, after, fatalTargets)
		}
	}
}

// lost looks at requests that only planned work can have broken off.
func (j *judge) lost() {
	for _, attempt := range j.Attempts {
		arrivals := j.runs[attempt.Ask.ID]
		if attempt.Left || attempt.Reply.Complete || len(arrivals) == 0 || attempt.Ended > attempt.Sent+routeMillis {
			continue
		}
		unplanned := func(t Trouble) bool { return t.Kind != EntryStopped && t.Kind != EntryReloaded }
		if j.calm(attempt.Sent-contactMillis, attempt.Ended, unplanned) {
			j.add(NoneLost, "%s, sent at %d ms to entry %d, was passed to %s and its connection ended at %d ms", attempt.Ask.ID, attempt.Sent, attempt.Entry, arrivals[0].Target, attempt.Ended)
		}
	}
}

func (j *judge) late() {
	asked, late := 0, 0
	for _, attempt := range j.Attempts {
		if attempt.Left || !j.InTouch(attempt.Entry, attempt.Sent) || !j.InTouch(attempt.Entry, attempt.Ended) {
			continue
		}
		asked++
		if attempt.Ended > attempt.Sent+routeMillis+lateMillis {
			late++
		}
	}
	if late >= lateSlack && late*lateOneIn > asked {
		j.add(AnsweredInTime, "%d of %d requests had no answer by their route's time", late, asked)
	}
}

func (j *judge) denied() {
	denied := 0
	for _, attempt := range j.Attempts {
		status := attempt.Reply.Status
		_, withdrawn := j.Withdrawn[attempt.Ask.Key]
		changed := strings.HasPrefix(attempt.Ask.Key, "key-")
		if status/statusClassDivisor == clientErrorClass && !attempt.Promised() && !withdrawn && !changed {
			denied++
		}
	}
	if denied > deniedSlack+len(j.Attempts)/deniedOneIn {
		j.add(ProperServed, "%d of %d requests were denied", denied, len(j.Attempts))
	}
}

func (j *judge) served() {
	if j.Calm == 0 {
		return
	}
	asked, served := 0, 0
	for _, attempt := range j.Attempts {
		if attempt.Sent < j.Calm || attempt.Left || attempt.Account == smallAccount {
			continue
		}
		asked++
		if attempt.Reply.Status == http.StatusOK && attempt.Reply.Complete {
			served++
		}
	}
	if served*servedOneIn < asked || asked == 0 {
		j.add(ServedAfterwards, "%d of %d requests were served", served, asked)
	}
}

// Sorted returns findings in the order of their promises.
func Sorted(findings []Finding) []Finding {
	sort.SliceStable(findings, func(i, k int) bool { return findings[i].Promise < findings[k].Promise })
	return findings
}
