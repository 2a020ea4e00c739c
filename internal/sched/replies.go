package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// ApplyHeartbeat applies a host's reply to a heartbeat that was sent at sent.
// Replies may overtake each other; one that is older than the newest applied is
// dropped, and so is one to a host of that ID that was removed.
func (p *Pool) ApplyHeartbeat(id string, sent time.Time, reply worker.HeartbeatReply, now, wall time.Time) {
	h := p.hosts[id]
	if h == nil || sent.Before(h.addedAt) || !p.recognize(h, &reply, sent, now, wall) || reply.ClockMs < h.clock {
		return
	}
	h.repliedAt, h.clock, h.callFailed = now, reply.ClockMs, false
	p.reached(id, len(reply.Ended), now)
	p.settlePresumed(h, now, wall)
	p.applyEnds(h, reply.Ended, now, wall)
	if !reply.RunningOmitted {
		h.reportedAt, h.reportedClock, h.reached = now, reply.ClockMs, true
		reported := p.applyRunning(h, reply.Running, now, wall)
		if len(reply.Ended) < worker.MaxEnds {
			p.reconcile(h, reported, sent, now)
		}
	}
	h.advanceStoredEnd()
}

// reached records that a host of an earlier holder has answered with a number of ends. One
// that has more than a reply lists may yet report that tasks are done which would start
// again: it is waited for until it has listed all, or has not answered for as long as
// leases last, after which the other ends don't count.
func (p *Pool) reached(id string, ends int, now time.Time) {
	if _, pending := p.unreached[id]; pending && ends >= worker.MaxEnds {
		p.unreached[id] = now.Add(LeaseUpperBound(p.LeaseTTL))
		return
	}
	p.forgetUnreached(id)
}

func (p *Pool) applyEnds(h *host, ends []worker.RunEnd, now, wall time.Time) {
	for _, end := range ends {
		if end.Seq <= h.appliedEnd {
			continue
		}
		h.appliedEnd = end.Seq
		j := p.jobs[end.Task.Job]
		unstored := unstoredEnd{number: end.Seq, job: j}
		if j != nil {
			p.applyEnd(h, j, end, now, wall)
			unstored.version = j.version
		} else if r := h.runs[end.Task]; r != nil && r.number <= end.Run {
			p.endRun(r, end.Reason, "", now)
		}
		h.unstoredEnds = append(h.unstoredEnds, unstored)
	}
}

func (p *Pool) applyEnd(h *host, j *job, end worker.RunEnd, now, wall time.Time) {
	p.addOccurrencesTo(j, end.Task.Occurrence, now, wall)
	t := j.find(end.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	p.noteHeard(t, h.ID, end.Run, end.Reason, now)
	t.clearCrash(end.Run)
	j.begun = j.begun || end.Reason != work.EndStopped
	r := h.runs[end.Task]
	if r != nil && r.number > end.Run {
		r = nil
	}
	if r != nil {
		p.recordOutcome(r, end.Reason, now)
		p.endRun(r, end.Reason, end.Checkpoint, now)
	}
	switch end.Reason {
	case work.EndDone:
		p.taskSucceeded(t, now, wall)
	case work.EndFailed:
		p.taskFailed(h, t, end.Run, now, wall)
	}
}

// taskSucceeded records a task's success. The success of one member of a gang
// counts for all of them.
func (p *Pool) taskSucceeded(t *task, now, wall time.Time) {
	if t.step.spec.LongRunning {
		return
	}
	members := []*task{t}
	if t.step.spec.Gang {
		members = t.step.tasks
	}
	for _, member := range members {
		if !member.done {
			if member.run == nil {
				member.step.waiting--
			}
			p.markDone(member, now, wall)
		}
	}
	if !t.step.spec.Gang {
		// A speculative copy, or a later run that started because the lease of this
		// one seemed to have expired, would only repeat the work.
		p.stopRuns(t, "another run of the task succeeded")
	}
}

// stopRuns stops all runs of a task.
func (p *Pool) stopRuns(t *task, reason string) {
	if t.run != nil {
		p.stop(t.run, reason)
	}
	for _, r := range t.copies {
		p.stop(r, reason)
	}
}

// taskFailed counts a failure; too many of them fail the job.
func (p *Pool) taskFailed(h *host, t *task, number int, now, wall time.Time) {
	h.health.recordFailure(t.name.Job, now)
	j := t.job()
	if t.step.spec.LongRunning || t.done {
		return
	}
	if slices.Contains(t.failed, number) {
		return
	}
	failed := []*task{t}
	if t.step.spec.Gang {
		// Members of one run that fail together count as one failure of the gang.
		failed = t.step.tasks
	}
	j.failure = t.name.String() + " on " + h.ID
	for _, member := range failed {
		member.failed = append(member.failed, number)
	}
	j.version++
	if len(t.failed) >= j.record.Queue.MaxAttempts && j.state == "" {
		p.finish(j, work.Failed, now, wall)
	}
}

// endRun removes a run that has certainly ended from its host.
func (p *Pool) endRun(r *run, reason work.EndReason, checkpoint string, now time.Time) {
	h, t := r.host, r.task
	if h.runs[t.name] != r {
		return
	}
	h.removeRun(r)
	t.noteRan(r)
	if r.state == stopping {
		p.stops--
	}
	if r.suspect && t.job().state == "" {
		// The run was stored as a crash in advance.
		t.job().version++
	}
	if t.run != r {
		p.recordCopy(r, reason)
		t.copies = slices.DeleteFunc(t.copies, func(c *run) bool { return c == r })
		return
	}
	t.run = nil
	if checkpoint != "" {
		t.checkpoint = checkpoint
		t.job().version++
	}
	if !t.done {
		t.step.waiting++
	}
	if t.step.spec.Gang && reason != work.EndDone {
		p.breakGang(t.step)
	}
}

// breakGang stops the other members of a gang after one has ended, since they
// cannot finish without it.
func (p *Pool) breakGang(s *step) {
	for _, member := range s.tasks {
		if member.run != nil {
			p.stop(member.run, "a member of its gang ended")
		}
	}
}

// applyRunning applies a host's reports of its runs and returns the runs reported.
func (p *Pool) applyRunning(h *host, reports []worker.Report, now, wall time.Time) map[work.TaskName]int {
	reported := make(map[work.TaskName]int, len(reports))
	for _, report := range reports {
		reported[report.Task] = report.Run
		r := h.runs[report.Task]
		if r == nil || r.number != report.Run {
			r = p.adopt(h, report, now, wall)
		}
		if r != nil {
			r.applyReport(report, now)
		}
	}
	return reported
}

func (r *run) applyReport(report worker.Report, now time.Time) {
	r.begin(now)
	if report.Percent != r.percent || r.progressClock == 0 {
		r.percent, r.progressedAt, r.progressClock = report.Percent, now, r.host.reportedClock
	}
	r.load = report.Load
	r.clearSuspect()
	if report.Checkpoint != "" {
		r.task.checkpoint = report.Checkpoint
	}
	if r.task.step.spec.LongRunning && r.percent >= fullPercent {
		r.resetCrashes(now)
		if h := &r.host.health; h.probation && r.orderedAt.After(h.quarantinedUntil) {
			// A long-running task that has come into service there ends the
			// probation.
			h.recovered()
		}
	}
}

// begin records that a run is known to have begun.
func (r *run) begin(now time.Time) {
	r.task.job().begun = true
	if r.state == starting {
		r.state, r.startedAt, r.progressedAt = running, now, now
	}
}

// fullPercent is the percentage at which a long-running task is in service and a
// run is not throttled.
const fullPercent = 100

// adopt adds a run that an earlier holder started. One that is not wanted any more
// is stopped.
func (p *Pool) adopt(h *host, report worker.Report, now, wall time.Time) *run {
	if r := h.runs[report.Task]; r != nil {
		// Two runs of a task cannot both be on one host: the higher one has
		// replaced the lower, whose end the host will report.
		return nil
	}
	j := p.jobs[report.Task.Job]
	if j == nil {
		// The job was never stored, or ended long ago. Lease renewals would keep
		// the run going forever, so it is stopped as a run of a placeholder task.
		j = placeholderJob(report.Task)
	}
	p.addOccurrencesTo(j, report.Task.Occurrence, now, wall)
	t := j.find(report.Task)
	if t == nil {
		t = placeholderTask(j, report.Task)
	}
	p.noteHeard(t, h.ID, report.Run, "", now)
	r := &run{
		task: t, number: report.Run, host: h, state: running, orderedAt: now, startedAt: now, progressedAt: now,
		percent: report.Percent, firstPercent: report.Percent, speed: fullPercent, adopted: true,
	}
	r.suspect = t.clearCrash(report.Run) || len(t.crashes) > 0
	h.addRun(r)
	t.lastRun = max(t.lastRun, report.Run)
	j.started = true
	switch {
	case t.done || j.state != "":
		p.stop(r, "its task or job has ended")
	case t.run != nil && t.run.number >= report.Run:
		p.stop(r, "a later run is on another host")
	case t.run != nil:
		p.stop(t.run, "a later run is on another host")
		t.run = r
	default:
		t.run = r
		t.step.waiting--
	}
	return r
}

// placeholderJob returns a placeholder for a job that the pool does not have.
func placeholderJob(name work.TaskName) *job {
	return &job{
		record: &work.JobRecord{ID: name.Job},
		state:  work.Cancelled, doneOccurrences: map[int]bool{}, restored: map[taskKey]work.TaskProgress{},
	}
}

// placeholderTask returns a placeholder for a task whose occurrence is over, for
// example after the success of another copy, or that its job never had. The
// resources of the latter are not known.
func placeholderTask(j *job, name work.TaskName) *task {
	s := &step{occurrence: &occurrence{job: j, number: name.Occurrence}, onHost: make(map[*host]int)}
	if steps := j.record.Spec.Steps; name.Step < len(steps) {
		s.spec = &steps[name.Step]
	} else {
		s.spec, s.unknownResources = &work.Step{Count: 1}, true
	}
	return &task{name: name, step: s, done: true}
}

// reconcile handles the runs that are missing from a reply to a heartbeat sent at
// sent.
func (p *Pool) reconcile(h *host, reported map[work.TaskName]int, sent, now time.Time) {
	for name, r := range h.runs {
		if number, ok := reported[name]; ok && number == r.number {
			continue
		}
		switch r.state {
		case starting:
			// The order may be in transit, and StartOutcome will report it. A run
			// whose start ended without an answer is stopped, so that it certainly
			// does not start later.
			if !r.unansweredAt.IsZero() && sent.After(r.unansweredAt) {
				p.stop(r, "its start was not answered")
			}
		case running:
			if sent.After(r.startedAt) {
				// The run neither executes nor has ended; it is stopped to be
				// certain.
				p.stop(r, "its host reports neither the run nor its end")
			}
		case stopping:
			// Once a stop was answered the run cannot start there any more, and the
			// reply to a later heartbeat shows that it does not execute.
			if !r.stopAnsweredAt.IsZero() && sent.After(r.stopAnsweredAt) {
				p.endRun(r, work.EndStopped, "", now)
			}
		}
	}
}
