package sched

import "time"

const (
	// firstAnswers is how long after a takeover the hosts that can be reached
	// have certainly answered: copies needn't be made of what runs there.
	firstAnswers = 700 * time.Millisecond
	// slowFactor times its estimate must be left of a run for a copy to be
	// made: estimates are off by a half, and a copy costs its work again.
	slowFactor = 1.5
	// slowLeast is the least that must be left: a copy has to be started and
	// to end first.
	slowLeast = 600 * time.Millisecond
)

// copies lets tasks of steps that allow it start again elsewhere while a run of
// theirs goes on where it can't be heard, is being stopped or is slow. What
// waits for a silent host to lapse waits for five seconds otherwise. The first
// run to end counts.
func (pl *planner) copies() {
	for _, h := range pl.hosts {
		silent := pl.silent(h, pl.now)
		for _, r := range h.runs {
			s := r.task.step
			if r.task.run != r || !s.spec.Speculative || s.spec.Gang || s.of.job.state != "" || !pl.mayCopy(r.task, pl.now) {
				continue
			}
			if silent || r.state == stopping || len(r.task.copies) == 0 && r.slow(pl.now) && pl.find(r.task) != nil {
				pl.leaveToCopy(r)
			}
		}
	}
}

// slow reports whether a run has much longer to go than a new one would take.
func (r *run) slow(now time.Time) bool {
	estimate := r.task.step.expected()
	if r.state != running || r.percent <= 0 || now.Sub(r.begun) < estimate {
		return false
	}
	if now.Sub(r.moved) > hangAfter {
		return true
	}
	// The percent is as old as the report that it came with.
	left := r.moved.Sub(r.begun)*time.Duration(fullPercent-r.percent)/time.Duration(r.percent) - now.Sub(r.moved)
	return left > max(slowLeast, time.Duration(slowFactor*float64(estimate)))
}

// leaveToCopy makes a run one of its task's copies, so that the task waits for
// a start again. The run counts on its host until its end is certain.
func (pl *planner) leaveToCopy(r *run) {
	t := r.task
	t.run = nil
	t.copies = append(t.copies, r)
	if !t.done {
		t.step.waiting++
	}
}
