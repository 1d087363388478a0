package soak

import (
	"strings"
)

// checkFatalRequests checks the requests that crash targets. Repeats share a path and differ in their ids.
func (c *checker) checkFatalRequests() {
	c.checkFatal(FatalRequestsStopped, fatalCrashes, func(arrival Arrival) string {
		path, _, _ := strings.Cut(arrival.URI, "?")
		if !strings.HasPrefix(path, fatalPrefix) {
			return ""
		}
		return path
	})
}

// checkFatalParts checks the requests with a part of their prompts that crashes targets.
func (c *checker) checkFatalParts() {
	c.checkFatal(FatalPartsStopped, fatalPartCrashes, func(arrival Arrival) string {
		for part := range strings.SplitSeq(arrival.PromptParts, ",") {
			if strings.HasPrefix(part, fatalPart) {
				return part
			}
		}
		return ""
	})
}

// checkFatal counts the executions of requests with the same cause of crashes, "" for none, more than settleMillis after
// execution number crashes, as far as bounds of time apply. Each execution crashes a target.
func (c *checker) checkFatal(invariant Invariant, crashes int, causeOf func(Arrival) string) {
	byCause := map[string][]Arrival{}
	for _, arrival := range c.Arrivals {
		if cause := causeOf(arrival); cause != "" && arrival.Executed {
			byCause[cause] = append(byCause[cause], arrival)
		}
	}
	for cause, arrivals := range byCause {
		if len(arrivals) < crashes {
			continue
		}
		excess := 0
		for _, arrival := range arrivals[crashes:] {
			if arrival.At > arrivals[crashes-1].At+settleMillis && c.boundsApply(arrival) {
				excess++
			}
		}
		if excess > fatalSlack {
			c.add(invariant, "%s: %d more executions after targets had crashed %d times", cause, excess, crashes)
		}
	}
}
