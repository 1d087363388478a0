package membership

import (
	"cmp"
	"slices"

	"lovageshift"
)

// group identifies targets that can replace each other and are likely to fail together: those of the same model or
// route, zone and generation.
type group struct {
	use        string
	zone       lovageshift.ZoneID
	generation string
}

func groupOf(target *lovageshift.Target) group {
	use := "model:" + string(target.Model)
	if target.Kind == lovageshift.KindService {
		use = "route:" + string(target.Route)
	}
	return group{use, target.Zone, target.Generation}
}

// Subset returns the targets that an entry works with: all of them if they are at most size, otherwise a proportional
// share, at least 1, of each group of targets with the same model or route, zone and generation. The share is chosen by
// rendezvous hashing, so that few of the chosen change when targets are added or removed.
func Subset(config *lovageshift.Config, entry lovageshift.EntryID, size int) []lovageshift.TargetID {
	all := config.TargetsByID()
	if len(all) <= size {
		return AllTargets(config)
	}
	groups := map[group][]lovageshift.TargetID{}
	for _, target := range all {
		key := groupOf(target)
		groups[key] = append(groups[key], target.ID)
	}
	var chosen []lovageshift.TargetID
	for _, members := range groups {
		share := max((len(members)*size+len(all)-1)/len(all), 1)
		ranked := Ranked(string(entry), members)
		chosen = append(chosen, ranked[:min(share, len(ranked))]...)
	}
	slices.SortFunc(chosen, cmp.Compare[lovageshift.TargetID])
	return chosen
}

// IsWatcher reports whether the target is among the first count of its zone by rendezvous hashing. The agents of these
// watch what the platform publishes.
func IsWatcher(config *lovageshift.Config, self *lovageshift.Target, count int) bool {
	var sameZone []lovageshift.TargetID
	for _, target := range config.TargetsByID() {
		if target.Zone == self.Zone {
			sameZone = append(sameZone, target.ID)
		}
	}
	ranked := Ranked("watch/"+string(self.Zone), sameZone)
	return slices.Contains(ranked[:min(count, len(ranked))], self.ID)
}
