// Package policy measures the decisions against simple policies, in virtual
// time over small fakes: the pure planners that run in production are in the
// loop, the fakes' own record judges them.
package policy

import (
	"time"

	"auburnglade.example/glade/internal/wave"
)

// The policies. BudgetRefill is a stronger form of WholeBudget: it takes the
// next host out as soon as one is back, and doesn't wait for the batch.
const (
	Ours         = "auburnglade"
	OneAtATime   = "one_at_a_time"
	WholeBudget  = "whole_budget"
	BudgetRefill = "whole_budget_refilled"
	ZoneByZone   = "zone_by_zone"
)

// interval is the pause between two rounds of decisions, as in the manager of
// jobs; the drainer's is twice that. Runs of the target's size have targetEvery.
// Rounds in which nothing can have changed are skipped, longest at a time.
// Horizon is the time after which a wave counts as unfinished.
const (
	interval    = 500 * time.Millisecond
	targetEvery = 10 * time.Second
	longest     = 30 * time.Second
	movesEnd    = 6 * time.Hour
	horizon     = 14 * 24 * time.Hour
)

// outcome is one run's figures.
type outcome struct {
	buffer       float64
	rollout      time.Duration
	bound        time.Duration
	boundBuffer  float64
	moves        int
	fewestMoves  int
	violations   int
	marginBroken int
	doublePool   int
	finished     bool
	maintained   int
	failed       int
	jobsFinished float64
	urgentP99    float64
	stops        int
}

// play runs one policy through one scenario.
func play(s *scenario, d decider) outcome {
	w := newWorld(s)
	var o outcome
	o.bound, o.boundBuffer = s.lowerBound(), s.lowerBoundBuffer()
	var status wave.Status
	step := w.every
	for w.now < horizon && (!o.finished || w.moving() || w.now < w.end) {
		w.pass(w.now + step)
		w.meter.measure(w, d.limit, step)
		if w.away() {
			step = w.every
			continue
		}
		w.operate(status)
		plan := d.plan(w.fleetOf())
		if plan.Status.Phase == wave.Stopped && status.Phase != wave.Stopped {
			o.stops++
		}
		status = plan.Status
		for _, step := range plan.Steps {
			w.apply(step)
		}
		w.moveHosts(step, d.foresees())
		w.load.place(w, d.foresees())
		if status.Done() && !o.finished {
			o.finished, o.rollout = true, w.now
		}
		step = w.every
		if len(plan.Steps) == 0 {
			step = w.untilNext()
		}
	}
	w.count(&o)
	return o
}

// moving reports whether a pool still lacks the host that the resize asked for.
// A run doesn't wait for it for ever: a host that comes in the place of one that
// is gone may fill the pool instead.
func (w *world) moving() bool {
	due := w.resizeFrom != "" || w.meter.moves < w.fewest.moves
	return due && w.now < movesEnd
}

func (w *world) count(o *outcome) {
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
	o.moves, o.fewestMoves = w.meter.moves, w.fewest.moves
	o.violations, o.marginBroken, o.doublePool = w.meter.violations, w.meter.marginBroken, w.meter.doublePool
}
