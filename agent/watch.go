package agent

import (
	"context"
	"time"

	"lovageshift"
	"lovageshift/peer"
	"lovageshift/wire"
)

const (
	heartbeatInterval = time.Second
	minUpdateInterval = 50 * time.Millisecond
	// With more than maxEntriesAtMinInterval entries watching, changed loads are sent at this interval times their
	// number, so that the bytes sent stay bounded.
	updateIntervalPerEntry  = 55 * time.Millisecond
	maxEntriesAtMinInterval = 4
	// An engine that is decoding and has sent no token for more than this many times the mean inter-token latency
	// counts as stalled.
	stallFactor = 8
)

// Watch streams this agent's load and suspects to an entry: when they change and, without a change, every
// heartbeatInterval.
func (a *Agent) Watch(request *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: request.Entry}, request.Stamp, now)
	a.mutex.Lock()
	a.replayWindow.ObserveEntry(now, lovageshift.EntryID(request.Entry), lovageshift.Incarnation(request.Incarnation), lovageshift.Millis(request.SentAt))
	a.mutex.Unlock()
	a.watchingEntries.Add(1)
	defer a.watchingEntries.Add(-1)
	for {
		a.mutex.Lock()
		changed := a.loadChanged
		load := a.loadMessage()
		a.mutex.Unlock()
		newSuspects := a.node.SuspectsChanged()
		if err := stream.Send(&wire.WatchEvent{Load: load, Suspects: a.node.NewestSuspects()}); err != nil {
			return err
		}
		if err := a.awaitUpdate(stream.Context(), changed, newSuspects); err != nil {
			return err
		}
	}
}

// awaitUpdate returns when the next message is due: at once for new suspects, updateDelay after the load has changed,
// or after heartbeatInterval without a change. Further changes of the load do not shorten the delay.
func (a *Agent) awaitUpdate(ctx context.Context, changed, suspects <-chan struct{}) error {
	heartbeat := time.NewTimer(heartbeatInterval)
	defer heartbeat.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
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
	entries := a.watchingEntries.Load()
	switch {
	case urgent:
		return 0
	case entries <= maxEntriesAtMinInterval:
		return minUpdateInterval
	default:
		return time.Duration(entries) * updateIntervalPerEntry
	}
}

// interTokenLatency returns the mean inter-token latency in milliseconds. For a stalled engine it is the time since the
// last token of any stream, so that entries see before the next token that the engine is slow; a.mutex must be held.
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
	for _, w := range a.queue.Waiting() {
		counts[w.Rank]++
	}
	for rank, count := range counts {
		load.WaitingByRank = append(load.WaitingByRank, &wire.RankWaiting{Rank: int32(rank), Count: count})
	}
	return load
}
