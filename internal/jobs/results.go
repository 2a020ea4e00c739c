package jobs

import (
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
)

const (
	// retryDelay is the time before the next call for a task after a failed one.
	retryDelay = time.Second
	// maxMissedReports is the number of report intervals for which a started
	// task may be missing from its worker's lagging reports before it is stopped
	// to make sure that it doesn't run.
	maxMissedReports = 4
)

// applyResults applies the call outcomes and reports received from workers since
// the last reconcile.
func (m *Manager) applyResults(v *view) {
	for _, o := range v.outcomes {
		delete(m.callPending, o.task)
		p := m.pools[o.pool]
		if p == nil || p.Tasks[o.task] == nil {
			continue
		}
		p.updated = true
		m.applyOutcome(p, p.Tasks[o.task], o)
	}
	if len(v.reportsResults) == 0 && len(m.unreachable) == 0 {
		return
	}
	reported := make(map[string]map[string]fleet.TaskReport, len(v.reportsResults))
	for host, r := range v.reportsResults {
		if r.err == nil {
			reported[host] = byID(r.reports)
		}
	}
	for _, p := range m.pools {
		if !p.hasTaskOn(func(host string) bool { return reported[host] != nil || m.leasesExpired(host) }) {
			continue
		}
		p.updated = true
		for _, task := range p.sortedTasks() {
			reports, read := reported[task.Host]
			switch {
			case read:
				m.applyReport(v, p, task, reports)
			case m.leasesExpired(task.Host):
				m.removeTask(p, task, "lost")
			}
		}
	}
}

// hasTaskOn reports whether the pool has a task on a host that matches.
func (p *poolState) hasTaskOn(matches func(host string) bool) bool {
	for _, task := range p.Tasks {
		if matches(task.Host) {
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

func (m *Manager) applyOutcome(p *poolState, task *Task, o outcome) {
	seen := p.observed[task.ID]
	state, ended := taskEnded(o.err)
	if o.err != nil && !ended {
		seen.notBefore = time.Now().Add(retryDelay)
	}
	if ended && state == fleet.TaskFinished {
		// Don't wait for the report with its usage: it may be lost in a reboot of
		// the host, and the task would then run again.
		p.recordDone(task)
		m.removeTask(p, task, "finished")
		return
	}
	switch o.verb {
	case verbStart:
		m.applyStartOutcome(p, task, o, state, ended)
	case verbStop:
		if o.err == nil || ended {
			m.removeTask(p, task, "stopped")
		}
	case verbCheckpoint:
		switch {
		case o.err == nil, ended && state == fleet.TaskCheckpointed:
			p.recordCheckpoint(task)
			m.removeTask(p, task, "checkpointed")
		case !ended, state == fleet.TaskStopped:
			// The checkpoint timed out, did not reach the worker, or the task isn't
			// running. Its Start may still be in transit: only a Stop, which the
			// worker records, makes sure that the task never runs.
			task.Termination = placement.Stop
			seen.notBefore = time.Time{}
		}
	case verbThrottle, verbUnthrottle:
		if o.err == nil || ended {
			seen.throttled = o.verb == verbThrottle
		}
	}
}

func (m *Manager) applyStartOutcome(p *poolState, task *Task, o outcome, state fleet.TaskState, ended bool) {
	seen := p.observed[task.ID]
	var unreachable *fleet.UnreachableError
	switch {
	case o.err == nil:
		m.Metrics.starts.Inc()
		seen.started, seen.startedAt, seen.throttled = true, time.Now(), o.throttled
	case ended && state == fleet.TaskFailed:
		// The next report contains the reason for the failure.
		seen.started, seen.startedAt = true, time.Now()
	case ended:
		m.removeTask(p, task, "stopped")
	case errors.As(o.err, &unreachable) && !unreachable.MaybeSent:
		seen.sent = o.sentBefore
	}
}

func (m *Manager) applyReport(v *view, p *poolState, task *Task, reports map[string]fleet.TaskReport) {
	seen := p.observed[task.ID]
	report, found := reports[task.ID]
	if !found {
		missing := seen.started && time.Since(seen.startedAt) > maxMissedReports*m.ReportInterval
		if missing && task.Termination == "" {
			task.Termination = placement.Stop
		}
		return
	}
	spec := v.jobs[task.Job]
	switch report.State {
	case fleet.TaskRunning:
		if !seen.started {
			seen.started, seen.startedAt = true, time.Now()
		}
		seen.ranFor = report.RanFor
		p.Estimator.ObserveRunning(task.Job, report.PeakUsage)
	case fleet.TaskFinished:
		p.recordFinished(task, spec, report)
		m.removeTask(p, task, "finished")
	case fleet.TaskFailed:
		p.recordFailed(task, spec, report)
		m.removeTask(p, task, "failed")
	case fleet.TaskCheckpointed:
		p.recordCheckpoint(task)
		m.removeTask(p, task, "checkpointed")
	case fleet.TaskStopped:
		m.removeTask(p, task, "stopped")
	}
}

func (p *poolState) recordFinished(task *Task, spec *record.Job, report fleet.TaskReport) {
	if spec != nil {
		p.Estimator.ObserveFinished(task.Job, spec, task.Resources, report.PeakUsage, report.RanFor)
	}
	p.recordDone(task)
}

func (p *poolState) recordDone(task *Task) {
	if job := p.Jobs[task.Job]; job != nil {
		job.Done = job.Done.With(task.Index)
		delete(job.Checkpoints, task.Index)
	}
	p.Failures.RecordSuccess(task.Job, task.Host)
}

func (p *poolState) recordFailed(task *Task, spec *record.Job, report fleet.TaskReport) {
	if report.Reason == fleet.ReasonOutOfMemory {
		p.Estimator.ObserveOutOfMemory(task.Job, spec, task.Resources)
		return
	}
	p.Failures.RecordFailure(task.Job, task.Host, report.Reason)
}

func (p *poolState) recordCheckpoint(task *Task) {
	job := p.Jobs[task.Job]
	if job == nil {
		return
	}
	if job.Checkpoints == nil {
		job.Checkpoints = make(map[int]string)
	}
	job.Checkpoints[task.Index] = task.ID
}

// removeTask removes a task that is certainly no longer running.
func (m *Manager) removeTask(p *poolState, task *Task, how string) {
	m.Metrics.ended.WithLabelValues(how).Inc()
	m.Log.Debug().Str("task", task.ID).Str("host", task.Host).Str("how", how).Msg("Task ended.")
	delete(p.Tasks, task.ID)
	delete(p.observed, task.ID)
	p.dirty = true
}
