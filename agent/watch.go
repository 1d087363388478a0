package agent

import (
	"context"
	"errors"
	"time"

	"lovageshift"
	"lovageshift/peer"
	"lovageshift/wire"
)

const (
	// A Watch stream repeats an unchanged load at this interval.
	heartbeatInterval = time.Second
	// Time for which a changed load is held back while no more than maxStreamsAtMinInterval Watch streams are open.
	minUpdateInterval = 50 * time.Millisecond
	// With more streams, a changed load is held back for this time multiplied by their number, so that the bytes that
	// the agent sends per second to all entries together stay bounded.
	updateIntervalPerStream = 55 * time.Millisecond
	maxStreamsAtMinInterval = 4
	// An engine counts as stalled if at least one of its running requests has had its first token, and no token of any
	// stream has arrived for more than this many times the mean inter-token latency.
	stallFactor = 8
)

// errStopped ends the Watch streams when the agent stops.
var errStopped = errors.New("the agent has stopped")

// Watch streams this agent's load and newest suspects to an entry: first at once, then when either changes and, without
// a change, every heartbeatInterval.
func (a *Agent) Watch(request *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: request.Entry}, request.Stamp, now)
	a.mutex.Lock()
	a.replayWindow.ObserveEntry(now, lovageshift.EntryID(request.Entry), lovageshift.Incarnation(request.Incarnation), lovageshift.Millis(request.SentAt))
	a.mutex.Unlock()
	a.watchStreams.Add(1)
	defer a.watchStreams.Add(-1)
	for {
		a.mutex.Lock()
		changed := a.loadChanged
		load := a.loadMessage()
		a.mutex.Unlock()
		newSuspects := a.node.SuspectsChanged()
		if err := stream.Send(&wire.WatchEvent{Load: load, Suspects: a.node.ForemostSuspects()}); err != nil {
			return err
		}
		if err := a.awaitUpdate(stream.Context(), changed, newSuspects); err != nil {
			return err
		}
	}
}

// awaitUpdate returns when the next message is due: at once for new suspects, updateDelay after the load has changed,
// or after heartbeatInterval without a change. The delay is set at the first change; later changes of the load, such as
// the start of draining, do not shorten it. It fails once the agent stops.
func (a *Agent) awaitUpdate(ctx context.Context, changed, suspects <-chan struct{}) error {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-a.stopped:
		return errStopped
	case <-heartbeat.C:
		return nil
	case <-suspects:
		return nil
	case <-changed:
	}
	delay := time.NewTimer(a.updateDelay())
	defer delay.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-a.stopped:
		return errStopped
	case <-suspects:
	case <-delay.C:
	}
	return nil
}

// updateDelay returns for how long a changed load is held back, so that further changes go into the same message. It is
// 0 while the agent is draining or the target is down.
func (a *Agent) updateDelay() time.Duration {
	a.mutex.Lock()
	urgent := a.draining || a.targetDown
	a.mutex.Unlock()
	streams := a.watchStreams.Load()
	switch {
	case urgent:
		return 0
	case streams <= maxStreamsAtMinInterval:
		return minUpdateInterval
	default:
		return time.Duration(streams) * updateIntervalPerStream
	}
}

// interTokenLatency returns the mean inter-token latency in milliseconds. For a stalled engine it returns the time
// since the last token of any stream instead, so that entries need not wait for the next token to learn that the engine
// is slow. Before the first latency sample, the mean is 0, and an engine that is decoding counts as stalled; a.mutex
// must be held.
func (a *Agent) interTokenLatency() float64 {
	sinceToken := float64(a.node.Now() - a.lastTokenAt)
	if a.queue.Decoding() > 0 && sinceToken > stallFactor*a.limiter.InterTokenLatency() {
		return max(sinceToken, a.limiter.InterTokenLatency())
	}
	return a.limiter.InterTokenLatency()
}

// loadMessage returns the load of the target and its queue, as sent to entries; a.mutex must be held.
func (a *Agent) loadMessage() *wire.Load {
	load := &wire.Load{
		Incarnation:            int64(a.node.Incarnation),
		Running:                int32(a.queue.Running()),
		Limit:                  int32(a.limiter.Limit()),
		Waiting:                int32(len(a.queue.Waiting())),
		QueuedPromptTokens:     int64(a.queue.QueuedPromptTokens()),
		PrefillTokensPerSecond: a.limiter.PrefillSpeed(),
		GapMillis:              a.interTokenLatency(),
		HoldMillis:             a.queue.MeanServiceTime(),
		Stamp:                  a.node.Stamp(),
		Leaving:                a.draining,
		Failing:                a.targetDown,
		Cold:                   a.limiter.Cold(),
		CacheEpoch:             a.cacheEpoch,
	}
	counts := map[lovageshift.Rank]int32{}
	for _, request := range a.queue.Waiting() {
		counts[request.Rank]++
	}
	for rank, count := range counts {
		load.WaitingByRank = append(load.WaitingByRank, &wire.RankWaiting{Rank: int32(rank), Count: count})
	}
	return load
}
