package retry

import (
	"sync"

	"lovageshift"
)

// windowBuckets is the number of time buckets of equal length that a window is divided into.
const windowBuckets = 20

// Bounds are the limits to the retries that arrive at a service's targets from all entries together: in any window, at
// most Ratio times the number of the service's requests, plus Slack. A service here is a group of interchangeable
// targets, of engines or of a plain service. A dispatch counts as a retry only if an earlier dispatch of the same
// request may have arrived at a target.
type Bounds struct {
	Ratio  float64            // retries per request
	Slack  float64            // retries per window beyond that ratio, for all entries together
	Window lovageshift.Millis // length of the sliding window
}

// WindowBudget limits one entry's retries to each service. In the window that ends with a retry, the entry's retries
// may be at most usableShare of the sum of Ratio times the entry's own requests and an equal part of the slack for each
// entry. All entries together then keep the bounds without exchanging retry counts, counted over the windows in which
// they decide. A WindowBudget is safe for concurrent use.
type WindowBudget struct {
	mutex    sync.Mutex
	bounds   Bounds
	entries  int // number of entries among which the slack is divided
	services map[string]*serviceCounts
}

// serviceCounts holds the numbers of a service's requests and retries in each time bucket, as ring buffers. They
// have one time bucket more than the window has, because the current time bucket is incomplete.
type serviceCounts struct {
	bucket   int64 // number of the current time bucket, counted from time 0 of the entry's clock
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
}

// usableShare is the fraction that an entry may use of the retries that the bounds allow it. The rest covers retries in
// transit, which may arrive at the target in a later window than the one in which the entry counted them.
const usableShare = 0.75

// NewWindowBudget returns an entry's budget with no requests or retries counted. Until SetEntries is called, the entry
// has the whole slack.
func NewWindowBudget(bounds Bounds) *WindowBudget {
	return &WindowBudget{bounds: bounds, entries: 1, services: map[string]*serviceCounts{}}
}

// SetEntries sets the number of entries among which the slack is divided, at least 1.
func (w *WindowBudget) SetEntries(count int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.entries = max(count, 1)
}

// RecordRequest counts a caller's request to the service. It must be called once per request, not once per dispatch.
func (w *WindowBudget) RecordRequest(now lovageshift.Millis, service string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.countsAt(now, service)
	c.requests[c.bucket%(windowBuckets+1)]++
}

// Spend counts one more retry to the service and returns true if the budget allows it. Otherwise it counts nothing and
// returns false.
func (w *WindowBudget) Spend(now lovageshift.Millis, service string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.countsAt(now, service)
	requests, retries := 0, 1
	for i := range c.requests {
		requests += c.requests[i]
		retries += c.retries[i]
	}
	allowed := w.bounds.Ratio*float64(requests) + w.bounds.Slack/float64(w.entries)
	if float64(retries) > allowed*usableShare {
		return false
	}
	c.retries[c.bucket%(windowBuckets+1)]++
	return true
}

// countsAt returns the service's counts at the time now: it makes the time bucket of now the current one, and sets the
// counts of the time buckets that have left the window to 0.
func (w *WindowBudget) countsAt(now lovageshift.Millis, service string) *serviceCounts {
	c := w.services[service]
	if c == nil {
		c = &serviceCounts{}
		w.services[service] = c
	}
	width := max(int64(w.bounds.Window)/windowBuckets, 1)
	bucket := int64(now) / width
	for step := max(c.bucket+1, bucket-windowBuckets); step <= bucket; step++ {
		c.requests[step%(windowBuckets+1)] = 0
		c.retries[step%(windowBuckets+1)] = 0
	}
	c.bucket = bucket
	return c
}
