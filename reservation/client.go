package reservation

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"lovageshift"
	"lovageshift/eventlog"
	"lovageshift/placement"
	"lovageshift/quota"
	"lovageshift/wire"
)

const (
	// Interval at which a reservation request is repeated before the first reply. A coordinator replies at once, so a
	// message without a reply for this long was probably lost.
	resendMillis lovageshift.Millis = 30
	// Interval at which a queued reservation request is repeated, to detect a coordinator that has stopped or lost the
	// request.
	refreshMillis lovageshift.Millis = 100
	// A coordinator that replies to none of this many reservation requests in a row, all for one job, counts as
	// unresponsive.
	maxUnanswered = 3
	// How long no slots are requested from a coordinator that was unresponsive or granted a slot at a target unknown to
	// this entry.
	avoidMillis lovageshift.Millis = 1000
	// How long an entry keeps a granted slot while it doubts that the target has not restarted, and how often it looks. The answer
	// to its question mostly arrives within that time. A coordinator drops slots that are not reported for twice as long.
	maxDoubtWait  lovageshift.Millis = 200
	doubtInterval                    = 10 * time.Millisecond
	// How many other entries an entry requests a slot from, one after the other, before it queues the job at its own
	// scheduler.
	maxCoordinators = 2
)

// Client obtains slots for this entry's jobs, and handles the reservation requests of other entries. It is safe for
// concurrent use once SetPeers has been called.
type Client struct {
	scheduler *placement.Scheduler
	clock     lovageshift.Clock
	log       *eventlog.Log
	peers     Peers

	mutex  sync.Mutex
	lastID uint64
	// pending holds the channels for the replies to this entry's reservation requests, by the ids of the requests.
	pending map[uint64]chan *wire.ReserveReply
	// avoidedUntil is until when no slots are requested from other entries, by their addresses.
	avoidedUntil map[netip.Addr]lovageshift.Millis
	// rankings holds the last result of rank for each key.
	rankings map[string]ranking
}

// NewClient returns a client for the entry to which the scheduler belongs. SetPeers must be called before Reserve and
// HandlePacket.
func NewClient(scheduler *placement.Scheduler, clock lovageshift.Clock, log *eventlog.Log) *Client {
	return &Client{
		scheduler: scheduler, clock: clock, log: log,
		lastID:       rand.Uint64(),
		pending:      map[uint64]chan *wire.ReserveReply{},
		avoidedUntil: map[netip.Addr]lovageshift.Millis{},
		rankings:     map[string]ranking{},
	}
}

// SetPeers sets the connection to the other entries.
func (c *Client) SetPeers(peers Peers) { c.peers = peers }

// Reserve waits until the job gets a slot or a refusal. The job is refused as soon as it is expected to get no slot by
// its queue deadline, and when the context ends.
func (c *Client) Reserve(ctx context.Context, job *placement.Job) placement.Decision {
	if refusal := c.awaitAvailable(ctx, job); refusal != nil {
		return placement.Decision{Refusal: refusal}
	}
	group := c.scheduler.PickGroup(job, rand.Float64())
	return c.askSecond(ctx, group, job, c.reserveIn(ctx, group, job))
}

// reserveIn waits for a slot at a target of the group, or for a refusal.
func (c *Client) reserveIn(ctx context.Context, group placement.GroupID, job *placement.Job) placement.Decision {
	for range maxCoordinators {
		coordinator := c.coordinatorOf(group)
		if coordinator == c.peers.Self() {
			return c.submitLocally(ctx, group, c.roleIn(group), job)
		}
		if decision, err := c.requestUsable(ctx, coordinator, group, job); err == nil {
			return decision
		}
		c.avoid(coordinator, group)
	}
	return c.submitLocally(ctx, group, placement.Other, job)
}

// requestUsable requests a slot from the coordinator, again after a grant at a target that cannot be used.
func (c *Client) requestUsable(
	ctx context.Context, coordinator netip.Addr, group placement.GroupID, job *placement.Job,
) (placement.Decision, error) {
	decision, err := c.requestSlot(ctx, coordinator, group, job)
	for isTargetUnusable(err) {
		decision, err = c.requestSlot(ctx, coordinator, group, job)
	}
	if err == nil {
		c.scheduler.RecordDecision(c.clock.Now(), group, job, decision)
	}
	return decision, err
}

// isTargetUnusable reports whether the error of AcquireGranted is that of a target which the coordinator may grant because it
// knows less of it than this entry.
func isTargetUnusable(err error) bool {
	for _, known := range []error{
		placement.ErrOverLimit, placement.ErrOtherVersion, placement.ErrDoubted, placement.ErrLeaving, placement.ErrUnavailable,
	} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// submitLocally queues the job at this entry's own scheduler and waits for the decision or the end of the context.
func (c *Client) submitLocally(ctx context.Context, group placement.GroupID, role placement.Role, job *placement.Job) placement.Decision {
	decided := make(chan placement.Decision, 1)
	waiter := c.scheduler.Submit(c.clock.Now(), group, role, job, func(d placement.Decision) { decided <- d })
	select {
	case decision := <-decided:
		if role == placement.Coordinator {
			c.scheduler.RecordDecision(c.clock.Now(), group, job, decision)
		}
		return decision
	case <-ctx.Done():
	}
	if c.scheduler.Cancel(waiter) {
		return c.deadlineRefusal(job)
	}
	return <-decided
}

func (c *Client) deadlineRefusal(job *placement.Job) placement.Decision {
	waited := c.clock.Now() - job.Arrived
	return placement.Decision{Refusal: &placement.Refusal{Reason: lovageshift.ReasonDeadline, Waited: waited}}
}

func (c *Client) isAvoided(now lovageshift.Millis, address netip.Addr) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return now < c.avoidedUntil[address]
}

func (c *Client) avoid(address netip.Addr, group placement.GroupID) {
	c.mutex.Lock()
	c.avoidedUntil[address] = c.clock.Now() + avoidMillis
	c.mutex.Unlock()
	c.log.Info("keeperSilent", "peer", address.String(), "group", group)
}

// register returns a new id for a reservation request and the channel that gets the replies to it.
func (c *Client) register() (uint64, chan *wire.ReserveReply) {
	replies := make(chan *wire.ReserveReply, maxUnanswered)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lastID++
	c.pending[c.lastID] = replies
	return c.lastID, replies
}

func (c *Client) unregister(id uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	delete(c.pending, id)
}

// errUnresponsive is the error for a coordinator that replies to none of maxUnanswered requests.
var errUnresponsive = errors.New("the coordinator is unresponsive")

// requestSlot sends reservation requests for the job to the coordinator until there is a decision or the context ends. It
// returns errUnresponsive, or an error of AcquireGranted if the granted slot cannot be used.
func (c *Client) requestSlot(ctx context.Context, coordinator netip.Addr, group placement.GroupID, job *placement.Job) (placement.Decision, error) {
	id, replies := c.register()
	defer c.unregister(id)
	unanswered, interval := 0, resendMillis
	for {
		c.peers.Send(coordinator, &wire.EntryPacket{Body: &wire.EntryPacket_Ask{Ask: c.requestMessage(id, group, job)}})
		reply := receive(ctx, replies, interval)
		switch {
		case reply == nil && ctx.Err() != nil:
			c.end(coordinator, id, placement.Result{})
			return c.deadlineRefusal(job), nil
		case reply == nil:
			unanswered++
			if unanswered >= maxUnanswered {
				c.end(coordinator, id, placement.Result{})
				return placement.Decision{}, errUnresponsive
			}
		case reply.State == wire.ReserveState_RESERVE_STATE_QUEUED:
			if interval != refreshMillis {
				c.scheduler.RecordQueued(c.clock.Now(), group)
			}
			unanswered, interval = 0, refreshMillis
			later := receive(ctx, replies, interval)
			if later != nil && later.State != wire.ReserveState_RESERVE_STATE_QUEUED {
				return c.accept(ctx, coordinator, id, group, job, later)
			}
		default:
			return c.accept(ctx, coordinator, id, group, job, reply)
		}
	}
}

// receive returns the next reply, or nil if none arrives within the wait or before the context ends.
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

// accept turns the coordinator's reply that a reservation is granted or refused into the decision on the job, and
// acquires the slot if one is granted. If the slot cannot be used, it marks the target as tried and returns the error of
// AcquireGranted.
func (c *Client) accept(ctx context.Context, coordinator netip.Addr, id uint64, group placement.GroupID, job *placement.Job, reply *wire.ReserveReply) (placement.Decision, error) {
	now := c.clock.Now()
	if reply.State == wire.ReserveState_RESERVE_STATE_REFUSED {
		reason := lovageshift.ReasonShed
		if reply.NoTarget {
			reason = lovageshift.ReasonNoTarget
		}
		return placement.Decision{Refusal: &placement.Refusal{
			Reason: reason, RetryAfter: lovageshift.Millis(reply.RetryAfterMillis), Waited: now - job.Arrived,
			ExpectedWait: lovageshift.Millis(reply.ExpectedMillis), Ahead: int(reply.Ahead), AboveShare: reply.AboveShare,
			Obstacles: c.scheduler.ExplainRefusal(now, group, job, obstaclesOf(reply.Obstacles)),
		}}, nil
	}
	grant := placement.Reply{
		Granted: true, Target: placement.TargetHash(reply.Target), Born: reply.TargetBorn,
		Running: int(reply.Running), KeepsLimit: reply.KeepsLimit,
	}
	slot, err := c.scheduler.AcquireGranted(now, coordinator, grant, job)
	for errors.Is(err, placement.ErrDoubted) && ctx.Err() == nil && c.clock.Now()-now < maxDoubtWait {
		lovageshift.Pause(ctx, doubtInterval)
		slot, err = c.scheduler.AcquireGranted(c.clock.Now(), coordinator, grant, job)
	}
	if err != nil {
		c.end(coordinator, id, placement.Result{})
		job.Tried = append(job.Tried, grant.Target)
		return placement.Decision{}, err
	}
	slot.OnRelease = func(result placement.Result) { c.end(coordinator, id, result) }
	return placement.Decision{Slot: slot}, nil
}

// end sends the coordinator the message that a reservation is over, and how the request with its slot ended.
func (c *Client) end(coordinator netip.Addr, id uint64, result placement.Result) {
	c.peers.Send(coordinator, &wire.EntryPacket{Body: &wire.EntryPacket_End{End: &wire.ReserveEnd{
		Id: id, Outcome: int32(result.Outcome), FirstEventMillis: int64(result.FirstEvent), TokenMicros: result.TokenMicros,
	}}})
}

func (c *Client) requestMessage(id uint64, group placement.GroupID, job *placement.Job) *wire.ReserveAsk {
	now := c.clock.Now()
	message := &wire.ReserveAsk{
		Id: id, Group: string(group), Rank: int32(job.Rank),
		WaitedMillis: int64(now - job.Arrived), PatienceMillis: int64(job.QueueDeadline - now),
		ObjectiveMillis: int64(job.Objective), PromptTokens: int64(job.PromptTokens), OutputTokens: int64(job.OutputTokens),
		Returned: job.RefusedBefore, Zone: string(job.Zone),
		ExpectedOutput: int64(job.ExpectedOutput), MaxGapMillis: int64(job.MaxGap),
		HasVersion: job.HasVersion, Version: string(job.Version), Resumes: job.Resumes,
		Account: uint32(job.Account), Weight: job.Weight,
	}
	if job.Deadline > 0 {
		message.DeadlineMillis = max(int64(job.Deadline-now), 1)
	}
	for _, hashes := range [][]placement.TargetHash{job.Tried, c.scheduler.Unusable(now, group)} {
		for _, hash := range hashes {
			message.Tried = append(message.Tried, uint32(hash))
		}
	}
	return message
}

// HandlePacket handles another entry's message: a reservation request, the reply to one of this entry, or the end of a
// reservation.
func (c *Client) HandlePacket(now lovageshift.Millis, from netip.Addr, packet *wire.EntryPacket) {
	switch body := packet.Body.(type) {
	case *wire.EntryPacket_Ask:
		c.handleRequest(now, from, body.Ask)
	case *wire.EntryPacket_Reply:
		c.deliver(body.Reply)
	case *wire.EntryPacket_End:
		result := placement.Result{
			Outcome:     placement.Outcome(body.End.Outcome),
			FirstEvent:  lovageshift.Millis(body.End.FirstEventMillis),
			TokenMicros: body.End.TokenMicros,
		}
		c.scheduler.EndReservation(now, from, body.End.Id, result)
	}
}

// deliver passes a reply to the requestSlot call that waits for replies with its id, if there is one.
func (c *Client) deliver(reply *wire.ReserveReply) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	replies := c.pending[reply.Id]
	if replies == nil {
		return
	}
	select {
	case replies <- reply:
	default: // The channel is full. The reply may be dropped, as the repeated request gets the current one.
	}
}

// handleRequest replies to another entry's reservation request at once, and again when a queued one is granted or
// refused.
func (c *Client) handleRequest(now lovageshift.Millis, from netip.Addr, request *wire.ReserveAsk) {
	job := &placement.Job{
		Rank:          lovageshift.Rank(request.Rank),
		Arrived:       now - lovageshift.Millis(request.WaitedMillis),
		QueueDeadline: now + lovageshift.Millis(request.PatienceMillis),
		Objective:     lovageshift.Millis(request.ObjectiveMillis),
		PromptTokens:  lovageshift.Tokens(request.PromptTokens),
		OutputTokens:  lovageshift.Tokens(request.OutputTokens),
		RefusedBefore: request.Returned,
		Zone:          lovageshift.ZoneID(request.Zone),

		ExpectedOutput: lovageshift.Tokens(request.ExpectedOutput),
		MaxGap:         lovageshift.Millis(request.MaxGapMillis),
		Resumes:        request.Resumes,
		Account:        quota.AccountHash(request.Account),
		Weight:         request.Weight,
		HasVersion:     request.HasVersion,
		Version:        lovageshift.SoftwareVersion(request.Version),
	}
	if request.DeadlineMillis > 0 {
		job.Deadline = now + lovageshift.Millis(request.DeadlineMillis)
	}
	for _, hash := range request.Tried {
		job.Tried = append(job.Tried, placement.TargetHash(hash))
	}
	group := placement.GroupID(request.Group)
	send := func(reply placement.Reply) {
		c.peers.Send(from, &wire.EntryPacket{Body: &wire.EntryPacket_Reply{Reply: replyMessage(request.Id, reply)}})
	}
	send(c.scheduler.Reserve(now, from, request.Id, group, c.roleIn(group), job, send))
}

func replyMessage(id uint64, reply placement.Reply) *wire.ReserveReply {
	message := &wire.ReserveReply{Id: id, State: wire.ReserveState_RESERVE_STATE_QUEUED}
	switch {
	case reply.Granted:
		message.State = wire.ReserveState_RESERVE_STATE_PLACED
		message.Target, message.TargetBorn = uint32(reply.Target), reply.Born
		message.Running, message.KeepsLimit = uint32(reply.Running), reply.KeepsLimit
	case reply.Refusal != nil:
		message.State = wire.ReserveState_RESERVE_STATE_REFUSED
		message.RetryAfterMillis = int64(reply.Refusal.RetryAfter)
		message.ExpectedMillis, message.Ahead = int64(reply.Refusal.ExpectedWait), int32(reply.Refusal.Ahead)
		message.AboveShare = reply.Refusal.AboveShare
		message.NoTarget = reply.Refusal.Reason == lovageshift.ReasonNoTarget
		message.Obstacles = obstaclesMessage(reply.Refusal.Obstacles)
	}
	return message
}

func obstaclesMessage(o placement.Obstacles) *wire.Obstacles {
	return &wire.Obstacles{
		Tried: uint32(o.Tried), Backoff: uint32(o.Backoff), MayHaveRestarted: uint32(o.MayHaveRestarted),
		Cold: uint32(o.Cold), Limited: uint32(o.Limited), Full: uint32(o.Full), Free: uint32(o.Free),
		Leaving: uint32(o.Leaving), Unavailable: uint32(o.Unavailable), UnavailableMillis: uint32(o.UnavailableFor),
	}
}

// obstaclesOf returns the obstacles of a message, none if an entry of an earlier build sent no message.
func obstaclesOf(m *wire.Obstacles) placement.Obstacles {
	return placement.Obstacles{
		Tried: int(m.GetTried()), Backoff: int(m.GetBackoff()), MayHaveRestarted: int(m.GetMayHaveRestarted()),
		Cold: int(m.GetCold()), Limited: int(m.GetLimited()), Full: int(m.GetFull()), Free: int(m.GetFree()),
		Leaving: int(m.GetLeaving()), Unavailable: int(m.GetUnavailable()), UnavailableFor: lovageshift.Millis(m.GetUnavailableMillis()),
	}
}
