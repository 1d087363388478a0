package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"lovageshift"
	"lovageshift/upstream"
)

// A stream has stalled once no complete event arrived for the longest of these three: a fixed time, and multiples of the
// route's latency objective and of its longest pause between events. Callers give up a stream that pauses for so long.
const (
	minStall          lovageshift.Millis = 2000
	stallPerObjective lovageshift.Millis = 4
	stallPerMaxGap    lovageshift.Millis = 8
)

// stallWatch cancels an attempt whose stream has stalled. Only complete events with data count: comments and bytes of
// an incomplete event, which a faulty target may send now and then, do not.
type stallWatch struct {
	limit   lovageshift.Millis
	timer   *time.Timer
	stopped bool
	stalled atomic.Bool
}

// watchForStall returns the watch of a stream that the function cancels. Streams of routes without a longest pause are not
// watched, as it is not known how long the pauses of a sound one are. While the entry stops, no stream is canceled: a stop must not
// end an answer before its deadline or the end of the grace period.
func (r *request) watchForStall(cancel context.CancelFunc) *stallWatch {
	s := &stallWatch{}
	if r.route.MaxGap == 0 {
		return s
	}
	s.limit = max(minStall, stallPerObjective*r.job.Objective, stallPerMaxGap*r.route.MaxGap)
	s.timer = time.AfterFunc(s.limit.Duration(), func() {
		if r.gateway.draining.Load() {
			return
		}
		s.stalled.Store(true)
		cancel()
	})
	return s
}

// received stops the watch while an event is written to the caller, unless the event is only a comment.
func (s *stallWatch) received(event upstream.Event) {
	if s.timer != nil && event.HasData {
		s.stop()
	}
}

// resume begins the wait for the next event if the watch was stopped.
func (s *stallWatch) resume() {
	if s.timer != nil && s.stopped {
		s.stopped = false
		s.timer.Reset(s.limit.Duration())
	}
}

func (s *stallWatch) stop() {
	if s.timer != nil {
		s.timer.Stop()
		s.stopped = true
	}
}
