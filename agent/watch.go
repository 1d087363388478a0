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
	loadInterval      = 50 * time.Millisecond
	// With many watchers news of load waits longer, so that the bytes sent stay bounded.
	watcherInterval = 55 * time.Millisecond
	fewWatchers     = 4
	// A pause this many times the mean gap shows an engine that has slowed down.
	coldGaps = 8
)

// Watch streams this agent's load and suspects to an entry.
func (a *Agent) Watch(request *wire.WatchRequest, stream wire.DRPCAgent_WatchStream) error {
	now := a.node.Now()
	a.node.ObserveStamp(peer.Address{ID: request.Entry}, request.Stamp, now)
	a.mutex.Lock()
	a.window.ObserveEntry(now, lovageshift.EntryID(request.Entry), lovageshift.Incarnation(request.Incarnation), lovageshift.Millis(request.SentAt))
	a.mutex.Unlock()
	a.watchers.Add(1)
	defer a.watchers.Add(-1)
	for {
		a.mutex.Lock()
		changed := a.changed
		load := a.load()
		a.mutex.Unlock()
		suspectNews := a.node.SuspectsChanged()
		if err := stream.Send(&wire.WatchEvent{Load: load, Suspects: a.node.NewestSuspects()}); err != nil {
			return err
		}
		if err := a.awaitNews(stream.Context(), changed, suspectNews); err != nil {
			return err
		}
	}
}

// awaitNews returns when there is something to tell: suspects at once, load a little later, and a heartbeat in any case.
func (a *Agent) awaitNews(ctx context.Context, changed, suspects <-chan struct{}) error {
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
	settle := time.NewTimer(a.settleTime())
	defer settle.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-suspects:
	case <-settle.C:
	}
	return nil
}

func (a *Agent) settleTime() time.Duration {
	a.mutex.Lock()
	urgent := a.stopping || a.down
	a.mutex.Unlock()
	watchers := a.watchers.Load()
	switch {
	case urgent:
		return 0
	case watchers <= fewWatchers:
		return loadInterval
	default:
		return time.Duration(watchers) * watcherInterval
	}
}

// gap needs the lock; an engine that has fallen silent shows as slow before its next token.
func (a *Agent) gap() float64 {
	silent := float64(a.node.Now() - a.progress)
	if a.room.Decoding() > 0 && silent > coldGaps*a.warmth.InterTokenLatency() {
		return max(silent, a.warmth.InterTokenLatency())
	}
	return a.warmth.InterTokenLatency()
}

// load needs the lock.
func (a *Agent) load() *wire.Load {
	load := &wire.Load{
		Incarnation:            int64(a.node.Incarnation),
		Running:                int32(a.room.Running()),
		Limit:                  int32(a.warmth.Limit()),
		Waiting:                int32(len(a.room.Waiting())),
		QueuedPromptTokens:     int64(a.room.QueuedPromptTokens()),
		PrefillTokensPerSecond: a.warmth.PrefillSpeed(),
		GapMillis:              a.gap(),
		HoldMillis:             a.room.MeanServiceTime(),
		Stamp:                  a.node.Stamp(),
		Leaving:                a.stopping,
		Failing:                a.down,
		Cold:                   a.warmth.Cold(),
		CacheEpoch:             a.doubts,
	}
	counts := map[lovageshift.Rank]int32{}
	for _, ticket := range a.room.Waiting() {
		counts[ticket.Rank]++
	}
	for rank, count := range counts {
		load.WaitingByRank = append(load.WaitingByRank, &wire.RankWaiting{Rank: int32(rank), Count: count})
	}
	return load
}
