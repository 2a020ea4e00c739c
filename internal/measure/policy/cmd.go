package policy

import (
	"math"
	"slices"
	"time"
)

// Cmd is the subcommand that compares policies.
type Cmd struct {
	Deployment string `help:"Deployment to measure: klarlund, lindqvist or target." default:"lindqvist" enum:"klarlund,lindqvist,target"`
	Seed       uint64 `help:"Seed of the runs." default:"1"`
	Runs       int    `help:"Runs per condition; each policy meets the same ones." default:"20"`
	// Policies restricts the measurement to some policies, as OneAtATime takes long
	// for the target deployment.
	Policies []string `help:"Policies to measure, all when none is named."`
}

// Spread summarizes a figure over the runs.
type Spread struct {
	Median float64 `json:"median"`
	Worst  float64 `json:"worst"`
}

// Figures are the results of one policy under one condition.
type Figures struct {
	// BufferCost is in host-hours per host maintained; see docs/design/waves.md
	// for the formula.
	BufferCost     Spread `json:"buffer_cost"`
	RolloutSeconds Spread `json:"rollout_seconds"`
	// RolloutRatio is the roll-out time divided by the lower bound of the run.
	RolloutRatio Spread `json:"rollout_ratio"`
	Moves        Spread `json:"moves"`
	Maintained   Spread `json:"hosts_maintained"`
	Failed       Spread `json:"hosts_failed"`
	// JobsFinishedShare is the fraction of runnable jobs that finished; its worst
	// value is the smallest. UrgentStartSecondsP99 summarizes the 99th percentiles
	// of the runs.
	JobsFinishedShare     Spread  `json:"jobs_finished_share"`
	UrgentStartSecondsP99 *Spread `json:"urgent_start_seconds_p99,omitempty"`
	// Stops is the number of times that a wave stopped for an operator.
	Stops                    int     `json:"stops"`
	BudgetViolations         int     `json:"budget_violations"`
	MarginViolations         int     `json:"margin_violations"`
	UnfinishedWaves          int     `json:"unfinished_waves"`
	DoublePool               int     `json:"double_pool"`
	LowerBoundRolloutSeconds float64 `json:"lower_bound_rollout_seconds"`
	LowerBoundMoves          float64 `json:"lower_bound_moves"`
	// LowerBoundBufferCost is the minimum cost of hosts and margins while every host
	// is up: each service has as many hosts out as its budget allows, continuously
	// from its first host to its last.
	LowerBoundBufferCost float64 `json:"lower_bound_buffer_cost"`
}

// Result is the result of the measurement.
type Result struct {
	Deployment string `json:"deployment"`
	Seed       uint64 `json:"seed"`
	Runs       int    `json:"runs"`
	// Policies holds the figures by policy and condition.
	Policies map[string]map[string]Figures `json:"policies"`
	Planner  []PlannerTime                 `json:"planner"`
	// LeftOut lists what isn't measured, and why.
	LeftOut []string `json:"left_out"`
}

// The conditions: without faults, and with the correlated faults of a scenario.
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
				outcomes = append(outcomes, simulate(s, d))
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
		RolloutRatio:      spread(outcomes, func(o outcome) float64 { return o.rollout.Seconds() / o.minRollout.Seconds() }),
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
	f.LowerBoundRolloutSeconds = spread(outcomes, func(o outcome) float64 { return o.minRollout.Seconds() }).Median
	f.LowerBoundBufferCost = spread(outcomes, func(o outcome) float64 { return o.minBuffer }).Median
	f.LowerBoundMoves = spread(outcomes, func(o outcome) float64 { return float64(o.minMoves) }).Median
	for _, o := range outcomes {
		f.Stops += o.stops
		f.BudgetViolations += o.violations
		f.MarginViolations += o.marginViolations
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

// PlannerTime is the time of one plan at one fleet size.
type PlannerTime struct {
	Hosts int     `json:"hosts"`
	Pools int     `json:"pools"`
	Ms    float64 `json:"ms"`
	// NsPerNLogN is the time divided by n log n for n hosts: constant or falling if
	// the planner's time grows no faster than that.
	NsPerNLogN float64 `json:"ns_per_n_log_n"`
}

// plannerRepeats is the number of plans timed at each size, of which the median is
// reported.
const plannerRepeats = 9

func timePlanner() []PlannerTime {
	var times []PlannerTime
	for _, quarters := range []int{1, 2, 4, 8, 16} {
		hosts, pools := targetHosts*quarters/4, targetPools*quarters/4
		s := emptyScenario()
		s.addTargetFleet(hosts, pools)
		s.load = &workload{}
		times = append(times, timeAt(newWorld(s), hosts, pools))
	}
	return times
}

func timeAt(w *world, hosts, pools int) PlannerTime {
	var took []time.Duration
	for range plannerRepeats {
		snapshot := w.snapshot()
		began := time.Now()
		productPlanner{}.plan(snapshot)
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	median := took[len(took)/2]
	return PlannerTime{
		Hosts: hosts, Pools: pools, Ms: float64(median.Microseconds()) / 1000,
		NsPerNLogN: float64(median.Nanoseconds()) / (float64(hosts) * math.Log2(float64(hosts))),
	}
}
