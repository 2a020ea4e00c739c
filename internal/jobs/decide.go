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

// maxPoolTasks bounds the placed tasks of one pool, so that its state stays
// below maxStateBytes at about 300 bytes a task.
const maxPoolTasks = maxStateBytes / 300

// ageInterval is how often the age of a job with a deadline is written when
// nothing else is: what a fail-over may forget of it.
const ageInterval = time.Minute

// decide plans one pool and works the plan into its state. Nothing outside is
// touched.
func (m *Manager) decide(v *view, p *poolState) {
	m.followJobs(v, p)
	m.dropUnsent(v, p)
	input := m.input(v, p)
	plan := placement.MakePlan(input)
	for _, act := range plan.Actions {
		p.tell(act)
		m.Metrics.disturbs.WithLabelValues(string(act.Verb)).Inc()
		m.Log.Debug().Str("task", act.Task).Str("verb", string(act.Verb)).Str("reason", act.Reason).Msg("Task told.")
	}
	for _, start := range plan.Starts {
		if len(p.Tasks) >= maxPoolTasks {
			plan.Waiting[start.Job] = fmt.Sprintf("its pool has %d tasks placed, as many as are kept", len(p.Tasks))
			continue
		}
		m.add(v, p, start)
	}
	m.holdQuotas(v, p, input, plan)
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
			m.Log.Info().Str("job", job).Msg("Job parked no longer.")
		}
	}
}

// followJobs takes up new jobs, lets amended ones try again, and forgets those
// that are gone once none of their tasks is left.
func (m *Manager) followJobs(v *view, p *poolState) {
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
		if spec.DeadlineSeconds > 0 && time.Since(p.agedAt) > ageInterval {
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
	known := func(name string) bool { return p.Jobs[name] != nil }
	p.Estimator.Forget(known)
	p.Failures.Forget(known, func(string) bool { return true })
}

// dropUnsent takes back tasks that were never sent and needn't or can't be: a
// wave of cancellations costs no call for work that hadn't begun.
func (m *Manager) dropUnsent(v *view, p *poolState) {
	ready := make(map[string]bool)
	for _, worker := range v.workers[p.Pool] {
		ready[worker.Name] = worker.Ready
	}
	for _, task := range p.sortedTasks() {
		sight := p.tasks[task.ID]
		if sight.sent || !sight.ownStart || m.busy[task.ID] {
			continue
		}
		if !ready[task.Host] || task.Termination != "" || unwanted(v, p, task) != "" {
			m.end(p, task, "not sent")
		}
	}
}

func unwanted(v *view, p *poolState, task *Task) string {
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
		m.judge(p, &worker)
		input.Workers = append(input.Workers, worker)
	}
	here := make(map[string]bool)
	for _, worker := range input.Workers {
		here[worker.Name] = true
	}
	for _, task := range p.sortedTasks() {
		sight := p.tasks[task.ID]
		input.Tasks = append(input.Tasks, placement.Task{
			ID: task.ID, Job: task.Job, Team: task.Team, Host: task.Host, Index: task.Index, Resources: task.Resources,
			Priority: task.Priority, RanFor: sight.ranFor, Throttled: task.Throttled,
			Terminating: task.Termination != "", StopReason: unwanted(v, p, task),
		})
		if last := &input.Tasks[len(input.Tasks)-1]; !here[task.Host] && last.StopReason == "" && v.listed(task.Host) {
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
		input.UsedElsewhere = m.heldElsewhere(p)
	}
	return input
}

// listed reports whether the host is known to be in some pool that takes jobs:
// one that is only missing from the list isn't.
func (v *view) listed(host string) bool {
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
		Age:          time.Duration(p.Jobs[name].AgeSeconds)*time.Second + time.Since(p.agedAt),
		FaultReason:  p.Failures.FaultyJobs[name], Avoid: make(map[string]bool),
	}
	for _, host := range p.Failures.FailedOn[name] {
		job.Avoid[host] = true
	}
	return job
}

// judge marks a worker that is in quarantine, and lets it prove itself when
// its time has come. The time counts from when this process first saw it: a
// fail-over only lengthens it.
func (m *Manager) judge(p *poolState, worker *placement.Worker) {
	quarantined, after := p.Failures.Quarantined(worker.Name)
	if !quarantined {
		delete(m.probed, worker.Name)
		return
	}
	if m.probed[worker.Name].IsZero() {
		m.probed[worker.Name] = time.Now()
		m.Log.Warn().Str("host", worker.Name).Msg("Worker quarantined: it failed every task of several jobs.")
	}
	worker.QuarantineReason = "it failed every task of several jobs"
	worker.Probe = time.Since(m.probed[worker.Name]) >= after
}

// heldElsewhere sums by team what is placed in the other pools.
func (m *Manager) heldElsewhere(p *poolState) map[string]record.Resources {
	held := make(map[string]record.Resources)
	for _, other := range m.pools {
		if other == p {
			continue
		}
		for _, task := range other.Tasks {
			held[task.Team] = placement.Add(held[task.Team], task.Resources)
		}
	}
	return held
}

func (p *poolState) tell(act placement.Action) {
	task := p.Tasks[act.Task]
	switch act.Verb {
	case placement.Checkpoint, placement.Stop:
		task.Termination = act.Verb
	case placement.Throttle, placement.Unthrottle:
		task.Throttled = act.Verb == placement.Throttle
	}
	p.dirty = true
}

func (m *Manager) add(v *view, p *poolState, start placement.Start) {
	spec := v.jobs[start.Job]
	task := &Task{
		ID:  fmt.Sprintf("%s/%d/%s", start.Job, start.Index, uuid.NewString()),
		Job: start.Job, Index: start.Index, Team: spec.Team, Priority: spec.Priority,
		Host: start.Host, Resources: start.Resources, WaitFor: start.WaitFor,
		ResumeOf: p.Jobs[start.Job].Checkpoints[start.Index],
	}
	for _, other := range p.Tasks {
		once := m.Invariant.Assert(invariant.TaskPlacedOnce, other.Job != task.Job || other.Index != task.Index, func() string {
			return fmt.Sprintf("task %d of job %s would be placed again while %s stands", task.Index, task.Job, other.ID)
		})
		if !once {
			return
		}
	}
	p.Tasks[task.ID] = task
	p.tasks[task.ID] = &taskSight{ownStart: true}
	if _, quarantined := m.probed[start.Host]; quarantined {
		m.probed[start.Host] = time.Now()
		p.Failures.ProbeStarted(start.Host)
	}
	p.dirty = true
}

// holdQuotas asserts that what this plan starts keeps each team's quota.
func (m *Manager) holdQuotas(v *view, p *poolState, input placement.Input, plan placement.Plan) {
	started := make(map[string]bool)
	for _, start := range plan.Starts {
		started[v.jobs[start.Job].Team] = true
	}
	for team := range started {
		quota, bounded := v.quotas[team]
		if !bounded {
			continue
		}
		held := input.UsedElsewhere[team]
		for _, task := range p.Tasks {
			if task.Team == team {
				held = placement.Add(held, task.Resources)
			}
		}
		m.Invariant.Assert(invariant.QuotaRespected, placement.Fits(held, quota), func() string {
			return fmt.Sprintf("team %s would hold %s of %s", team, placement.FormatResources(held), placement.FormatResources(quota))
		})
	}
}
