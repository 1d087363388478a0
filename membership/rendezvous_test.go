package membership_test

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"lovageshift/membership"
)

func TestWeightedScore(t *testing.T) {
	Convey("Members of equal weight have the order of their Score", t, func() {
		members := []string{"a", "b", "c", "d", "e", "f"}
		for key := range 50 {
			name := fmt.Sprint(key)
			plain := slices.Clone(members)
			slices.SortFunc(plain, func(a, b string) int {
				return cmp.Compare(membership.Score(name, a), membership.Score(name, b))
			})
			weighted := slices.Clone(members)
			slices.SortFunc(weighted, func(a, b string) int {
				return cmp.Compare(membership.WeightedScore(name, a, 4), membership.WeightedScore(name, b, 4))
			})
			So(weighted, ShouldResemble, plain)
		}
	})
	Convey("A member owns a share of the keys in proportion to its weight", t, func() {
		const keys = 20_000
		owned := 0
		for key := range keys {
			name := fmt.Sprint(key)
			large := membership.WeightedScore(name, "large", 9)
			if large > max(membership.WeightedScore(name, "b", 1), membership.WeightedScore(name, "c", 2)) {
				owned++
			}
		}
		So(float64(owned)/keys, ShouldAlmostEqual, 9.0/12, 0.02)
	})
}
