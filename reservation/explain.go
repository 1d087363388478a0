package reservation

import (
	"net/netip"

	"lovageshift"
	"lovageshift/placement"
)

// GroupExplanation says what one group of a service's targets would answer to a job, as far as this entry knows.
type GroupExplanation struct {
	placement.Explanation
	// Coordinator is the entry from which this entry would request the slot. Only that one knows which requests wait.
	Coordinator netip.Addr `json:"coordinator"`
	// Own reports whether this entry would decide itself.
	Own bool `json:"own"`
	// Problem is the error of asking the coordinator, "" if it was not asked or has answered. The explanation is this entry's then.
	Problem string `json:"problem,omitempty"`
}

// Explain returns what each group of the job's service would answer to the job now, and changes nothing.
func (c *Client) Explain(now lovageshift.Millis, job *placement.Job) []GroupExplanation {
	var explanations []GroupExplanation
	for _, group := range c.scheduler.GroupsOf(job.Service) {
		coordinator := c.coordinatorOf(group)
		explanations = append(explanations, GroupExplanation{
			Explanation: c.scheduler.Explain(now, group, c.roleIn(group), job),
			Coordinator: coordinator, Own: coordinator == c.peers.Self(),
		})
	}
	return explanations
}
