package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

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

// StragglerDecision is what was decided about a run that takes long.
type StragglerDecision struct {
	Task    work.TaskName
	Run     int
	Host    string
	Verdict StragglerVerdict
	// Copied is set when the task may start elsewhere, NoRoom when it may not because
	// jobs that are in time need the room.
	Copied, NoRoom bool
	Inputs         StragglerInputs
}

// speculate lets tasks of steps that allow speculative execution start elsewhere
// while a run of theirs is on an unresponsive host, is being stopped, hangs or is on
// a slow host. Otherwise a task on an unresponsive host waits five seconds for the
// lease to expire. The first run to end counts.
func (pl *planner) speculate() {
	spare := pl.spareCPU()
	for _, h := range pl.hosts {
		unresponsive := pl.unresponsive(h, pl.now)
		for _, r := range h.runs {
			s := r.task.step
			if r.task.run != r || !s.spec.Speculative || s.spec.Gang || s.occurrence.job.state != "" || !pl.maySpeculate(r.task, pl.now) {
				continue
			}
			switch {
			case unresponsive:
				pl.demoteToCopy(r, CopySilentHost)
				continue
			case r.state == stopping:
				pl.demoteToCopy(r, CopyStopping)
				continue
			}
			if len(r.task.copies) == 0 && r.slow(pl.now) && pl.find(r.task) != nil {
				spare -= pl.decideStraggler(r, spare)
			}
		}
	}
}

// spareCPU returns the thousandths of a core that are free beyond what the waiting
// tasks of jobs that are in time need.
func (pl *planner) spareCPU() int {
	spare := 0
	for _, h := range pl.open {
		spare += h.free().MilliCPU
	}
	for _, j := range pl.active {
		for _, o := range j.occurrences {
			for _, s := range o.steps {
				if o.admitted && s.waiting > 0 && s.ready() {
					spare -= s.waiting * s.spec.Reserved().MilliCPU
				}
			}
		}
	}
	return spare
}

// decideStraggler lets the task of a slow run start elsewhere if that ends sooner,
// and returns the thousandths of a core that this takes. A run that hangs never ends,
// so its task competes for room like any other.
func (pl *planner) decideStraggler(r *run, spare int) (taken int) {
	in := r.stragglerInputs()
	verdict := judgeStraggler(in)
	resources := r.task.step.spec.Reserved().MilliCPU
	noRoom := verdict == SlowHost && spare < resources
	copied := verdict == Hanging || verdict == SlowHost && !noRoom
	if copied || r.verdict == "" {
		// Two entries for a run at most: the first verdict and the copy.
		r.verdict = verdict
		pl.plan.Stragglers = append(pl.plan.Stragglers, StragglerDecision{
			Task: r.task.name, Run: r.number, Host: r.host.ID, Verdict: verdict, Copied: copied, NoRoom: noRoom, Inputs: in,
		})
	}
	if !copied {
		return 0
	}
	reason := CopySlowHost
	if verdict == Hanging {
		reason = CopyHanging
	}
	pl.demoteToCopy(r, reason)
	return resources
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
	gained := max(1, r.percent-r.firstPercent)
	left := r.progressedAt.Sub(r.startedAt)*time.Duration(fullPercent-r.percent)/time.Duration(gained) - now.Sub(r.progressedAt)
	return left > max(minSlowLeft, time.Duration(slowFactor*float64(estimate)))
}

// demoteToCopy turns a run into one of its task's copies, so that the task waits
// for another start. The run counts on its host until it has certainly ended.
func (pl *planner) demoteToCopy(r *run, reason CopyReason) {
	t := r.task
	r.copyReason = reason
	t.run = nil
	t.copies = append(t.copies, r)
	if !t.done {
		t.step.waiting++
	}
}
