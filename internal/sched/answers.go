package sched

import (
	"slices"
	"time"

	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// ApplyHeartbeat takes over a host's answer to a hold that was sent at sent. Answers may
// overtake each other; one sent before the newest that was heard is dropped.
func (p *Pool) ApplyHeartbeat(id string, sent time.Time, answer worker.HeartbeatReply, now, wall time.Time) {
	h := p.hosts[id]
	if h == nil || answer.ClockMs < h.clock {
		return
	}
	h.heard, h.clock = now, answer.ClockMs
	delete(p.unreached, id)
	p.applyEnds(h, answer.Ended, now, wall)
	if !answer.RunningOmitted {
		h.told, h.toldClock, h.reached = now, answer.ClockMs, true
		shown := p.applyRunning(h, answer.Running, now, wall)
		if len(answer.Ended) < worker.MaxEnds {
			p.settle(h, shown, sent, now)
		}
	}
	h.advanceSeen()
}

func (p *Pool) applyEnds(h *host, ends []worker.RunEnd, now, wall time.Time) {
	for _, end := range ends {
		if end.Number <= h.noted {
			continue
		}
		h.noted = end.Number
		j := p.jobs[end.Task.Job]
		mark := endMark{number: end.Number, job: j}
		if j != nil {
			p.applyEnd(h, j, end, now, wall)
			mark.version = j.version
		} else if r := h.runs[end.Task]; r != nil && r.number <= end.Run {
			p.endRun(r, end.Reason, "", now)
		}
		h.marks = append(h.marks, mark)
	}
}

func (p *Pool) applyEnd(h *host, j *job, end worker.RunEnd, now, wall time.Time) {
	p.addDueOccurrences(j, now, wall)
	t := j.find(end.Task)
	if t == nil {
		return
	}
	t.lastRun = max(t.lastRun, end.Run)
	t.acquit(end.Run)
	r := h.runs[end.Task]
	if r != nil && r.number > end.Run {
		r = nil
	}
	if r != nil {
		p.learn(r, end.Reason, now)
		p.endRun(r, end.Reason, end.Checkpoint, now)
	}
	switch end.Reason {
	case work.EndDone:
		p.taskSucceeded(t, now, wall)
	case work.EndFailed:
		p.taskFailed(h, t, end.Run, now, wall)
	}
}

// taskSucceeded notes a task's success. One end of a gang stands for all of it.
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
			p.taskDone(member, now, wall)
		}
	}
	if !t.step.spec.Gang {
		// A copy of it, or a run that an earlier one was thought to have lapsed
		// for, would only repeat the work.
		p.stopRuns(t, "another run of it is done")
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
	h.health.failed(t.name.Job, now)
	j := t.job()
	if t.step.spec.LongRunning || t.done {
		return
	}
	if slices.Contains(t.failed, number) {
		return
	}
	failed := []*task{t}
	if t.step.spec.Gang {
		// Members of one run that fail together are one failure of the gang.
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

// endRun takes a run that has certainly ended off its host.
func (p *Pool) endRun(r *run, how work.EndReason, saved string, now time.Time) {
	h, t := r.host, r.task
	if h.runs[t.name] != r {
		return
	}
	h.take(r)
	if r.state == stopping {
		p.stops--
	}
	if r.suspect && t.job().state == "" {
		// It was stored as a crash in advance.
		t.job().version++
	}
	if t.run != r {
		t.copies = slices.DeleteFunc(t.copies, func(c *run) bool { return c == r })
		return
	}
	t.run = nil
	if saved != "" {
		t.saved = saved
		t.job().version++
	}
	t.away = now
	if !t.done {
		t.step.waiting++
	}
	if t.step.spec.Gang && how != work.EndDone {
		p.breakGang(t.step)
	}
}

// breakGang stops the members of a gang of which one ended: the others would
// wait for it in vain.
func (p *Pool) breakGang(s *step) {
	for _, member := range s.tasks {
		if member.run != nil {
			p.stop(member.run, "a member of its gang ended")
		}
	}
}

// applyRunning takes over what runs on a host and returns the runs shown.
func (p *Pool) applyRunning(h *host, reports []worker.Report, now, wall time.Time) map[work.TaskName]int {
	shown := make(map[work.TaskName]int, len(reports))
	for _, report := range reports {
		shown[report.Task] = report.Run
		r := h.runs[report.Task]
		if r == nil || r.number != report.Run {
			r = p.adopt(h, report, now, wall)
		}
		if r != nil {
			r.report(report, now)
		}
	}
	return shown
}

func (r *run) report(report worker.Report, now time.Time) {
	if r.state == starting {
		r.state, r.begun, r.moved = running, now, now
	}
	if report.Percent != r.percent || r.movedClock == 0 {
		r.percent, r.moved, r.movedClock = report.Percent, now, r.host.toldClock
	}
	r.load = report.Load
	r.heardAgain()
	if report.Checkpoint != "" {
		r.task.saved = report.Checkpoint
	}
	if r.task.step.spec.LongRunning && r.percent >= fullPercent {
		r.task.away = time.Time{}
		r.cleared(now)
		if h := &r.host.health; h.proving && r.asked.After(h.until) {
			// A lasting task that has come to work there is proof enough.
			h.well()
		}
	}
}

// fullPercent is the percent of a lasting task that serves its users.
const fullPercent = 100

// adopt takes over a run that an earlier holder started. One that nobody wants
// any more is stopped.
func (p *Pool) adopt(h *host, report worker.Report, now, wall time.Time) *run {
	if r := h.runs[report.Task]; r != nil {
		// A run of ours and another one can't both be there: the higher one
		// has replaced the lower, which the host's list of ends will say.
		return nil
	}
	j := p.jobs[report.Task.Job]
	if j == nil {
		// Its job was never stored, or ended long ago. The hold would keep it
		// alive for ever, so it is stopped as a run of no task of ours.
		j = strayJob(report.Task)
	}
	p.addDueOccurrences(j, now, wall)
	t := j.find(report.Task)
	if t == nil {
		t = strayTask(j, report.Task)
	}
	r := &run{
		task: t, number: report.Run, host: h, state: running, asked: now, begun: now, moved: now,
		percent: report.Percent, pace: fullPercent,
	}
	r.suspect = t.acquit(report.Run) || len(t.crashed) > 0
	h.put(r)
	t.lastRun = max(t.lastRun, report.Run)
	j.begun = true
	switch {
	case t.done || j.state != "":
		p.stop(r, "nobody wants it")
	case t.run != nil && t.run.number >= report.Run:
		p.stop(r, "a later run is elsewhere")
	case t.run != nil:
		p.stop(t.run, "a later run is elsewhere")
		t.run = r
	default:
		t.run = r
		t.step.waiting--
	}
	return r
}

// strayJob and strayTask stand in for what no job of ours has any more.
func strayJob(name work.TaskName) *job {
	return &job{
		record: &work.Record{ID: name.Job},
		state:  work.Cancelled, doneSet: map[int]bool{}, restored: map[taskKey]work.TaskProgress{},
	}
}

// strayTask is a task whose occurrence is over, as after a success of another
// copy, or one that its job never had. What the latter takes isn't known.
func strayTask(j *job, name work.TaskName) *task {
	s := &step{of: &occurrence{job: j, number: name.Occurrence}, onHost: make(map[*host]int)}
	if steps := j.record.Spec.Steps; name.Step < len(steps) {
		s.spec = &steps[name.Step]
	} else {
		s.spec, s.unknown = &work.Step{Count: 1}, true
	}
	return &task{name: name, step: s, done: true}
}

// settle looks at the runs that an answer doesn't show, given a hold sent at
// sent.
func (p *Pool) settle(h *host, shown map[work.TaskName]int, sent, now time.Time) {
	for name, r := range h.runs {
		if number, ok := shown[name]; ok && number == r.number {
			continue
		}
		switch r.state {
		case starting:
			// Its order may be on its way; StartOutcome will tell. One that was
			// given up without an answer is stopped, to be certain that it doesn't
			// begin later.
			if !r.unanswered.IsZero() && sent.After(r.unanswered) {
				p.stop(r, "its start was not answered")
			}
		case running:
			if sent.After(r.begun) {
				// Neither runs nor has ended: stop it to be certain.
				p.stop(r, "it vanished from its host")
			}
		case stopping:
			// Once a stop was answered, the run can't begin there any more,
			// and an answer to a later hold shows what was there.
			if !r.stopTaken.IsZero() && sent.After(r.stopTaken) {
				p.endRun(r, work.EndStopped, "", now)
			}
		}
	}
}
