package sched

import (
	"time"

	"auburnglade.example/glade/internal/worker"
)

const (
	// throttleInterval is the pause between two changes of a run's speed: a report covers
	// the last half second, so an earlier one shows the speed before the change.
	throttleInterval = 700 * time.Millisecond
	// throttleAbove is the share of its target response time from which a serving
	// task throttles the best-effort ones, raiseBelow the share below which they
	// are sped up.
	throttleAbove = 0.85
	raiseBelow    = 0.6
	// throttleFactor is the part of its speed that a best-effort task keeps when a
	// serving task is near its target.
	throttleFactor = 0.4
	throttleRaise  = 15
)

// throttleRuns throttles best-effort tasks beside serving tasks that come near
// their target. How much a best-effort task interferes differs by image and changes
// over time, so only measured response times decide: the speed falls at once and by
// much, and rises slowly.
func (pl *planner) throttleRuns() {
	for _, h := range pl.hosts {
		worst := 0.0
		for _, r := range h.runs {
			if target := r.task.step.spec.LatencyTarget; target > 0 && r.percent >= fullPercent {
				worst = max(worst, float64(r.load)/float64(target.Milliseconds()))
			}
		}
		for _, r := range h.runs {
			if r.task.step.spec.BestEffort && r.state == running && pl.now.Sub(r.speedOrderedAt) >= throttleInterval {
				pl.throttle(h, r, worst)
			}
		}
	}
}

func (pl *planner) throttle(h *host, r *run, worst float64) {
	wanted := r.speed
	switch {
	case worst >= 1:
		wanted = 0
	case worst > throttleAbove:
		wanted = int(float64(r.speed) * throttleFactor)
	case worst < raiseBelow:
		wanted = min(fullPercent, r.speed+throttleRaise)
	}
	if wanted == r.speed {
		return
	}
	r.speed, r.speedOrderedAt = wanted, pl.now
	pl.plan.Orders = append(pl.plan.Orders, Order{
		Verb: Throttle, To: h.target(), Task: r.task.name, Run: r.number, Percent: wanted,
		Reason: "response time of a serving task on its host",
	})
}

// ThrottleOutcome applies the outcome of a Throttle order.
func (p *Pool) ThrottleOutcome(order Order, outcome worker.Outcome) {
	h := p.addressee(order.To, outcome)
	if h == nil || outcome == worker.Accepted {
		return
	}
	if r := h.runs[order.Task]; r != nil && r.number == order.Run && r.speed == order.Percent {
		// The current speed is not known; it is ordered again soon.
		r.speed = -1
	}
}
