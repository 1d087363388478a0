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
	minLoadInterval   = 50 * time.Millisecond
	// With more than fewWatchers entries watching, load updates are sent at this interval times their number, so that
	// the bytes sent stay bounded.
	loadIntervalPerWatcher = 55 * time.Millisecond
	fewWatchers            = 4
	// An engine that has sent no token for this many times the mean inter-token latency has slowed down.
	stallFactor = 8
)

// Watch streams this agent's load and suspects to an entry, as they change and at least every heartbeatInterval.
func (a *Agent) Watch(request *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: request.Entry}, request.Stamp, now)
	a.mutex.Lock()
	a.replayWindow.ObserveEntry(now, lovageshift.EntryID(request.Entry), lovageshift.Incarnation(request.Incarnation), lovageshift.Millis(request.SentAt))
	a.mutex.Unlock()
	a.watchers.Add(1)
	defer a.watchers.Add(-1)
	for {
		a.mutex.Lock()
		changed := a.changed
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

// awaitUpdate returns when the next message is due: at once for new suspects, after updateDelay for a changed load, and
// after heartbeatInterval in any case.
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

// updateDelay returns how long a changed load waits for further changes; draining and a lost engine are sent at once.
func (a *Agent) updateDelay() time.Duration {
	a.mutex.Lock()
	urgent := a.draining || a.engineDown
	a.mutex.Unlock()
	watchers := a.watchers.Load()
	switch {
	case urgent:
		return 0
	case watchers <= fewWatchers:
		return minLoadInterval
	default:
		return time.Duration(watchers) * loadIntervalPerWatcher
	}
}

// interTokenLatency returns the milliseconds between tokens. For an engine that has stopped sending them it is the time
// since the last one, so that the engine shows as slow before its next token; a.mutex must be held.
func (a *Agent) interTokenLatency() float64 {
	sinceToken := float64(a.node.Now() - a.lastTokenAt)
	if a.queue.Decoding() > 0 && sinceToken > stallFactor*a.limiter.InterTokenLatency() {
		return max(sinceToken, a.limiter.InterTokenLatency())
	}
	return a.limiter.InterTokenLatency()
}

// loadMessage returns the target's load as sent to entries; a.mutex must be held.
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
		Failing:                a.engineDown,
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
