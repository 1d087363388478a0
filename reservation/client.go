package reservation

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/membership"
	"lovageshift/placement"
	"lovageshift/wire"
)

const (
	// A keeper answers at once; a lost datagram is repeated after this.
	repeatMillis lovageshift.Millis = 30
	// A waiting ask is repeated at this interval, to notice a keeper that is gone or has forgotten it.
	refreshMillis lovageshift.Millis = 100
	// A keeper that is silent for so many repeats is passed over.
	maxSilent = 3
	// How long a silent keeper is passed over.
	avoidMillis lovageshift.Millis = 1000
	// A group's keeper and the one that stands in for it.
	keepersAtOnce = 2
	// Keepers that are asked before the entry decides alone.
	maxKeepers = 2
)

// Peers reaches the other entries.
type Peers interface {
	Self() netip.Addr
	Live() []netip.Addr
	Send(to netip.Addr, packet *wire.EntryPacket)
}

// Client asks keepers for places, and answers those who ask this entry.
type Client struct {
	desk  *placement.Scheduler
	clock lovageshift.Clock
	log   *eventlog.Log
	peers Peers

	mutex   sync.Mutex
	next    uint64
	waiting map[uint64]chan *wire.ReserveReply
	avoided map[netip.Addr]lovageshift.Millis
}

// NewClient returns a client of the entry with the desk; SetPeers must be called before the first request.
func NewClient(desk *placement.Scheduler, clock lovageshift.Clock, log *eventlog.Log) *Client {
	return &Client{
		desk: desk, clock: clock, log: log,
		next:    rand.Uint64(),
		waiting: map[uint64]chan *wire.ReserveReply{},
		avoided: map[netip.Addr]lovageshift.Millis{},
	}
}

// SetPeers takes over how the other entries are reached.
func (c *Client) SetPeers(peers Peers) { c.peers = peers }

// Reserve waits for a place for the job, until its patience or the context ends.
func (c *Client) Reserve(ctx context.Context, job *placement.Job) placement.Decision {
	group := c.desk.PickGroup(job.Service, rand.Float64())
	for range maxKeepers {
		keeper := c.keeperOf(group)
		if keeper == c.peers.Self() {
			return c.wait(ctx, group, c.keeps(group), job)
		}
		decision, answered := c.ask(ctx, keeper, group, job)
		if answered {
			return decision
		}
		c.avoid(keeper, group)
	}
	return c.wait(ctx, group, false, job)
}

// wait queues the job at this entry's own desk.
func (c *Client) wait(ctx context.Context, group placement.GroupID, keeper bool, job *placement.Job) placement.Decision {
	decided := make(chan placement.Decision, 1)
	ticket := c.desk.Submit(c.clock.Now(), group, keeper, job, func(d placement.Decision) { decided <- d })
	select {
	case decision := <-decided:
		return decision
	case <-ctx.Done():
	}
	if c.desk.Cancel(ticket) {
		return c.late(job)
	}
	return <-decided
}

func (c *Client) late(job *placement.Job) placement.Decision {
	waited := c.clock.Now() - job.Arrived
	return placement.Decision{Refusal: &placement.Refusal{Reason: lovageshift.ReasonDeadline, Waited: waited}}
}

// keeperOf returns the entry that keeps the group, by rendezvous hashing over the entries that are heard.
func (c *Client) keeperOf(group placement.GroupID) netip.Addr {
	now := c.clock.Now()
	self := c.peers.Self()
	heard := slices.DeleteFunc(c.peers.Live(), func(address netip.Addr) bool { return c.avoids(now, address) })
	return membership.OwnerOf(string(group), append(heard, self), netip.Addr.String)
}

// keeps reports whether this entry may be the group's keeper by the entries it hears. One that is only asked because
// others get no answer from their keepers is not, as too many would share out a cold target then.
func (c *Client) keeps(group placement.GroupID) bool {
	return c.AmongFirst(string(group), keepersAtOnce)
}

// AmongFirst reports whether this entry is among the first count for a task, by rendezvous hashing over those heard.
func (c *Client) AmongFirst(task string, count int) bool {
	own := membership.Score(task, c.peers.Self().String())
	ahead := 0
	for _, address := range c.peers.Live() {
		if membership.Score(task, address.String()) > own {
			ahead++
		}
	}
	return ahead < count
}

func (c *Client) avoids(now lovageshift.Millis, address netip.Addr) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now < c.avoided[address]
}

func (c *Client) avoid(address netip.Addr, group placement.GroupID) {
	c.mutex.Lock()
	c.avoided[address] = c.clock.Now() + avoidMillis
	c.mutex.Unlock()
	c.log.Info("keeperSilent", "peer", address.String(), "group", group)
}

func (c *Client) open() (uint64, chan *wire.ReserveReply) {
	replies := make(chan *wire.ReserveReply, maxSilent)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.next++
	c.waiting[c.next] = replies
	return c.next, replies
}

func (c *Client) close(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.waiting, id)
}

// ask asks the keeper until it decides; answered is false if it stays silent.
func (c *Client) ask(ctx context.Context, keeper netip.Addr, group placement.GroupID, job *placement.Job) (decision placement.Decision, answered bool) {
	id, replies := c.open()
	defer c.close(id)
	silent, interval := 0, repeatMillis
	for {
		c.peers.Send(keeper, &wire.EntryPacket{Body: &wire.EntryPacket_Ask{Ask: c.message(id, group, job)}})
		reply := receive(ctx, replies, interval)
		switch {
		case reply == nil && ctx.Err() != nil:
			c.end(keeper, id, placement.Result{})
			return c.late(job), true
		case reply == nil:
			silent++
			if silent >= maxSilent {
				c.end(keeper, id, placement.Result{})
				return placement.Decision{}, false
			}
		case reply.State == wire.ReserveState_RESERVE_STATE_QUEUED:
			silent, interval = 0, refreshMillis
			later := receive(ctx, replies, interval)
			if later != nil && later.State != wire.ReserveState_RESERVE_STATE_QUEUED {
				return c.settle(keeper, id, job, later)
			}
		default:
			return c.settle(keeper, id, job, reply)
		}
	}
}

func receive(ctx context.Context, replies chan *wire.ReserveReply, wait lovageshift.Millis) *wire.ReserveReply {
	limited, cancel := context.WithTimeout(ctx, wait.Duration())
	defer cancel()
	select {
	case reply := <-replies:
		return reply
	case <-limited.Done():
		return nil
	}
}

// settle turns the keeper's decision into a place of this entry.
func (c *Client) settle(keeper netip.Addr, id uint64, job *placement.Job, reply *wire.ReserveReply) (placement.Decision, bool) {
	now := c.clock.Now()
	if reply.State == wire.ReserveState_RESERVE_STATE_REFUSED {
		reason := lovageshift.ReasonShed
		if reply.NoTarget {
			reason = lovageshift.ReasonNoTarget
		}
		return placement.Decision{Refusal: &placement.Refusal{
			Reason: reason, RetryAfter: lovageshift.Millis(reply.RetryAfterMillis), Waited: now - job.Arrived,
			ExpectedWait: lovageshift.Millis(reply.ExpectedMillis), Ahead: int(reply.Ahead),
		}}, true
	}
	hash := placement.TargetHash(reply.Target)
	place := c.desk.AcquireGranted(now, hash, reply.TargetBorn, int(reply.Running), job)
	if place == nil {
		// The keeper knows a target that this entry does not, or no longer.
		c.end(keeper, id, placement.Result{})
		job.Tried = append(job.Tried, hash)
		return placement.Decision{}, false
	}
	place.OnRelease = func(result placement.Result) { c.end(keeper, id, result) }
	return placement.Decision{Slot: place}, true
}

func (c *Client) end(keeper netip.Addr, id uint64, result placement.Result) {
	c.peers.Send(keeper, &wire.EntryPacket{Body: &wire.EntryPacket_End{End: &wire.ReserveEnd{
		Id: id, Outcome: int32(result.Outcome), FirstEventMillis: int64(result.FirstEvent),
	}}})
}

func (c *Client) message(id uint64, group placement.GroupID, job *placement.Job) *wire.ReserveAsk {
	now := c.clock.Now()
	ask := &wire.ReserveAsk{
		Id: id, Group: string(group), Rank: int32(job.Rank),
		WaitedMillis: int64(now - job.Arrived), PatienceMillis: int64(job.QueueDeadline - now),
		ObjectiveMillis: int64(job.Objective), PromptTokens: int64(job.PromptTokens), OutputTokens: int64(job.OutputTokens),
		Returned: job.RefusedBefore, Zone: string(job.Zone),
	}
	for _, hash := range job.Tried {
		ask.Tried = append(ask.Tried, uint32(hash))
	}
	return ask
}

// HandlePacket takes in another entry's ask, answer or end.
func (c *Client) HandlePacket(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket) {
	switch body := packet.Body.(type) {
	case *wire.EntryPacket_Ask:
		c.answer(now, from, body.Ask)
	case *wire.EntryPacket_Reply:
		c.deliver(body.Reply)
	case *wire.EntryPacket_End:
		result := placement.Result{
			Outcome:    placement.Outcome(body.End.Outcome),
			FirstEvent: lovageshift.Millis(body.End.FirstEventMillis),
		}
		c.desk.EndReservation(now, from, body.End.Id, result)
	}
}

func (c *Client) deliver(reply *wire.ReserveReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	replies := c.waiting[reply.Id]
	if replies == nil {
		return
	}
	select {
	case replies <- reply:
	default: // The asker repeats itself and gets the same answer.
	}
}

// answer decides on another entry's ask, at once or later.
func (c *Client) answer(now lovageshift.Millis, from netip.Addr, ask *wire.ReserveAsk) {
	job := &placement.Job{
		Rank:          lovageshift.Rank(ask.Rank),
		Arrived:       now - lovageshift.Millis(ask.WaitedMillis),
		QueueDeadline: now + lovageshift.Millis(ask.PatienceMillis),
		Objective:     lovageshift.Millis(ask.ObjectiveMillis),
		PromptTokens:  lovageshift.Tokens(ask.PromptTokens),
		OutputTokens:  lovageshift.Tokens(ask.OutputTokens),
		RefusedBefore: ask.Returned,
		Zone:          lovageshift.ZoneID(ask.Zone),
	}
	for _, hash := range ask.Tried {
		job.Tried = append(job.Tried, placement.TargetHash(hash))
	}
	group := placement.GroupID(ask.Group)
	tell := func(answer placement.Reply) {
		c.peers.Send(from, &wire.EntryPacket{Body: &wire.EntryPacket_Reply{Reply: replyOf(ask.Id, answer)}})
	}
	tell(c.desk.Reserve(now, from, ask.Id, group, c.keeps(group), job, tell))
}

func replyOf(id uint64, answer placement.Reply) *wire.ReserveReply {
	reply := &wire.ReserveReply{Id: id, State: wire.ReserveState_RESERVE_STATE_QUEUED}
	switch {
	case answer.Granted:
		reply.State = wire.ReserveState_RESERVE_STATE_PLACED
		reply.Target, reply.TargetBorn = uint32(answer.Target), answer.Born
		reply.Running = uint32(answer.Running)
	case answer.Refusal != nil:
		reply.State = wire.ReserveState_RESERVE_STATE_REFUSED
		reply.RetryAfterMillis = int64(answer.Refusal.RetryAfter)
		reply.ExpectedMillis, reply.Ahead = int64(answer.Refusal.ExpectedWait), int32(answer.Refusal.Ahead)
		reply.NoTarget = answer.Refusal.Reason == lovageshift.ReasonNoTarget
	}
	return reply
}
