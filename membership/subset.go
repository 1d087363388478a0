package membership

import (
	"cmp"
	"slices"

	"lovageshift"
)

// group identifies targets that can replace each other and are likely to fail together: those of the same model or
// route, availability zone and generation, the last of which is free text in a target's configuration.
type group struct {
	modelOrRoute string
	zone         lovageshift.ZoneID
	generation   string
}

func groupOf(target *lovageshift.Target) group {
	modelOrRoute := "model:" + string(target.Model)
	if target.Kind == lovageshift.KindService {
		modelOrRoute = "route:" + string(target.Route)
	}
	return group{modelOrRoute, target.Zone, target.Generation}
}

// Subset returns, in ascending order, the ids of the targets to whose agents an entry keeps links. If the configuration has
// at most size targets, the result is all of them. Otherwise, each group of targets with the same model or route, availability
// zone and generation contributes in proportion to its size, rounded up and at least 1, so that the total may exceed size.
// The targets of a group are chosen by rendezvous hashing, so that few of the chosen change when targets are added or
// removed.
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

// IsWatcher reports whether the target's agent watches the configuration source. In each availability zone, the agents of
// count targets do: those that come first when Ranked orders the targets of the zone by a key made from the zone's id.
func IsWatcher(config *lovageshift.Config, target *lovageshift.Target, count int) bool {
	var sameZone []lovageshift.TargetID
	for _, other := range config.TargetsByID() {
		if other.Zone == target.Zone {
			sameZone = append(sameZone, other.ID)
		}
	}
	ranked := Ranked("watch/"+string(target.Zone), sameZone)
	return slices.Contains(ranked[:min(count, len(ranked))], target.ID)
}
