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
	// A cold target's requests are counted in this window, a little longer than the second of its bound.
	coldWindow lovageshift.Millis = 1100
	// The share of a bound over all entries that one coordinator uses. While the number of groups or of entries changes
	// and the entries' views differ, three of them may coordinate the same target.
	coldShare = 0.28
	// The share of a target's connections that the entries divide among themselves; less than all, as they may not agree
	// on their number.
	connectionShare = 0.85
	// What another entry reported counts for this long after its last state update or request. Reservations that are over
	// are kept for as long, to answer repeated requests.
	peerTimeoutMillis lovageshift.Millis = 1500
	// How often reservations that are over, and kept only to answer repeated requests, are looked through.
	sweepIntervalMillis lovageshift.Millis = 1000
	// Targets that one entry coordinates; those of a larger service are divided among several groups, and so among
	// several entries.
	targetsPerGroup = 24
)

// TargetHash names a target in messages between entries.
type TargetHash uint32

// HashOf returns the hash of a target's id: the lower 32 bits of its xxHash64.
func HashOf(id lovageshift.TargetID) TargetHash { return TargetHash(xxhash.Sum64String(string(id))) }

// ColdBounds limit the requests that all entries together send to one cold target: in any second no more than
// ColdOvershoot times the service's rate plus ColdSlack.
type ColdBounds struct {
	ColdOvershoot float64
	ColdSlack     float64
}

// Scheduler assigns targets to the requests of its own entry, and to those of other entries for the groups that it
// coordinates. It is safe for concurrent use.
type Scheduler struct {
	mutex      sync.Mutex
	coldBounds ColdBounds
	entries    int
	// quorum reports whether most entries are live: if they are, no other entry coordinates the same groups for long.
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
	// submitted counts the jobs, to number the waiters.
	submitted uint64
	sweptAt   lovageshift.Millis
}

// NewScheduler returns a scheduler without targets.
func NewScheduler(coldBounds ColdBounds) *Scheduler {
	return &Scheduler{
		coldBounds:      coldBounds,
		entries:         1,
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

// SetEntries sets how many entries may be running and how many of them are live, this one included.
func (s *Scheduler) SetEntries(known, live int) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.entries = max(known, 1)
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
			// Requests sent in the last second count for the new incarnation too: they may have arrived there.
			fresh.coldSent, fresh.assumedColdUntil = t.coldSent, t.assumedColdUntil
		}
		t = fresh
		s.targets[id] = t
		s.byHash[HashOf(id)] = t
	}
	t.Target, t.service = registered, service
}

// regroup divides each service's targets into groups by rendezvous hashing, which moves few of them when the number of
// groups changes.
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

// ColdRemaining returns how much longer each cold target stays cold by its own registration. What other entries
// reported is left out, as entries would repeat it to each other for ever.
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

// MergeCold records which targets are cold by another entry's view, and for how much longer: this entry's view may be
// older.
func (s *Scheduler) MergeCold(now lovageshift.Millis, cold map[TargetHash]lovageshift.Millis) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for hash, left := range cold {
		if t := s.byHash[hash]; t != nil {
			t.assumedColdUntil = max(t.assumedColdUntil, now+left)
		}
	}
}

// UpdatePeer records how many requests another entry has running at each target, by its state update. Reservations that
// the update does not confirm are dropped after unconfirmedMillis.
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

// Tick refuses requests that can no longer get a slot in time and forgets entries that are unresponsive. It must be
// called regularly.
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

// PickGroup returns the group of the service in which to request a slot, or "" if the service has no targets. Groups are
// weighted by their free slots; point, in [0, 1), selects among them.
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
		// Even a group that seems full keeps a small weight, as the counts are late.
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

// Submit queues a request of this entry for a slot in the group; coordinator reports whether this entry coordinates
// the group or is its backup. The function decided is called once, possibly before Submit returns, and must not call the
// scheduler.
func (s *Scheduler) Submit(now lovageshift.Millis, group GroupID, coordinator bool, job *Job, decided func(Decision)) *Waiter {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.submit(now, group, coordinator, job, func(chosen *target, refusal *Refusal) {
		if chosen == nil {
			decided(Decision{Refusal: refusal})
			return
		}
		decided(Decision{Slot: s.acquire(now, chosen, job)})
	})
}

func (s *Scheduler) submit(now lovageshift.Millis, group GroupID, coordinator bool, job *Job, grant func(*target, *Refusal)) *Waiter {
	s.submitted++
	w := &Waiter{job: job, group: group, coordinator: coordinator, number: s.submitted, grant: grant}
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

// AcquireGranted takes the slot that another entry granted at the incarnation of a target; running is the load that
// entry knew of. It returns nil if this entry does not know that incarnation.
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
		prompt:         job.PromptTokens,
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
	return max(int(float64(chosen.service.ConnectionLimit)*connectionShare)/s.entries, 1)
}

// Release returns a slot and records how its request ended; the slot may be assigned anew at once.
func (s *Scheduler) Release(now lovageshift.Millis, slot *Slot, result Result) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	slot.target.own--
	slot.target.recordResult(now, slot.prompt, result)
	s.assignService(now, slot.target.Service)
	if slot.OnRelease != nil {
		slot.OnRelease(result)
	}
}

// ReportUnresponsive counts a failure of the slot's target, which has not begun to answer. The slot stays held.
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

// assign gives slots to a group's waiting requests in their order, and refuses those that cannot expect one by their
// queue deadline.
func (s *Scheduler) assign(now lovageshift.Millis, group GroupID, q *queue) {
	q.promote()
	ahead, full := 0, false
	aheadOfRank := map[lovageshift.Rank]int{}
	q.removeIf(func(w *Waiter) bool {
		var chosen *target
		// If a request without excluded targets finds no free slot, neither does any behind it.
		if !full || len(w.job.Tried) > 0 {
			chosen = s.choose(now, w)
			full = full || (chosen == nil && w.coordinator && len(w.job.Tried) == 0)
		}
		if chosen != nil {
			s.grant(now, q, w, chosen)
			return true
		}
		expected := q.expectedWait(now, w.job, ahead, aheadOfRank[w.job.Rank])
		if now+expected < w.job.QueueDeadline {
			ahead++
			aheadOfRank[w.job.Rank]++
			return false
		}
		w.done = true
		w.grant(nil, s.newRefusal(now, group, w.job, expected, ahead))
		return true
	})
}

func (s *Scheduler) grant(now lovageshift.Millis, q *queue, w *Waiter, chosen *target) {
	q.recordGrant(now, w)
	if chosen.service.ColdPerSecond > 0 {
		chosen.coldSent = append(chosen.coldSent, now)
	}
	w.done = true
	w.grant(chosen, nil)
}
