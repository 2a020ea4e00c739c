package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
)

// Evidence is how the pool concluded that nothing runs on a host any more.
type Evidence string

// The kinds of evidence.
const (
	// InstanceReplaced: another incarnation answers at the host's address.
	InstanceReplaced Evidence = "another life answers"
	// LeaseExpired: the host has not responded for longer than any lease lasts. It
	// may still be up.
	LeaseExpired Evidence = "its holds ran out"
)

// certain reports whether the host's incarnation has certainly ended.
func (e Evidence) certain() bool { return e != LeaseExpired }

// Loss is a host that was lost with runs on it.
type Loss struct {
	Host     string
	Evidence Evidence
	// Born is the incarnation that was lost. Restarted is the one that answers under
	// its ID, zero if none does; Unsettled counts the runs whose start may yet reach
	// that one.
	Born, Restarted int64
	Unsettled       int
	// Fence is the fencing token for the next incarnation, zero if none is known.
	Fence int64
	// Listed is set when the platform still listed the host.
	Listed bool
	// Unresponsive is for how long the host had not responded.
	Unresponsive time.Duration
	// SinceOrder is the time since the last order or lease renewal, LeaseLeft how much
	// longer the leases of its runs may have lasted, negative if they had expired.
	SinceOrder, LeaseLeft time.Duration
	// Refused is set when it refused connections after its last reply,
	// RefusedAfter how long after it, LostTogether how many other hosts of the pool
	// began to do so at the same moment.
	Refused      bool
	RefusedAfter time.Duration
	// Unexplained are those of LostTogether on which no run had just started.
	LostTogether, Unexplained int
	Runs                      []LostRun
}

// LostRun is a run that ended with its host.
type LostRun struct {
	Task work.TaskName
	Run  int
	// Age is the time from the order to start the run to the host's last reply;
	// negative for a run ordered later.
	Age time.Duration
	// Seen is set when the run was known to execute, Alone when the other runs on
	// the host were harmless.
	Seen, Alone bool
	// Verdict is the consequence for the task, Crashes the number of hosts lost
	// under it so far.
	Verdict Verdict
	Crashes int
}

// Losses returns the losses since the last call.
func (p *Pool) Losses() []Loss {
	losses := p.losses
	p.losses = nil
	return losses
}

// UnansweredHost is a host of an earlier holder that never answered this one. Nothing runs
// there any more.
type UnansweredHost struct {
	Host string
	// Evidence is how that is known.
	Evidence Evidence
	// Waited is the time since the takeover.
	Waited time.Duration
}

// UnansweredHosts returns the hosts of earlier holders that were given up since the last
// call.
func (p *Pool) UnansweredHosts() []UnansweredHost {
	unanswered := p.unanswered
	p.unanswered = nil
	return unanswered
}

// loseRuns ends all runs on a lost host and records the loss.
func (p *Pool) loseRuns(h *host, evidence Evidence, now, wall time.Time) {
	if len(h.runs) == 0 {
		return
	}
	p.losses = append(p.losses, p.attributeRuns(h, evidence, now, wall))
	for _, r := range h.runs {
		r.giveUp(evidence, now)
		p.endRun(r, work.EndExpired, "", now)
	}
}

// attributeRuns attributes the loss of a host to the tasks of its runs.
func (p *Pool) attributeRuns(h *host, evidence Evidence, now, wall time.Time) Loss {
	loss := Loss{Host: h.ID, Born: h.incarnation, Evidence: evidence, Listed: h.listed, Unresponsive: now.Sub(h.repliedAt), Refused: h.unreachable()}
	loss.SinceOrder, loss.LeaseLeft = now.Sub(h.lastOrderAt()), p.leasesExpireAt(h).Sub(now)
	loss.LostTogether, loss.Unexplained = p.lostTogether(h, "")
	if loss.Refused {
		loss.RefusedAfter = h.refusedSince.Sub(h.repliedAt)
	}
	for _, r := range h.runs {
		lost := LostRun{Task: r.task.name, Run: r.number, Age: h.repliedAt.Sub(r.orderedAt), Seen: !r.startedAt.IsZero(), Alone: r.wasAlone(), Verdict: Unblamed}
		if h.lossMayBeCrash(evidence) {
			lost.Verdict = p.attributeLoss(r, evidence, now, wall)
			lost.Crashes = len(r.task.crashes)
		}
		loss.Runs = append(loss.Runs, lost)
	}
	return loss
}
