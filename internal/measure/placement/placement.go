// Package placement measures moves and placements: the time of the planners at the
// target size and how it grows, the number of moves against the minimum, the start
// time of urgent jobs with a running controller and its store calls, and how many jobs
// finish if declared resources are wrong.
package placement

import (
	"math"
	"runtime"
	"slices"
	"time"
)

// Cmd is the subcommand that measures moves and placements.
type Cmd struct {
	Seed   uint64 `help:"First seed." default:"1"`
	Runs   int    `help:"Runs per policy and condition, with seeds counted up." default:"10"`
	Urgent int    `help:"Urgent jobs sent through the acting part, in real time; zero leaves it out." default:"100"`
	Hosts  int    `help:"Hosts of the target." default:"1000"`
	Pools  int    `help:"Pools of the target." default:"261"`
}

// Result is the result of the measurement. Times are in the unit that is part of their
// names.
type Result struct {
	Target struct {
		Hosts        int `json:"hosts"`
		Pools        int `json:"pools"`
		RunningTasks int `json:"running_tasks"`
		PendingTasks int `json:"pending_tasks"`
	} `json:"target"`
	Planner struct {
		// PlacementMs is the time of one plan of every pool, MovesMs of one plan of
		// moves, each the median of several.
		PlacementMs float64 `json:"placement_ms"`
		MovesMs     float64 `json:"moves_ms"`
		// PlacementGrowth and MovesGrowth are the exponents of the time over the size,
		// from the target size to sixteen times that: 1 is linear.
		PlacementGrowth float64 `json:"placement_growth_exponent"`
		MovesGrowth     float64 `json:"moves_growth_exponent"`
		// OnePoolMs and OnePoolGrowth are the same for all hosts and tasks in one pool.
		OnePoolMs     float64 `json:"one_pool_ms"`
		OnePoolGrowth float64 `json:"one_pool_growth_exponent"`
	} `json:"planner"`
	Moves struct {
		Planned    int `json:"planned"`
		LowerBound int `json:"lower_bound"`
		Assigned   int `json:"assigned"`
	} `json:"moves"`
	LiveRun *LiveRun `json:"acting,omitempty"`
	// Finished holds the fractions of jobs finished, by condition and policy.
	Finished map[string]map[string]CompletionStats `json:"finished"`
}

// CompletionStats are the fractions of jobs finished over the runs.
type CompletionStats struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
	// OutOfMemory is the median number of tasks killed for lack of memory per finished
	// job.
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
		acting, err := c.measureLive()
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
		// Don't count the collection of the previous run's garbage.
		runtime.GC()
		began := time.Now()
		run()
		times = append(times, float64(time.Since(began).Nanoseconds())/float64(time.Millisecond))
	}
	return quantile(times, 0.5)
}

// exponent returns the slope of time over size on logarithmic axes.
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
