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
	heartbeatTimeout = 3500 * time.Millisecond // without an event from an agent, until its watch counts as broken
	lostTimeout      = 5 * time.Second         // after a watch broke, until the dispatches to its agent end
	minLinkBackoff   = 50 * time.Millisecond
	maxLinkBackoff   = time.Second
)

// agentLink is the state of the watch on one agent of the entry's subset. A watch is the stream of events with which the
// agent reports its load and its suspects.
type agentLink struct {
	address peer.Address
	cancel  context.CancelFunc
	// lostContext ends when the agent has been unreachable for lostTimeout, and ends the dispatches to it. A new context
	// then replaces it.
	lostContext context.Context
	declareLost context.CancelFunc
	lostTimer   *time.Timer // calls declareLost; nil while the link is up
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

// updateLinks applies a configuration: it sets the limits for suspects and retries, drops the links to agents that left the
// subset or changed their address, and starts the missing links.
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
		l.cancel()
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

// maintainWatch keeps a watch on an agent until the context ends. When the watch breaks, it opens a new one after a backoff,
// which starts again from minLinkBackoff if any event was received.
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

// linkDown marks the target unreachable, unless its link has been dropped or replaced, and starts lostTimer. The dispatches
// to the target end unless the link is up again within lostTimeout.
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

// linkUp stops the timer that linkDown started, if any. The mutex of the entry must be held.
func (l *agentLink) linkUp() {
	if l.lostTimer != nil {
		l.lostTimer.Stop()
		l.lostTimer = nil
	}
}

// watch opens one watch on an agent and applies its events, until the stream breaks or no event arrives for
// heartbeatTimeout. It reports whether any event was received.
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

// applyEvent applies an agent's event: its suspects and, if it has a load, the load, the agent's configuration stamp and
// that the link is up.
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

// loadFromWire translates a load report. The wire protocol calls the inter-token latency gap and the service time hold.
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
