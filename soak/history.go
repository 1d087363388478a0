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

// Arrival is one request that reached a target.
type Arrival struct {
	standin.ReceivedRequest
	At      lovageshift.Millis
	Target  string
	Service string
	Zone    string
	// Cold tells that the target was cold, and Leaving since when it had said that it leaves, 0 if it had not.
	Cold          bool
	DrainingSince lovageshift.Millis
	// ColdAgainAt is when a target that ran became cold again, which only the store tells; 0 if it was cold from its start.
	ColdAgainAt lovageshift.Millis
}

// FaultPeriod is a stretch of time in which something was wrong with an entry, with all of them, or with targets.
type FaultPeriod struct {
	Kind Kind
	// Entry is the number of the entry harmed, AllEntries, or NoEntry where targets are harmed.
	Entry int
	From  lovageshift.Millis
	To    lovageshift.Millis
}

// Values of Trouble.Entry that are no number of an entry.
const (
	AllEntries = -1
	NoEntry    = -2
)

// History is all that happened in a run, as callers, targets and the operator saw it.
type History struct {
	Attempts     []*Attempt
	Arrivals     []Arrival
	FaultPeriods []FaultPeriod
	// UnexpectedExits are processes that ended by themselves, and Races reports of the race detector.
	UnexpectedExits []string
	DataRaces       []string
	// KeysRevokedAt holds when keys went, Limits the small account's quota, ZonesOut zones out of service.
	KeysRevokedAt map[string]lovageshift.Millis
	Quotas        []Quota
	ZoneOutages   map[string][]Span
	// RecoveryDue is when the last trouble was over and recovery was due; 0 if the run ended before.
	RecoveryDue lovageshift.Millis
}

// Quota is an account's quota in tokens from a moment on.
type Quota struct {
	From  lovageshift.Millis
	Rate  float64
	Burst float64
}

// Span is a stretch of time; with To 0 it goes on.
type Span struct{ From, To lovageshift.Millis }

// Contains tells whether a moment lies in the span.
func (s Span) Contains(at lovageshift.Millis) bool { return at >= s.From && (s.To == 0 || at < s.To) }

// Settled tells whether nothing was wrong with the entry or with the store for the contact time before a moment.
func (h *History) Settled(entry int, at lovageshift.Millis) bool {
	return h.calm(at-contactMillis, at, func(t FaultPeriod) bool { return t.Entry == entry || t.Entry == AllEntries })
}

func (h *History) calm(from, to lovageshift.Millis, counts func(FaultPeriod) bool) bool {
	for _, trouble := range h.FaultPeriods {
		if counts(trouble) && trouble.From <= to && trouble.To >= from {
			return false
		}
	}
	return true
}

// attempts returns the attempts by the id of the request.
func (h *History) attempts() map[string]*Attempt {
	byID := make(map[string]*Attempt, len(h.Attempts))
	for _, attempt := range h.Attempts {
		byID[attempt.Request.ID] = attempt
	}
	return byID
}

// arrivals returns the arrivals by the id of the request, in order of time.
func (h *History) arrivals() map[string][]Arrival {
	byID := map[string][]Arrival{}
	for _, arrival := range h.Arrivals {
		byID[arrival.ID] = append(byID[arrival.ID], arrival)
	}
	return byID
}

// collect reads what the targets saw.
func (s *site) collect() []Arrival {
	var all []Arrival
	for _, p := range s.places {
		p.mutex.Lock()
		for _, life := range p.lives {
			for _, seen := range life.replica.Received() {
				at := s.clock.Now() - lovageshift.Millis(time.Since(seen.ReceivedAt).Milliseconds())
				arrival := Arrival{ReceivedRequest: seen, At: at, Target: life.replica.ID, Service: p.service, Zone: p.zone}
				arrival.Cold, arrival.ColdAgainAt = life.coldAt(at)
				if life.leaving > 0 && at >= life.leaving {
					arrival.DrainingSince = life.leaving
				}
				all = append(all, arrival)
			}
		}
		p.mutex.Unlock()
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At < all[j].At })
	return all
}

// Summary returns one line on how much happened.
func (h *History) Summary() string {
	byStatus := map[int]int{}
	late := 0
	for _, attempt := range h.Attempts {
		byStatus[attempt.Reply.Status]++
		if attempt.Reply.Status == http.StatusOK && !attempt.Reply.Complete {
			late++
		}
	}
	kinds := make([]string, 0, len(h.FaultPeriods))
	for _, trouble := range h.FaultPeriods {
		kinds = append(kinds, string(trouble.Kind))
	}
	return fmt.Sprintf("%d requests, %v by status, %d broken off, %d arrivals, faults %s",
		len(h.Attempts), byStatus, late, len(h.Arrivals), strings.Join(kinds, " "))
}
