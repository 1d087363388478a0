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
	heartbeatTimeout = 3500 * time.Millisecond
	lostTimeout      = 5 * time.Second
	minLinkBackoff   = 50 * time.Millisecond
	maxLinkBackoff   = time.Second
)

// agentLink follows one agent of the subset.
type agentLink struct {
	address peer.Address
	cancel  context.CancelFunc
	// lost ends when the agent has been out of reach for long, so that its dispatches end too.
	lost     context.Context
	giveUp   context.CancelFunc
	lostTime *time.Timer
}

// keepLinks follows the agents of the subset in force.
func (e *Entry) keepLinks(ctx context.Context) error {
	tasks, ctx := errgroup.WithContext(ctx)
	tasks.Go(func() error {
		for {
			changed := e.node.Revisions.Changed()
			if config := e.node.Revisions.Config(); config != nil {
				e.adjustLinks(ctx, tasks, config)
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

func (e *Entry) adjustLinks(ctx context.Context, tasks *errgroup.Group, config *lovageshift.Config) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.node.SetSuspectMaxAge(config.Limits.QuarantineMillis)
	e.budget.SetShare(config.Limits.RetryShare)
	wanted := map[lovageshift.TargetID]string{}
	for _, id := range e.subset(config) {
		wanted[id] = config.Targets[id].Agent
	}
	for id, known := range e.links {
		if wanted[id] == known.address.Address {
			continue
		}
		known.cancel()
		delete(e.links, id)
		e.board.MarkUnreachable(id)
	}
	for id, address := range wanted {
		if e.links[id] == nil {
			e.startLink(ctx, tasks, id, address)
		}
	}
}

// startLink needs the lock.
func (e *Entry) startLink(ctx context.Context, tasks *errgroup.Group, id lovageshift.TargetID, address string) {
	ctx, cancel := context.WithCancel(ctx)
	l := &agentLink{address: peer.Address{ID: string(id), Address: address}, cancel: cancel}
	l.lost, l.giveUp = context.WithCancel(context.Background())
	e.links[id] = l
	tasks.Go(func() error {
		e.follow(ctx, id, l)
		return nil
	})
}

// follow keeps a watch on an agent open until the context ends.
func (e *Entry) follow(ctx context.Context, id lovageshift.TargetID, l *agentLink) {
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

func (e *Entry) linkDown(id lovageshift.TargetID, l *agentLink) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.links[id] == l {
		e.board.MarkUnreachable(id)
	}
	if l.lostTime == nil {
		l.lostTime = time.AfterFunc(lostTimeout, func() {
			e.mutex.Lock()
			defer e.mutex.Unlock()
			l.giveUp()
			l.lost, l.giveUp = context.WithCancel(context.Background())
		})
	}
}

// linkUp needs the lock.
func (l *agentLink) linkUp() {
	if l.lostTime != nil {
		l.lostTime.Stop()
		l.lostTime = nil
	}
}

// watch follows one stream of an agent's events and reports whether any came.
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
	silence := time.AfterFunc(heartbeatTimeout, cancel)
	defer silence.Stop()
	for heard := false; ; heard = true {
		event, err := stream.Recv()
		if err != nil {
			return heard
		}
		silence.Reset(heartbeatTimeout)
		e.learn(id, l, event)
	}
}

func (e *Entry) learn(id lovageshift.TargetID, l *agentLink, event *wire.WatchEvent) {
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
		e.board.Update(now, id, loadOf(event.Load))
	}
}

func loadOf(message *wire.Load) routing.Load {
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
