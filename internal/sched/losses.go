package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

// Evidence is how the pool knows that nothing runs on a host any more.
type Evidence string

// The kinds of evidence.
const (
	// InstanceReplaced: another life answers at the host's address.
	InstanceReplaced Evidence = "another life answers"
	// LeaseExpired: the host was unheard for longer than any hold lasts. It may
	// live on.
	LeaseExpired Evidence = "its holds ran out"
)

// Loss is a host that was lost with runs on it.
type Loss struct {
	Host     string
	Evidence Evidence
	// Listed: the platform's list still showed the host.
	Listed bool
	// Unresponsive is for how long the host had not been heard.
	Unresponsive time.Duration
	Runs         []LostRun
}

// LostRun is a run that ended with its host.
type LostRun struct {
	Task work.TaskName
	Run  int
	// Age is how long before the host was last heard the run had been ordered;
	// negative for one ordered later.
	Age time.Duration
	// Verdict is what follows for the task, Crashes how many hosts were lost
	// under it by now.
	Verdict Verdict
	Crashes int
}

// Losses returns the losses since it was last called.
func (p *Pool) Losses() []Loss {
	losses := p.losses
	p.losses = nil
	return losses
}

// lose ends all that ran on a host.
func (p *Pool) lose(h *host, evidence Evidence, now, wall time.Time) {
	if len(h.runs) == 0 {
		return
	}
	loss := Loss{Host: h.ID, Evidence: evidence, Listed: h.listed, Unresponsive: now.Sub(h.heard)}
	for _, r := range h.runs {
		lost := LostRun{Task: r.task.name, Run: r.number, Age: h.heard.Sub(r.asked), Verdict: Unblamed}
		if h.blames(evidence) {
			lost.Verdict = p.blame(r, now, wall)
			lost.Crashes = len(r.task.crashed)
		}
		loss.Runs = append(loss.Runs, lost)
	}
	p.losses = append(p.losses, loss)
	for _, r := range h.runs {
		p.endRun(r, work.EndExpired, "", now)
	}
}
