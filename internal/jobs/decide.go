package jobs

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
)

// maxPoolTasks limits the placed tasks of one pool, so that its state stays below
// maxStateBytes at about 300 bytes per task.
const maxPoolTasks = maxStateBytes / 300

// ageInterval is how often the ages of jobs with a deadline are written if nothing
// else is. A failover loses at most this much of an age.
const ageInterval = time.Minute

// planPool plans one pool and applies the plan to the pool's state in memory. It
// writes nothing to the store and calls no worker.
func (m *Manager) planPool(v *view, p *poolState) {
	m.syncJobs(v, p)
	m.removeUnsent(v, p)
	input := m.input(v, p)
	plan := placement.MakePlan(input)
	for _, action := range plan.Actions {
		p.applyAction(action)
		m.Metrics.disruptions.WithLabelValues(string(action.Verb)).Inc()
		m.Log.Debug().Str("task", action.Task).Str("verb", string(action.Verb)).Str("reason", action.Reason).Msg("Task action planned.")
	}
	for _, start := range plan.Starts {
		if len(p.Tasks) >= maxPoolTasks {
			plan.Waiting[start.Job] = fmt.Sprintf("its pool has %d tasks placed, as many as are kept", len(p.Tasks))
			continue
		}
		m.placeTask(v, p, start)
	}
	m.assertQuotas(v, p, input, plan)
	if !maps.Equal(p.Parked, plan.Parked) {
		p.dirty = true
		m.logParked(p, plan)
	}
	p.Waiting, p.Parked = plan.Waiting, plan.Parked
}

func (m *Manager) logParked(p *poolState, plan placement.Plan) {
	for _, job := range slices.Sorted(maps.Keys(plan.Parked)) {
		if p.Parked[job] != plan.Parked[job] {
			m.Log.Warn().Str("job", job).Str("reason", plan.Parked[job]).Msg("Job parked.")
		}
	}
	for _, job := range slices.Sorted(maps.Keys(p.Parked)) {
		if plan.Parked[job] == "" {
			m.Log.Info().Str("job", job).Msg("Job unparked.")
		}
	}
}

// syncJobs adds new jobs, resets the failures of updated ones, and removes jobs
// that no longer exist once none of their tasks is placed.
func (m *Manager) syncJobs(v *view, p *poolState) {
	for name, spec := range v.jobs {
		if spec.Pool != p.Pool {
			continue
		}
		revision := v.snapshot.Records[record.ID{Kind: record.KindJob, Name: name}].Revision
		job := p.Jobs[name]
		if job == nil {
			job = &JobProgress{}
			p.Jobs[name] = job
		}
		if spec.DeadlineSeconds > 0 && time.Since(p.agesUpdatedAt) > ageInterval {
			p.dirty = true
		}
		if job.Revision != revision {
			job.Revision = revision
			p.Failures.ResetJob(name)
			p.dirty = true
		}
	}
	placed := make(map[string]bool)
	for _, task := range p.Tasks {
		placed[task.Job] = true
	}
	for name := range p.Jobs {
		if spec := v.jobs[name]; (spec == nil || spec.Pool != p.Pool) && !placed[name] {
			delete(p.Jobs, name)
			p.dirty = true
		}
	}
	keepJob := func(name string) bool { return p.Jobs[name] != nil }
	p.Estimator.Forget(keepJob)
	p.Failures.Forget(keepJob, func(string) bool { return true })
}

// removeUnsent removes tasks that were never sent to a worker and are no longer
// wanted or can't be started. Cancelling many jobs thus needs no calls for tasks
// that haven't started.
func (m *Manager) removeUnsent(v *view, p *poolState) {
	ready := make(map[string]bool)
	for _, worker := range v.workers[p.Pool] {
		ready[worker.Name] = worker.Ready
	}
	for _, task := range p.sortedTasks() {
		seen := p.observed[task.ID]
		if seen.sent || !seen.placedHere || m.callPending[task.ID] {
			continue
		}
		if !ready[task.Host] || task.Termination != "" || stopReason(v, p, task) != "" {
			m.removeTask(p, task, "not sent")
		}
	}
}

func stopReason(v *view, p *poolState, task *Task) string {
	spec := v.jobs[task.Job]
	switch {
	case spec == nil:
		return "its job's record is gone"
	case spec.Cancelled:
		return "its job was cancelled"
	case spec.Pool != p.Pool:
		return "its job moved to another pool"
	case task.Index >= taskCount(spec):
		return "its job has fewer tasks now"
	}
	return ""
}

func (m *Manager) input(v *view, p *poolState) placement.Input {
	input := placement.Input{Quotas: v.quotas}
	for _, worker := range v.workers[p.Pool] {
		m.applyQuarantine(p, &worker)
		input.Workers = append(input.Workers, worker)
	}
	inPool := make(map[string]bool)
	for _, worker := range input.Workers {
		inPool[worker.Name] = true
	}
	for _, task := range p.sortedTasks() {
		seen := p.observed[task.ID]
		input.Tasks = append(input.Tasks, placement.Task{
			ID: task.ID, Job: task.Job, Team: task.Team, Host: task.Host, Index: task.Index, Resources: task.Resources,
			Priority: task.Priority, RanFor: seen.ranFor, Throttled: task.Throttled,
			Terminating: task.Termination != "", StopReason: stopReason(v, p, task),
		})
		if last := &input.Tasks[len(input.Tasks)-1]; !inPool[task.Host] && last.StopReason == "" && v.inJobPool(task.Host) {
			last.StopReason = "its host left the pool"
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.Jobs)) {
		if spec := v.jobs[name]; spec != nil && spec.Pool == p.Pool && !spec.Cancelled {
			job := m.jobInput(p, name, spec)
			if len(job.Pending) > 0 {
				input.Jobs = append(input.Jobs, job)
			}
		}
	}
	if len(input.Jobs) > 0 {
		input.UsedElsewhere = m.usedElsewhere(p)
	}
	return input
}

// inJobPool reports whether the host is in a pool that runs jobs. It is false for a
// host that is only missing from the host list.
func (v *view) inJobPool(host string) bool {
	for _, workers := range v.workers {
		if slices.ContainsFunc(workers, func(w placement.Worker) bool { return w.Name == host }) {
			return true
		}
	}
	return false
}

func (m *Manager) jobInput(p *poolState, name string, spec *record.Job) placement.Job {
	size, run := p.Estimator.Estimate(name, spec)
	job := placement.Job{
		Name: name, Spec: spec, Pending: p.pending(name, spec), Resources: size, RunTime: run,
		MinResources: p.Estimator.MinResources(name, spec),
		Age:          time.Duration(p.Jobs[name].AgeSeconds)*time.Second + time.Since(p.agesUpdatedAt),
		FaultReason:  p.Failures.FaultyJobs[name], AvoidWorkers: make(map[string]bool),
	}
	for _, host := range p.Failures.FailedOn[name] {
		job.AvoidWorkers[host] = true
	}
	return job
}

// applyQuarantine marks a quarantined worker and allows a probe once the probe
// delay has passed. The delay counts from when this process first saw the
// quarantine, so a failover can only lengthen it.
func (m *Manager) applyQuarantine(p *poolState, worker *placement.Worker) {
	quarantined, probeAfter := p.Failures.Quarantined(worker.Name)
	if !quarantined {
		delete(m.probedAt, worker.Name)
		return
	}
	if m.probedAt[worker.Name].IsZero() {
		m.probedAt[worker.Name] = time.Now()
		m.Log.Warn().Str("host", worker.Name).Msg("Worker quarantined: tasks of several jobs failed on it without a success.")
	}
	worker.QuarantineReason = "it failed every task of several jobs"
	worker.Probe = time.Since(m.probedAt[worker.Name]) >= probeAfter
}

// usedElsewhere sums by team the resources of tasks placed in other pools.
func (m *Manager) usedElsewhere(p *poolState) map[string]record.Resources {
	used := make(map[string]record.Resources)
	for _, other := range m.pools {
		if other == p {
			continue
		}
		for _, task := range other.Tasks {
			used[task.Team] = placement.Add(used[task.Team], task.Resources)
		}
	}
	return used
}

func (p *poolState) applyAction(action placement.Action) {
	task := p.Tasks[action.Task]
	switch action.Verb {
	case placement.Checkpoint, placement.Stop:
		task.Termination = action.Verb
	case placement.Throttle, placement.Unthrottle:
		task.Throttled = action.Verb == placement.Throttle
	}
	p.dirty = true
}

func (m *Manager) placeTask(v *view, p *poolState, start placement.Start) {
	spec := v.jobs[start.Job]
	task := &Task{
		ID:  fmt.Sprintf("%s/%d/%s", start.Job, start.Index, uuid.NewString()),
		Job: start.Job, Index: start.Index, Team: spec.Team, Priority: spec.Priority,
		Host: start.Host, Resources: start.Resources, WaitFor: start.WaitFor,
		ResumeOf: p.Jobs[start.Job].Checkpoints[start.Index],
	}
	for _, other := range p.Tasks {
		unique := m.Invariant.Assert(invariant.TaskPlacedOnce, other.Job != task.Job || other.Index != task.Index, func() string {
			return fmt.Sprintf("task %d of job %s would be placed again while %s stands", task.Index, task.Job, other.ID)
		})
		if !unique {
			return
		}
	}
	p.Tasks[task.ID] = task
	p.observed[task.ID] = &observedTask{placedHere: true}
	if _, quarantined := m.probedAt[start.Host]; quarantined {
		m.probedAt[start.Host] = time.Now()
		p.Failures.ProbeStarted(start.Host)
	}
	p.dirty = true
}

// assertQuotas asserts that the tasks this plan starts stay within each team's quota.
func (m *Manager) assertQuotas(v *view, p *poolState, input placement.Input, plan placement.Plan) {
	started := make(map[string]bool)
	for _, start := range plan.Starts {
		started[v.jobs[start.Job].Team] = true
	}
	for team := range started {
		quota, limited := v.quotas[team]
		if !limited {
			continue
		}
		used := input.UsedElsewhere[team]
		for _, task := range p.Tasks {
			if task.Team == team {
				used = placement.Add(used, task.Resources)
			}
		}
		m.Invariant.Assert(invariant.QuotaRespected, placement.Fits(used, quota), func() string {
			return fmt.Sprintf("team %s would hold %s of %s", team, placement.FormatResources(used), placement.FormatResources(quota))
		})
	}
}
