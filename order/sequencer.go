package order

import (
	"strconv"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/membership"
)

const (
	// Number of the lower bits of a fencing number, which hold the wall time in units of 100 milliseconds. The upper bits
	// hold the revision.
	wallTimeBits   = 22
	wallUnitMillis = 100
	// Shortest time from the end of an order that was carried out to the next order. During this time, the engine's load
	// report may still show the state from before the order.
	recheckMillis = 5_000
	// Shortest time from the end of a failed order to the next order.
	backoffMillis = 2_000
	// WeightLoadMillis is the assumed time that a target needs to load its weights from the weight store.
	WeightLoadMillis lovageshift.Millis = 10_000
)

// Sequencer decides the orders for one target. The zero value is ready to use; it is not safe for concurrent use.
type Sequencer struct {
	lastFencing uint64             // fencing number of the last order, 0 before the first
	pending     bool               // an order has been given and has not ended
	notBefore   lovageshift.Millis // earliest time of the next order, on the process's clock
}

// Desired returns the state that the configuration sets for an engine, as an order without a fencing number.
func Desired(target *lovageshift.Target) engine.Order {
	return engine.Order{
		Model: string(target.Model), Adapter: target.Adapter, Version: target.Version, Role: target.Role,
	}
}

// Matches reports whether the engine's load report shows the desired state.
func Matches(desired engine.Order, report engine.LoadReport) bool {
	return desired.Model == report.Model && desired.Adapter == report.Adapter &&
		desired.Version == report.Version && desired.Role == report.Role
}

// Next returns the order to give now. The second result is false if there is none: an order is pending, the next is not
// due yet, or the engine's load report already shows the desired state. The time now is that of the process's clock, wall
// is the wall time since the Unix epoch, and revision is that of the configuration that sets the desired state.
func (s *Sequencer) Next(now, wall lovageshift.Millis, revision lovageshift.Revision, desired engine.Order, report engine.LoadReport) (engine.Order, bool) {
	if s.pending || now < s.notBefore || Matches(desired, report) {
		return engine.Order{}, false
	}
	s.lastFencing = NextFencing(revision, wall, max(s.lastFencing, report.Fencing))
	s.pending = true
	desired.Fencing = s.lastFencing
	return desired, true
}

// NextFencing returns a fencing number above last. It holds the revision in the upper bits and the wall time in the lower
// 22, which wrap around about every 4.9 days. If that number is not above last, it returns last+1 instead.
func NextFencing(revision lovageshift.Revision, wall lovageshift.Millis, last uint64) uint64 {
	low := uint64(wall/wallUnitMillis) & (1<<wallTimeBits - 1)
	return max(uint64(revision)<<wallTimeBits|low, last+1)
}

// RecordEnd records that the pending order has ended, with an error if it failed. The next order is due 5 s later at the
// earliest, as the engine's load report may lag, or 2 s after a failure.
func (s *Sequencer) RecordEnd(now lovageshift.Millis, err error) {
	s.pending = false
	s.notBefore = now + recheckMillis
	if err != nil {
		s.notBefore = now + backoffMillis
	}
}

// Stagger delays the next order according to the target's position, as RolloutPosition returns it. If every target takes
// WeightLoadMillis to load its weights, about atOnce targets load at a time. Values of atOnce below 1 count as 1.
func (s *Sequencer) Stagger(now lovageshift.Millis, position, atOnce int) {
	s.notBefore = max(s.notBefore, now+lovageshift.Millis(position/max(atOnce, 1))*WeightLoadMillis)
}

// RolloutPosition returns the position, from 0, of the target self among the engines whose desired state differs between
// the configurations before and after, in the order of rendezvous hashing. Engines that only one of the two configurations
// has are left out. The position is also 0 if self is not among these engines.
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
