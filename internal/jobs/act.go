package jobs

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/placement"
)

// act begins the calls that the state asks for: ends first, then throttles,
// then starts whose room is there. Each task has one call under way at most.
func (m *Manager) act(ctx context.Context, v *view, p *poolState) {
	now := time.Now()
	for _, task := range p.sortedTasks() {
		sight := p.tasks[task.ID]
		_, away := m.away[task.Host]
		if m.busy[task.ID] || away || now.Before(sight.notBefore) {
			continue
		}
		if next, due := p.nextCall(task); due {
			m.begin(ctx, v, p, task, next)
		}
	}
}

// startsDue reports whether any task is to be sent to its worker now.
func (p *poolState) startsDue(busy map[string]bool) bool {
	for _, task := range p.Tasks {
		if next, due := p.nextCall(task); due && next == verbStart && !busy[task.ID] {
			return true
		}
	}
	return false
}

// nextCall returns what a task's worker is to be called for now.
func (p *poolState) nextCall(task *Task) (verb, bool) {
	sight := p.tasks[task.ID]
	switch {
	case task.Termination == placement.Stop:
		return verbStop, true
	case task.Termination == placement.Checkpoint:
		return verbCheckpoint, true
	case !sight.started:
		return verbStart, p.roomMade(task)
	case task.Throttled && !sight.throttled:
		return verbThrottle, true
	case !task.Throttled && sight.throttled:
		return verbUnthrottle, true
	}
	return "", false
}

// roomMade reports whether every task that had to make room has: it has ended,
// or its worker has confirmed its throttle.
func (p *poolState) roomMade(task *Task) bool {
	for _, id := range task.WaitFor {
		earlier := p.Tasks[id]
		if earlier == nil {
			continue
		}
		if earlier.Termination != "" || (earlier.Throttled && !p.tasks[id].throttled) {
			return false
		}
	}
	return true
}

func (m *Manager) begin(ctx context.Context, v *view, p *poolState, task *Task, next verb) {
	sight := p.tasks[task.ID]
	sentBefore := sight.sent
	if next == verbStart {
		sight.sent = true
	}
	m.busy[task.ID] = true
	m.Log.Debug().Str("task", task.ID).Str("host", task.Host).Str("verb", string(next)).Msg("Worker called.")
	asked := *task
	command := []string(nil)
	if spec := v.jobs[task.Job]; spec != nil {
		command = spec.Command
	}
	m.call(ctx, func(ctx context.Context) {
		o := outcome{pool: p.Pool, task: asked.ID, verb: next, sentBefore: sentBefore, throttled: asked.Throttled}
		if m.Shard.Owned() {
			o.err = m.do(ctx, asked, next, command)
		} else {
			o.err = &fleet.UnreachableError{Op: string(next), Host: asked.Host, Cause: &NotHeldError{}}
		}
		m.mu.Lock()
		m.outcomes = append(m.outcomes, o)
		m.mu.Unlock()
		m.tell()
	})
}

// NotHeldError says that a call wasn't made because the shard was lost.
type NotHeldError struct{}

func (e *NotHeldError) Error() string { return "the shard isn't held any more" }

func (m *Manager) do(ctx context.Context, task Task, next verb, command []string) error {
	patience := callTimeout
	if next == verbCheckpoint {
		patience = m.CheckpointTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
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
