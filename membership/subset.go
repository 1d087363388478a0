package membership

import (
	"cmp"
	"slices"

	"lovageshift"
)

// group is the targets that can stand in for each other and share a fate.
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

// Subset returns the targets an entry works with: all of them up to size, else a share of each
// group of model or route, zone and generation, chosen by rendezvous so that few change with the members.
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

// IsWatcher reports whether the target is among the count in its zone whose agents watch what the platform publishes.
func IsWatcher(config *lovageshift.Config, self *lovageshift.Target, count int) bool {
	var neighbours []lovageshift.TargetID
	for _, target := range config.TargetsByID() {
		if target.Zone == self.Zone {
			neighbours = append(neighbours, target.ID)
		}
	}
	ranked := Ranked("watch/"+string(self.Zone), neighbours)
	return slices.Contains(ranked[:min(count, len(ranked))], self.ID)
}
