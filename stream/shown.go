package stream

import (
	"sync"

	"lovageshift"
)

const (
	// A view that was confirmed within this time counts as complete. Without changes, confirmations may take this long to arrive.
	maxConfirmedAge lovageshift.Millis = 3000
	// The record of a target that has restarted is in the store within this time or, if the store was away, within this time after
	// it is back.
	recordDelayMillis lovageshift.Millis = 5000
)

// Shown tracks the time until which the restarts of targets are visible in an entry's view. It is safe for concurrent use.
type Shown struct {
	mutex sync.Mutex
	// heldAt is the result until heldUntil, as the view was not confirmed for long and targets may still have to write records.
	heldAt, heldUntil lovageshift.Millis
}

// NewShown returns a Shown for an entry that starts at the given time (Clock.Now). Until the record of a target that restarted
// before must have arrived, no restarts show.
func NewShown(now lovageshift.Millis) *Shown { return &Shown{heldUntil: now + recordDelayMillis} }

// Until returns the time (Clock.Now) until which restarts show in a view of the given age. It must be called several times within
// recordDelayMillis.
func (s *Shown) Until(now, viewAge lovageshift.Millis) lovageshift.Millis {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if viewAge > maxConfirmedAge {
		if now >= s.heldUntil {
			s.heldAt = now - viewAge + maxConfirmedAge
		}
		s.heldUntil = now + recordDelayMillis
	}
	if now < s.heldUntil {
		return s.heldAt
	}
	return now
}
