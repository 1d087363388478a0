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

// Arrival is one request that reached a target. All moments of a history are in milliseconds on the clock of the run.
type Arrival struct {
	standin.ReceivedRequest
	At      lovageshift.Millis
	Target  string
	Service string
	Zone    string
	// Cold reports whether the target was cold. DrainingSince is when it reported that it drains, 0 if it had not.
	Cold          bool
	DrainingSince lovageshift.Millis
	// ColdAgainAt is when a running target became cold again, which entries learn only from the store. It is 0 if the
	// target was cold from its start.
	ColdAgainAt lovageshift.Millis
}

// FaultPeriod is a period in which a fault affected an entry, all entries, or targets.
type FaultPeriod struct {
	Kind Kind
	// Entry is the number of the affected entry, AllEntries, or NoEntry if the fault affects no entry.
	Entry int
	From  lovageshift.Millis
	To    lovageshift.Millis
}

// Values of FaultPeriod.Entry that do not name an entry.
const (
	AllEntries = -1
	NoEntry    = -2
)

// History records a run as callers, targets and the operator saw it.
type History struct {
	Attempts     []*Attempt
	Arrivals     []Arrival
	FaultPeriods []FaultPeriod
	// UnexpectedExits describes processes that exited by themselves. DataRaces names the entries whose log contains a
	// report of the race detector.
	UnexpectedExits []string
	DataRaces       []string
	// KeysRevokedAt is when keys were revoked. Quotas are the quotas of the small account in order of time. ZoneOutages
	// are the periods in which zones were out of service.
	KeysRevokedAt map[string]lovageshift.Millis
	Quotas        []Quota
	ZoneOutages   map[string][]Span
	// RecoveryDue is when the last fault was over and the recovery time had passed; 0 if the run ended before that.
	RecoveryDue lovageshift.Millis
}

// Quota is an account's quota from a moment on: Rate in tokens per second, Burst in tokens.
type Quota struct {
	From  lovageshift.Millis
	Rate  float64
	Burst float64
}

// Span is a period from From to before To. If To is 0, it has no end yet.
type Span struct{ From, To lovageshift.Millis }

// Contains reports whether a moment lies in the span.
func (s Span) Contains(at lovageshift.Millis) bool { return at >= s.From && (s.To == 0 || at < s.To) }

// Settled reports whether no fault affected the entry, all entries or the store during the settle time before a moment.
func (h *History) Settled(entry int, at lovageshift.Millis) bool {
	return h.faultFree(at-settleMillis, at, func(p FaultPeriod) bool { return p.Entry == entry || p.Entry == AllEntries })
}

// faultFree reports whether none of the matching fault periods overlaps the time between two moments.
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

// indexArrivals returns the arrivals by request id, in order of time.
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
			for _, seen := range i.replica.Received() {
				at := t.clock.Now() - lovageshift.Millis(time.Since(seen.ReceivedAt).Milliseconds())
				arrival := Arrival{ReceivedRequest: seen, At: at, Target: i.replica.ID, Service: h.service, Zone: h.zone}
				arrival.Cold, arrival.ColdAgainAt = i.coldAt(at)
				if i.drainingSince > 0 && at >= i.drainingSince {
					arrival.DrainingSince = i.drainingSince
				}
				all = append(all, arrival)
			}
		}
		h.mutex.Unlock()
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// Summary returns one line with the number of requests, responses by status, arrivals and the injected faults.
func (h *History) Summary() string {
	byStatus := map[int]int{}
	incomplete := 0
	for _, attempt := range h.Attempts {
		byStatus[attempt.Reply.Status]++
		if attempt.Reply.Status == http.StatusOK && !attempt.Reply.Complete {
			incomplete++
		}
	}
	kinds := make([]string, 0, len(h.FaultPeriods))
	for _, period := range h.FaultPeriods {
		kinds = append(kinds, string(period.Kind))
	}
	return fmt.Sprintf("%d requests, %v by status, %d incomplete, %d arrivals, faults %s",
		len(h.Attempts), byStatus, incomplete, len(h.Arrivals), strings.Join(kinds, " "))
}
