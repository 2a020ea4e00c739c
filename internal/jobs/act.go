package jobs

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/placement"
)

// startCalls starts the calls to workers that the pool's state requires: stops,
// checkpoints, throttles, and starts whose prerequisites are done. Each task has at
// most one call in progress.
func (m *Manager) startCalls(ctx context.Context, v *view, p *poolState) {
	now := time.Now()
	for _, task := range p.sortedTasks() {
		seen := p.observed[task.ID]
		_, unreachable := m.unreachable[task.Host]
		if m.callPending[task.ID] || unreachable || now.Before(seen.notBefore) {
			continue
		}
		if next, due := p.nextCall(task); due {
			m.startCall(ctx, v, p, task, next)
		}
	}
}

// hasStartDue reports whether any task is to be sent to its worker now.
func (p *poolState) hasStartDue(busy map[string]bool) bool {
	for _, task := range p.Tasks {
		if next, due := p.nextCall(task); due && next == verbStart && !busy[task.ID] {
			return true
		}
	}
	return false
}

// nextCall returns the call that a task's worker needs now, and whether it is due.
func (p *poolState) nextCall(task *Task) (verb, bool) {
	seen := p.observed[task.ID]
	switch {
	case task.Termination == placement.Stop:
		return verbStop, true
	case task.Termination == placement.Checkpoint:
		return verbCheckpoint, true
	case !seen.started:
		return verbStart, p.prerequisitesDone(task)
	case task.Throttled && !seen.throttled:
		return verbThrottle, true
	case !task.Throttled && seen.throttled:
		return verbUnthrottle, true
	}
	return "", false
}

// prerequisitesDone reports whether every task in WaitFor has ended or its worker
// has confirmed that it is throttled.
func (p *poolState) prerequisitesDone(task *Task) bool {
	for _, id := range task.WaitFor {
		earlier := p.Tasks[id]
		if earlier == nil {
			continue
		}
		if earlier.Termination != "" || (earlier.Throttled && !p.observed[id].throttled) {
			return false
		}
	}
	return true
}

func (m *Manager) startCall(ctx context.Context, v *view, p *poolState, task *Task, next verb) {
	seen := p.observed[task.ID]
	sentBefore := seen.sent
	if next == verbStart {
		seen.sent = true
	}
	m.callPending[task.ID] = true
	m.Log.Debug().Str("task", task.ID).Str("host", task.Host).Str("verb", string(next)).Msg("Calling worker.")
	taskCopy := *task
	command := []string(nil)
	if spec := v.jobs[task.Job]; spec != nil {
		command = spec.Command
	}
	m.call(ctx, func(ctx context.Context) {
		o := outcome{pool: p.Pool, task: taskCopy.ID, verb: next, sentBefore: sentBefore, throttled: taskCopy.Throttled}
		if m.Shard.Owned() {
			o.err = m.callWorker(ctx, taskCopy, next, command)
		} else {
			o.err = &fleet.UnreachableError{Op: string(next), Host: taskCopy.Host, Cause: &NotOwnedError{}}
		}
		m.mu.Lock()
		m.outcomes = append(m.outcomes, o)
		m.mu.Unlock()
		m.notify()
	})
}

// NotOwnedError reports that a call wasn't made because this controller no longer
// owns the shard.
type NotOwnedError struct{}

func (e *NotOwnedError) Error() string { return "this controller no longer owns the shard" }

func (m *Manager) callWorker(ctx context.Context, task Task, next verb, command []string) error {
	timeout := callTimeout
	if next == verbCheckpoint {
		timeout = m.CheckpointTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	switch next {
	case verbStart:
		return m.Workers.Start(ctx, task.Host, fleet.Task{
			ID: task.ID, Job: task.Job, Index: task.Index, Allocated: task.Resources, Command: command,
			LeaseTTL: m.LeaseTTL, ResumeFrom: task.ResumeOf, Throttled: task.Throttled,
		})
	case verbStop:
		return m.Workers.Stop(ctx, task.Host, task.ID)
	case verbCheckpoint:
		return m.Workers.Checkpoint(ctx, task.Host, task.ID)
	}
	return m.Workers.Throttle(ctx, task.Host, task.ID, next == verbThrottle)
}
