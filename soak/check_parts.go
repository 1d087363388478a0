package soak

import "lovageshift"

// A connection may end without an answer to a request whose first byte the caller sent this long before it saw the end, or less:
// on loopback, the byte and the end then may have crossed.
const crossingMillis lovageshift.Millis = 5

// checkBegunRequests finds requests sent in parts that got no whole answer without a fault that explains it.
func (c *checker) checkBegunRequests() {
	for _, attempt := range c.Attempts {
		if attempt.Parts == nil || attempt.Abandoned || attempt.Reply.Complete || c.unansweredExplained(attempt) {
			continue
		}
		c.add(BegunAnswered,
			"%s: %d of %d bytes were sent to entry %d at %d ms, the rest at %d ms (0: never); it ended at %d ms with status %d",
			attempt.Request.ID, attempt.Parts.First, attempt.Parts.Length, attempt.Entry, attempt.Sent, attempt.Parts.Rest,
			attempt.Ended, attempt.Reply.Status)
	}
}

// unansweredExplained reports whether the deadline or a fault explains that a request sent in parts has no whole answer. Stops and
// reloads don't, but a stop with a short grace period cuts a stream.
func (c *checker) unansweredExplained(attempt *Attempt) bool {
	if attempt.Reply.Status == 0 {
		return attempt.Ended <= attempt.Sent+crossingMillis || c.entryEnded(attempt)
	}
	cuts := func(p FaultPeriod) bool { return p.Kind != EntryReloaded && (p.Kind != EntryStopped || c.ShortGrace) }
	return attempt.Ended > attempt.cutAllowedFrom() || !c.faultFree(attempt.Sent-settleMillis, attempt.Ended, cuts)
}

// entryEnded reports whether the entry may have ended before it could answer: it was killed, or it was paused, so that a stop took
// longer and ended by SIGKILL.
func (c *checker) entryEnded(attempt *Attempt) bool {
	killed := func(p FaultPeriod) bool {
		return p.affects(attempt.Entry) && (p.Kind == EntryKilled || p.Kind == AllKilled)
	}
	paused := func(p FaultPeriod) bool { return p.affects(attempt.Entry) && p.Kind == EntryPaused }
	return !c.faultFree(attempt.Sent, attempt.Ended, killed) || !c.faultFree(attempt.Sent-stopGraceMillis, attempt.Ended, paused)
}
