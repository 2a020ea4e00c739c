package share

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Fixes the seed so that CI draws the same cases in every run. -rapid.seed and
// -rapid.checks select other cases and more of them.
func init() {
	if err := flag.Set("rapid.seed", "20261202"); err != nil {
		panic(err)
	}
}

func names(prefix string, count int) []string {
	list := make([]string, count)
	for i := range list {
		list[i] = fmt.Sprintf("%s-%03d", prefix, i+1)
	}
	return list
}

// For any sizes, the shares of each endpoint must sum to its limit exactly, the totals
// of two gateways over a service must differ by at most one unit, and the order of the
// members must not matter.
func TestSplitIsExactAndEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 70).Draw(t, "limit")
		hosts := names("host", rapid.IntRange(1, 30).Draw(t, "hosts"))
		members := names("gateway", rapid.IntRange(1, 60).Draw(t, "members"))
		allocated := Split("match", limit, hosts, members)
		totals := make([]int, len(members))
		for _, units := range allocated {
			sum := 0
			for i, count := range units {
				sum += count
				totals[i] += count
			}
			must.EqOp(t, limit, sum)
		}
		must.LessEq(t, 1, slices.Max(totals)-slices.Min(totals))

		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		reordered := Split("match", limit, hosts, shuffled)
		for h, units := range reordered {
			for i, count := range units {
				must.EqOp(t, allocated[h][slices.Index(members, shuffled[i])], count)
			}
		}
	})
}

// When a gateway joins, most units of the other gateways must stay where they are.
func TestSplitMovesFewUnits(t *testing.T) {
	hosts := names("host", 10)
	members := names("gateway", 10)
	for _, size := range []int{7, 8} {
		before := Split("match", 8, hosts, members[:size])
		after := Split("match", 8, hosts, members[:size+1])
		lost := 0
		for h := range hosts {
			for i := range size {
				lost += max(0, before[h][i]-after[h][i])
			}
		}
		// The new gateway's own part must move; at most as much again may move.
		must.LessEq(t, 2*80/(size+1), lost)
	}
}

func TestSplitOneIsMonotonicInLimit(t *testing.T) {
	members := names("gateway", 9)
	for limit := range 70 {
		less, more := SplitOne("match", limit, "host-001", members), SplitOne("match", limit+1, "host-001", members)
		for i := range members {
			must.LessEq(t, more[i], less[i])
		}
	}
}
