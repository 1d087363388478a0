package retry

import (
	"sync"

	"lovageshift"
)

const windowBuckets = 20

// Bounds limit the retries that arrive at a service's targets from all entries together: in any window, at most Ratio
// of the service's requests plus Slack. A retry is a dispatch of a request that has already arrived at a target.
type Bounds struct {
	Ratio  float64 // retries per request
	Slack  float64 // retries over all entries, in addition to Ratio
	Window lovageshift.Millis
}

// WindowBudget limits one entry's retries by the entry's own requests in a sliding window, so that all entries together
// keep the bounds without exchanging messages. It is safe for concurrent use.
type WindowBudget struct {
	mutex    sync.Mutex
	bounds   Bounds
	entries  int
	services map[string]*serviceCounts
}

// serviceCounts holds a service's requests and retries per bucket of the window, as ring buffers. They have one bucket
// more than the window because the current bucket is incomplete.
type serviceCounts struct {
	bucket   int64
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
}

// usableShare is the part of the bounds that is used. The rest covers retries still in transit, which arrive in a later
// window than they were counted in.
const usableShare = 0.75

// NewWindowBudget returns a budget without requests, for a single entry.
func NewWindowBudget(bounds Bounds) *WindowBudget {
	return &WindowBudget{bounds: bounds, entries: 1, services: map[string]*serviceCounts{}}
}

// SetEntries sets the number of entries among which the slack is divided.
func (w *WindowBudget) SetEntries(count int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.entries = max(count, 1)
}

// RecordRequest counts a caller's request to the service.
func (w *WindowBudget) RecordRequest(now lovageshift.Millis, service string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.countsAt(now, service)
	c.requests[c.bucket%(windowBuckets+1)]++
}

// Spend counts one more retry and returns true if the bounds allow it.
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

// countsAt returns the service's counts after clearing the buckets that have left the window.
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
