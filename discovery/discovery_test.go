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

// replica is the stand-in target whose records the tests apply.
var replica = &standin.Replica{ID: "i-1", Service: "pool", Slots: 4}

// newItem returns a record with the key and the value, as JSON.
func newItem(key string, value any) platform.Item {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return platform.Item{Key: key, Value: content}
}

// option sets a field of the target's registration.
type option func(*standin.Registration)

func draining(reg *standin.Registration) { reg.Draining = true }

func sequence(n int) option {
	return func(reg *standin.Registration) { reg.Sequence = int64(n) }
}

func cold(millis int) option { return func(reg *standin.Registration) { reg.ColdMillis = millis } }

// targetItem returns a record of the incarnation of the replica that started at born. It is ready (not draining) and
// has the sequence 1 unless the options change that.
func targetItem(born int64, options ...option) platform.Item {
	reg := standin.Registration{Address: "10.0.0.1:80", Zone: "zone-a", Born: born, Sequence: 1}
	for _, change := range options {
		change(&reg)
	}
	return newItem(replica.Key(), replica.Record(reg))
}

// catalogItem returns the record of a catalog with the version.
func catalogItem(version int) platform.Item {
	return newItem(standin.ConfigKey, map[string]any{
		"version": version, "services": []map[string]any{{"name": "pool", "cold_per_s": 20, "cold_start_s": 3}},
	})
}

// removal returns the removal of the record with the key.
func removal(key string) platform.Item { return platform.Item{Key: key, Deleted: true} }

// storeBackLongAgo is the storeBackAt argument for a store without a recent outage.
const storeBackLongAgo = lovageshift.Millis(-100_000)

// usable returns the number of targets of the service pool that may get requests.
func usable(r *discovery.Records, now lovageshift.Millis) int { return len(r.View(now).Usable("pool")) }

func TestRecords(t *testing.T) {
	Convey("Given a target that is ready", t, func() {
		r := discovery.NewRecords()
		r.Replace(1000, storeBackLongAgo, []platform.Item{catalogItem(4), targetItem(1)})
		So(usable(r, 1000), ShouldEqual, 1)
		Convey("once it has announced its shutdown it gets no requests, whatever other records of the incarnation say", func() {
			r.Apply(1100, storeBackLongAgo, targetItem(1, draining, sequence(2)))
			r.Apply(1200, storeBackLongAgo, targetItem(1, sequence(3)))
			So(usable(r, 1200), ShouldEqual, 0)
			r.Apply(1300, storeBackLongAgo, removal(replica.Key()))
			r.Apply(1400, storeBackLongAgo, targetItem(1))
			So(usable(r, 1400), ShouldEqual, 0)
		})
		Convey("a new incarnation with the same id gets requests though the old one is draining, and old records no longer apply", func() {
			r.Apply(1100, storeBackLongAgo, targetItem(1, draining, sequence(2)))
			r.Apply(1200, storeBackLongAgo, targetItem(2))
			So(usable(r, 1200), ShouldEqual, 1)
			r.Apply(1300, storeBackLongAgo, targetItem(1, sequence(9)))
			So(r.View(1300).Targets["i-1"].Born, ShouldEqual, 2)
		})
		Convey("the removal of its record removes the target at once if the store had no recent outage", func() {
			r.Apply(1100, storeBackLongAgo, removal(replica.Key()))
			So(usable(r, 1100), ShouldEqual, 0)
		})
		Convey("a target whose record expired while the store was unreachable has 2 s from the store's return to register again", func() {
			r.Replace(1100, 1100, []platform.Item{catalogItem(4)})
			So(usable(r, 1100), ShouldEqual, 1)
			So(r.Expire(3099), ShouldBeFalse)
			So(r.Expire(3100), ShouldBeTrue)
			So(usable(r, 3100), ShouldEqual, 0)
		})
		Convey("a target that registers again within these 2 s stays", func() {
			r.Replace(1100, 1100, []platform.Item{catalogItem(4)})
			r.Apply(2000, 1100, targetItem(1))
			So(r.Expire(9000), ShouldBeFalse)
			So(usable(r, 9000), ShouldEqual, 1)
		})
		Convey("a complete list removes the targets that it lacks, as their removal may have been missed when the store's history was gone", func() {
			r.Replace(1100, storeBackLongAgo, []platform.Item{catalogItem(4)})
			So(usable(r, 1100), ShouldEqual, 0)
		})
		Convey("a malformed record of the target removes it", func() {
			r.Apply(1100, storeBackLongAgo, platform.Item{Key: replica.Key(), Value: []byte("{")})
			So(usable(r, 1100), ShouldEqual, 0)
		})
		Convey("targets of a zone out of service get no requests, and they are cold for their service's cold period after the zone's return", func() {
			r.Apply(1100, storeBackLongAgo, newItem(standin.ZoneOutKey("zone-a"), struct{}{}))
			So(usable(r, 1100), ShouldEqual, 0)
			r.Replace(2000, storeBackLongAgo, []platform.Item{catalogItem(4), targetItem(1)})
			So(usable(r, 2000), ShouldEqual, 1)
			So(r.View(2000).Targets["i-1"].ColdUntil, ShouldEqual, lovageshift.Millis(5000))
		})
		Convey("a record that is applied again does not restart the cold period", func() {
			r.Apply(2000, storeBackLongAgo, targetItem(1, cold(3000), sequence(2)))
			r.Replace(4000, storeBackLongAgo, []platform.Item{catalogItem(4), targetItem(1, cold(3000), sequence(2))})
			So(r.View(4000).Targets["i-1"].ColdUntil, ShouldEqual, lovageshift.Millis(5000))
		})
		Convey("a malformed or removed catalog leaves the last valid one in place", func() {
			r.Apply(1100, storeBackLongAgo, platform.Item{Key: standin.ConfigKey, Value: []byte("{")})
			r.Apply(1200, storeBackLongAgo, removal(standin.ConfigKey))
			So(r.View(1200).Catalog.Version, ShouldEqual, lovageshift.Revision(4))
		})
	})
}

// TestVersionsNeverGoBack applies catalogs in any order of versions, as single records and in complete lists. It guards
// against an older catalog replacing a newer one because it was read later.
func TestVersionsNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := discovery.NewRecords()
		var newest lovageshift.Revision
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := lovageshift.Millis(step * 100)
			version := rapid.IntRange(1, 20).Draw(t, "version")
			if rapid.Bool().Draw(t, "snapshot") {
				r.Replace(now, storeBackLongAgo, []platform.Item{catalogItem(version)})
			} else {
				r.Apply(now, storeBackLongAgo, catalogItem(version))
			}
			newest = max(newest, lovageshift.Revision(version))
			if got := r.View(now).Catalog.Version; got != newest {
				t.Fatalf("the catalog has version %d, want %d", got, newest)
			}
		}
	})
}

// TestDrainingIsFinal applies records of one target in any order. It guards against sending requests again to an
// incarnation that announced its shutdown, because another of its records is read later.
func TestDrainingIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := discovery.NewRecords()
		r.Apply(0, storeBackLongAgo, catalogItem(1))
		drained := map[int64]bool{}
		for step := range rapid.IntRange(1, 40).Draw(t, "steps") {
			now := lovageshift.Millis(step * 100)
			born := int64(rapid.IntRange(1, 3).Draw(t, "born"))
			seq := sequence(rapid.IntRange(1, 9).Draw(t, "sequence"))
			switch rapid.IntRange(0, 3).Draw(t, "kind") {
			case 0:
				r.Apply(now, storeBackLongAgo, removal(replica.Key()))
			case 1:
				r.Apply(now, storeBackLongAgo, targetItem(born, draining, seq))
				for _, target := range r.View(now).Targets {
					drained[born] = drained[born] || (target.Born == born && target.Draining)
				}
			default:
				r.Apply(now, storeBackLongAgo, targetItem(born, seq))
			}
			for _, target := range r.View(now).Usable("pool") {
				if drained[target.Born] {
					t.Fatal(fmt.Sprint("a draining incarnation may get requests again, born ", target.Born))
				}
			}
		}
	})
}
