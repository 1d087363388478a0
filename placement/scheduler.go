package placement

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"lovageshift"
	"lovageshift/catalog"

	"github.com/cespare/xxhash/v2"
)

const (
	// Requests to a cold target (see the package comment) are counted over this window, a little longer than the one
	// second of ColdBounds.
	coldWindow lovageshift.Millis = 1100
	// The share of ColdBounds up to which one entry assigns requests to a cold target. The bounds hold for all entries
	// together, and up to three entries may coordinate the same target while the number of groups or of entries changes
	// and the entries' views differ.
	coldShare = 0.28
	// The share of a target's ConnectionLimit that the entries divide evenly among themselves; less than all, as they
	// may not agree on the number of entries.
	connectionShare = 0.85
	// Another entry's reported load and its reservations count until this long after its last state update or its last
	// new request for a slot, or until its next update is overdue if that is later (see Scheduler.peerTimeout). To answer
	// repeated requests, a refused reservation is kept for this long after its first request, and the time at which a
	// reservation was ended for this long after that time.
	peerTimeoutMillis lovageshift.Millis = 1500
	// How often the refused reservations and end times that are older than peerTimeoutMillis are deleted.
	sweepIntervalMillis lovageshift.Millis = 1000
	// The targets of a service are divided into the smallest number of groups for which the average group has at most
	// this many. Each group has its own coordinator, so that several entries share the work for a large service.
	targetsPerGroup = 24
)

// TargetHash names a target in messages between entries, see HashOf.
type TargetHash uint32

// HashOf returns the hash of a target's id: the lower 32 bits of its xxHash64.
func HashOf(id lovageshift.TargetID) TargetHash { return TargetHash(xxhash.Sum64String(string(id))) }

// ColdBounds limit the requests that all entries together send to one cold target: in any second no more than
// ColdOvershoot times the service's ColdPerSecond, plus ColdSlack.
type ColdBounds struct {
	ColdOvershoot float64
	ColdSlack     float64
}

// Policy holds the operator's choices for requests that wait for a slot. The zero value serves them by rank and then in the order
// of arrival, and refuses those that are expected to get no slot in time by the grants of the last second.
type Policy struct {
	// FairShares divides the slots for the requests of a rank among the client accounts, by their weights.
	FairShares bool
	// EarlyRefusals refuses requests earlier, by the rate at which slots come free and by how much a wait may exceed the
	// expected one. Fewer requests wait in vain, and fewer wait.
	EarlyRefusals bool
}

// Scheduler assigns targets to the requests of its own entry ("this entry" in comments), and to those of other entries
// for the groups that its entry coordinates. It is safe for concurrent use.
type Scheduler struct {
	mutex      sync.Mutex
	coldBounds ColdBounds
	policy     Policy
	// knownEntries is how many entries are known, this one included. Any of them may be running, live or not.
	knownEntries int
	// quorum reports whether more than half of the known entries, this one included, are live for this entry. Cold
	// targets are assigned only then: entries cut off from each other cannot both have a quorum, so no other entry
	// coordinates the same groups for long.
	quorum bool
	// view is the view set last, nil before the first, and viewLag the last value of SetViewLag.
	view            *catalog.View
	viewLag         lovageshift.Millis
	targets         map[lovageshift.TargetID]*targetState
	byHash          map[TargetHash]*targetState
	groups          map[GroupID][]*targetState
	groupsByService map[catalog.ServiceID][]GroupID
	queues          map[GroupID]*queue
	// reports holds the load of groups by the last replies of their coordinators.
	reports map[GroupID]*groupReport
	// leaving holds the incarnations that leave, leavingTargets those of each group that have a state.
	leaving        map[incarnation]*leavingState
	leavingTargets map[GroupID][]*targetState
	// unavailable holds the incarnations that want no requests from this entry for some time, or are on trial since.
	unavailable map[incarnation]*unavailableState
	averages    map[catalog.ServiceID]*serviceAverages
	// peerTimeout is how long another entry's load and reservations count after peerSeenAt.
	peerTimeout lovageshift.Millis
	// peerSeenAt is when each other entry last sent a state update or a new, not repeated, request for a slot.
	peerSeenAt   map[netip.Addr]lovageshift.Millis
	reservations map[reservationKey]*reservation
	// endedAt is when another entry ended a reservation, see sweep.
	endedAt map[reservationKey]lovageshift.Millis
	// submitted counts the requests submitted so far, those of other entries included; it numbers the waiters.
	submitted uint64
	// tickedAt is when Tick was last called.
	tickedAt lovageshift.Millis
	// sweptAt is when sweep was last called.
	sweptAt lovageshift.Millis
}

// NewScheduler returns a scheduler without targets.
func NewScheduler(coldBounds ColdBounds) *Scheduler {
	return &Scheduler{
		coldBounds:      coldBounds,
		knownEntries:    1,
		peerTimeout:     peerTimeoutMillis,
		targets:         map[lovageshift.TargetID]*targetState{},
		byHash:          map[TargetHash]*targetState{},
		groups:          map[GroupID][]*targetState{},
		groupsByService: map[catalog.ServiceID][]GroupID{},
		queues:          map[GroupID]*queue{},
		reports:         map[GroupID]*groupReport{},
		leaving:         map[incarnation]*leavingState{},
		leavingTargets:  map[GroupID][]*targetState{},
		unavailable:     map[incarnation]*unavailableState{},
		averages:        map[catalog.ServiceID]*serviceAverages{},
		peerSeenAt:      map[netip.Addr]lovageshift.Millis{},
		reservations:    map[reservationKey]*reservation{},
		endedAt:         map[reservationKey]lovageshift.Millis{},
	}
}

// SetPolicy sets the operator's choices. It must be called before the first request is submitted.
func (s *Scheduler) SetPolicy(policy Policy) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.policy = policy
}

// SetEntries sets how many entries are known and how many of those are live (see knownEntries and quorum), both with this
// entry, and how long after its last state update another entry still counts as reporting.
func (s *Scheduler) SetEntries(known, live int, reportTimeout lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peerTimeout = max(peerTimeoutMillis, reportTimeout)
	s.knownEntries = max(known, 1)
	s.quorum = live*2 > known
}

// SetView replaces the targets and services by those of the view; waiting requests may be assigned to its new targets
// at once.
func (s *Scheduler) SetView(now lovageshift.Millis, view *catalog.View) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.view = view
	for id, registered := range view.Targets {
		s.setTarget(view, id, registered)
	}
	for id := range s.targets {
		if view.Targets[id] == nil {
			delete(s.targets, id)
			delete(s.byHash, HashOf(id))
		}
	}
	s.regroup(view)
	s.evictReports()
	s.assignAll(now, noWaiter)
}

func (s *Scheduler) setTarget(view *catalog.View, id lovageshift.TargetID, registered *catalog.Target) {
	service := view.Catalog.Service(registered.Service)
	if service == nil {
		service = &catalog.Service{ID: registered.Service}
	}
	t := s.targets[id]
	if t == nil || t.Born != registered.Born || t.Address != registered.Address {
		fresh := newTargetState(registered, service, s.averagesOf(service.ID))
		if t != nil {
			// The grants within coldWindow count for the new incarnation too, as those requests may have arrived at it,
			// and so does the time until which it may be cold.
			fresh.grantTimes, fresh.maybeColdUntil = t.grantTimes, max(t.maybeColdUntil, t.lossColdUntil)
		}
		fresh.unavailable = s.unavailable[fresh.incarnation()]
		t = fresh
		s.targets[id] = t
		s.byHash[HashOf(id)] = t
	}
	t.Target, t.service = registered, service
}

func (s *Scheduler) averagesOf(service catalog.ServiceID) *serviceAverages {
	averages := s.averages[service]
	if averages == nil {
		averages = &serviceAverages{}
		s.averages[service] = averages
	}
	return averages
}

// regroup divides each service's targets into groups by rendezvous hashing, so that few targets change their group when
// the number of groups changes. Targets that must not get new requests (see catalog.View.MaySend) or have said that they
// leave count toward the number of groups, but are put into none.
func (s *Scheduler) regroup(view *catalog.View) {
	counts := map[catalog.ServiceID]int{}
	for _, t := range s.targets {
		counts[t.Service]++
	}
	clear(s.groupsByService)
	for service, count := range counts {
		for number := range (count + targetsPerGroup - 1) / targetsPerGroup {
			s.groupsByService[service] = append(s.groupsByService[service], GroupID(fmt.Sprintf("%s/%d", service, number)))
		}
	}
	clear(s.groups)
	clear(s.leavingTargets)
	for id, t := range s.targets {
		if !view.MaySend(id, t.Born) {
			continue
		}
		members := s.groups
		if s.isLeaving(t) {
			members = s.leavingTargets
		}
		group := s.groupOf(t)
		members[group] = append(members[group], t)
	}
	for _, list := range s.groups {
		slices.SortFunc(list, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Tick does what depends on the time: it assigns free slots, refuses requests that are expected to get none by their
// queue deadline and forgets entries that have been unresponsive for peerTimeoutMillis. It must be called regularly.
func (s *Scheduler) Tick(now lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.tickedAt = now
	for from, at := range s.peerSeenAt {
		if now-at > s.peerTimeout {
			s.forgetPeer(now, from)
		}
	}
	if now-s.sweptAt > sweepIntervalMillis {
		s.sweptAt = now
		s.sweep(now)
		s.sweepLeaving(now)
		s.sweepUnavailable(now)
		s.evictAccounts(now)
	}
	s.assignAll(now, everyWaiter)
}

// Submit queues a request of this entry for a slot at one of the group's targets. The role is what
// this entry is to the group. The function onDecision is called once, possibly before Submit returns, unless the request is
// canceled first. It must not call the scheduler.
func (s *Scheduler) Submit(now lovageshift.Millis, group GroupID, role Role, job *Job, onDecision func(Decision)) *Waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.submit(now, group, role, job, true, func(at lovageshift.Millis, chosen *targetState, refusal *Refusal) {
		if chosen == nil {
			onDecision(Decision{Refusal: refusal})
			return
		}
		slot := s.acquire(now, chosen, job)
		slot.grantedAt = at
		onDecision(Decision{Slot: slot})
	})
}

// submit queues a request, of this entry if own is set.
func (s *Scheduler) submit(
	now lovageshift.Millis, group GroupID, role Role, job *Job, own bool,
	onDecision func(lovageshift.Millis, *targetState, *Refusal),
) *Waiter {
	w := s.newWaiter(now, group, role, job, own)
	w.onDecision = onDecision
	s.submitted++
	q := s.queues[group]
	if q == nil {
		q = newQueue()
		s.queues[group] = q
	}
	q.push(now, w)
	s.assign(now, group, q, func(other *Waiter) bool { return other == w })
	return w
}

// newWaiter returns the waiter of a job that is submitted next.
func (s *Scheduler) newWaiter(now lovageshift.Millis, group GroupID, role Role, job *Job, own bool) *Waiter {
	w := &Waiter{
		job: job, group: group, role: role, own: own, number: s.submitted + 1, submittedAt: now,
		wellEnough: s.bestPrediction(now, group, job, own),
	}
	if s.policy.FairShares {
		w.owner, w.weight = job.Account, weightOf(job)
	} else {
		w.weight = meanWeight
	}
	return w
}

// Cancel removes a request from its queue and reports whether it was still waiting.
func (s *Scheduler) Cancel(w *Waiter) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if w.done {
		return false
	}
	s.cancel(w)
	return true
}

func (s *Scheduler) cancel(w *Waiter) {
	w.done = true
	q := s.queues[w.group]
	q.resuming.recordRefusal(w)
	q.takeBack(w)
	q.remove(w)
	w.leaveShares()
}
