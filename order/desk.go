package order

import (
	"strconv"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/membership"
)

const (
	fencingBits   = 22
	wallUnit      = 100 // milliseconds
	repeatMillis  = 5_000
	backoffMillis = 2_000
	// WeightLoadMillis is how long one load of weights is reckoned to take from the shared store.
	WeightLoadMillis lovageshift.Millis = 10_000
)

// Sequencer decides the orders of one target.
type Sequencer struct {
	last    uint64
	pending bool
	notYet  lovageshift.Millis
}

// Desired returns the state that the configuration wants of a target.
func Desired(target *lovageshift.Target) engine.Order {
	return engine.Order{
		Model: string(target.Model), Adapter: target.Adapter, Version: target.Version, Role: target.Role,
	}
}

// Matches reports whether the engine's report shows the wanted state.
func Matches(wanted engine.Order, load engine.Load) bool {
	return wanted.Model == load.Model && wanted.Adapter == load.Adapter &&
		wanted.Version == load.Version && wanted.Role == load.Role
}

// Next returns the order to give now, or false when the state is met, an order is under way or it is not this target's turn yet.
func (d *Sequencer) Next(now, wall lovageshift.Millis, revision lovageshift.Revision, wanted engine.Order, load engine.Load) (engine.Order, bool) {
	if d.pending || now < d.notYet || Matches(wanted, load) {
		return engine.Order{}, false
	}
	d.last = NextFencing(revision, wall, max(d.last, load.Fencing))
	d.pending = true
	wanted.Fencing = d.last
	return wanted, true
}

// NextFencing returns a number above last that rises with the revision and, within one, with the wall time.
func NextFencing(revision lovageshift.Revision, wall lovageshift.Millis, last uint64) uint64 {
	low := uint64(wall/wallUnit) & (1<<fencingBits - 1)
	return max(uint64(revision)<<fencingBits|low, last+1)
}

// RecordEnd records that the order under way has ended; a report may lag, so the state is looked at again only later.
func (d *Sequencer) RecordEnd(now lovageshift.Millis, err error) {
	d.pending = false
	d.notYet = now + repeatMillis
	if err != nil {
		d.notYet = now + backoffMillis
	}
}

// Stagger puts the next order off until this target's turn, so that at most atOnce targets load weights together.
func (d *Sequencer) Stagger(now lovageshift.Millis, turn, atOnce int) {
	d.notYet = max(d.notYet, now+lovageshift.Millis(turn/max(atOnce, 1))*WeightLoadMillis)
}

// RolloutPosition returns this target's place among those whose wanted state changes between two configurations.
func RolloutPosition(self lovageshift.TargetID, before, after *lovageshift.Config) int {
	var changed []lovageshift.TargetID
	for _, target := range after.TargetsByID() {
		if target.Kind == lovageshift.KindEngine && changes(before, target) {
			changed = append(changed, target.ID)
		}
	}
	key := "orders/" + strconv.FormatInt(int64(after.Revision), 10)
	for turn, id := range membership.Ranked(key, changed) {
		if id == self {
			return turn
		}
	}
	return 0
}

func changes(before *lovageshift.Config, target *lovageshift.Target) bool {
	if before == nil || before.Targets[target.ID] == nil {
		return false
	}
	return Desired(before.Targets[target.ID]) != Desired(target)
}
