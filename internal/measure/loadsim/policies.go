package loadsim

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gonum.org/v1/gonum/stat"

	"auburnglade.example/glade/internal/hostmanager"
)

// PolicyNames are the policies that can be simulated: that of the product by default, its
// allocation by value, and three others for comparison.
var PolicyNames = []string{"product", "value", "shares", "fixed", "fullest"}

func newPolicy(name string) Policy {
	switch name {
	case "fixed":
		return fixed{}
	case "fullest":
		return fullest{}
	case "shares":
		return &shares{product: newProduct(hostmanager.PlanMoves)}
	case "value":
		return newProduct(hostmanager.PlanMovesByValue)
	}
	return newProduct(hostmanager.PlanMoves)
}

// product is the policy of the host manager.
type product struct {
	bursts  *hostmanager.BurstTracker
	lengths *hostmanager.BurstLengths
	plan    planFunc
}

// planFunc plans the moves of hosts between pools.
type planFunc func(pools []hostmanager.PoolView, allowed func(hostmanager.Host, string) bool) []hostmanager.Move

func newProduct(plan planFunc) product {
	return product{hostmanager.NewBurstTracker(), hostmanager.NewBurstLengths(), plan}
}

func (p product) Plan(pools []hostmanager.PoolView, now time.Time) []hostmanager.Move {
	p.bursts.Observe(pools, now)
	p.lengths.Observe(pools, now)
	return p.plan(pools, func(hostmanager.Host, string) bool { return true })
}

func (p product) BurstLikelihoods() map[string]float64 { return p.bursts.Likelihoods() }

// unaware predicts no demand bursts.
type unaware struct{}

func (unaware) BurstLikelihoods() map[string]float64 { return nil }

// fixed moves nothing.
type fixed struct{ unaware }

func (fixed) Plan([]hostmanager.PoolView, time.Time) []hostmanager.Move { return nil }

// fullest moves every idle host to the pool with the highest load relative to its
// capacity.
type fullest struct{ unaware }

func (fullest) Plan(pools []hostmanager.PoolView, _ time.Time) []hostmanager.Move {
	pressure := func(p hostmanager.PoolView) float64 {
		return float64(p.Load.Used+p.Load.Waiting) / float64(max(1, p.Load.Capacity))
	}
	to := slices.MaxFunc(pools, func(a, b hostmanager.PoolView) int { return cmp.Compare(pressure(a), pressure(b)) })
	if pressure(to) <= 1 {
		return nil
	}
	var moves []hostmanager.Move
	for _, p := range pools {
		if p.Name == to.Name {
			continue
		}
		idle := make(map[string]bool)
		for _, h := range p.Load.Hosts {
			idle[h.Worker] = h.Used == 0 && !h.Unschedulable
		}
		for _, h := range p.Hosts {
			if p.Spare || idle[h.Worker] {
				moves = append(moves, hostmanager.Move{Host: h, To: to.Name})
			}
		}
	}
	return moves
}

// summarize returns the means over days.
func summarize(days []Figures) Summary {
	mean := func(of func(f Figures) float64) float64 {
		values := make([]float64, len(days))
		for i, day := range days {
			values[i] = of(day)
		}
		return stat.Mean(values, nil)
	}
	worths := make([]float64, len(days))
	var s Summary
	for i, day := range days {
		worths[i] = day.Worth
		for j, credit := range day.ByWindow {
			if j >= len(s.ByWindow) {
				s.ByWindow = append(s.ByWindow, 0)
			}
			s.ByWindow[j] += credit / float64(len(days))
		}
	}
	s.Whole = mean(func(f Figures) float64 { return f.Whole })
	s.WorstKind = mean(func(f Figures) float64 { return f.WorstKind })
	s.WorstSize = mean(func(f Figures) float64 { return f.WorstSize })
	s.Owed = mean(func(f Figures) float64 { return f.Owed })
	s.WorstOrganisations = mean(func(f Figures) float64 { return f.WorstOrganisations })
	s.WorstWindows = mean(func(f Figures) float64 { return f.WorstWindows })
	s.Worth = stat.Mean(worths, nil)
	s.HostSeconds = mean(func(f Figures) float64 { return f.HostSeconds })
	s.Moves = int(mean(func(f Figures) float64 { return float64(f.Moves) }))
	s.Starts = int(mean(func(f Figures) float64 { return float64(f.Starts) }))
	s.Stops = int(mean(func(f Figures) float64 { return float64(f.Stops) }))
	s.Error = stat.StdDev(worths, nil) / math.Sqrt(float64(len(days)))
	return s
}
