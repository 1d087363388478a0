package order_test

import (
	"errors"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift"
	"lovageshift/engine"
	"lovageshift/order"
)

func TestDesk(t *testing.T) {
	wanted := engine.Order{Model: "m", Version: "2", Role: "mixed"}
	Convey("A desk", t, func() {
		var desk order.Sequencer
		first, due := desk.Next(1, 1_000, 7, wanted, engine.Load{})
		So(due, ShouldBeTrue)
		Convey("gives the next order only when the last has ended", func() {
			_, due = desk.Next(100_000, 100_000, 7, wanted, engine.Load{})
			So(due, ShouldBeFalse)
			desk.RecordEnd(100_000, nil)
			_, due = desk.Next(200_000, 200_000, 7, wanted, engine.Load{})
			So(due, ShouldBeTrue)
		})
		Convey("never repeats a fencing number", func() {
			desk.RecordEnd(2, errors.New("failed"))
			second, due := desk.Next(10_000, 1_000, 7, wanted, engine.Load{})
			So(due, ShouldBeTrue)
			So(second.Fencing, ShouldBeGreaterThan, first.Fencing)
			So(order.NextFencing(8, 0, second.Fencing), ShouldBeGreaterThan, second.Fencing)
		})
		Convey("gives none when the report shows what is wanted", func() {
			desk.RecordEnd(2, nil)
			met := engine.Load{Model: "m", Version: "2", Role: "mixed"}
			_, due := desk.Next(100_000, 100_000, 7, wanted, met)
			So(due, ShouldBeFalse)
		})
		Convey("waits for its turn", func() {
			desk.RecordEnd(2, nil)
			desk.Stagger(10_000, 5, 2)
			_, due := desk.Next(20_000, 20_000, 7, wanted, engine.Load{})
			So(due, ShouldBeFalse)
			_, due = desk.Next(10_000+2*order.WeightLoadMillis, 0, 7, wanted, engine.Load{})
			So(due, ShouldBeTrue)
		})
	})
	Convey("Turns are different for each target that changes", t, func() {
		before, after := configOf("1"), configOf("2")
		turns := map[int]bool{}
		for _, target := range after.TargetsByID() {
			turns[order.RolloutPosition(target.ID, before, after)] = true
		}
		So(len(turns), ShouldEqual, len(after.TargetsByID()))
	})
}

func configOf(version string) *lovageshift.Config {
	config := lovageshift.NewConfig()
	config.Revision = 2
	for _, id := range []string{"a", "b", "c"} {
		config.Entity("targets", id).(*lovageshift.Target).Version = version
	}
	config.Validate()
	return config
}
