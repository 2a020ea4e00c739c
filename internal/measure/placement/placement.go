// Package placement measures moves and placements: the planners' time at the
// target size and how it grows, moves against the fewest possible, how fast
// urgent work starts through the acting part, what that costs the store, and
// how many jobs finish when declared sizes are wrong.
package placement

import (
	"math"
	"runtime"
	"slices"
	"time"
)

// Cmd is the subcommand.
type Cmd struct {
	Seed   uint64 `help:"First seed." default:"1"`
	Runs   int    `help:"Runs per policy and condition, with seeds counted up." default:"10"`
	Urgent int    `help:"Urgent jobs sent through the acting part, in real time; zero leaves it out." default:"100"`
	Hosts  int    `help:"Hosts of the target." default:"1000"`
	Pools  int    `help:"Pools of the target." default:"261"`
}

// Result is the whole answer. Times are in seconds where a name says so.
type Result struct {
	Target struct {
		Hosts        int `json:"hosts"`
		Pools        int `json:"pools"`
		RunningTasks int `json:"running_tasks"`
		PendingTasks int `json:"pending_tasks"`
	} `json:"target"`
	Planner struct {
		// PlacementMs is one plan of every pool, MovesMs one plan of moves;
		// medians of several.
		PlacementMs float64 `json:"placement_ms"`
		MovesMs     float64 `json:"moves_ms"`
		// PlacementGrowth and MovesGrowth are the exponents of time over size
		// from the target to sixteen times it: 1 is linear.
		PlacementGrowth float64 `json:"placement_growth_exponent"`
		MovesGrowth     float64 `json:"moves_growth_exponent"`
		// OnePoolMs and OnePoolGrowth are for all hosts and tasks in one pool.
		OnePoolMs     float64 `json:"one_pool_ms"`
		OnePoolGrowth float64 `json:"one_pool_growth_exponent"`
	} `json:"planner"`
	Moves struct {
		Planned    int `json:"planned"`
		LowerBound int `json:"lower_bound"`
		Assigned   int `json:"assigned"`
	} `json:"moves"`
	LiveRun *LiveRun `json:"acting,omitempty"`
	// Finished holds, by condition and policy, shares of jobs finished.
	Finished map[string]map[string]CompletionStats `json:"finished"`
}

// CompletionStats is over the runs.
type CompletionStats struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
	// OutOfMemory is the median of tasks killed for memory per job finished.
	OutOfMemory float64 `json:"out_of_memory_per_job"`
}

const (
	repeats      = 15
	growthFactor = 16
)

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	var r Result
	c.measurePlanners(&r)
	c.measureMoves(&r)
	r.Finished = c.measureFinished()
	if c.Urgent > 0 {
		acting, err := c.measureActing()
		if err != nil {
			return err
		}
		r.LiveRun = acting
	}
	*result = r
	return nil
}

// timed returns the median time of run in milliseconds.
func timed(run func()) float64 {
	var times []float64
	for range repeats {
		// What the run before left behind isn't this one's time.
		runtime.GC()
		began := time.Now()
		run()
		times = append(times, float64(time.Since(began).Nanoseconds())/float64(time.Millisecond))
	}
	return quantile(times, 0.5)
}

// exponent is the slope of time over size on logarithmic axes.
func exponent(small, large float64) float64 {
	return math.Log(large/small) / math.Log(growthFactor)
}

func quantile(values []float64, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
