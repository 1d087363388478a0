package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
)

// Score is the weight of a member for a key; the member with the highest score owns the key.
func Score(key, member string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// Owner returns the target with the highest score for the key, or "" of none.
func Owner(key string, targets []lovageshift.TargetID) lovageshift.TargetID {
	return OwnerOf(key, targets, func(target lovageshift.TargetID) string { return string(target) })
}

// OwnerOf returns the member with the highest score for the key, by the members' names, or the zero value of none.
func OwnerOf[M any](key string, members []M, name func(M) string) M {
	var owner M
	var best uint64
	for i, member := range members {
		if score := Score(key, name(member)); i == 0 || score > best {
			owner, best = member, score
		}
	}
	return owner
}

// Ranked returns the targets by falling score for the key.
func Ranked(key string, targets []lovageshift.TargetID) []lovageshift.TargetID {
	type scored struct {
		id    lovageshift.TargetID
		score uint64
	}
	list := make([]scored, len(targets))
	for i, target := range targets {
		list[i] = scored{target, Score(key, string(target))}
	}
	slices.SortFunc(list, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]lovageshift.TargetID, len(list))
	for i, member := range list {
		ranked[i] = member.id
	}
	return ranked
}

// AllTargets returns the ids of all configured targets.
func AllTargets(config *lovageshift.Config) []lovageshift.TargetID {
	ids := make([]lovageshift.TargetID, 0, len(config.TargetsByID()))
	for _, target := range config.TargetsByID() {
		ids = append(ids, target.ID)
	}
	return ids
}

// RouteTargets returns the ids of all configured targets of a plain service, in service or not.
func RouteTargets(config *lovageshift.Config, route lovageshift.RouteID) []lovageshift.TargetID {
	var ids []lovageshift.TargetID
	for _, target := range config.TargetsByID() {
		if target.Kind == lovageshift.KindService && target.Route == route {
			ids = append(ids, target.ID)
		}
	}
	return ids
}
