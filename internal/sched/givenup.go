package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
)

// maxGivenUpRuns is how many of the last given up runs of a task are remembered.
const maxGivenUpRuns = 4

// givenUpRun is a run that was taken as ended without an answer of its host that says so.
type givenUpRun struct {
	number    int
	host      string
	evidence  Evidence
	orderedAt time.Time
	at        time.Time
}

// Restart is a start of a task whose last run was given up.
type Restart struct {
	Task work.TaskName
	Run  int
	Host string
	// Previous is the run that was given up, PreviousHost where it was and Evidence why.
	Previous     int
	PreviousHost string
	Evidence     Evidence
	// SinceOrder is the time since the start of that run was ordered or it was first
	// reported, SinceGivenUp the time since it was given up.
	SinceOrder, SinceGivenUp time.Duration
}

// NotGivenUp is in place of the evidence for a run that an earlier holder may have given
// up.
const NotGivenUp Evidence = "not given up here"

// HeardAgain is a run that its host reported after it was given up, or beside another run
// of its task.
type HeardAgain struct {
	Task     work.TaskName
	Run      int
	Host     string
	Evidence Evidence
	// End is how it ended, empty if it goes on.
	End work.EndReason
	// After is the time since it was given up, zero where that is not known.
	After time.Duration
}

// HeardAgain returns the given up runs that were reported since the last call.
func (p *Pool) HeardAgain() []HeardAgain {
	heard := p.heardAgain
	p.heardAgain = nil
	return heard
}

// giveUp remembers a run that ends by evidence.
func (r *run) giveUp(evidence Evidence, now time.Time) {
	t := r.task
	if len(t.givenUp) == maxGivenUpRuns {
		t.givenUp = slices.Delete(t.givenUp, 0, 1)
	}
	t.givenUp = append(t.givenUp, givenUpRun{r.number, r.host.ID, evidence, r.orderedAt, now})
}

// noteHeard records that a host has reported a run that goes on, or ended as end, if
// that run was given up or goes on beside another one.
func (p *Pool) noteHeard(t *task, host string, number int, end work.EndReason, now time.Time) {
	for _, g := range t.givenUp {
		if g.number == number && g.host == host {
			p.heardAgain = append(p.heardAgain, HeardAgain{t.name, number, host, g.evidence, end, now.Sub(g.at)})
			return
		}
	}
	if end == "" && t.run != nil && !t.step.spec.Speculative {
		p.heardAgain = append(p.heardAgain, HeardAgain{Task: t.name, Run: number, Host: host, Evidence: NotGivenUp})
	}
}

// noteRestart adds a start to the plan's restarts if the task's last run was given up.
func (pl *planner) noteRestart(r *run, lastRun int) {
	for _, g := range r.task.givenUp {
		if g.number == lastRun {
			pl.plan.Restarts = append(pl.plan.Restarts, Restart{
				Task: r.task.name, Run: r.number, Host: r.host.ID, Previous: g.number, PreviousHost: g.host,
				Evidence: g.evidence, SinceOrder: pl.now.Sub(g.orderedAt), SinceGivenUp: pl.now.Sub(g.at),
			})
		}
	}
}
