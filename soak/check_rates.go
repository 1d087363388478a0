package soak

import (
	"strings"

	"lovageshift"
)

// byTarget returns the arrivals that match, by the id of the target.
func (c *checker) byTarget(matches func(Arrival) bool) map[string][]Arrival {
	byTarget := map[string][]Arrival{}
	for _, arrival := range c.Arrivals {
		if matches(arrival) {
			byTarget[arrival.Target] = append(byTarget[arrival.Target], arrival)
		}
	}
	return byTarget
}

// checkColdRate counts arrivals at a cold target in the window that begins at each arrival. It leaves out requests that
// were sent more than 1 ms before the window.
func (c *checker) checkColdRate() {
	limit := int(coldPerSecond*coldOvershoot + coldSlack)
	for target, arrivals := range c.byTarget(func(a Arrival) bool { return a.Cold && c.coldKnown(a) }) {
		for i, first := range arrivals {
			count := 0
			for _, arrival := range arrivals[i:] {
				attempt := c.attemptByID[arrival.ID]
				if arrival.At < first.At+coldWindow && attempt != nil && attempt.Sent >= first.At-lovageshift.Millis(1) {
					count++
				}
			}
			if count > limit {
				c.add(ColdRateLimited, "%s was cold and received %d requests in the second from %d ms", target, count, first.At)
				break
			}
		}
	}
}

// coldKnown reports whether entries could know, at the time of the arrival, that the target was cold. Entries learn only
// from the store that a running target was reset to cold, so coldKnown returns false if there was a fault of the store or
// of all entries between the reset and the arrival. For a target that was cold since its start, it returns true.
func (c *checker) coldKnown(arrival Arrival) bool {
	storeFault := func(p FaultPeriod) bool { return p.Entry == AllEntries }
	return arrival.ColdAgainAt == 0 || c.faultFree(arrival.ColdAgainAt, arrival.At, storeFault)
}

// checkQuota looks at one window for each executed request of the small account; the window begins when the request was
// sent. It adds up the tokens of the executed requests that were sent no earlier and reached a target before the window
// ended, and compares the sum with quotaLimit.
func (c *checker) checkQuota() {
	type execution struct{ sent, at lovageshift.Millis }
	var executions []execution
	for _, arrival := range c.Arrivals {
		attempt := c.attemptByID[arrival.ID]
		if attempt != nil && arrival.Executed && attempt.Account == smallAccount {
			executions = append(executions, execution{attempt.Sent, arrival.At})
		}
	}
	for _, start := range executions {
		tokens := 0
		for _, other := range executions {
			if other.sent >= start.sent && other.at < start.sent+quotaWindow {
				tokens += promptTokens + outputTokens
			}
		}
		if limit := c.quotaLimit(start.sent); float64(tokens) > limit {
			c.add(QuotaEnforced, "requests of %d tokens, with a limit of %.0f, ran in the window from %d ms", tokens, limit, start.sent)
			return
		}
	}
}

// quotaLimit returns the tokens that the small account may use in the window that begins at from, with quotaOvershoot
// and quotaSlack. Of the quotas that may apply in the window, the highest one counts. A replaced quota may apply until
// quotaApplyMillis, settleMillis and quotaWindow have passed since it was replaced.
func (c *checker) quotaLimit(from lovageshift.Millis) float64 {
	limit := 0.0
	for i, quota := range c.Quotas {
		replaced := i+1 < len(c.Quotas) && c.Quotas[i+1].From+quotaApplyMillis+settleMillis+quotaWindow < from
		if !replaced && quota.From <= from+quotaWindow {
			limit = max(limit, (quota.Rate*quotaWindow.Seconds()+quota.Burst)*(1+quotaOvershoot)+quotaSlack)
		}
	}
	return limit
}

// checkRetryBudget counts, for each service, the repeated arrivals in the window that begins at each of them. An
// arrival is repeated if a request with the same id reached a target of the service before. The number is compared with
// the most requests that callers sent in that window, in the one before it, or in the one half a window before it.
func (c *checker) checkRetryBudget() {
	for _, service := range []string{streamService, plainService} {
		var repeats, sends []lovageshift.Millis
		seen := map[string]bool{}
		for _, arrival := range c.Arrivals {
			if arrival.Service != service {
				continue
			}
			if seen[arrival.ID] {
				repeats = append(repeats, arrival.At)
			}
			seen[arrival.ID] = true
		}
		for _, attempt := range c.Attempts {
			isStream := strings.HasPrefix(attempt.Request.Path, "/chat/") ||
				strings.HasPrefix(attempt.Request.Path, resumePrefix)
			if isStream == (service == streamService) {
				sends = append(sends, attempt.Sent)
			}
		}
		for _, from := range repeats {
			requests := max(countWithin(sends, from), countWithin(sends, from-budgetWindow),
				countWithin(sends, from-budgetWindow/2))
			if repeated := countWithin(repeats, from); float64(repeated) > budgetRatio*float64(requests)+budgetSlack {
				c.add(RetriesBounded, "%s received %d repeated arrivals for %d requests in the window from %d ms",
					service, repeated, requests, from)
				break
			}
		}
	}
}

// countWithin returns how many of the times lie in the budget window that begins at from.
func countWithin(times []lovageshift.Millis, from lovageshift.Millis) int {
	count := 0
	for _, at := range times {
		if at >= from && at < from+budgetWindow {
			count++
		}
	}
	return count
}

// checkLimits counts arrivals at a target that names a limit, as far as bounds of time apply, in the window that begins at
// each arrival.
func (c *checker) checkLimits() {
	limited := func(a Arrival) bool {
		return a.LimitedSince > 0 && a.At >= a.LimitedSince+settleMillis && c.boundsApply(a)
	}
	allowed := int(limitOvershoot*limitPerSecond*limitWindow.Seconds()) + limitSlack
	for target, arrivals := range c.byTarget(limited) {
		for i, first := range arrivals {
			count := 0
			for _, arrival := range arrivals[i:] {
				if arrival.At < first.At+limitWindow && arrival.At < arrival.LimitedSince+limitedMillis {
					count++
				}
			}
			if count > allowed {
				c.add(TargetLimitsKept, "%s received %d requests in %d ms from %d ms, %d allowed", target, count, limitWindow, first.At, allowed)
				break
			}
		}
	}
}
