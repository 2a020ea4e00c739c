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

// worths simulates days under the product's policy and two simple ones.
func worths(t *testing.T, name string, days int) map[string]Summary {
	t.Helper()
	c := Cmd{Seed: 1, Days: days, Jobs: 4}
	summaries := make(map[string]Summary)
	for _, policy := range PolicyNames {
		summaries[policy] = summarize(c.simulateDays(pattern(t, name), policy))
	}
	return summaries
}

// Demand bursts rotate over the pools, and each needs twice the hosts of its pool.
// The moves of the host manager must be worth more than no moves, and more than
// moves to the fullest pool.
func TestMovesPayOffUnderRotatingDemand(t *testing.T) {
	got := worths(t, "short-turns", 4)
	must.Greater(t, got["fixed"].Worth+0.04, got["product"].Worth)
	must.Greater(t, got["fullest"].Worth+0.02, got["product"].Worth)
	must.Greater(t, 0.9, got["product"].Whole)
}

// Demand bursts come in random order. The prediction of rotating bursts must not
// reduce the worth of the host manager's moves here.
func TestMovesPayOffUnderRandomDemand(t *testing.T) {
	got := worths(t, "random-turns", 4)
	must.Greater(t, got["fixed"].Worth+0.08, got["product"].Worth)
	must.Greater(t, 0.9, got["product"].Whole)
}

// Under steady demand, almost all jobs are done in time and hosts move only because
// of random variation.
func TestSteadyDemandMovesFewHosts(t *testing.T) {
	f := Simulate(pattern(t, "steady"), newPolicy("product"), 1)
	must.Greater(t, 0.95, f.Whole)
	must.Less(t, 80, f.Moves)
}

// The same seed must give the same jobs: two simulations of a day have equal host
// time and nearly equal numbers of starts.
func TestSimulationIsReproducibleFromSeed(t *testing.T) {
	p := pattern(t, "bursts")
	a, b := Simulate(p, newPolicy("fixed"), 7), Simulate(p, newPolicy("fixed"), 7)
	must.EqOp(t, a.HostSeconds, b.HostSeconds)
	must.Between(t, a.Starts*97/100, b.Starts, a.Starts*103/100)
}

// One late job among ten leaves the overall credit above 0.6, but as the only job
// in the largest tenth of its class it must bring WorstSize to zero.
func TestLargestJobsAreScoredSeparately(t *testing.T) {
	k := urgentJobs("q", "p", 1)
	late := &submission{class: &k, at: 0, done: 10, goal: 1, coreSeconds: 100, worth: 4}
	w := &world{Pattern: &Pattern{Length: windowLength}}
	jobs := []*submission{late}
	for range 9 {
		jobs = append(jobs, &submission{class: &k, done: 1, goal: 1, coreSeconds: 1, worth: 1})
	}
	w.score(jobs)
	must.EqOp(t, 0, w.figures.WorstSize)
	must.Between(t, 0.6, w.figures.Whole, 0.7)
}

// Two organisations send seven times their usual one after the other. With shares, the worst
// tenth of the organisations must be served better than without, and all jobs no worse.
func TestSharesPayOffUnderLoudOrganisations(t *testing.T) {
	p := pattern(t, "two-loud")
	with := Cmd{Seed: 1, Days: 4, Jobs: 4}
	without := with
	without.NoShares = true
	got, before := summarize(with.simulateDays(p, "product")), summarize(without.simulateDays(p, "product"))
	must.Greater(t, before.WorstOrganisations+0.05, got.WorstOrganisations)
	must.Greater(t, before.Whole-0.01, got.Whole)
}
