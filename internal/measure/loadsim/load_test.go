package loadsim

import (
	"testing"

	"github.com/shoenig/test/must"
)

func pattern(t *testing.T, name string) Pattern {
	t.Helper()
	for _, p := range Patterns() {
		if p.Name == name {
			return p
		}
	}
	t.Fatalf("no pattern %s", name)
	return Pattern{}
}

// worths plays some days under the product's policy and two simple ones.
func worths(t *testing.T, name string, days int) map[string]Summary {
	t.Helper()
	c := Cmd{Seed: 1, Days: days, Jobs: 4}
	summaries := make(map[string]Summary)
	for _, policy := range PolicyNames {
		summaries[policy] = summarize(c.play(pattern(t, name), policy))
	}
	return summaries
}

// Demand goes around the pools, and each turn needs twice the hosts that its pool
// has. The moves that the duty plans earn more than none at all, and more than
// those that follow the fullest pool.
func TestMovesEarnWhereDemandGoesAround(t *testing.T) {
	got := worths(t, "short-turns", 4)
	must.Greater(t, got["fixed"].Worth+0.04, got["product"].Worth)
	must.Greater(t, got["fullest"].Worth+0.02, got["product"].Worth)
	must.Greater(t, 0.9, got["product"].Whole)
}

// Any pool may be next. What is believed of turns that go around costs nothing
// there.
func TestMovesEarnWhereAnyPoolMayBeNext(t *testing.T) {
	got := worths(t, "random-turns", 4)
	must.Greater(t, got["fixed"].Worth+0.08, got["product"].Worth)
	must.Greater(t, 0.9, got["product"].Whole)
}

// Nothing rises or falls: hosts stay where they are but for chance, and all is
// served.
func TestSteadyDemandMovesFewHosts(t *testing.T) {
	f := Simulate(pattern(t, "steady"), newPolicy("product"), 1)
	must.Greater(t, 0.95, f.Whole)
	must.Less(t, 80, f.Moves)
}

// Every job is handed in as drawn: the same day again asks for the same work.
func TestADayIsDrawnFromItsSeed(t *testing.T) {
	p := pattern(t, "bursts")
	a, b := Simulate(p, newPolicy("fixed"), 7), Simulate(p, newPolicy("fixed"), 7)
	must.EqOp(t, a.HostSeconds, b.HostSeconds)
	must.Between(t, a.Starts*97/100, b.Starts, a.Starts*103/100)
}

func TestTheLargestJobsCountByThemselves(t *testing.T) {
	k := hold("q", "p", 1)
	late := &handIn{kind: &k, at: 0, done: 10, goal: 1, cores: 100, worth: 4}
	w := &world{Pattern: &Pattern{Length: windowLength}}
	jobs := []*handIn{late}
	for range 9 {
		jobs = append(jobs, &handIn{kind: &k, done: 1, goal: 1, cores: 1, worth: 1})
	}
	w.score(jobs)
	must.EqOp(t, 0, w.figures.WorstSize)
	must.Between(t, 0.6, w.figures.Whole, 0.7)
}
