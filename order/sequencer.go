package order

import (
	"strconv"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/membership"
)

const (
	// This many lower bits of a fencing number hold the wall time, in units of 100 milliseconds; the upper bits hold the
	// revision.
	wallTimeBits   = 22
	wallUnitMillis = 100
	// Shortest pause after an order that was carried out: until then, the engine's report may still show the state before.
	recheckMillis = 5_000
	// Shortest pause after a failed order.
	backoffMillis = 2_000
	// WeightLoadMillis is how long one target is assumed to take to load its weights from the weight store.
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

// Matches reports whether the engine's report shows the desired state.
func Matches(desired engine.Order, load engine.LoadReport) bool {
	return desired.Model == load.Model && desired.Adapter == load.Adapter &&
		desired.Version == load.Version && desired.Role == load.Role
}

// Next returns the order to give now. The second result is false if there is none: an order is pending, the next is not
// due yet, or the engine's load report already shows the desired state. The time now is that of the process's clock, wall
// is the wall time since the Unix epoch, and revision is that of the configuration that sets the desired state.
func (s *Sequencer) Next(now, wall lovageshift.Millis, revision lovageshift.Revision, desired engine.Order, load engine.LoadReport) (engine.Order, bool) {
	if s.pending || now < s.notBefore || Matches(desired, load) {
		return engine.Order{}, false
	}
	s.lastFencing = NextFencing(revision, wall, max(s.lastFencing, load.Fencing))
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

// Stagger delays the next order according to the target's position in the rollout, so that about atOnce targets at a time
// load weights if each takes WeightLoadMillis. Values of atOnce below 1 count as 1.
func (s *Sequencer) Stagger(now lovageshift.Millis, position, atOnce int) {
	s.notBefore = max(s.notBefore, now+lovageshift.Millis(position/max(atOnce, 1))*WeightLoadMillis)
}

// RolloutPosition returns the position, from 0, of the target self among the engines whose desired state differs between
// two configurations, in the order of rendezvous hashing. It is 0 if the desired state of self does not differ. An engine
// that is new in the configuration after is not among them.
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
