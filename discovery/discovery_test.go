package discovery_test

import (
	"encoding/json"
	"fmt"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"

	"lovageshift"
	"lovageshift/discovery"
	"lovageshift/platform"
	"lovageshift/standin"
)

var replica = &standin.Replica{ID: "i-1", Service: "pool", Slots: 4}

func item(key string, value any) platform.Item {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return platform.Item{Key: key, Value: content}
}

// change sets fields of a registration.
type change func(*standin.Registration)

func leaving(own *standin.Registration) { own.Leaving = true }

func sequence(number int) change {
	return func(own *standin.Registration) { own.Sequence = int64(number) }
}

func cold(millis int) change { return func(own *standin.Registration) { own.Cold = millis } }

func record(born int64, changes ...change) platform.Item {
	own := standin.Registration{Address: "10.0.0.1:80", Zone: "zone-a", Born: born, Sequence: 1}
	for _, apply := range changes {
		apply(&own)
	}
	return item(replica.Key(), replica.Record(own))
}

func config(version int) platform.Item {
	return item(standin.ConfigKey, map[string]any{
		"version": version, "services": []map[string]any{{"name": "pool", "cold_per_s": 20, "cold_start_s": 3}},
	})
}

func gone(key string) platform.Item { return platform.Item{Key: key, Deleted: true} }

const longAgo = lovageshift.Millis(-100_000)

func usable(b *discovery.Records, now lovageshift.Millis) int { return len(b.View(now).Usable("pool")) }

func TestBelief(t *testing.T) {
	Convey("Given a target that is ready", t, func() {
		b := discovery.NewRecords()
		b.Replace(1000, longAgo, []platform.Item{config(4), record(1)})
		So(usable(b, 1000), ShouldEqual, 1)
		Convey("one that announced its end gets nothing, whatever an older record says", func() {
			b.Apply(1100, longAgo, record(1, leaving, sequence(2)))
			b.Apply(1200, longAgo, record(1, sequence(3)))
			So(usable(b, 1200), ShouldEqual, 0)
			b.Apply(1300, longAgo, gone(replica.Key()))
			b.Apply(1400, longAgo, record(1))
			So(usable(b, 1400), ShouldEqual, 0)
		})
		Convey("its next incarnation under the same id is another target", func() {
			b.Apply(1100, longAgo, record(1, leaving, sequence(2)))
			b.Apply(1200, longAgo, record(2))
			So(usable(b, 1200), ShouldEqual, 1)
			b.Apply(1300, longAgo, record(1, sequence(9)))
			So(b.View(1300).Targets["i-1"].Born, ShouldEqual, 2)
		})
		Convey("a removed record means gone at once while the store works", func() {
			b.Apply(1100, longAgo, gone(replica.Key()))
			So(usable(b, 1100), ShouldEqual, 0)
		})
		Convey("a record that lapsed while the store was away has two seconds to come back", func() {
			b.Replace(1100, 1100, []platform.Item{config(4)})
			So(usable(b, 1100), ShouldEqual, 1)
			So(b.Expire(3099), ShouldBeFalse)
			So(b.Expire(3100), ShouldBeTrue)
			So(usable(b, 3100), ShouldEqual, 0)
		})
		Convey("one that is back within that time stays", func() {
			b.Replace(1100, 1100, []platform.Item{config(4)})
			b.Apply(2000, 1100, record(1))
			So(b.Expire(9000), ShouldBeFalse)
			So(usable(b, 9000), ShouldEqual, 1)
		})
		Convey("a complete list shows what left while history was lost", func() {
			b.Replace(1100, longAgo, []platform.Item{config(4)})
			So(usable(b, 1100), ShouldEqual, 0)
		})
		Convey("a foreign record under its key names no target", func() {
			b.Apply(1100, longAgo, platform.Item{Key: replica.Key(), Value: []byte("{")})
			So(usable(b, 1100), ShouldEqual, 0)
		})
		Convey("a zone taken out gets nothing and comes back cold", func() {
			b.Apply(1100, longAgo, item(standin.ZoneOutKey("zone-a"), struct{}{}))
			So(usable(b, 1100), ShouldEqual, 0)
			b.Replace(2000, longAgo, []platform.Item{config(4), record(1)})
			So(usable(b, 2000), ShouldEqual, 1)
			So(b.View(2000).Targets["i-1"].ColdUntil, ShouldEqual, lovageshift.Millis(5000))
		})
		Convey("a record that is read again does not make a warm target cold", func() {
			b.Apply(2000, longAgo, record(1, cold(3000), sequence(2)))
			b.Replace(4000, longAgo, []platform.Item{config(4), record(1, cold(3000), sequence(2))})
			So(b.View(4000).Targets["i-1"].ColdUntil, ShouldEqual, lovageshift.Millis(5000))
		})
		Convey("a broken or removed configuration keeps the last good one", func() {
			b.Apply(1100, longAgo, platform.Item{Key: standin.ConfigKey, Value: []byte("{")})
			b.Apply(1200, longAgo, gone(standin.ConfigKey))
			So(b.View(1200).Catalog.Version, ShouldEqual, lovageshift.Revision(4))
		})
	})
}

// TestVersionsNeverGoBack applies configurations in any order, as records, snapshots and removals.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := discovery.NewRecords()
		var newest lovageshift.Revision
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := lovageshift.Millis(step * 100)
			version := rapid.IntRange(1, 20).Draw(t, "version")
			if rapid.Bool().Draw(t, "snapshot") {
				b.Replace(now, longAgo, []platform.Item{config(version)})
			} else {
				b.Apply(now, longAgo, config(version))
			}
			newest = max(newest, lovageshift.Revision(version))
			if got := b.View(now).Catalog.Version; got != newest {
				t.Fatalf("version %d in force, %d was read", got, newest)
			}
		}
	})
}

// TestLeavingBinds applies records of one target in any order: after its end was read, its incarnation gets nothing.
func TestLeavingBinds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := discovery.NewRecords()
		b.Apply(0, longAgo, config(1))
		left := map[int64]bool{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := lovageshift.Millis(step * 100)
			born := int64(rapid.IntRange(1, 3).Draw(t, "born"))
			number := sequence(rapid.IntRange(1, 9).Draw(t, "sequence"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				b.Apply(now, longAgo, gone(replica.Key()))
			case 1:
				b.Apply(now, longAgo, record(born, leaving, number))
				for _, target := range b.View(now).Targets {
					left[born] = left[born] || (target.Born == born && target.Draining)
				}
			default:
				b.Apply(now, longAgo, record(born, number))
			}
			for _, target := range b.View(now).Usable("pool") {
				if left[target.Born] {
					t.Fatal(fmt.Sprint("a target that left is used again, born ", target.Born))
				}
			}
		}
	})
}
