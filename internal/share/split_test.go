package share

import (
	"flag"
	"fmt"
	"slices"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// CI draws the same cases each time; -rapid.seed and -rapid.checks ask for
// others and more.
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

// Whatever the sizes, the shares of each endpoint sum to its limit exactly, no
// gateway is more than one unit ahead of another over a service, and the
// order in which members are known doesn't matter.
func TestSplitIsExactAndEven(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(1, 70).Draw(t, "limit")
		hosts := names("host", rapid.IntRange(1, 30).Draw(t, "hosts"))
		members := names("gateway", rapid.IntRange(1, 60).Draw(t, "members"))
		dealt := Split("match", limit, hosts, members)
		totals := make([]int, len(members))
		for _, units := range dealt {
			sum := 0
			for i, count := range units {
				sum += count
				totals[i] += count
			}
			must.EqOp(t, limit, sum)
		}
		must.LessEq(t, 1, slices.Max(totals)-slices.Min(totals))

		shuffled := rapid.Permutation(members).Draw(t, "shuffled")
		again := Split("match", limit, hosts, shuffled)
		for h, units := range again {
			for i, count := range units {
				must.EqOp(t, dealt[h][slices.Index(members, shuffled[i])], count)
			}
		}
	})
}

// A gateway that is replaced takes shares over; most of the others' stay where
// they are.
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
		// The newcomer's own part must move; at most as much again may.
		must.LessEq(t, 2*80/(size+1), lost)
	}
}

func TestSplitOneNeverGivesLessForMore(t *testing.T) {
	members := names("gateway", 9)
	for limit := range 70 {
		less, more := SplitOne("match", limit, "host-001", members), SplitOne("match", limit+1, "host-001", members)
		for i := range members {
			must.LessEq(t, more[i], less[i])
		}
	}
}
