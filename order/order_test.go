package order_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/order"
)

func TestSequencer(t *testing.T) {
	desired := engine.Order{Model: "m", Version: "2", Role: "mixed"}
	Convey("A sequencer", t, func() {
		var sequencer order.Sequencer
		first, due := sequencer.Next(1, 1_000, 7, desired, engine.LoadReport{})
		So(due, ShouldBeTrue)
		Convey("gives the next order only after the pending one has ended", func() {
			_, due = sequencer.Next(100_000, 100_000, 7, desired, engine.LoadReport{})
			So(due, ShouldBeFalse)
			sequencer.RecordEnd(100_000, nil)
			_, due = sequencer.Next(200_000, 200_000, 7, desired, engine.LoadReport{})
			So(due, ShouldBeTrue)
		})
		Convey("never repeats a fencing number", func() {
			sequencer.RecordEnd(2, errors.New("failed"))
			second, due := sequencer.Next(10_000, 1_000, 7, desired, engine.LoadReport{})
			So(due, ShouldBeTrue)
			So(second.Fencing, ShouldBeGreaterThan, first.Fencing)
			So(order.NextFencing(8, 0, second.Fencing), ShouldBeGreaterThan, second.Fencing)
		})
		Convey("gives no order if the engine's load report already shows the desired state", func() {
			sequencer.RecordEnd(2, nil)
			matching := engine.LoadReport{Model: "m", Version: "2", Role: "mixed"}
			_, due := sequencer.Next(100_000, 100_000, 7, desired, matching)
			So(due, ShouldBeFalse)
		})
		Convey("delays the order according to the target's position in the rollout", func() {
			sequencer.RecordEnd(2, nil)
			sequencer.Stagger(10_000, 5, 2)
			_, due := sequencer.Next(20_000, 20_000, 7, desired, engine.LoadReport{})
			So(due, ShouldBeFalse)
			_, due = sequencer.Next(10_000+2*order.WeightLoadMillis, 0, 7, desired, engine.LoadReport{})
			So(due, ShouldBeTrue)
		})
	})
	Convey("Each engine whose desired state changes has its own rollout position", t, func() {
		before, after := configOf("1"), configOf("2")
		positions := map[int]bool{}
		for _, target := range after.TargetsByID() {
			positions[order.RolloutPosition(target.ID, before, after)] = true
		}
		So(len(positions), ShouldEqual, len(after.TargetsByID()))
	})
}

// configOf returns a configuration with three engines that are to load the given version of their model.
func configOf(version string) *lovageshift.Config {
	config := lovageshift.NewConfig()
	config.Revision = 2
	for _, id := range []string{"a", "b", "c"} {
		config.Entity("targets", id).(*lovageshift.Target).Version = version
	}
	config.Validate()
	return config
}
