package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/work"
)

// enqueue queues fn to run in the pool's goroutine. It returns false when the
// manager has stopped or ctx ends first.
func (m *Manager) enqueue(ctx context.Context, fn func()) bool {
	return m.enqueuePart(ctx, partCalls, fn)
}

// enqueuePart is enqueue for a function whose time is counted under part p.
func (m *Manager) enqueuePart(ctx context.Context, p part, fn func()) bool {
	select {
	case m.messages <- message{p, fn}:
		return true
	case <-m.stopped:
		return false
	case <-ctx.Done():
		return false
	}
}

// message is a function to run in the pool's goroutine.
type message struct {
	part part
	run  func()
}

// query runs fn in the pool's goroutine and returns its result. ok is false when
// the manager has stopped or ctx ends first.
func query[T any](ctx context.Context, m *Manager, fn func() T) (result T, ok bool) {
	reply := make(chan T, 1)
	if !m.enqueue(ctx, func() { reply <- fn() }) {
		return result, false
	}
	select {
	case result = <-reply:
		return result, true
	case <-m.stopped:
		return result, false
	case <-ctx.Done():
		return result, false
	}
}

// visibleState is the state of a job that clients may see.
type visibleState struct {
	state work.State
	known bool
}

// JobState returns the state of a job that clients may see; known is false when
// the pool has no such job of the organisation that asks. ok is false when the manager has stopped or ctx ends
// first.
func (m *Manager) JobState(ctx context.Context, job work.JobRef) (state work.State, known, ok bool) {
	result, ok := query(ctx, m, func() (s visibleState) {
		if m.pool.Owned(job.ID, job.Organisation) {
			s.state, s.known = m.pool.VisibleState(job.ID)
		}
		return s
	})
	return result.state, result.known, ok
}

// WaitingJobs counts the accepted jobs of a queue of which no task has started.
// ok is false when the manager has stopped or ctx ends first.
func (m *Manager) WaitingJobs(ctx context.Context, queue string) (count int, ok bool) {
	return query(ctx, m, func() int { return m.pool.WaitingJobs(queue) })
}

// Load returns the pool's load and marks the hosts in due as due for maintenance.
// The second result is false when the manager has stopped or ctx ends first.
func (m *Manager) Load(ctx context.Context, due []string) (hostmanager.Load, bool) {
	return query(ctx, m, func() hostmanager.Load {
		now := time.Now()
		m.pool.MarkMaintenanceDue(due, now)
		return m.pool.Load(now)
	})
}
