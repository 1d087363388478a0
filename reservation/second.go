package reservation

import (
	"context"
	"math/rand/v2"

	"lovageshift"
	"lovageshift/placement"
)

// askSecond requests a slot from a second group after the first one's refusal for want of capacity, within the time for
// which the job may still wait. It returns the first decision if there is nothing to ask or no answer.
func (c *Client) askSecond(
	ctx context.Context, first placement.GroupID, job *placement.Job, decision placement.Decision,
) placement.Decision {
	decision.Groups = 1
	if decision.Refusal == nil {
		return decision
	}
	now := c.clock.Now()
	if decision.Refusal.Reason == lovageshift.ReasonShed && ctx.Err() == nil {
		if second := c.scheduler.SecondGroup(now, job, first, rand.Float64()); second != "" && c.isResponsive(second) {
			decision = mergeDecisions(decision, c.reserveOnce(ctx, second, job))
			decision.Groups = 2
			c.explainElsewhere(job, decision, first, second)
			return decision
		}
	}
	c.explainElsewhere(job, decision, first)
	return decision
}

func (c *Client) explainElsewhere(job *placement.Job, decision placement.Decision, asked ...placement.GroupID) {
	if decision.Refusal != nil {
		decision.Refusal.Elsewhere = c.scheduler.LoadElsewhere(c.clock.Now(), job, asked...)
	}
}

// isResponsive reports whether this entry would request the group's slots from its coordinator, not from the backup.
func (c *Client) isResponsive(group placement.GroupID) bool {
	return c.coordinatorOf(group) == c.First(string(group), 1)[0]
}

// reserveOnce requests a slot from the group's coordinator only, until the job's queue deadline. Without an answer it
// returns neither a slot nor a refusal.
func (c *Client) reserveOnce(ctx context.Context, group placement.GroupID, job *placement.Job) placement.Decision {
	limited, cancel := context.WithTimeout(ctx, (job.QueueDeadline - c.clock.Now()).Duration())
	defer cancel()
	coordinator := c.coordinatorOf(group)
	if coordinator == c.peers.Self() {
		return c.submitLocally(limited, group, c.roleIn(group), job)
	}
	decision, err := c.requestUsable(limited, coordinator, group, job)
	if err != nil {
		c.avoid(coordinator, group)
	}
	return decision
}

// mergeDecisions returns the slot that the second group granted or else the refusal with the shorter Retry-After, as a
// repeated request may go to either group.
func mergeDecisions(first, second placement.Decision) placement.Decision {
	switch refusal := second.Refusal; {
	case second.Slot != nil:
		return second
	case refusal == nil || refusal.Reason != lovageshift.ReasonShed:
		return first
	case refusal.RetryAfter < first.Refusal.RetryAfter:
		return second
	default:
		first.Refusal.Waited = refusal.Waited
		return first
	}
}
