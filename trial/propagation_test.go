package trial_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"lovageshift"
	"lovageshift/fleet"
	"lovageshift/standin"
	"lovageshift/trial"
)

// idleFleet has so many agents and entries and no traffic.
func idleFleet(agents, entries int) fleet.Spec {
	spec := trial.Candidates()[0].FleetSpec(inRate, seed)
	spec.Entries, spec.Engines = entries, nil
	for i := range agents {
		spec.Engines = append(spec.Engines, fleet.Engine{
			ID: lovageshift.TargetID(fmt.Sprintf("e%03d", i)), Zone: lovageshift.ZoneID(fmt.Sprintf("z%d", i%7)),
			Profile: standin.FastProfile(), MaxRunning: 8, MaxWaiting: 8,
		})
	}
	return spec
}

// spread publishes changes and returns when each process had each in force.
func spread(f *fleet.Fleet, changes int) []time.Duration {
	var times []time.Duration
	for change := range changes {
		revision := f.Publish("90-edit.toml", fmt.Sprintf("[zones.z0]\ninService = %t\n", change%2 == 1))
		began := time.Now()
		waiting := processes(f)
		for len(waiting) > 0 && time.Since(began) < time.Minute {
			waiting = slices.DeleteFunc(waiting, func(has func() lovageshift.Revision) bool {
				if has() < revision {
					return false
				}
				times = append(times, time.Since(began))
				return true
			})
			time.Sleep(10 * time.Millisecond)
		}
		for range waiting {
			times = append(times, time.Minute)
		}
	}
	slices.Sort(times)
	return times
}

func processes(f *fleet.Fleet) []func() lovageshift.Revision {
	var all []func() lovageshift.Revision
	for _, id := range f.Targets() {
		node := f.Agent(id).Node()
		all = append(all, func() lovageshift.Revision { return node.Book.Config().Revision })
	}
	for number := range f.Spec.Entries {
		node := f.Entry(number).Node()
		all = append(all, func() lovageshift.Revision { return node.Book.Config().Revision })
	}
	return all
}

// TestSpread measures how long a change takes to every process, and the idle control traffic.
func TestSpread(t *testing.T) {
	sizes := [][2]int{{2, 1}, {20, 10}}
	if *only == "100" {
		sizes = nil
	}
	if *table {
		sizes = append(sizes, [2]int{65, 35})
	}
	for _, size := range sizes {
		for _, oneIn := range []int{0, 10} {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.Start(idleFleet(size[0], size[1]))
				defer f.Stop()
				const idle = 20 * time.Second
				agents, entries, reads := traffic(f, "e000"), traffic(f, "entry-1"), f.Platform.Reads()
				time.Sleep(idle)
				agents, entries, reads = traffic(f, "e000")-agents, traffic(f, "entry-1")-entries, f.Platform.Reads()-reads
				f.Network.SetConnectionLoss(oneIn)
				times := spread(f, 6)
				f.Network.SetConnectionLoss(0)
				worst := times[len(times)-1]
				fmt.Printf("spread: %d agents, %d entries, one message lost in %d: median %v, worst %v; idle: agent sends %d B/s, entry %d B/s, service %.1f reads/s\n",
					size[0], size[1], oneIn, times[len(times)/2], worst, agents/20, entries/20, float64(reads)/idle.Seconds())
				if worst > 4*time.Second {
					t.Errorf("in force everywhere after %v", worst)
				}
			})
		}
	}
}

func traffic(f *fleet.Fleet, host string) int { return f.Network.TrafficFrom(host).Bytes }
