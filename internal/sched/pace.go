package sched

import (
	"time"

	"auburnglade.example/glade/internal/worker"
)

const (
	// paceEvery is the pause between two changes of a run's pace: a report
	// covers the last half second, so an earlier one shows the pace before.
	paceEvery = 700 * time.Millisecond
	// paceSlack is the share of its target from which a serving task's load
	// slows the filling ones, and paceCalm the one below which they speed up.
	paceSlack = 0.85
	paceCalm  = 0.6
	// paceCut is how much of its pace a filling task keeps when it disturbs.
	paceCut  = 0.4
	paceRise = 15
)

// paces slows filling tasks beside serving ones that come near their target.
// How much a filling task disturbs differs by image and changes, so that only
// what is measured decides: down at once and by much, up slowly.
func (pl *planner) paces() {
	for _, h := range pl.hosts {
		worst := 0.0
		for _, r := range h.runs {
			if target := r.task.step.spec.LatencyTarget; target > 0 && r.percent >= fullPercent {
				worst = max(worst, float64(r.load)/float64(target.Milliseconds()))
			}
		}
		for _, r := range h.runs {
			if r.task.step.spec.BestEffort && r.state == running && pl.now.Sub(r.paced) >= paceEvery {
				pl.pace(h, r, worst)
			}
		}
	}
}

func (pl *planner) pace(h *host, r *run, worst float64) {
	wanted := r.pace
	switch {
	case worst >= 1:
		wanted = 0
	case worst > paceSlack:
		wanted = int(float64(r.pace) * paceCut)
	case worst < paceCalm:
		wanted = min(fullPercent, r.pace+paceRise)
	}
	if wanted == r.pace {
		return
	}
	r.pace, r.paced = wanted, pl.now
	pl.plan.Orders = append(pl.plan.Orders, Order{
		Verb: Throttle, To: worker.Target{ID: h.ID, Address: h.Address}, Task: r.task.name, Run: r.number, Percent: wanted,
		Reason: "response time beside it",
	})
}

// ThrottleOutcome takes over what became of a change of pace.
func (p *Pool) ThrottleOutcome(id string, order Order, outcome worker.Outcome) {
	if outcome == worker.Fenced {
		p.deposed = true
	}
	h := p.hosts[id]
	if h == nil || outcome == worker.Accepted {
		return
	}
	if r := h.runs[order.Task]; r != nil && r.number == order.Run && r.pace == order.Percent {
		// Ask again soon; the pace in force isn't known.
		r.pace = -1
	}
}
