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

// item returns the store's record of the value under the key.
func item(key string, value any) platform.Item {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return platform.Item{Key: key, Value: content}
}

// option sets a field of a target's registration.
type option func(*standin.Registration)

func draining(reg *standin.Registration) { reg.Draining = true }

func sequence(n int) option {
	return func(reg *standin.Registration) { reg.Sequence = int64(n) }
}

func cold(millis int) option { return func(reg *standin.Registration) { reg.ColdMillis = millis } }

// record returns a record of the replica's incarnation, ready and with sequence 1 unless the options change that.
func record(born int64, options ...option) platform.Item {
	reg := standin.Registration{Address: "10.0.0.1:80", Zone: "zone-a", Born: born, Sequence: 1}
	for _, change := range options {
		change(&reg)
	}
	return item(replica.Key(), replica.Record(reg))
}

func config(version int) platform.Item {
	return item(standin.ConfigKey, map[string]any{
		"version": version, "services": []map[string]any{{"name": "pool", "cold_per_s": 20, "cold_start_s": 3}},
	})
}

func removed(key string) platform.Item { return platform.Item{Key: key, Deleted: true} }

// storeBackLongAgo is the storeBackAt argument for a store without a recent outage.
const storeBackLongAgo = lovageshift.Millis(-100_000)

// usable returns the number of targets that may get requests.
func usable(r *discovery.Records, now lovageshift.Millis) int { return len(r.View(now).Usable("pool")) }

func TestRecords(t *testing.T) {
	Convey("Given a target that is ready", t, func() {
		r := discovery.NewRecords()
		r.Replace(1000, storeBackLongAgo, []platform.Item{config(4), record(1)})
		So(usable(r, 1000), ShouldEqual, 1)
		Convey("one that announced its shutdown gets no requests, whatever another record of its incarnation says", func() {
			r.Apply(1100, storeBackLongAgo, record(1, draining, sequence(2)))
			r.Apply(1200, storeBackLongAgo, record(1, sequence(3)))
			So(usable(r, 1200), ShouldEqual, 0)
			r.Apply(1300, storeBackLongAgo, removed(replica.Key()))
			r.Apply(1400, storeBackLongAgo, record(1))
			So(usable(r, 1400), ShouldEqual, 0)
		})
		Convey("a new incarnation under the same id is a different target", func() {
			r.Apply(1100, storeBackLongAgo, record(1, draining, sequence(2)))
			r.Apply(1200, storeBackLongAgo, record(2))
			So(usable(r, 1200), ShouldEqual, 1)
			r.Apply(1300, storeBackLongAgo, record(1, sequence(9)))
			So(r.View(1300).Targets["i-1"].Born, ShouldEqual, 2)
		})
		Convey("a removed record removes the target at once while the store works", func() {
			r.Apply(1100, storeBackLongAgo, removed(replica.Key()))
			So(usable(r, 1100), ShouldEqual, 0)
		})
		Convey("a target whose record lapsed while the store was unreachable has 2 s to register again", func() {
			r.Replace(1100, 1100, []platform.Item{config(4)})
			So(usable(r, 1100), ShouldEqual, 1)
			So(r.Expire(3099), ShouldBeFalse)
			So(r.Expire(3100), ShouldBeTrue)
			So(usable(r, 3100), ShouldEqual, 0)
		})
		Convey("a target that registers again within that time stays", func() {
			r.Replace(1100, 1100, []platform.Item{config(4)})
			r.Apply(2000, 1100, record(1))
			So(r.Expire(9000), ShouldBeFalse)
			So(usable(r, 9000), ShouldEqual, 1)
		})
		Convey("a complete list removes the targets that it lacks, whose removal was not seen because the store's history was gone", func() {
			r.Replace(1100, storeBackLongAgo, []platform.Item{config(4)})
			So(usable(r, 1100), ShouldEqual, 0)
		})
		Convey("a malformed record under its key removes the target", func() {
			r.Apply(1100, storeBackLongAgo, platform.Item{Key: replica.Key(), Value: []byte("{")})
			So(usable(r, 1100), ShouldEqual, 0)
		})
		Convey("targets of a zone out of service get no requests and are cold after the zone's return", func() {
			r.Apply(1100, storeBackLongAgo, item(standin.ZoneOutKey("zone-a"), struct{}{}))
			So(usable(r, 1100), ShouldEqual, 0)
			r.Replace(2000, storeBackLongAgo, []platform.Item{config(4), record(1)})
			So(usable(r, 2000), ShouldEqual, 1)
			So(r.View(2000).Targets["i-1"].ColdUntil, ShouldEqual, lovageshift.Millis(5000))
		})
		Convey("a record that is applied again does not restart the cold period", func() {
			r.Apply(2000, storeBackLongAgo, record(1, cold(3000), sequence(2)))
			r.Replace(4000, storeBackLongAgo, []platform.Item{config(4), record(1, cold(3000), sequence(2))})
			So(r.View(4000).Targets["i-1"].ColdUntil, ShouldEqual, lovageshift.Millis(5000))
		})
		Convey("a malformed or removed configuration leaves the last valid one in force", func() {
			r.Apply(1100, storeBackLongAgo, platform.Item{Key: standin.ConfigKey, Value: []byte("{")})
			r.Apply(1200, storeBackLongAgo, removed(standin.ConfigKey))
			So(r.View(1200).Catalog.Version, ShouldEqual, lovageshift.Revision(4))
		})
	})
}

// TestVersionsNeverGoBack applies configurations in any order, as single records and in complete lists. It guards
// against an older configuration, read late, replacing a newer one.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := discovery.NewRecords()
		var newest lovageshift.Revision
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := lovageshift.Millis(step * 100)
			version := rapid.IntRange(1, 20).Draw(t, "version")
			if rapid.Bool().Draw(t, "snapshot") {
				r.Replace(now, storeBackLongAgo, []platform.Item{config(version)})
			} else {
				r.Apply(now, storeBackLongAgo, config(version))
			}
			newest = max(newest, lovageshift.Revision(version))
			if got := r.View(now).Catalog.Version; got != newest {
				t.Fatalf("version %d is in force, want %d", got, newest)
			}
		}
	})
}

// TestDrainingIsFinal applies records of one target in any order. It guards against another record that is read after
// an incarnation announced its shutdown and puts that incarnation back into use.
func TestDrainingIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := discovery.NewRecords()
		r.Apply(0, storeBackLongAgo, config(1))
		drained := map[int64]bool{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := lovageshift.Millis(step * 100)
			born := int64(rapid.IntRange(1, 3).Draw(t, "born"))
			seq := sequence(rapid.IntRange(1, 9).Draw(t, "sequence"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				r.Apply(now, storeBackLongAgo, removed(replica.Key()))
			case 1:
				r.Apply(now, storeBackLongAgo, record(born, draining, seq))
				for _, target := range r.View(now).Targets {
					drained[born] = drained[born] || (target.Born == born && target.Draining)
				}
			default:
				r.Apply(now, storeBackLongAgo, record(born, seq))
			}
			for _, target := range r.View(now).Usable("pool") {
				if drained[target.Born] {
					t.Fatal(fmt.Sprint("a draining incarnation is used again, born ", target.Born))
				}
			}
		}
	})
}
