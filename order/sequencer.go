package order

import (
	"strconv"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/membership"
)

const (
	// The lower bits of a fencing number hold the wall time in units of 100 milliseconds.
	fencingBits    = 22
	wallUnitMillis = 100
	// An engine's report may lag, so after an order the next is due only this much later.
	recheckMillis = 5_000
	// After a failed order, the next is due this much later.
	backoffMillis = 2_000
	// WeightLoadMillis is how long loading the weights of one target from the shared store is assumed to take.
	WeightLoadMillis lovageshift.Millis = 10_000
)

// Sequencer decides the orders for one target. The zero value is ready to use; it is not safe for concurrent use.
type Sequencer struct {
	lastFencing uint64
	pending     bool
	notBefore   lovageshift.Millis
}

// Desired returns the state that the configuration sets for a target, as an order without a fencing number.
func Desired(target *lovageshift.Target) engine.Order {
	return engine.Order{
		Model: string(target.Model), Adapter: target.Adapter, Version: target.Version, Role: target.Role,
	}
}

// Matches reports whether the engine's report shows the desired state.
func Matches(desired engine.Order, load engine.LoadReport) bool {
	return desired.Model == load.Model && desired.Adapter == load.Adapter &&
		desired.Version == load.Version && desired.Role == load.Role
}

// Next returns the order to give now, or false if the report shows the desired state, an order is in progress, or the
// next one is not yet due.
func (s *Sequencer) Next(now, wall lovageshift.Millis, revision lovageshift.Revision, desired engine.Order, load engine.LoadReport) (engine.Order, bool) {
	if s.pending || now < s.notBefore || Matches(desired, load) {
		return engine.Order{}, false
	}
	s.lastFencing = NextFencing(revision, wall, max(s.lastFencing, load.Fencing))
	s.pending = true
	desired.Fencing = s.lastFencing
	return desired, true
}

// NextFencing returns a fencing number above last that rises with the revision and, within one, with the wall time.
func NextFencing(revision lovageshift.Revision, wall lovageshift.Millis, last uint64) uint64 {
	low := uint64(wall/wallUnitMillis) & (1<<fencingBits - 1)
	return max(uint64(revision)<<fencingBits|low, last+1)
}

// RecordEnd records that the order in progress has ended, with an error if it failed. The next order is due only 5 s
// later, as the engine's report may lag, or 2 s after a failure.
func (s *Sequencer) RecordEnd(now lovageshift.Millis, err error) {
	s.pending = false
	s.notBefore = now + recheckMillis
	if err != nil {
		s.notBefore = now + backoffMillis
	}
}

// Stagger delays the next order according to the target's position in the rollout, so that at most atOnce targets load
// weights at the same time.
func (s *Sequencer) Stagger(now lovageshift.Millis, position, atOnce int) {
	s.notBefore = max(s.notBefore, now+lovageshift.Millis(position/max(atOnce, 1))*WeightLoadMillis)
}

// RolloutPosition returns this target's position, from 0, among the targets whose desired state changes between two
// configurations. It is 0 if this target's does not change.
func RolloutPosition(self lovageshift.TargetID, before, after *lovageshift.Config) int {
	var changed []lovageshift.TargetID
	for _, target := range after.TargetsByID() {
		if target.Kind == lovageshift.KindEngine && desiredChanged(before, target) {
			changed = append(changed, target.ID)
		}
	}
	key := "orders/" + strconv.FormatInt(int64(after.Revision), 10)
	for position, id := range membership.Ranked(key, changed) {
		if id == self {
			return position
		}
	}
	return 0
}

func desiredChanged(before *lovageshift.Config, target *lovageshift.Target) bool {
	if before == nil || before.Targets[target.ID] == nil {
		return false
	}
	return Desired(before.Targets[target.ID]) != Desired(target)
}
