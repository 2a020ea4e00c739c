package sched

import (
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// refusalPause is how long a task waits after a refusal before its next start, so
// that a lasting refusal does not cause a flood of retries.
const refusalPause = 200 * time.Millisecond

// StartOutcome applies the outcome of a start that was addressed to to.
func (p *Pool) StartOutcome(to worker.Target, name work.TaskName, number int, outcome worker.Outcome, now, wall time.Time) {
	h := p.addressee(to, outcome)
	if h == nil {
		return
	}
	r := h.runs[name]
	if r == nil || r.number != number {
		return
	}
	switch outcome {
	case worker.Accepted:
		r.begin(now)
	case worker.Unknown:
		if r.state == starting {
			h.backoffUntil = now.Add(refusalPause)
			p.startUnanswered(r, now)
		}
	case worker.Gone:
		p.RemoveHost(to.ID, now, wall)
	default:
		p.startRefused(h, r, outcome, now)
	}
}

// startUnanswered handles a start that ended without an answer. A long-running task
// may be in service by now, and stopping it could leave its step with more tasks
// out of service than allowed, so its host's next reply decides. Any other task is
// stopped at once, as its work is short and it needs its next start sooner.
func (p *Pool) startUnanswered(r *run, now time.Time) {
	r.markSuspect()
	if r.task.step.spec.LongRunning {
		r.unansweredAt = now
		return
	}
	p.stop(r, "its start was not answered")
}

// StartPending reports whether a start that was ordered and has no answer is still
// wanted.
func (p *Pool) StartPending(id string, name work.TaskName, number int) bool {
	h := p.hosts[id]
	if h == nil {
		return false
	}
	r := h.runs[name]
	return r != nil && r.number == number && r.state == starting && !r.task.done
}

// startRefused releases the resources of a refused start; nothing was done on the
// host.
func (p *Pool) startRefused(h *host, r *run, outcome worker.Outcome, now time.Time) {
	t := r.task
	if r.state == running {
		return
	}
	p.endRun(r, work.EndStopped, "", now)
	t.notBefore = now.Add(refusalPause)
	switch outcome {
	case worker.StaleRun:
		t.lastRun += takeoverRunGap
	case worker.NoTicket:
		if t.step.advice != nil {
			delete(t.step.advice.tickets, h.ID)
		}
	case worker.NotSent:
		p.connectFailed(h, now)
	case worker.NoRoom, worker.Unhealthy, worker.TooLate:
		h.backoffUntil = now.Add(refusalPause)
	}
}

// StopOutcome applies the outcome of a stop that was addressed to to.
func (p *Pool) StopOutcome(to worker.Target, name work.TaskName, number int, outcome worker.Outcome, now, wall time.Time) {
	h := p.addressee(to, outcome)
	if h == nil {
		return
	}
	r := h.runs[name]
	if r != nil && r.number != number {
		r = nil
	}
	if r != nil && (outcome == worker.NotSent || outcome == worker.Gone || outcome == worker.Expired) {
		r.stopsInDoubt--
	}
	switch outcome {
	case worker.Gone:
		p.RemoveHost(to.ID, now, wall)
	case worker.NotSent:
		p.connectFailed(h, now)
	case worker.Accepted:
		if r != nil && r.stopAnsweredAt.IsZero() {
			r.stopAnsweredAt = now
		}
	}
}

// HeartbeatFailed applies the outcome of a heartbeat, addressed to to, that got no
// reply.
func (p *Pool) HeartbeatFailed(to worker.Target, outcome worker.Outcome, now, wall time.Time) {
	h := p.addressee(to, outcome)
	switch {
	case h == nil:
	case outcome == worker.Gone:
		p.RemoveHost(to.ID, now, wall)
	case outcome == worker.NotSent:
		p.connectFailed(h, now)
	default:
		h.callFailed = true
	}
}
