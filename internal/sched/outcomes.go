package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// refusalPause is how long a task waits after a refusal before its next try,
// so that a refusal that lasts doesn't become a storm.
const refusalPause = 200 * time.Millisecond

// StartOutcome takes over what became of a start.
func (p *Pool) StartOutcome(id string, name work.TaskName, number int, outcome worker.Outcome, now, wall time.Time) {
	h := p.hosts[id]
	if h == nil {
		return
	}
	r := h.runs[name]
	if r == nil || r.number != number {
		return
	}
	switch outcome {
	case worker.Accepted:
		if r.state == starting {
			r.state, r.begun, r.moved = running, now, now
		}
	case worker.Unknown:
		if r.state == starting {
			h.rested = now.Add(refusalPause)
			p.startUnanswered(r, now)
		}
	case worker.Gone:
		p.RemoveHost(id, now, wall)
	default:
		p.startRefused(h, r, outcome, now)
	}
}

// startUnanswered settles a start that was given up without an answer. A lasting
// task may be at work by now, and to stop it might leave its step with more tasks
// missing than it may: its host's next answer tells. Any other one is stopped at
// once, as its work is short and can wait less.
func (p *Pool) startUnanswered(r *run, now time.Time) {
	r.makeSuspect()
	if r.task.step.spec.LongRunning {
		r.unanswered = now
		return
	}
	p.stop(r, "its start was not answered")
}

// StartPending reports whether a start that was ordered and has no answer is still
// to be carried out.
func (p *Pool) StartPending(id string, name work.TaskName, number int) bool {
	h := p.hosts[id]
	if h == nil {
		return false
	}
	r := h.runs[name]
	return r != nil && r.number == number && r.state == starting && !r.task.done
}

// startRefused frees what a refused start held: nothing was done.
func (p *Pool) startRefused(h *host, r *run, outcome worker.Outcome, now time.Time) {
	t := r.task
	if outcome == worker.Fenced {
		p.deposed = true
	}
	if r.state == running {
		return
	}
	p.endRun(r, work.EndStopped, "", now)
	t.notBefore = now.Add(refusalPause)
	switch outcome {
	case worker.Outdated:
		t.lastRun += takeoverRunGap
	case worker.NoTicket:
		if t.step.advice != nil {
			delete(t.step.advice.tickets, h.ID)
		}
	case worker.NotSent:
		h.refuse(now)
	case worker.NoRoom, worker.Unhealthy, worker.TooLate:
		h.rested = now.Add(refusalPause)
	}
}

// StopOutcome takes over what became of a stop.
func (p *Pool) StopOutcome(id string, name work.TaskName, number int, outcome worker.Outcome, now, wall time.Time) {
	h := p.hosts[id]
	if h == nil {
		return
	}
	switch outcome {
	case worker.Fenced:
		p.deposed = true
	case worker.Gone:
		p.RemoveHost(id, now, wall)
	case worker.Accepted:
		if r := h.runs[name]; r != nil && r.number == number && r.stopTaken.IsZero() {
			r.stopTaken = now
		}
	}
}

// HeartbeatFailed takes over that a hold got no list.
func (p *Pool) HeartbeatFailed(id string, outcome worker.Outcome, now, wall time.Time) {
	switch outcome {
	case worker.Fenced:
		p.deposed = true
	case worker.Gone:
		p.RemoveHost(id, now, wall)
	case worker.NotSent:
		if h := p.hosts[id]; h != nil {
			h.refuse(now)
		}
	}
}
