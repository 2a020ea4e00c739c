package sched

import "time"

const (
	// takeoverReplyTime is how long after a takeover all reachable hosts have
	// certainly replied; their runs need no speculative copies.
	takeoverReplyTime = 700 * time.Millisecond
	// slowFactor times the expected run time must remain of a run for a speculative
	// copy to start: estimates are off by a half, and a copy costs the work again.
	slowFactor = 1.5
	// minSlowLeft is the least remaining time, since a copy has to start and to end
	// first.
	minSlowLeft = 600 * time.Millisecond
)

// speculate lets tasks of steps that allow speculative execution start elsewhere
// while a run of theirs is on an unresponsive host, is being stopped or is slow.
// Otherwise a task on an unresponsive host waits five seconds for the lease to
// expire. The first run to end counts.
func (pl *planner) speculate() {
	for _, h := range pl.hosts {
		unresponsive := pl.unresponsive(h, pl.now)
		for _, r := range h.runs {
			s := r.task.step
			if r.task.run != r || !s.spec.Speculative || s.spec.Gang || s.occurrence.job.state != "" || !pl.maySpeculate(r.task, pl.now) {
				continue
			}
			if unresponsive || r.state == stopping || len(r.task.copies) == 0 && r.slow(pl.now) && pl.find(r.task) != nil {
				pl.demoteToCopy(r)
			}
		}
	}
}

// slow reports whether a run will take much longer than a new one would.
func (r *run) slow(now time.Time) bool {
	estimate := r.task.step.expectedRuntime()
	if r.state != running || r.percent <= 0 || now.Sub(r.startedAt) < estimate {
		return false
	}
	if now.Sub(r.progressedAt) > hangTimeout {
		return true
	}
	// The percent is as old as its report.
	left := r.progressedAt.Sub(r.startedAt)*time.Duration(fullPercent-r.percent)/time.Duration(r.percent) - now.Sub(r.progressedAt)
	return left > max(minSlowLeft, time.Duration(slowFactor*float64(estimate)))
}

// demoteToCopy turns a run into one of its task's copies, so that the task waits
// for another start. The run counts on its host until it has certainly ended.
func (pl *planner) demoteToCopy(r *run) {
	t := r.task
	t.run = nil
	t.copies = append(t.copies, r)
	if !t.done {
		t.step.waiting++
	}
}
