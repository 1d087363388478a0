package retry

import (
	"sync"

	"lovageshift"
)

const windowBuckets = 20

// Bounds limit second arrivals at a service's targets over all entries together.
type Bounds struct {
	// Ratio of the requests in a window, beside Slack of them over all entries.
	Ratio  float64
	Slack  float64
	Window lovageshift.Millis
}

// WindowBudget lets the second arrivals of one entry grow with its own requests, so that the entries' sum keeps the
// bounds without any message between them.
type WindowBudget struct {
	mutex    sync.Mutex
	bounds   Bounds
	entries  int
	services map[string]*counts
}

type counts struct {
	bucket   int64
	requests [windowBuckets + 1]int
	seconds  [windowBuckets + 1]int
}

// The part of the bounds that is used: windows slide over arrivals that are still under way.
const safeShare = 0.75

// NewWindowBudget returns a window without requests.
func NewWindowBudget(bounds Bounds) *WindowBudget {
	return &WindowBudget{bounds: bounds, entries: 1, services: map[string]*counts{}}
}

// SetEntries takes over among how many entries the slack is divided.
func (w *WindowBudget) SetEntries(count int) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	w.entries = max(count, 1)
}

// RecordRequest counts a client's request to the service.
func (w *WindowBudget) RecordRequest(now lovageshift.Millis, service string) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.at(now, service)
	c.requests[c.bucket%(windowBuckets+1)]++
}

// Spend counts one more second arrival, if the bounds have room for it.
func (w *WindowBudget) Spend(now lovageshift.Millis, service string) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	c := w.at(now, service)
	requests, seconds := 0, 1
	for i := range c.requests {
		requests += c.requests[i]
		seconds += c.seconds[i]
	}
	room := w.bounds.Ratio*float64(requests) + w.bounds.Slack/float64(w.entries)
	if float64(seconds) > room*safeShare {
		return false
	}
	c.seconds[c.bucket%(windowBuckets+1)]++
	return true
}

// at returns the service's counts with the buckets that have passed emptied.
func (w *WindowBudget) at(now lovageshift.Millis, service string) *counts {
	c := w.services[service]
	if c == nil {
		c = &counts{}
		w.services[service] = c
	}
	width := max(int64(w.bounds.Window)/windowBuckets, 1)
	bucket := int64(now) / width
	for step := max(c.bucket+1, bucket-windowBuckets); step <= bucket; step++ {
		c.requests[step%(windowBuckets+1)] = 0
		c.seconds[step%(windowBuckets+1)] = 0
	}
	c.bucket = bucket
	return c
}
