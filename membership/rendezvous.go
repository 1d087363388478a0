package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"lovageshift"
)

// Score returns the score of a member for a key in rendezvous hashing: the xxHash64 of the key, a zero byte and the
// member's name. The member with the highest score owns the key.
func Score(key, member string) uint64 {
	digest := xxhash.New()
	_, _ = digest.WriteString(key)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}

// WeightedScore returns the score of a member for a key in weighted rendezvous hashing: a member owns a share of the keys
// that is proportional to its weight, which must be positive. Members of equal weight have the order of their Score.
func WeightedScore(key, member string, weight float64) float64 {
	fraction := (float64(Score(key, member)) + 0.5) / (1 << 64) // between 0 and 1
	return -weight / math.Log(fraction)
}

// Owner returns the target with the highest score for the key, or "" if there are no targets.
func Owner(key string, targets []lovageshift.TargetID) lovageshift.TargetID {
	return OwnerOf(key, targets, func(target lovageshift.TargetID) string { return string(target) })
}

// OwnerOf returns the member with the highest score for the key, or the zero value if there are no members. The
// parameter name is a function that returns the name by which a member is passed to Score.
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

// Ranked returns the targets in descending order of their score for the key.
func Ranked(key string, targets []lovageshift.TargetID) []lovageshift.TargetID {
	type scored struct {
		id    lovageshift.TargetID
		score uint64
	}
	scores := make([]scored, len(targets))
	for i, target := range targets {
		scores[i] = scored{target, Score(key, string(target))}
	}
	slices.SortFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]lovageshift.TargetID, len(scores))
	for i, s := range scores {
		ranked[i] = s.id
	}
	return ranked
}

// AllTargets returns the ids of all configured targets in ascending order.
func AllTargets(config *lovageshift.Config) []lovageshift.TargetID {
	ids := make([]lovageshift.TargetID, 0, len(config.TargetsByID()))
	for _, target := range config.TargetsByID() {
		ids = append(ids, target.ID)
	}
	return ids
}

// RouteTargets returns, in ascending order, the ids of all targets of the plain service behind a route, including those
// out of service.
func RouteTargets(config *lovageshift.Config, route lovageshift.RouteID) []lovageshift.TargetID {
	var ids []lovageshift.TargetID
	for _, target := range config.TargetsByID() {
		if target.Kind == lovageshift.KindService && target.Route == route {
			ids = append(ids, target.ID)
		}
	}
	return ids
}
