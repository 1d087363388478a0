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

// idleFleet returns a fleet with the given numbers of agents and entries, for runs without requests.
func idleFleet(agents, entries int) fleet.Spec {
	spec := trial.Candidates()[0].FleetSpec(meteredClasses, seed)
	spec.Entries, spec.Engines = entries, nil
	for i := range agents {
		spec.Engines = append(spec.Engines, fleet.Engine{
			ID: lovageshift.TargetID(fmt.Sprintf("e%03d", i)), Zone: lovageshift.ZoneID(fmt.Sprintf("z%d", i%7)),
			Profile: standin.FastProfile(), MaxRunning: 8, MaxWaiting: 8,
		})
	}
	return spec
}

// measurePropagation publishes the given number of configuration changes one after another. It returns, sorted, the
// time from each change until it was active, for every process; a change that is not active within a minute counts as a
// minute.
func measurePropagation(f *fleet.Fleet, changes int) []time.Duration {
	var times []time.Duration
	for change := range changes {
		revision := f.Publish("90-edit.toml", fmt.Sprintf("[zones.z0]\ninService = %t\n", change%2 == 1))
		start := time.Now()
		pending := activeRevisions(f)
		for len(pending) > 0 && time.Since(start) < time.Minute {
			pending = slices.DeleteFunc(pending, func(active func() lovageshift.Revision) bool {
				if active() < revision {
					return false
				}
				times = append(times, time.Since(start))
				return true
			})
			time.Sleep(10 * time.Millisecond)
		}
		for range pending {
			times = append(times, time.Minute)
		}
	}
	slices.Sort(times)
	return times
}

// activeRevisions returns, for each agent and entry, a function that returns the revision active in it.
func activeRevisions(f *fleet.Fleet) []func() lovageshift.Revision {
	var all []func() lovageshift.Revision
	for _, id := range f.Targets() {
		node := f.Agent(id).Node()
		all = append(all, func() lovageshift.Revision { return node.Revisions.Config().Revision })
	}
	for number := range f.Spec.Entries {
		node := f.Entry(number).Node()
		all = append(all, func() lovageshift.Revision { return node.Revisions.Config().Revision })
	}
	return all
}

// TestConfigurationPropagation measures how long a configuration change takes to become active in every process, with
// and without connection losses, and the traffic of an idle fleet. It fails above 4 s.
func TestConfigurationPropagation(t *testing.T) {
	sizes := [][2]int{{2, 1}, {20, 10}} // agents and entries of each fleet
	if *only == "100" {
		sizes = nil
	}
	if *table {
		sizes = append(sizes, [2]int{65, 35})
	}
	for _, size := range sizes {
		for _, lossOneIn := range []int{0, 10} {
			synctest.Test(t, func(t *testing.T) {
				f := fleet.Start(idleFleet(size[0], size[1]))
				defer f.Stop()
				const idle = 20 * time.Second
				agentBytes, entryBytes, reads := bytesSent(f, "e000"), bytesSent(f, "entry-1"), f.ConfigService.Reads()
				time.Sleep(idle)
				agentBytes, entryBytes, reads = bytesSent(f, "e000")-agentBytes, bytesSent(f, "entry-1")-entryBytes, f.ConfigService.Reads()-reads
				f.Network.SetConnectionLoss(lossOneIn)
				times := measurePropagation(f, 6)
				f.Network.SetConnectionLoss(0)
				worst := times[len(times)-1]
				fmt.Printf("spread: %d agents, %d entries, one write in %d breaks its connection (0: none): median %v, worst %v; idle: agent sends %d B/s, entry %d B/s, configuration service %.1f reads/s\n",
					size[0], size[1], lossOneIn, times[len(times)/2], worst, agentBytes/20, entryBytes/20, float64(reads)/idle.Seconds())
				if worst > 4*time.Second {
					t.Errorf("the change was active everywhere only after %v", worst)
				}
			})
		}
	}
}

// bytesSent returns how many bytes a host has sent so far.
func bytesSent(f *fleet.Fleet, host string) int { return f.Network.TrafficFrom(host).Bytes }
