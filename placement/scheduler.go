package placement

import (
	"cmp"
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
	// Requests to a cold target are counted over this window, a little longer than the one second of ColdBounds.
	coldWindow lovageshift.Millis = 1100
	// The share of ColdBounds that one entry uses. The bounds hold for all entries together, and up to three entries may
	// coordinate the same target while the number of groups or of entries changes and the entries' views differ.
	coldShare = 0.28
	// The share of a target's connections that the entries divide evenly among themselves; less than all, as they may not
	// agree on the number of entries.
	connectionShare = 0.85
	// Another entry's reported load and its reservations count until this long after its last state update or request for
	// a slot. Refused reservations, and the end times of ended ones, are kept for as long, to answer repeated requests.
	peerTimeoutMillis lovageshift.Millis = 1500
	// How often refused reservations and end times that were kept for long enough are deleted.
	sweepIntervalMillis lovageshift.Millis = 1000
	// A service has as many groups as it takes for each to have at most this many targets on average. Each group has its
	// own coordinator, so a large service is divided among several entries.
	targetsPerGroup = 24
)

// TargetHash names a target in messages between entries.
type TargetHash uint32

// HashOf returns the hash of a target's id: the lower 32 bits of its xxHash64.
func HashOf(id lovageshift.TargetID) TargetHash { return TargetHash(xxhash.Sum64String(string(id))) }

// ColdBounds limit the requests that all entries together send to one cold target: in any second no more than
// ColdOvershoot times the service's ColdPerSecond, plus ColdSlack.
type ColdBounds struct {
	ColdOvershoot float64
	ColdSlack     float64
}

// Scheduler assigns targets to the requests of its own entry, and to those of other entries for the groups that its
// entry coordinates. It is safe for concurrent use.
type Scheduler struct {
	mutex      sync.Mutex
	coldBounds ColdBounds
	// knownEntries is how many entries may be running, this one included.
	knownEntries int
	// quorum reports whether more than half of the known entries are live. If they are, no other entry coordinates the
	// same groups for long.
	quorum          bool
	targets         map[lovageshift.TargetID]*target
	byHash          map[TargetHash]*target
	groups          map[GroupID][]*target
	groupsByService map[catalog.ServiceID][]GroupID
	queues          map[GroupID]*queue
	// peerSeenAt is when each other entry last sent a state update or requested a slot.
	peerSeenAt   map[netip.Addr]lovageshift.Millis
	reservations map[reservationKey]*reservation
	// endedAt is when other entries ended their reservations.
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
		targets:         map[lovageshift.TargetID]*target{},
		byHash:          map[TargetHash]*target{},
		groups:          map[GroupID][]*target{},
		groupsByService: map[catalog.ServiceID][]GroupID{},
		queues:          map[GroupID]*queue{},
		peerSeenAt:      map[netip.Addr]lovageshift.Millis{},
		reservations:    map[reservationKey]*reservation{},
		endedAt:         map[reservationKey]lovageshift.Millis{},
	}
}

// SetEntries sets how many entries are known, which may all be running, and how many of them are live. Both numbers
// include this entry.
func (s *Scheduler) SetEntries(known, live int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.knownEntries = max(known, 1)
	s.quorum = live*2 > known
}

// SetView replaces the view; waiting requests may be assigned to its new targets at once.
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
	s.assignAll(now)
}

func (s *Scheduler) setTarget(view *catalog.View, id lovageshift.TargetID, registered *catalog.Target) {
	service := view.Catalog.Service(registered.Service)
	if service == nil {
		service = &catalog.Service{ID: registered.Service}
	}
	t := s.targets[id]
	if t == nil || t.Born != registered.Born || t.Address != registered.Address {
		fresh := newTarget(registered, service)
		if t != nil {
			// Requests granted in the last second count for the new incarnation too, as they may have arrived there, and so
			// does what was known of its being cold.
			fresh.grantTimes, fresh.maybeColdUntil = t.grantTimes, t.maybeColdUntil
		}
		t = fresh
		s.targets[id] = t
		s.byHash[HashOf(id)] = t
	}
	t.Target, t.service = registered, service
}

// regroup divides each service's targets into groups by rendezvous hashing, which moves few of them when the number of
// groups changes. Targets that may get no new requests count toward the number of groups, but are put into none.
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
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// OwnRunning returns the number of this entry's requests at each target that has any.
func (s *Scheduler) OwnRunning() map[TargetHash]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	running := map[TargetHash]int{}
	for hash, t := range s.byHash {
		if t.own > 0 {
			running[hash] = t.own
		}
	}
	return running
}

// ColdRemaining returns how much longer each cold target stays cold by this entry's view, in milliseconds. Targets that
// are cold only by another entry's report or a failed connection are left out, as entries would repeat such reports to
// each other for ever.
func (s *Scheduler) ColdRemaining(now lovageshift.Millis) map[TargetHash]lovageshift.Millis {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	cold := map[TargetHash]lovageshift.Millis{}
	for hash, t := range s.byHash {
		if t.service.ColdPerSecond > 0 && t.ColdUntil > now {
			cold[hash] = t.ColdUntil - now
		}
	}
	return cold
}

// MergeCold records which targets are cold by another entry's view, and for how many more milliseconds, as this entry's
// view may be older.
func (s *Scheduler) MergeCold(now lovageshift.Millis, cold map[TargetHash]lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for hash, left := range cold {
		if t := s.byHash[hash]; t != nil {
			t.maybeColdUntil = max(t.maybeColdUntil, now+left)
		}
	}
}

// UpdatePeer records how many requests another entry has at each target, as its state update reports. Reservations of
// that entry that its updates have not confirmed for unconfirmedMillis are dropped.
func (s *Scheduler) UpdatePeer(now lovageshift.Millis, from netip.Addr, running map[TargetHash]int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.peerSeenAt[from] = now
	for hash, t := range s.byHash {
		reported := running[hash]
		load := t.peers[from]
		if load == nil && reported == 0 {
			continue
		}
		t.updatePeer(now, from, func(l *peerLoad) { l.reported = reported })
		if load != nil && load.reserved > reported && now-load.confirmedAt > unconfirmedMillis {
			s.dropReservations(now, t, from, load.reserved-reported)
		}
	}
	s.assignAll(now)
}

// Tick does what is due by the passage of time: it assigns free slots, refuses requests that can no longer get one in
// time and forgets entries that have been unresponsive for peerTimeoutMillis. It must be called regularly.
func (s *Scheduler) Tick(now lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for from, at := range s.peerSeenAt {
		if now-at > peerTimeoutMillis {
			s.forgetPeer(now, from)
		}
	}
	if now-s.sweptAt > sweepIntervalMillis {
		s.sweptAt = now
		s.sweep(now)
	}
	s.assignAll(now)
}

func (s *Scheduler) forgetPeer(now lovageshift.Millis, from netip.Addr) {
	delete(s.peerSeenAt, from)
	for key := range s.reservations {
		if key.from == from {
			s.dropReservation(key)
		}
	}
	for _, t := range s.byHash {
		if t.peers[from] != nil {
			t.updatePeer(now, from, func(l *peerLoad) { *l = peerLoad{} })
		}
	}
}

// PickGroup returns the group of the service in which to request a slot, or "" if the service has no targets. Groups
// are weighted by their free slots; point, in [0, 1), selects among them.
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
		// Even a group that seems full keeps a small weight, as other entries report their requests only with a delay.
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

// Submit queues a request of this entry for a slot at one of the group's targets; mayAssignCold reports whether this
// entry is the group's coordinator or the coordinator's backup. The function onDecision is called once, possibly before
// Submit returns, unless the request is canceled first. It must not call the scheduler.
func (s *Scheduler) Submit(now lovageshift.Millis, group GroupID, mayAssignCold bool, job *Job, onDecision func(Decision)) *Waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.submit(now, group, mayAssignCold, job, func(chosen *target, refusal *Refusal) {
		if chosen == nil {
			onDecision(Decision{Refusal: refusal})
			return
		}
		onDecision(Decision{Slot: s.acquire(now, chosen, job)})
	})
}

func (s *Scheduler) submit(now lovageshift.Millis, group GroupID, mayAssignCold bool, job *Job, onDecision func(*target, *Refusal)) *Waiter {
	s.submitted++
	w := &Waiter{job: job, group: group, mayAssignCold: mayAssignCold, number: s.submitted, onDecision: onDecision}
	q := s.queues[group]
	if q == nil {
		q = newQueue()
		s.queues[group] = q
	}
	q.push(now, w)
	s.assign(now, group, q)
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

// AcquireGranted takes a slot that another entry granted at the target's incarnation that started at born; running is
// how many requests the granting entry knew to be at the target. It returns nil if this entry does not know that
// incarnation.
func (s *Scheduler) AcquireGranted(now lovageshift.Millis, hash TargetHash, born int64, running int, job *Job) *Slot {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	t := s.byHash[hash]
	if t == nil || t.Born != born {
		return nil
	}
	slot := s.acquire(now, t, job)
	slot.Running = running
	return slot
}

func (s *Scheduler) acquire(now lovageshift.Millis, chosen *target, job *Job) *Slot {
	slot := &Slot{
		Target:         chosen.Target,
		MaxConnections: s.maxConnections(chosen),
		Running:        chosen.running(),
		Waited:         now - job.Arrived,
		promptTokens:   job.PromptTokens,
		target:         chosen,
	}
	chosen.own++
	return slot
}

// maxConnections returns this entry's share of the connections that a target accepts, 0 for no limit.
func (s *Scheduler) maxConnections(chosen *target) int {
	if chosen.service.ConnectionLimit == 0 {
		return 0
	}
	return max(int(float64(chosen.service.ConnectionLimit)*connectionShare)/s.knownEntries, 1)
}

// Release returns a slot and records how its request ended; the slot may be assigned anew at once.
func (s *Scheduler) Release(now lovageshift.Millis, slot *Slot, result Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slot.target.own--
	slot.target.recordResult(now, slot.promptTokens, result)
	s.assignService(now, slot.target.Service)
	if slot.OnRelease != nil {
		slot.OnRelease(result)
	}
}

// ReportUnresponsive counts a failure of the slot's target, which has not begun to answer in time. The slot stays held.
func (s *Scheduler) ReportUnresponsive(now lovageshift.Millis, slot *Slot) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slot.target.observe(now, true)
}

func (s *Scheduler) assignService(now lovageshift.Millis, service catalog.ServiceID) {
	for _, group := range s.groupsByService[service] {
		if q := s.queues[group]; q != nil {
			s.assign(now, group, q)
		}
	}
}

func (s *Scheduler) assignAll(now lovageshift.Millis) {
	for group, q := range s.queues {
		s.assign(now, group, q)
	}
}

// assign gives slots to a group's waiting requests in the order of the queue, after promoting those that the guaranteed
// share of their rank pays for. It refuses those that cannot expect a slot by their queue deadline.
func (s *Scheduler) assign(now lovageshift.Millis, group GroupID, q *queue) {
	q.promote()
	ahead, noneEligible := 0, false
	aheadByRank := map[lovageshift.Rank]int{}
	q.removeIf(func(w *Waiter) bool {
		var chosen *target
		// A request that has tried no target and may get a cold one may get any target of the group. Once such a request
		// finds none eligible, those behind it are not searched for, except those that have tried targets.
		if !noneEligible || len(w.job.Tried) > 0 {
			chosen = s.choose(now, w)
			noneEligible = noneEligible || (chosen == nil && w.mayAssignCold && len(w.job.Tried) == 0)
		}
		if chosen != nil {
			s.grant(now, q, w, chosen)
			return true
		}
		expected := q.expectedWait(now, w.job, ahead, aheadByRank[w.job.Rank])
		if now+expected < w.job.QueueDeadline {
			ahead++
			aheadByRank[w.job.Rank]++
			return false
		}
		w.done = true
		w.onDecision(nil, s.newRefusal(now, group, w.job, expected, ahead))
		return true
	})
}

func (s *Scheduler) grant(now lovageshift.Millis, q *queue, w *Waiter, chosen *target) {
	q.recordGrant(now, w)
	if chosen.service.ColdPerSecond > 0 {
		chosen.grantTimes = append(chosen.grantTimes, now)
	}
	w.done = true
	w.onDecision(chosen, nil)
}
