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

// interval is the pause between two rounds of decisions, as in the drainer.
// Rounds in which nothing can have changed are skipped, longest at a time.
// Horizon is the time after which a wave counts as unfinished.
const (
	interval = time.Second
	longest  = 30 * time.Second
	horizon  = 72 * time.Hour
)

// outcome is one run's figures.
type outcome struct {
	buffer       float64
	rollout      time.Duration
	bound        time.Duration
	moves        int
	fewestMoves  int
	violations   int
	marginBroken int
	doublePool   int
	finished     bool
	maintained   int
	failed       int
	stops        int
}

// play runs one policy through one scenario.
func play(s *scenario, d decider) outcome {
	w := newWorld(s)
	var o outcome
	o.bound = s.lowerBound()
	var status wave.Status
	step := interval
	for w.now < horizon && (!o.finished || w.moving()) {
		w.pass(w.now + step)
		w.meter.measure(w, d.limit, step)
		if w.away() {
			step = interval
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
		w.moveHosts(step, d.movesWithWave())
		if status.Done() && !o.finished {
			o.finished, o.rollout = true, w.now
		}
		step = interval
		if len(plan.Steps) == 0 {
			step = w.untilNext()
		}
	}
	w.count(&o)
	return o
}

// moving reports whether a pool still lacks the host that the resize asked for.
func (w *world) moving() bool { return w.resizeFrom != "" || w.meter.moves < w.meter.fewestMoves }

func (w *world) count(o *outcome) {
	for _, h := range w.hosts {
		switch visit := h.record.Visits[waveName]; visit.Result {
		case "maintained":
			o.maintained++
		case "failed":
			o.failed++
		}
	}
	o.buffer = w.meter.buffer / float64(max(1, o.maintained))
	o.moves, o.fewestMoves = w.meter.moves, w.meter.fewestMoves
	o.violations, o.marginBroken, o.doublePool = w.meter.violations, w.meter.marginBroken, w.meter.doublePool
}
