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

// recordPossibleRestart records that the target may have restarted unnoticed, see upstream.Pool.OnPossibleRestart. That no
// connection was open is ignored while the view is confirmed as usual, as it then has the record of the latest incarnation.
func (g *Gateway) recordPossibleRestart(id lovageshift.TargetID, born int64, ended bool) {
	cause := "idleEnded"
	if !ended {
		if !g.tracker.Unconfirmed() {
			return
		}
		cause = "unconnected"
	}
	g.metrics.Add(metrics.PossibleRestarts, cause, 1)
	g.scheduler.RecordPossibleRestart(g.clock.Now(), id, born, ended)
}

// verifyVersion returns the function that waits until the target is known to have the software version of the stream that the
// request continues. The function returns errDoubted after maxVerifyWait. It is nil if the request continues no stream.
func (r *request) verifyVersion(slot *placement.Slot) func(context.Context) error {
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
