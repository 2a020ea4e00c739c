package policy

import (
	"math"
	"slices"
	"time"
)

// Cmd is the subcommand.
type Cmd struct {
	Deployment string `help:"Deployment to measure: klarlund, lindqvist or target." default:"lindqvist" enum:"klarlund,lindqvist,target"`
	Seed       uint64 `help:"Seed of the runs." default:"1"`
	Runs       int    `help:"Runs per condition; each policy meets the same ones." default:"20"`
	// Policies narrows the measurement; one host at a time takes long at the
	// target's size.
	Policies []string `help:"Policies to measure, all when none is named."`
}

// Spread is a figure over the runs.
type Spread struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// Figures are one policy's figures under one condition.
type Figures struct {
	// BufferCost is in host-hours per host maintained; see docs/design/waves.md
	// for the formula.
	BufferCost     Spread `json:"buffer_cost"`
	RolloutSeconds Spread `json:"rollout_seconds"`
	// RolloutRatio is the roll-out time over the run's own lower bound.
	RolloutRatio Spread `json:"rollout_ratio"`
	Moves        Spread `json:"moves"`
	Maintained   Spread `json:"hosts_maintained"`
	Failed       Spread `json:"hosts_failed"`
	// JobsFinishedShare is over the jobs that can run at all; its worst is the
	// smallest. UrgentStartSecondsP99 is each run's 99th percentile.
	JobsFinishedShare     Spread  `json:"jobs_finished_share"`
	UrgentStartSecondsP99 *Spread `json:"urgent_start_seconds_p99,omitempty"`
	// Stops counts in how many runs the wave stopped for an operator.
	Stops                    int     `json:"stops"`
	BudgetViolations         int     `json:"budget_violations"`
	MarginViolations         int     `json:"margin_violations"`
	UnfinishedWaves          int     `json:"unfinished_waves"`
	DoublePool               int     `json:"double_pool"`
	LowerBoundRolloutSeconds float64 `json:"lower_bound_rollout_seconds"`
	LowerBoundMoves          float64 `json:"lower_bound_moves"`
	// LowerBoundBufferCost is what hosts and margins cost at the least while
	// every host is up: each service as wide as its budget allows without a
	// break from its first host to its last.
	LowerBoundBufferCost float64 `json:"lower_bound_buffer_cost"`
}

// Result is the whole measurement.
type Result struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Runs       int    `json:"runs"`
	// Policies holds the figures by policy and condition.
	Policies map[string]map[string]Figures `json:"policies"`
	Planner  []PlannerTime                 `json:"planner"`
	// LeftOut names what isn't measured, and why.
	LeftOut []string `json:"left_out"`
}

// The conditions.
const (
	calm       = "calm"
	correlated = "correlated"
)

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	r := Result{Deployment: c.Deployment, Seed: c.Seed, Runs: c.Runs, Policies: make(map[string]map[string]Figures)}
	for name, d := range deciders() {
		if len(c.Policies) > 0 && !slices.Contains(c.Policies, name) {
			continue
		}
		r.Policies[name] = make(map[string]Figures)
		for _, condition := range []string{calm, correlated} {
			var outcomes []outcome
			for run := range c.Runs {
				s, err := newScenario(c.Deployment, c.Seed, run, condition == correlated)
				if err != nil {
					return err
				}
				outcomes = append(outcomes, play(s, d))
			}
			figures := figuresOf(outcomes)
			if c.Deployment == "target" {
				figures.UrgentStartSecondsP99 = nil
			}
			r.Policies[name][condition] = figures
		}
	}
	r.Planner = timePlanner()
	r.LeftOut = []string{"cancellations, quotas and deadlines of jobs: the runs have none"}
	if c.Deployment == "target" {
		r.LeftOut = append(r.LeftOut, "urgent_start_seconds_p99: rounds at this size are ten seconds apart")
	}
	*result = r
	return nil
}

func figuresOf(outcomes []outcome) Figures {
	f := Figures{
		BufferCost:        spread(outcomes, func(o outcome) float64 { return o.buffer }),
		RolloutSeconds:    spread(outcomes, func(o outcome) float64 { return o.rollout.Seconds() }),
		RolloutRatio:      spread(outcomes, func(o outcome) float64 { return o.rollout.Seconds() / o.bound.Seconds() }),
		Moves:             spread(outcomes, func(o outcome) float64 { return float64(o.moves) }),
		Maintained:        spread(outcomes, func(o outcome) float64 { return float64(o.maintained) }),
		Failed:            spread(outcomes, func(o outcome) float64 { return float64(o.failed) }),
		JobsFinishedShare: spread(outcomes, func(o outcome) float64 { return o.jobsFinished }),
	}
	urgent := spread(outcomes, func(o outcome) float64 { return o.urgentP99 })
	f.UrgentStartSecondsP99 = &urgent
	f.JobsFinishedShare.Worst = 1
	for _, o := range outcomes {
		f.JobsFinishedShare.Worst = min(f.JobsFinishedShare.Worst, o.jobsFinished)
	}
	f.LowerBoundRolloutSeconds = spread(outcomes, func(o outcome) float64 { return o.bound.Seconds() }).Median
	f.LowerBoundBufferCost = spread(outcomes, func(o outcome) float64 { return o.boundBuffer }).Median
	f.LowerBoundMoves = spread(outcomes, func(o outcome) float64 { return float64(o.fewestMoves) }).Median
	for _, o := range outcomes {
		f.Stops += o.stops
		f.BudgetViolations += o.violations
		f.MarginViolations += o.marginBroken
		f.DoublePool += o.doublePool
		if !o.finished {
			f.UnfinishedWaves++
		}
	}
	return f
}

func spread(outcomes []outcome, of func(outcome) float64) Spread {
	var values []float64
	for _, o := range outcomes {
		values = append(values, of(o))
	}
	if len(values) == 0 {
		return Spread{}
	}
	slices.Sort(values)
	return Spread{Median: values[len(values)/2], Worst: values[len(values)-1]}
}

// PlannerTime is how long one plan takes at one size.
type PlannerTime struct {
	Hosts int     `json:"hosts"`
	Pools int     `json:"pools"`
	Ms    float64 `json:"ms"`
	// NsPerNLogN is the time over n log n: flat or falling when the planner
	// grows no faster.
	NsPerNLogN float64 `json:"ns_per_n_log_n"`
}

// plannerRepeats is how many plans are timed at each size; the median counts.
const plannerRepeats = 9

func timePlanner() []PlannerTime {
	var times []PlannerTime
	for _, quarters := range []int{1, 2, 4, 8, 16} {
		hosts, pools := targetHosts*quarters/4, targetPools*quarters/4
		s := emptyScenario()
		s.target(hosts, pools)
		s.load = &workload{}
		times = append(times, timeAt(newWorld(s), hosts, pools))
	}
	return times
}

func timeAt(w *world, hosts, pools int) PlannerTime {
	var took []time.Duration
	for range plannerRepeats {
		snapshot := w.fleetOf()
		began := time.Now()
		ours{}.plan(snapshot)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	median := took[len(took)/2]
	return PlannerTime{
		Hosts: hosts, Pools: pools, Ms: float64(median.Microseconds()) / 1000,
		NsPerNLogN: float64(median.Nanoseconds()) / (float64(hosts) * math.Log2(float64(hosts))),
	}
}
