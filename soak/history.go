package soak

import (
	"fmt"
	"net/http"
	"sort"
	"strings"
	"time"

	"lovageshift"
	"lovageshift/standin"
)

// Arrival is one request that reached a target. All times of a history are in milliseconds on the clock of the run.
type Arrival struct {
	standin.ReceivedRequest
	At lovageshift.Millis
	// Target is the id of the target, and Born the wall time of its start. Service and Zone are those of the target.
	Target  string
	Born    lovageshift.Millis
	Service string
	Zone    string
	// Cold reports whether the target was cold when the request arrived.
	Cold bool
	// DrainingSince is when the target began to drain, 0 if it was not draining when the request arrived.
	DrainingSince lovageshift.Millis
	// LimitedSince is when the target began to name a limit, 0 if it had not when the request arrived.
	LimitedSince lovageshift.Millis
	// ColdAgainAt is when the target, already running, was reset to cold, which entries learn only from the store. It is
	// 0 if the target was not cold or had been cold since its start.
	ColdAgainAt lovageshift.Millis
}

// FaultPeriod is the time from the start of a fault to its end.
type FaultPeriod struct {
	Kind Kind
	// Entry is the number of the affected entry; AllEntries if the fault affects all entries or the store; NoEntry if it
	// affects neither.
	Entry int
	From  lovageshift.Millis
	To    lovageshift.Millis
}

// affects reports whether the fault affects the entry, alone or with all others.
func (p FaultPeriod) affects(entry int) bool { return p.Entry == entry || p.Entry == AllEntries }

// Values of FaultPeriod.Entry that are not the number of an entry.
const (
	AllEntries = -1
	NoEntry    = -2
)

// History records a run as callers, targets and the operator saw it.
type History struct {
	Attempts     []*Attempt
	Arrivals     []Arrival
	FaultPeriods []FaultPeriod
	// ShortGrace is set if streams may outlast the grace period of entries.
	ShortGrace bool
	// UnexpectedExits describes the exits of entry processes that got neither SIGKILL nor SIGTERM, or that failed after
	// SIGTERM.
	UnexpectedExits []string
	// DataRaces holds the names of the entries whose log contains a report of the race detector.
	DataRaces []string
	// KeysRevokedAt is when a key was revoked, by key.
	KeysRevokedAt map[string]lovageshift.Millis
	// Quotas are the quotas of the small account, in order of time.
	Quotas []Quota
	// ZoneOutages are the periods in which a zone was out of service, by zone.
	ZoneOutages map[string][]Span
	// RecoveryDue is when requests must be served again: recoveryMillis after the last fault ended. If it is 0, Check
	// does not check ServedAfterRecovery.
	RecoveryDue lovageshift.Millis
}

// Quota is the quota that the catalog gives an account from a time on: Rate in tokens per second, Burst in tokens.
type Quota struct {
	From  lovageshift.Millis
	Rate  float64
	Burst float64
}

// Span is a period that includes From and excludes To. If To is 0, the period has not ended.
type Span struct{ From, To lovageshift.Millis }

// Contains reports whether a time lies in the span.
func (s Span) Contains(at lovageshift.Millis) bool { return at >= s.From && (s.To == 0 || at < s.To) }

// Settled reports whether no fault that affects the entry, all entries or the store was in progress at a time or in the
// settleMillis before.
func (h *History) Settled(entry int, at lovageshift.Millis) bool {
	return h.faultFree(at-settleMillis, at, func(p FaultPeriod) bool { return p.affects(entry) })
}

// faultFree reports whether none of the matching fault periods overlaps the time from from to to, ends included.
func (h *History) faultFree(from, to lovageshift.Millis, matches func(FaultPeriod) bool) bool {
	for _, period := range h.FaultPeriods {
		if matches(period) && period.From <= to && period.To >= from {
			return false
		}
	}
	return true
}

// indexAttempts returns the attempts by request id.
func (h *History) indexAttempts() map[string]*Attempt {
	byID := make(map[string]*Attempt, len(h.Attempts))
	for _, attempt := range h.Attempts {
		byID[attempt.Request.ID] = attempt
	}
	return byID
}

// indexArrivals returns the arrivals by request id, in the order of History.Arrivals.
func (h *History) indexArrivals() map[string][]Arrival {
	byID := map[string][]Arrival{}
	for _, arrival := range h.Arrivals {
		byID[arrival.ID] = append(byID[arrival.ID], arrival)
	}
	return byID
}

// arrivals returns the requests that reached targets, in order of time.
func (t *testbed) arrivals() []Arrival {
	var all []Arrival
	for _, h := range t.hosts {
		h.mutex.Lock()
		for _, i := range h.instances {
			for _, received := range i.replica.Received() {
				at := t.clock.Now() - lovageshift.Millis(time.Since(received.ReceivedAt).Milliseconds())
				arrival := Arrival{ReceivedRequest: received, At: at, Target: i.replica.ID, Born: i.startedAt, Service: h.service, Zone: h.zone}
				arrival.Cold, arrival.ColdAgainAt = i.coldAt(at)
				if i.drainingSince > 0 && at >= i.drainingSince {
					arrival.DrainingSince = i.drainingSince
				}
				if i.limitedSince > 0 && at >= i.limitedSince {
					arrival.LimitedSince = i.limitedSince
				}
				all = append(all, arrival)
			}
		}
		h.mutex.Unlock()
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// Summary returns one line with the number of requests, of responses by status, of incomplete responses with status 200,
// of streams that callers took up and of those that went on, of requests sent in parts and of those without a status, and of
// arrivals, and the kinds of the injected faults.
func (h *History) Summary() string {
	byStatus := map[int]int{}
	incomplete, takenUp, wentOn, inParts, unanswered := 0, 0, 0, 0, 0
	for _, attempt := range h.Attempts {
		byStatus[attempt.Reply.Status]++
		if attempt.Reply.Status == http.StatusOK && !attempt.Reply.Complete {
			incomplete++
		}
		if attempt.Request.LastEventID > 0 {
			takenUp++
		}
		if attempt.Request.LastEventID > 0 && len(attempt.Reply.EventIDs) > 0 {
			wentOn++
		}
		if attempt.Parts != nil {
			inParts++
		}
		if attempt.Parts != nil && attempt.Reply.Status == 0 && !attempt.Abandoned {
			unanswered++
		}
	}
	kinds := make([]string, 0, len(h.FaultPeriods))
	for _, period := range h.FaultPeriods {
		kinds = append(kinds, string(period.Kind))
	}
	return fmt.Sprintf("%d requests, %v by status, %d incomplete, %d of %d streams went on, %d of %d in parts unanswered, %d arrivals, faults %s",
		len(h.Attempts), byStatus, incomplete, wentOn, takenUp, unanswered, inParts, len(h.Arrivals), strings.Join(kinds, " "))
}
