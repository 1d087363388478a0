package gateway

import (
	"context"
	"errors"
	"time"

	"lovageshift"
	"lovageshift/metrics"
	"lovageshift/placement"
)

const (
	// How long a request that goes on with a stream waits, with its slot, for the target to show that it has not restarted, and
	// how often it looks. The answer takes a few milliseconds where the target was not asked within the last second.
	maxVerifyWait  lovageshift.Millis = 200
	verifyInterval                    = 10 * time.Millisecond
)

// errDoubted is the error of a request that was not sent because the target may have another software version than its stream.
var errDoubted = errors.New("the target may have restarted with another version of its software")

// recordGap records that the target may have restarted unnoticed, see upstream.Pool.OnGap. That no connection was open shows
// nothing while the view is confirmed as usual: it has the target's record then.
func (g *Gateway) recordGap(id lovageshift.TargetID, born int64, ended bool) {
	cause := "idleEnded"
	if !ended {
		if !g.tracker.Unconfirmed() {
			return
		}
		cause = "unconnected"
	}
	g.metrics.Add(metrics.TargetGaps, cause, 1)
	g.scheduler.RecordGap(g.clock.Now(), id, born, ended)
}

// verifyRelease returns the function that keeps the request from a target that may have another version than the request's
// stream, nil if the request goes on with none.
func (r *request) verifyRelease(slot *placement.Slot) func(context.Context) error {
	if !r.hasRelease {
		return nil
	}
	g := r.gateway
	return func(ctx context.Context) error {
		began := g.clock.Now()
		for g.scheduler.MayHaveRestarted(g.changesShownUntil(), slot) {
			if ctx.Err() != nil || g.clock.Now()-began >= maxVerifyWait {
				return errDoubted
			}
			lovageshift.Pause(ctx, verifyInterval)
		}
		return nil
	}
}
