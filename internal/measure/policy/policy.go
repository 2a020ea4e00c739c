// Package policy compares the planners with simple policies, in a simulation in
// virtual time. The planners are the production code; results and violations are
// computed from the records of the simulation.
package policy

import (
	"time"

	"auburnglade.example/glade/internal/wave"
)

// The policies. BudgetRefill is a stronger variant of WholeBudget: it takes out the
// next host as soon as one is back, instead of waiting for the whole batch.
const (
	Product      = "auburnglade"
	OneAtATime   = "one_at_a_time"
	WholeBudget  = "whole_budget"
	BudgetRefill = "whole_budget_refilled"
	ZoneByZone   = "zone_by_zone"
)

// interval is the reconcile interval, as in the job manager; that of the drainer is
// twice as long. Runs of the target deployment use targetInterval. Reconciliations
// before the next possible change are skipped, for at most maxSkip at a time.
// movesTimeout is the time after which a run doesn't wait for moves any more, horizon
// the time after which a wave counts as unfinished.
const (
	interval       = 500 * time.Millisecond
	targetInterval = 10 * time.Second
	maxSkip        = 30 * time.Second
	movesTimeout   = 6 * time.Hour
	horizon        = 14 * 24 * time.Hour
)

// outcome is the result of one run.
type outcome struct {
	buffer           float64
	rollout          time.Duration
	minRollout       time.Duration
	minBuffer        float64
	moves            int
	minMoves         int
	violations       int
	marginViolations int
	doublePool       int
	finished         bool
	maintained       int
	failed           int
	jobsFinished     float64
	urgentP99        float64
	stops            int
}

// simulate simulates one scenario under one policy.
func simulate(s *scenario, d decider) outcome {
	w := newWorld(s)
	var o outcome
	o.minRollout, o.minBuffer = s.lowerBound(), s.lowerBoundBuffer()
	var status wave.Status
	step := w.interval
	for w.now < horizon && (!o.finished || w.movesPending() || w.now < w.minLength) {
		w.advance(w.now + step)
		w.meter.measure(w, d.limit, step)
		if w.controllerDown() {
			step = w.interval
			continue
		}
		w.runOperators(status)
		plan := d.plan(w.snapshot())
		if plan.Status.Phase == wave.Stopped && status.Phase != wave.Stopped {
			o.stops++
		}
		status = plan.Status
		for _, step := range plan.Steps {
			w.apply(step)
		}
		w.moveHosts(step, d.anticipatesDrains())
		w.load.reconcile(w, d.anticipatesDrains())
		if status.Done() && !o.finished {
			o.finished, o.rollout = true, w.now
		}
		step = w.interval
		if len(plan.Steps) == 0 {
			step = w.timeUntilNextChange()
		}
	}
	w.collect(&o)
	return o
}

// movesPending reports whether a pool still lacks the host that the resize requires.
// A run doesn't wait for it beyond movesTimeout, as a host that replaces a failed one
// may fill the pool instead.
func (w *world) movesPending() bool {
	due := w.resizeFrom != "" || w.meter.moves < w.moveBound.moves
	return due && w.now < movesTimeout
}

// collect adds the results of the simulation to an outcome.
func (w *world) collect(o *outcome) {
	for _, h := range w.hosts {
		switch visit := h.record.WaveOutcomes[waveName]; visit.Result {
		case "maintained":
			o.maintained++
		case "failed":
			o.failed++
		}
	}
	o.buffer = w.meter.buffer / float64(max(1, o.maintained))
	o.jobsFinished, o.urgentP99 = w.load.figures(w.now)
	o.moves, o.minMoves = w.meter.moves, w.moveBound.moves
	o.violations, o.marginViolations, o.doublePool = w.meter.violations, w.meter.marginViolations, w.meter.doublePool
}
