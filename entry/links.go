package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"lovageshift"
	"lovageshift/peer"
	"lovageshift/routing"
	"lovageshift/wire"
)

const (
	heartbeatTimeout = 3500 * time.Millisecond // longest time without an event on a watch; then the watch counts as broken
	lostTimeout      = 5 * time.Second         // time from the break of a watch to the cancellation of the dispatches to its agent
	minLinkBackoff   = 50 * time.Millisecond   // mean pause before the first new watch after a break; doubles up to maxLinkBackoff
	maxLinkBackoff   = time.Second
)

// agentLink is what the entry holds for one agent of its subset while it watches the agent. A watch is a stream of events in
// which the agent reports its load and its suspects (package quarantine). When a watch breaks, the entry opens a new one. The
// link is up from the first load received on a watch until that watch breaks.
type agentLink struct {
	address peer.Address
	cancel  context.CancelFunc // ends the watch for good
	// lostContext is canceled, and a new context stored here, when the link has been down for lostTimeout. This cancels the
	// dispatches to the agent that have not ended.
	lostContext context.Context
	declareLost context.CancelFunc
	lostTimer   *time.Timer // calls declareLost; nil while the link is up, and before its first watch ends
	dispatches  int         // that run at the agent
	isDropped   bool        // the link is no longer among Entry.links
}

// drop ends the watch once no dispatch runs at the agent. Until then only the agent's silence cancels them. Entry.mutex must be held.
func (l *agentLink) drop() {
	l.isDropped = true
	l.endDispatches(0)
}

// endDispatches records that so many dispatches have ended. Entry.mutex must be held.
func (l *agentLink) endDispatches(count int) {
	l.dispatches -= count
	if l.isDropped && l.dispatches == 0 {
		l.cancel()
	}
}

// maintainLinks watches the agents of the subset and applies each new configuration, until the context ends.
func (e *Entry) maintainLinks(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		for {
			changed := e.node.Revisions.Changed()
			if config := e.node.Revisions.Config(); config != nil {
				e.updateLinks(ctx, tasks, config)
			}
			select {
			case <-ctx.Done():
				return nil
			case <-changed:
			}
		}
	})
	return tasks.Wait()
}

// updateLinks applies a configuration: it sets the time after which suspects expire and the share of retries, drops the links
// to agents that left the subset or changed their address, and starts the missing links.
func (e *Entry) updateLinks(ctx context.Context, tasks *errgroup.Group, config *lovageshift.Config) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.node.SetSuspectMaxAge(config.Limits.QuarantineMillis)
	e.retryBudget.SetShare(config.Limits.RetryShare)
	wanted := map[lovageshift.TargetID]string{}
	for _, id := range e.subset(config) {
		wanted[id] = config.Targets[id].Agent
	}
	for id, l := range e.links {
		if wanted[id] == l.address.Address {
			continue
		}
		l.drop()
		delete(e.links, id)
		e.loads.MarkUnreachable(id)
	}
	for id, address := range wanted {
		if e.links[id] == nil {
			e.startLink(ctx, tasks, id, address)
		}
	}
}

// startLink adds a link to an agent and starts to watch the agent. e.mutex must be held.
func (e *Entry) startLink(ctx context.Context, tasks *errgroup.Group, id lovageshift.TargetID, address string) {
	ctx, cancel := context.WithCancel(ctx)
	l := &agentLink{address: peer.Address{ID: string(id), Address: address}, cancel: cancel}
	l.lostContext, l.declareLost = context.WithCancel(context.Background())
	e.links[id] = l
	tasks.Go(func() error {
		e.maintainWatch(ctx, id, l)
		return nil
	})
}

// maintainWatch keeps a watch on an agent until the context ends. When the watch breaks, it opens a new one after a pause. The
// mean pause doubles with each watch that brought no event, and is minLinkBackoff after a watch that brought one.
func (e *Entry) maintainWatch(ctx context.Context, id lovageshift.TargetID, l *agentLink) {
	backoff := minLinkBackoff
	for ctx.Err() == nil {
		if e.watch(ctx, id, l) {
			backoff = minLinkBackoff
		}
		e.linkDown(id, l)
		lovageshift.Pause(ctx, e.node.Jitter(backoff))
		backoff = min(2*backoff, maxLinkBackoff)
	}
}

// linkDown is called when a watch ends, also that of a dropped link. It marks the target unreachable, except if l has been
// dropped or replaced, and starts lostTimer unless it is set. The dispatches made while l was the target's link are canceled
// unless l is up again within lostTimeout.
func (e *Entry) linkDown(id lovageshift.TargetID, l *agentLink) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.links[id] == l {
		e.loads.MarkUnreachable(id)
	}
	if l.lostTimer == nil {
		l.lostTimer = time.AfterFunc(lostTimeout, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			l.declareLost()
			l.lostContext, l.declareLost = context.WithCancel(context.Background())
		})
	}
}

// linkUp stops the timer that linkDown started, if any, so that the dispatches to the agent go on. Entry.mutex must be held.
func (l *agentLink) linkUp() {
	if l.lostTimer != nil {
		l.lostTimer.Stop()
		l.lostTimer = nil
	}
}

// watch opens a watch on an agent and applies the events received, until the stream breaks or no event arrives for
// heartbeatTimeout. It returns whether it received any event.
func (e *Entry) watch(ctx context.Context, id lovageshift.TargetID, l *agentLink) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	conn, err := e.node.Pool.Get(ctx, l.address.Address)
	if err != nil {
		return false
	}
	defer e.node.Pool.Drop(conn)
	stream, err := wire.NewDRPCAgentClient(conn).Watch(ctx, &wire.WatchRequest{
		Entry: string(e.options.ID), Incarnation: int64(e.node.Incarnation),
		Stamp: e.node.Stamp(), SentAt: int64(e.node.Now()),
	})
	if err != nil {
		return false
	}
	heartbeatTimer := time.AfterFunc(heartbeatTimeout, cancel)
	defer heartbeatTimer.Stop()
	for received := false; ; received = true {
		event, err := stream.Recv()
		if err != nil {
			return received
		}
		heartbeatTimer.Reset(heartbeatTimeout)
		e.applyEvent(id, l, event)
	}
}

// applyEvent applies an event of a watch. It adds the reported suspects. If the event contains a load, it also applies the
// agent's configuration stamp, which is part of the load, marks the link as up and stores the load in the load table.
func (e *Entry) applyEvent(id lovageshift.TargetID, l *agentLink, event *wire.WatchEvent) {
	e.node.LearnSuspects(event.Suspects)
	if event.Load == nil {
		return
	}
	now := e.node.Now()
	e.node.ObserveStamp(l.address, event.Load.Stamp, now)
	e.mutex.Lock()
	defer e.mutex.Unlock()
	l.linkUp()
	if e.links[id] == l {
		e.loads.Update(now, id, loadFromWire(event.Load))
	}
}

// loadFromWire translates a load report. In the wire protocol, GapMillis is the inter-token latency and HoldMillis the service
// time.
func loadFromWire(message *wire.Load) routing.Load {
	load := routing.Load{
		Incarnation:       lovageshift.Incarnation(message.Incarnation),
		Running:           int(message.Running),
		Limit:             int(message.Limit),
		QueuedPrompt:      lovageshift.Tokens(message.QueuedPromptTokens),
		PrefillSpeed:      message.PrefillTokensPerSecond,
		InterTokenLatency: message.GapMillis,
		ServiceTime:       message.HoldMillis,
		Leaving:           message.Leaving,
		Failing:           message.Failing,
		Cold:              message.Cold,
		CacheEpoch:        message.CacheEpoch,
	}
	if len(message.WaitingByRank) > 0 {
		load.WaitingByRank = make(map[lovageshift.Rank]int, len(message.WaitingByRank))
	}
	for _, waiting := range message.WaitingByRank {
		load.WaitingByRank[lovageshift.Rank(waiting.Rank)] = int(waiting.Count)
	}
	return load
}
