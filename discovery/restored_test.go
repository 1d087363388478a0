package discovery_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lovageshift"
	"lovageshift/platform"
	"lovageshift/standin"
)

// configurationApply is the platform's bound from the acknowledgement of a configuration until it is in force.
const configurationApply = 2 * time.Second

// clockResolution bounds the error of an age, which is the difference of two times in whole milliseconds.
const clockResolution = 2 * time.Millisecond

// restoredDay is one drill: the store is away, comes back without its last writes, and these are written again.
type restoredDay struct {
	*readersAndFollowers
	t       *testing.T
	version int
	born    int64
	// published are the versions that the store has had, oldest first.
	published []publication
	// wronglyConfirmed counts the findings of checkAges.
	wronglyConfirmed int
}

// publication is a version of the catalog that the store has had since a time.
type publication struct {
	version int
	at      time.Time
}

// publish writes the next version of the catalog.
func (d *restoredDay) publish() {
	d.version += 1 + rand.IntN(3)
	d.store.write(catalogItem(d.version))
	d.published = append(d.published, publication{d.version, time.Now()})
}

// versionAt returns the version that the store had at the time, 0 if none is known.
func (d *restoredDay) versionAt(at time.Time) int {
	version := 0
	for _, p := range d.published {
		if p.at.Before(at) {
			version = p.version
		}
	}
	return version
}

// pass lets the time pass with random writes, and checks the ages that the entries report.
func (d *restoredDay) pass(duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		if rand.IntN(4) == 0 {
			d.born++
			d.write(d.born)
		}
		time.Sleep(min(50*time.Millisecond, time.Until(end)))
		d.checkAges()
	}
}

// checkAges checks that no entry counts a time as a confirmation at which the store had a newer catalog than the entry.
func (d *restoredDay) checkAges() {
	for number, tracker := range d.all() {
		_, age := tracker.RevisionAge()
		view := tracker.View()
		if view == nil || age > 60_000 {
			continue
		}
		confirmed := time.Now().Add(-age.Duration() - clockResolution)
		if expected := d.versionAt(confirmed); view.Catalog.Version < lovageshift.Revision(expected) {
			d.wronglyConfirmed++
			if d.wronglyConfirmed == 1 {
				d.t.Errorf("entry %d has version %d, confirmed %d ms ago, when the store had %d", number, view.Catalog.Version, age, expected)
			}
		}
	}
}

// restore plays a return of the store, at least one catalog shortly before it, and what is written again.
func (d *restoredDay) restore(away, lost time.Duration) {
	d.pass(lost)
	d.publish()
	d.pass(time.Duration(rand.IntN(1000)) * time.Millisecond)
	d.publish()
	time.Sleep(time.Duration(rand.IntN(200)) * time.Millisecond)
	d.store.leave()
	left := time.Now()
	time.Sleep(away)
	copiedAt := left.Add(-lost)
	states := d.store.restore(copiedAt)
	d.published = append(d.published, publication{d.versionAt(copiedAt), time.Now()})
	d.writeAgain(states)
}

// writeAgain writes the lost records again, as targets and the operator do within a heartbeat, and the catalog as a newer
// version. Other writes come in between.
func (d *restoredDay) writeAgain(states []platform.Item) {
	isCatalog := func(item platform.Item) bool { return item.Key == standin.ConfigKey }
	states = slices.DeleteFunc(states, isCatalog)
	rand.Shuffle(len(states), func(i, j int) { states[i], states[j] = states[j], states[i] })
	d.publish()
	for _, item := range states {
		d.store.write(item)
		if rand.IntN(5) == 0 {
			d.restart(rand.IntN(len(d.all())))
		}
		d.pass(time.Duration(rand.IntN(1200)) * time.Millisecond / time.Duration(len(states)))
	}
}

// After the store has come back from an older copy, revisions are given out again. Entries must have what is written again
// below the revision that they had, and must not take a revision of the new era as a confirmation of one of the old.
func TestRecordsWrittenAgainAfterTheStoreCameBackOlder(t *testing.T) {
	for _, count := range []int{3, 30, 103} {
		for _, loss := range []float64{0, 0.3} {
			for _, away := range []time.Duration{100 * time.Millisecond, 500 * time.Millisecond, 2500 * time.Millisecond} {
				t.Run(fmt.Sprintf("%d entries, loss %v, away %v", count, loss, away), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { testRestored(t, count, loss, away) })
				})
			}
		}
	}
}

func testRestored(t *testing.T, count int, loss float64, away time.Duration) {
	d := &restoredDay{readersAndFollowers: newReadersAndFollowers(count, loss), t: t, version: 4, born: 100}
	defer d.stop()
	d.pass(time.Second)
	for range 3 {
		d.restore(away, time.Duration(1000+rand.IntN(6000))*time.Millisecond)
		published := time.Now()
		d.publish()
		d.pass(configurationApply - time.Since(published))
		if older := d.withOlderVersion(); older > 0 {
			t.Errorf("%d of %d entries have an older version %v after %d was published", older, count, configurationApply, d.version)
		}
		time.Sleep(8 * time.Second) // what only the old copy had is removed by then
		if differing := d.differing(t); differing > 0 {
			t.Errorf("%d of %d entries have other records than the store", differing, count)
		}
	}
}

// withOlderVersion returns how many entries do not have the last published version.
func (d *restoredDay) withOlderVersion() int {
	count := 0
	for _, tracker := range d.all() {
		if view := tracker.View(); view == nil || view.Catalog.Version < lovageshift.Revision(d.version) {
			count++
		}
	}
	return count
}
