package reservation

import (
	"context"
	"errors"
	"math/rand/v2"

	"lovageshift/placement"
)

// ReserveSpare returns a slot for the second attempt of a request whose first one still runs, or nil if there is none. It does
// not wait: the job gets only a slot that is free now, after the waiting requests of its rank and the more urgent ones. It asks
// only the coordinator of one group, or its backup, since other entries do not know the requests at its targets. It changes the
// job.
func (c *Client) ReserveSpare(ctx context.Context, job *placement.Job) *placement.Slot {
	now := c.clock.Now()
	job.QueueDeadline = now
	job.RefusedBefore, job.Resumes = true, false // behind the others
	job.Tried = append(job.Tried, c.scheduler.UnfitForHedge(now, job.Service)...)
	slot := c.askOnce(ctx, job)
	if slot != nil && !c.scheduler.IsFitForHedge(c.clock.Now(), slot) {
		c.scheduler.Release(c.clock.Now(), slot, placement.Result{Outcome: placement.Abandoned})
		return nil
	}
	return slot
}

// askOnce requests a slot from the entry that is responsible for one group, and returns nil if it grants none that can be used.
func (c *Client) askOnce(ctx context.Context, job *placement.Job) *placement.Slot {
	group := c.scheduler.PickGroup(job, rand.Float64())
	coordinator := c.coordinatorOf(group)
	if coordinator != c.peers.Self() {
		decision, err := c.requestSlot(ctx, coordinator, group, job)
		if errors.Is(err, errUnresponsive) {
			c.avoid(coordinator, group)
		}
		return decision.Slot
	}
	role := c.roleIn(group)
	if role == placement.Other {
		return nil
	}
	return c.submitLocally(ctx, group, role, job).Slot
}
