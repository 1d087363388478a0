package placement

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
	"lovageshift/catalog"
	"lovageshift/membership"
)

const (
	// A cold target's requests are counted in this window, a little longer than the second of its bound.
	coldWindow lovageshift.Millis = 1100
	// The part of a bound over all entries that one keeper uses: three may keep a target while the number of groups or
	// of entries changes and their views differ.
	coldShare = 0.28
	// The part of a target's connections that the entries share out, as they may not agree on their number.
	connectionShare = 0.85
	// What an entry told counts for so long after it fell silent.
	reportMillis lovageshift.Millis = 1500
	// How often answered asks are looked through for those that were refused and need no repeated answer any more.
	sweepMillis lovageshift.Millis = 1000
	// Targets that one entry keeps places for; more are divided among several entries.
	groupTargets = 24
)

// TargetHash names a target in messages between entries.
type TargetHash uint32

// HashOf returns the target's hash.
func HashOf(id lovageshift.TargetID) TargetHash { return TargetHash(xxhash.Sum64String(string(id))) }

// ColdBounds are the limits that all entries keep together.
type ColdBounds struct {
	ColdOvershoot float64
	ColdSlack     float64
}

// Scheduler gives requests their targets: those of its own entry, and those of others for the groups it keeps.
type Scheduler struct {
	mutex   sync.Mutex
	bounds  ColdBounds
	entries int
	// quorum tells that most entries are heard, so that no other one keeps the same groups for long.
	quorum  bool
	targets map[lovageshift.TargetID]*target
	byHash  map[TargetHash]*target
	groups  map[GroupID][]*target
	byName  map[catalog.ServiceID][]GroupID
	queues  map[GroupID]*queue
	peers   map[netip.Addr]lovageshift.Millis
	leases  map[leaseKey]*lease
	// ended are asks of other entries that are over.
	ended   map[leaseKey]lovageshift.Millis
	tickets uint64
	swept   lovageshift.Millis
}

// NewScheduler returns a desk without targets.
func NewScheduler(bounds ColdBounds) *Scheduler {
	return &Scheduler{
		bounds:  bounds,
		entries: 1,
		targets: map[lovageshift.TargetID]*target{},
		byHash:  map[TargetHash]*target{},
		groups:  map[GroupID][]*target{},
		byName:  map[catalog.ServiceID][]GroupID{},
		queues:  map[GroupID]*queue{},
		peers:   map[netip.Addr]lovageshift.Millis{},
		leases:  map[leaseKey]*lease{},
		ended:   map[leaseKey]lovageshift.Millis{},
	}
}

// SetEntries takes over how many entries may be at work and how many of them are heard, this one included.
func (d *Scheduler) SetEntries(known, heard int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.entries = max(known, 1)
	d.quorum = heard*2 > known
}

// SetView takes over a new view; requests that wait are given to targets that it brings.
func (d *Scheduler) SetView(now lovageshift.Millis, view *catalog.View) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for id, known := range view.Targets {
		d.setTarget(view, id, known)
	}
	for id := range d.targets {
		if view.Targets[id] == nil {
			delete(d.targets, id)
			delete(d.byHash, HashOf(id))
		}
	}
	d.regroup(view)
	d.serveAll(now)
}

func (d *Scheduler) setTarget(view *catalog.View, id lovageshift.TargetID, known *catalog.Target) {
	service := view.Catalog.Service(known.Service)
	if service == nil {
		service = &catalog.Service{ID: known.Service}
	}
	have := d.targets[id]
	if have == nil || have.Born != known.Born || have.Address != known.Address {
		fresh := newTarget(known, service)
		if have != nil {
			// What was sent in the last second counts for the new incarnation too: it may have arrived there.
			fresh.coldSent, fresh.chilledUntil = have.coldSent, have.chilledUntil
		}
		have = fresh
		d.targets[id] = have
		d.byHash[HashOf(id)] = have
	}
	have.Target, have.service = known, service
}

// regroup divides each service's targets among groups; rendezvous hashing moves few when their number changes.
func (d *Scheduler) regroup(view *catalog.View) {
	counts := map[catalog.ServiceID]int{}
	for _, have := range d.targets {
		counts[have.Service]++
	}
	clear(d.byName)
	for service, count := range counts {
		for number := range (count + groupTargets - 1) / groupTargets {
			d.byName[service] = append(d.byName[service], GroupID(fmt.Sprintf("%s/%d", service, number)))
		}
	}
	clear(d.groups)
	for id, have := range d.targets {
		if view.MaySend(id, have.Born) {
			group := membership.OwnerOf(string(id), d.byName[have.Service], func(g GroupID) string { return string(g) })
			d.groups[group] = append(d.groups[group], have)
		}
	}
	for _, list := range d.groups {
		slices.SortFunc(list, func(a, b *target) int { return cmp.Compare(a.ID, b.ID) })
	}
}

// Running returns this entry's requests at each target that has some.
func (d *Scheduler) Running() map[TargetHash]int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	running := map[TargetHash]int{}
	for hash, known := range d.byHash {
		if known.mine > 0 {
			running[hash] = known.mine
		}
	}
	return running
}

// ColdRemaining returns for how long each target that says so stays cold. What other entries told is left out, so that news of a
// cold target does not go round for ever.
func (d *Scheduler) ColdRemaining(now lovageshift.Millis) map[TargetHash]lovageshift.Millis {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	cold := map[TargetHash]lovageshift.Millis{}
	for hash, known := range d.byHash {
		if known.service.ColdPerSecond > 0 && known.ColdUntil > now {
			cold[hash] = known.ColdUntil - now
		}
	}
	return cold
}

// MergeCold takes in which targets are cold by another entry's view, as this one's may be older.
func (d *Scheduler) MergeCold(now lovageshift.Millis, cold map[TargetHash]lovageshift.Millis) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for hash, left := range cold {
		if known := d.byHash[hash]; known != nil {
			known.chilledUntil = max(known.chilledUntil, now+left)
		}
	}
}

// UpdatePeer takes in what another entry has running at each target.
func (d *Scheduler) UpdatePeer(now lovageshift.Millis, from netip.Addr, running map[TargetHash]int) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.peers[from] = now
	for hash, known := range d.byHash {
		told := running[hash]
		have := known.others[from]
		if have == nil && told == 0 {
			continue
		}
		known.change(now, from, func(s *share) { s.told = told })
		if have != nil && have.leases > told && now-have.agreed > leaseDoubtMillis {
			d.dropLeases(now, known, from, have.leases-told)
		}
	}
	d.serveAll(now)
}

// Tick gives up what waited too long and forgets entries that fell silent.
func (d *Scheduler) Tick(now lovageshift.Millis) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for from, at := range d.peers {
		if now-at > reportMillis {
			d.forget(now, from)
		}
	}
	if now-d.swept > sweepMillis {
		d.swept = now
		d.sweep(now)
	}
	d.serveAll(now)
}

func (d *Scheduler) forget(now lovageshift.Millis, from netip.Addr) {
	delete(d.peers, from)
	for key := range d.leases {
		if key.from == from {
			d.dropLease(key)
		}
	}
	for _, known := range d.byHash {
		if known.others[from] != nil {
			known.change(now, from, func(s *share) { *s = share{} })
		}
	}
}

// PickGroup returns the group of the service's targets to ask, with a chance by its free slots for the point in
// [0, 1), or "" if the service has no targets.
func (d *Scheduler) PickGroup(service catalog.ServiceID, point float64) GroupID {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	groups := d.byName[service]
	if len(groups) < 2 {
		return only(groups)
	}
	free := make([]float64, len(groups))
	total := 0.0
	for i, group := range groups {
		for _, known := range d.groups[group] {
			free[i] += float64(max(known.slots()-known.running(), 0))
		}
		// A full group is asked now and then, as the counts are late.
		free[i] += float64(len(d.groups[group])) / 10
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

func only(groups []GroupID) GroupID {
	if len(groups) == 0 {
		return ""
	}
	return groups[0]
}

// Submit asks for a place for a request of this entry; decided is called once and must not call the desk.
func (d *Scheduler) Submit(now lovageshift.Millis, group GroupID, keeper bool, job *Job, decided func(Decision)) *Waiter {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.enter(now, group, keeper, job, func(chosen *target, refusal *Refusal) {
		if chosen == nil {
			decided(Decision{Refusal: refusal})
			return
		}
		decided(Decision{Slot: d.occupy(now, chosen, job)})
	})
}

func (d *Scheduler) enter(now lovageshift.Millis, group GroupID, keeper bool, job *Job, grant func(*target, *Refusal)) *Waiter {
	d.tickets++
	ticket := &Waiter{job: job, group: group, keeper: keeper, number: d.tickets, grant: grant}
	q := d.queues[group]
	if q == nil {
		q = newQueue()
		d.queues[group] = q
	}
	q.push(now, ticket)
	d.serve(now, group, q)
	return ticket
}

// Cancel takes a waiting request back and reports whether it was still waiting.
func (d *Scheduler) Cancel(ticket *Waiter) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if ticket.done {
		return false
	}
	d.withdraw(ticket)
	return true
}

func (d *Scheduler) withdraw(ticket *Waiter) {
	ticket.done = true
	d.queues[ticket.group].remove(ticket)
}

// AcquireGranted takes the place at a target that another entry granted; it returns nil if this entry does not know the target.
func (d *Scheduler) AcquireGranted(now lovageshift.Millis, hash TargetHash, born int64, running int, job *Job) *Slot {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	known := d.byHash[hash]
	if known == nil || known.Born != born {
		return nil
	}
	place := d.occupy(now, known, job)
	place.Running = running
	return place
}

func (d *Scheduler) occupy(now lovageshift.Millis, chosen *target, job *Job) *Slot {
	place := &Slot{
		Target:         chosen.Target,
		MaxConnections: d.connections(chosen),
		Running:        chosen.running(),
		Waited:         now - job.Arrived,
		prompt:         job.PromptTokens,
		target:         chosen,
	}
	chosen.mine++
	return place
}

// connections is this entry's part of the connections that a target takes.
func (d *Scheduler) connections(chosen *target) int {
	if chosen.service.ConnectionLimit == 0 {
		return 0
	}
	return max(int(float64(chosen.service.ConnectionLimit)*connectionShare)/d.entries, 1)
}

// Release returns a place with what became of the request there.
func (d *Scheduler) Release(now lovageshift.Millis, place *Slot, result Result) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	place.target.mine--
	place.target.learn(now, place.prompt, result)
	d.serveService(now, place.target.Service)
	if place.OnRelease != nil {
		place.OnRelease(result)
	}
}

// ReportUnresponsive notes that the place's target does not begin to answer.
func (d *Scheduler) ReportUnresponsive(now lovageshift.Millis, place *Slot) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	place.target.observe(now, true)
}

func (d *Scheduler) serveService(now lovageshift.Millis, service catalog.ServiceID) {
	for _, group := range d.byName[service] {
		if q := d.queues[group]; q != nil {
			d.serve(now, group, q)
		}
	}
}

func (d *Scheduler) serveAll(now lovageshift.Millis) {
	for group, q := range d.queues {
		d.serve(now, group, q)
	}
}

// serve gives places to waiting requests in their order, and refuses those that will not get one in time.
func (d *Scheduler) serve(now lovageshift.Millis, group GroupID, q *queue) {
	q.promote()
	ahead, full := 0, false
	own := map[lovageshift.Rank]int{}
	q.each(func(ticket *Waiter) bool {
		var chosen *target
		// Where a request that was nowhere yet found no room, the ones behind it do not either.
		if !full || len(ticket.job.Tried) > 0 {
			chosen = d.choose(now, ticket)
			full = full || (chosen == nil && ticket.keeper && len(ticket.job.Tried) == 0)
		}
		if chosen != nil {
			d.grant(now, q, ticket, chosen)
			return true
		}
		expected := q.expected(now, ticket.job, ahead, own[ticket.job.Rank])
		if now+expected < ticket.job.QueueDeadline {
			ahead++
			own[ticket.job.Rank]++
			return false
		}
		ticket.done = true
		ticket.grant(nil, d.refuse(now, group, ticket.job, expected, ahead))
		return true
	})
}

func (d *Scheduler) grant(now lovageshift.Millis, q *queue, ticket *Waiter, chosen *target) {
	q.granted(now, ticket)
	if chosen.service.ColdPerSecond > 0 {
		chosen.coldSent = append(chosen.coldSent, now)
	}
	ticket.done = true
	ticket.grant(chosen, nil)
}
