package placement

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/membership"

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
	// new request for a slot, or until its next update is overdue if that is later (see Scheduler.peerTimeout). To answer repeated requests, a refused reservation is kept for this long after its first
	// request, and the time at which a reservation was ended for this long after that time.
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

// Scheduler assigns targets to the requests of its own entry ("this entry" in comments), and to those of other entries
// for the groups that its entry coordinates. It is safe for concurrent use.
type Scheduler struct {
	mutex      sync.Mutex
	coldBounds ColdBounds
	// knownEntries is how many entries are known, this one included. Any of them may be running, live or not.
	knownEntries int
	// quorum reports whether more than half of the known entries, this one included, are live for this entry. Cold
	// targets are assigned only then: entries cut off from each other cannot both have a quorum, so no other entry
	// coordinates the same groups for long.
	quorum          bool
	targets         map[lovageshift.TargetID]*targetState
	byHash          map[TargetHash]*targetState
	groups          map[GroupID][]*targetState
	groupsByService map[catalog.ServiceID][]GroupID
	queues          map[GroupID]*queue
	speeds          map[catalog.ServiceID]*serviceSpeeds
	// peerTimeout is how long another entry's load and reservations count after peerSeenAt.
	peerTimeout lovageshift.Millis
	// peerSeenAt is when each other entry last sent a state update or a new, not repeated, request for a slot.
	peerSeenAt   map[netip.Addr]lovageshift.Millis
	reservations map[reservationKey]*reservation
	// endedAt is when another entry ended a reservation, see sweep.
	endedAt map[reservationKey]lovageshift.Millis
	// submitted counts the requests submitted so far, those of other entries included; it numbers the waiters.
	submitted uint64
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
		speeds:          map[catalog.ServiceID]*serviceSpeeds{},
		peerSeenAt:      map[netip.Addr]lovageshift.Millis{},
		reservations:    map[reservationKey]*reservation{},
		endedAt:         map[reservationKey]lovageshift.Millis{},
	}
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
	s.assignAll(now, noWaiter)
}

func (s *Scheduler) setTarget(view *catalog.View, id lovageshift.TargetID, registered *catalog.Target) {
	service := view.Catalog.Service(registered.Service)
	if service == nil {
		service = &catalog.Service{ID: registered.Service}
	}
	t := s.targets[id]
	if t == nil || t.Born != registered.Born || t.Address != registered.Address {
		fresh := newTargetState(registered, service, s.speedsOf(service.ID))
		if t != nil {
			// The grants within coldWindow count for the new incarnation too, as those requests may have arrived at it,
			// and so does maybeColdUntil.
			fresh.grantTimes, fresh.maybeColdUntil = t.grantTimes, t.maybeColdUntil
		}
		t = fresh
		s.targets[id] = t
		s.byHash[HashOf(id)] = t
	}
	t.Target, t.service = registered, service
}

func (s *Scheduler) speedsOf(service catalog.ServiceID) *serviceSpeeds {
	speeds := s.speeds[service]
	if speeds == nil {
		speeds = &serviceSpeeds{}
		s.speeds[service] = speeds
	}
	return speeds
}

// regroup divides each service's targets into groups by rendezvous hashing, so that few targets change their group when
// the number of groups changes. Targets that must not get new requests (see catalog.View.MaySend) count toward the
// number of groups, but are put into none.
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
	for id, t := range s.targets {
		if view.MaySend(id, t.Born) {
			group := membership.OwnerOf(string(id), s.groupsByService[t.Service], func(g GroupID) string { return string(g) })
			s.groups[group] = append(s.groups[group], t)
		}
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
	for from, at := range s.peerSeenAt {
		if now-at > s.peerTimeout {
			s.forgetPeer(now, from)
		}
	}
	if now-s.sweptAt > sweepIntervalMillis {
		s.sweptAt = now
		s.sweep(now)
	}
	s.assignAll(now, everyWaiter)
}

// PickGroup returns the group of the service in which to request a slot, or "" if the service has no targets. The
// probability of a group is nearly proportional to its free slots if point is uniformly random in [0, 1).
func (s *Scheduler) PickGroup(service catalog.ServiceID, point float64) GroupID {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	groups := s.groupsByService[service]
	if len(groups) < 2 {
		return firstGroup(groups)
	}
	free := make([]float64, len(groups))
	total := 0.0
	for i, group := range groups {
		for _, t := range s.groups[group] {
			free[i] += float64(max(t.slots()-t.running(), 0))
		}
		// A group without known free slots keeps a small weight, as other entries report the end of their requests only
		// with a delay.
		free[i] += float64(len(s.groups[group])) / 10
		total += free[i]
	}
	rest := point * total
	for i, group := range groups {
		rest -= free[i]
		if rest < 0 {
			return group
		}
	}
	return groups[len(groups)-1]
}

func firstGroup(groups []GroupID) GroupID {
	if len(groups) == 0 {
		return ""
	}
	return groups[0]
}

// Submit queues a request of this entry for a slot at one of the group's targets. The role is what
// this entry is to the group. The function onDecision is called once, possibly before Submit returns, unless the request is
// canceled first. It must not call the scheduler.
func (s *Scheduler) Submit(now lovageshift.Millis, group GroupID, role Role, job *Job, onDecision func(Decision)) *Waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.submit(now, group, role, job, func(chosen *targetState, refusal *Refusal) {
		if chosen == nil {
			onDecision(Decision{Refusal: refusal})
			return
		}
		onDecision(Decision{Slot: s.acquire(now, chosen, job)})
	})
}

func (s *Scheduler) submit(now lovageshift.Millis, group GroupID, role Role, job *Job, onDecision func(*targetState, *Refusal)) *Waiter {
	s.submitted++
	w := &Waiter{
		job: job, group: group, role: role, number: s.submitted, onDecision: onDecision,
		wellEnough: s.bestPrediction(now, group, job),
	}
	q := s.queues[group]
	if q == nil {
		q = newQueue()
		s.queues[group] = q
	}
	q.push(now, w)
	s.assign(now, group, q, func(other *Waiter) bool { return other == w })
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
	s.queues[w.group].remove(w)
}

// AcquireGranted takes the slot that the entry at the address granter granted to the job. It returns ErrUnknownTarget if
// this entry does not know the target's incarnation, and ErrOverLimit if the granter does not know the target's limit and
// the slot would exceed it.
func (s *Scheduler) AcquireGranted(now lovageshift.Millis, granter netip.Addr, grant Reply, job *Job) (*Slot, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.byHash[grant.Target]
	if t == nil || t.Born != grant.Born {
		return nil, ErrUnknownTarget
	}
	if !s.acceptsGrant(now, t, grant.KeepsLimit) {
		return nil, ErrOverLimit
	}
	slot := s.acquire(now, t, job)
	slot.Running, slot.granter = grant.Running, granter
	t.ownByGranter[granter]++
	return slot, nil
}

// Errors of AcquireGranted.
var (
	ErrUnknownTarget = errors.New("the slot is at an unknown target")
	ErrOverLimit     = errors.New("the slot would exceed the limit of its target")
)

func (s *Scheduler) acquire(now lovageshift.Millis, chosen *targetState, job *Job) *Slot {
	slot := &Slot{
		Target:         chosen.Target,
		MaxConnections: s.maxConnections(chosen),
		Running:        chosen.running(),
		Waited:         now - job.Arrived,
		promptTokens:   job.PromptTokens,
		state:          chosen,
	}
	chosen.own++
	return slot
}

// maxConnections returns how many connections this entry may have open to the target, 0 for no bound.
func (s *Scheduler) maxConnections(chosen *targetState) int {
	if chosen.service.ConnectionLimit == 0 {
		return 0
	}
	return max(int(float64(chosen.service.ConnectionLimit)*connectionShare)/s.knownEntries, 1)
}

// Release returns a slot and records how its request ended; the slot may be given to a waiting request at once.
func (s *Scheduler) Release(now lovageshift.Millis, slot *Slot, result Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slot.state.own--
	if slot.granter.IsValid() {
		slot.state.releaseGranted(slot.granter)
	}
	slot.state.recordResult(now, slot.promptTokens, result)
	s.assignService(now, slot.state.Service)
	if slot.OnRelease != nil {
		slot.OnRelease(result)
	}
}

// ReportUnresponsive counts a failure of the slot's target, for a request to which it sent no response header by the
// caller's timeout. The slot stays in use until Release.
func (s *Scheduler) ReportUnresponsive(now lovageshift.Millis, slot *Slot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slot.state.observe(now, true)
}

func (s *Scheduler) assignService(now lovageshift.Millis, service catalog.ServiceID) {
	for _, group := range s.groupsByService[service] {
		if q := s.queues[group]; q != nil {
			s.assign(now, group, q, noWaiter)
		}
	}
}

func (s *Scheduler) assignAll(now lovageshift.Millis, judge func(*Waiter) bool) {
	for group, q := range s.queues {
		s.assign(now, group, q, judge)
	}
}

// Values of the parameter judge of assign.
func everyWaiter(*Waiter) bool { return true }
func noWaiter(*Waiter) bool    { return false }

// assign gives slots to a group's waiting requests in the order of the queue, after promote has moved forward those
// that the credit of their rank covers. Of those for which judge returns true, it refuses the ones that are expected to
// get no slot by their queue deadline. A request is judged when it is submitted and at each Tick. To judge all of them
// whenever a slot comes free would take most of a small VM's processor in an overload.
func (s *Scheduler) assign(now lovageshift.Millis, group GroupID, q *queue, judge func(*Waiter) bool) {
	if len(q.waiters) == 0 {
		return
	}
	q.promote()
	free := s.freeTargets(now, group)
	ahead := 0
	aheadByRank := map[lovageshift.Rank]int{}
	q.removeIf(func(w *Waiter) bool {
		if chosen := s.choose(now, free, w, w.wellEnough); chosen != nil {
			s.grant(now, q, w, chosen)
			return true
		}
		if judge(w) {
			expected := q.expectedWait(now, w.job, ahead, aheadByRank[w.job.Rank])
			if now+expected >= w.job.QueueDeadline {
				s.giveUp(now, q, w, free, expected, ahead)
				return true
			}
		}
		ahead++
		aheadByRank[w.job.Rank]++
		return false
	})
}

// giveUp ends the wait of a request that is expected to get no slot in time. It gets a free target at which it is expected
// to be late, but complete by its deadline, or else a refusal.
func (s *Scheduler) giveUp(now lovageshift.Millis, q *queue, w *Waiter, free []*targetState, expected lovageshift.Millis, ahead int) {
	if chosen := s.choose(now, free, w, (*targetState).completesInTime); chosen != nil {
		s.grant(now, q, w, chosen)
		return
	}
	w.done = true
	w.onDecision(nil, s.newRefusal(now, w.group, w.job, expected, ahead))
}

func (s *Scheduler) grant(now lovageshift.Millis, q *queue, w *Waiter, chosen *targetState) {
	q.recordGrant(now, w)
	if chosen.limit.inForce(now) {
		chosen.limit.assigned.take()
	}
	if chosen.service.ColdPerSecond > 0 {
		chosen.grantTimes = append(chosen.grantTimes, now)
	}
	w.done = true
	w.onDecision(chosen, nil)
}
