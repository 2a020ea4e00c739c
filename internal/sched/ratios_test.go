package sched

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Quantiles off by more than the width of a bucket, for any run times.
func TestQuantilesAreWithinTheirError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		declared := time.Second
		taken := rapid.SliceOfN(rapid.Float64Range(1/maxRatio*1.01, maxRatio*0.99), 1, 200).Draw(t, "taken")
		q := rapid.Float64Range(0.01, 1).Draw(t, "q")
		var s ratioSketch
		type sample struct{ ratio, weight float64 }
		samples := []sample{{1, priorRuns}}
		for _, each := range taken {
			took := seconds(each)
			s.add(declared, took)
			for i := range samples {
				samples[i].weight *= ratioDecay
			}
			samples = append(samples, sample{ratio(declared, took), 1})
		}
		slices.SortFunc(samples, func(a, b sample) int {
			if a.ratio < b.ratio {
				return -1
			}
			return 1
		})
		total := 0.0
		for _, each := range samples {
			total += each.weight
		}
		// Sums in another order differ in their last bits, so that either neighbour of
		// a border is right.
		const rounding = 1e-9
		exact := func(part float64) float64 {
			below := 0.0
			for _, each := range samples {
				if below += each.weight; below >= part*total {
					return each.ratio
				}
			}
			return samples[len(samples)-1].ratio
		}
		tolerance := math.Sqrt(ratioGrowth) * (1 + rounding)
		must.GreaterEq(t, exact(q-rounding)/tolerance, s.quantile(q))
		must.LessEq(t, exact(q+rounding)*tolerance, s.quantile(q))
	})
}

// Three long tasks in a hundred that make the ordinary ones look long.
func TestLongTailLeavesTheBodyAlone(t *testing.T) {
	var s ratioSketch
	for i := range 1000 {
		took := time.Second
		if i%33 == 0 {
			took = 7 * time.Second
		}
		s.add(time.Second, took)
	}
	must.Between(t, 0.95, s.quantile(0.5), 1.06)
	must.Between(t, 6.6, s.quantile(tailQuantile), 7.4)
}

// Declared times that become wrong and are trusted for minutes.
func TestRatiosFollowAChange(t *testing.T) {
	var s ratioSketch
	for range 1000 {
		s.add(time.Second, time.Second)
	}
	for range 300 {
		s.add(time.Second, 4*time.Second)
	}
	must.Between(t, 3.8, s.quantile(0.5), 4.2)
}

// A queue without runs, or one after a takeover, that trusts nothing.
func TestDeclaredTimesAreTrustedWithoutRuns(t *testing.T) {
	var s ratioSketch
	must.EqOp(t, 1, s.quantile(tailQuantile))
	s.add(time.Second, 3*time.Second)
	must.Between(t, 0.95, s.quantile(0.5), 1.06)
}
