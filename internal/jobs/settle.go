package jobs

import (
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
)

const (
	// retryPause spaces calls about a task that failed.
	retryPause = time.Second
	// absentReadings is for how many readings a started task may be missing
	// from its worker's lagging reports before the worker is asked to make
	// sure that it doesn't run.
	absentReadings = 4
)

// settle works in what came back from workers since the last round.
func (m *Manager) settle(v *view) {
	for _, o := range v.outcomes {
		delete(m.busy, o.task)
		p := m.pools[o.pool]
		if p == nil || p.Tasks[o.task] == nil {
			continue
		}
		p.touched = true
		m.settleCall(p, p.Tasks[o.task], o)
	}
	if len(v.readings) == 0 && len(m.away) == 0 {
		return
	}
	reported := make(map[string]map[string]fleet.TaskReport, len(v.readings))
	for host, r := range v.readings {
		if r.err == nil {
			reported[host] = byID(r.reports)
		}
	}
	for _, p := range m.pools {
		if !p.concerned(func(host string) bool { return reported[host] != nil || m.lost(host) }) {
			continue
		}
		p.touched = true
		for _, task := range p.sortedTasks() {
			reports, read := reported[task.Host]
			switch {
			case read:
				m.settleReport(v, p, task, reports)
			case m.lost(task.Host):
				m.end(p, task, "lost")
			}
		}
	}
}

// concerned reports whether the pool has tasks on any of the hosts.
func (p *poolState) concerned(is func(host string) bool) bool {
	for _, task := range p.Tasks {
		if is(task.Host) {
			return true
		}
	}
	return false
}

func byID(reports []fleet.TaskReport) map[string]fleet.TaskReport {
	found := make(map[string]fleet.TaskReport, len(reports))
	for _, report := range reports {
		found[report.ID] = report
	}
	return found
}

func (m *Manager) settleCall(p *poolState, task *Task, o outcome) {
	sight := p.tasks[task.ID]
	state, ended := taskEnded(o.err)
	if o.err != nil && !ended {
		sight.notBefore = time.Now().Add(retryPause)
	}
	if ended && state == fleet.TaskFinished {
		// The report that tells what it used may be lost with its host's next
		// reboot; the task would then run again.
		p.done(task)
		m.end(p, task, "finished")
		return
	}
	switch o.verb {
	case verbStart:
		m.settleStart(p, task, o, state, ended)
	case verbStop:
		if o.err == nil || ended {
			m.end(p, task, "stopped")
		}
	case verbCheckpoint:
		switch {
		case o.err == nil, ended && state == fleet.TaskCheckpointed:
			p.saved(task)
			m.end(p, task, "checkpointed")
		case !ended, state == fleet.TaskStopped:
			// It took too long, wasn't heard, or doesn't run. It may not run
			// because its Start is still on its way: only a Stop, which the
			// worker remembers, makes sure that it never will.
			task.Termination = placement.Stop
			sight.notBefore = time.Time{}
		}
	case verbThrottle, verbUnthrottle:
		if o.err == nil || ended {
			sight.throttled = o.verb == verbThrottle
		}
	}
}

func (m *Manager) settleStart(p *poolState, task *Task, o outcome, state fleet.TaskState, ended bool) {
	sight := p.tasks[task.ID]
	var unreachable *fleet.UnreachableError
	switch {
	case o.err == nil:
		m.Metrics.starts.Inc()
		sight.started, sight.startedAt, sight.throttled = true, time.Now(), o.throttled
	case ended && state == fleet.TaskFailed:
		// The next report tells how it ended.
		sight.started, sight.startedAt = true, time.Now()
	case ended:
		m.end(p, task, "stopped")
	case errors.As(o.err, &unreachable) && !unreachable.Sent:
		sight.sent = o.sentBefore
	}
}

func (m *Manager) settleReport(v *view, p *poolState, task *Task, reports map[string]fleet.TaskReport) {
	sight := p.tasks[task.ID]
	report, found := reports[task.ID]
	if !found {
		absent := sight.started && time.Since(sight.startedAt) > absentReadings*m.ReportInterval
		if absent && task.Termination == "" {
			task.Termination = placement.Stop
		}
		return
	}
	spec := v.jobs[task.Job]
	switch report.State {
	case fleet.TaskRunning:
		if !sight.started {
			sight.started, sight.startedAt = true, time.Now()
		}
		sight.ranFor = report.RanFor
		p.Estimator.ObserveRunning(task.Job, report.PeakUsage)
	case fleet.TaskFinished:
		p.finished(task, spec, report)
		m.end(p, task, "finished")
	case fleet.TaskFailed:
		p.failed(task, spec, report)
		m.end(p, task, "failed")
	case fleet.TaskCheckpointed:
		p.saved(task)
		m.end(p, task, "checkpointed")
	case fleet.TaskStopped:
		m.end(p, task, "stopped")
	}
}

func (p *poolState) finished(task *Task, spec *record.Job, report fleet.TaskReport) {
	if spec != nil {
		p.Estimator.ObserveFinished(task.Job, spec, task.Resources, report.PeakUsage, report.RanFor)
	}
	p.done(task)
}

func (p *poolState) done(task *Task) {
	if job := p.Jobs[task.Job]; job != nil {
		job.Done = job.Done.With(task.Index)
		delete(job.Checkpoints, task.Index)
	}
	p.Failures.RecordSuccess(task.Job, task.Host)
}

func (p *poolState) failed(task *Task, spec *record.Job, report fleet.TaskReport) {
	if report.Reason == fleet.ReasonOutOfMemory {
		p.Estimator.ObserveOutOfMemory(task.Job, spec, task.Resources)
		return
	}
	p.Failures.RecordFailure(task.Job, task.Host, report.Reason)
}

func (p *poolState) saved(task *Task) {
	job := p.Jobs[task.Job]
	if job == nil {
		return
	}
	if job.Checkpoints == nil {
		job.Checkpoints = make(map[int]string)
	}
	job.Checkpoints[task.Index] = task.ID
}

// end removes a task that certainly doesn't run any more.
func (m *Manager) end(p *poolState, task *Task, how string) {
	m.Metrics.ended.WithLabelValues(how).Inc()
	m.Log.Debug().Str("task", task.ID).Str("host", task.Host).Str("how", how).Msg("Task ended.")
	delete(p.Tasks, task.ID)
	delete(p.tasks, task.ID)
	p.dirty = true
}
