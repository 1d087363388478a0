package soak

import (
	"slices"

	"lovageshift"
)

// incarnation is one start of a target.
type incarnation struct {
	target string
	born   lovageshift.Millis // wall time
}

// link is an entry and a target that it sends requests to.
type link struct {
	entry int
	incarnation
}

// linkOf returns the link that a request came over, and false for a request that no caller sent.
func (c *checker) linkOf(arrival Arrival) (link, bool) {
	attempt := c.attemptByID[arrival.ID]
	if attempt == nil {
		return link{}, false
	}
	return link{attempt.Entry, incarnation{arrival.Target, arrival.Born}}, true
}

// checkLeaving finds requests that reached a target though, drainBoundMillis before they were sent, the entry had passed on
// an answer in which the target says that it leaves. A restart or a pause of the entry since then excuses it.
func (c *checker) checkLeaving() {
	knownSince := map[link]lovageshift.Millis{}
	for _, arrival := range c.Arrivals {
		over, ok := c.linkOf(arrival)
		if _, known := knownSince[over]; !known && ok && arrival.Leaving && c.passedOn(arrival) {
			knownSince[over] = c.attemptByID[arrival.ID].Ended
		}
	}
	for _, arrival := range c.Arrivals {
		over, ok := c.linkOf(arrival)
		since, known := knownSince[over]
		if !ok || !known || c.attemptByID[arrival.ID].Sent <= since+drainBoundMillis {
			continue
		}
		away := func(p FaultPeriod) bool { return p.affects(over.entry) && slices.Contains(awayKinds, p.Kind) }
		if c.faultFree(since, arrival.At, away) {
			c.add(LeavingNotUsed, "%s reached %s from entry %d, which had passed on %d ms before it was sent that the target leaves",
				arrival.ID, arrival.Target, over.entry, c.attemptByID[arrival.ID].Sent-since)
		}
	}
}

// passedOn reports whether the entry passed on the answer of a target that ran the request: the caller has a complete answer,
// and the request ran nowhere else.
func (c *checker) passedOn(arrival Arrival) bool {
	reply := c.attemptByID[arrival.ID].Reply
	return arrival.Executed && reply.Signed && reply.Complete && len(c.executions(arrival.ID)) == 1
}

// checkRefusing counts the requests that reach a target from an entry between retryAfterDelay after it refused one with a
// time to wait and the end of that time. A restart, a pause or a cut of the entry, and faults of links to targets, excuse it.
func (c *checker) checkRefusing() {
	found := map[link]bool{}
	for i, refused := range c.Arrivals {
		over, ok := c.linkOf(refused)
		if !ok || refused.RetryAfter == 0 || found[over] {
			continue
		}
		end := refused.At + lovageshift.Millis(refused.RetryAfter.Milliseconds())
		count := 0
		for _, arrival := range c.Arrivals[i:] {
			from, _ := c.linkOf(arrival)
			if from == over && arrival.At > refused.At+retryAfterDelay && arrival.At < end {
				count++
			}
		}
		cut := func(p FaultPeriod) bool {
			return p.affects(over.entry) && p.Kind != EntryReloaded || slices.Contains(targetLinkKinds, p.Kind)
		}
		if count > retryAfterRequests && c.faultFree(refused.At, end, cut) {
			found[over] = true
			c.add(RefusingNotUsed, "%s received %d requests from entry %d from %d ms after it refused one at %d ms for %d ms",
				refused.Target, count, over.entry, retryAfterDelay, refused.At, end-refused.At)
		}
	}
}
