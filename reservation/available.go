package reservation

import (
	"context"

	"lovageshift"
	"lovageshift/placement"
)

// awaitAvailable waits as long as all targets that can run the job want no requests from this entry. It returns a refusal at
// once if that lasts beyond the job's queue deadline.
func (c *Client) awaitAvailable(ctx context.Context, job *placement.Job) *placement.Refusal {
	for {
		now := c.clock.Now()
		at, obstacles := c.scheduler.AvailableAt(now, job)
		switch {
		case at <= now:
			return nil
		case at > job.QueueDeadline:
			return &placement.Refusal{
				Reason: lovageshift.ReasonShed, RetryAfter: at - now, Waited: now - job.Arrived, ExpectedWait: at - now, Obstacles: obstacles,
			}
		}
		lovageshift.Pause(ctx, (at - now).Duration())
		if ctx.Err() != nil {
			return c.deadlineRefusal(job).Refusal
		}
	}
}
