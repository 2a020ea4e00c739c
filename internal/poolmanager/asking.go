package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/work"
)

// do runs act in the pool's goroutine. It returns false when the keeper has
// ended.
func (k *Manager) do(ctx context.Context, act func()) bool { return k.doPart(ctx, partCalls, act) }

// doPart is do for something that counts as a part of the goroutine's work.
func (k *Manager) doPart(ctx context.Context, p part, act func()) bool {
	select {
	case k.post <- message{p, act}:
		return true
	case <-k.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// message is something to do in the pool's goroutine.
type message struct {
	part part
	act  func()
}

// query runs ask in the pool's goroutine and returns what it says. ok is false
// when the keeper has ended or ctx ends first.
func query[T any](ctx context.Context, k *Manager, ask func() T) (answer T, ok bool) {
	reply := make(chan T, 1)
	if !k.do(ctx, func() { reply <- ask() }) {
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-k.ended:
		return answer, false
	case <-ctx.Done():
		return answer, false
	}
}

// shown is what a client may know of a job.
type shown struct {
	state work.State
	known bool
}

// JobState tells what a client may know of a job.
func (k *Manager) JobState(ctx context.Context, id string) (state work.State, known, ok bool) {
	answer, ok := query(ctx, k, func() (s shown) {
		s.state, s.known = k.pool.VisibleState(id)
		return s
	})
	return answer.state, answer.known, ok
}

// WaitingJobs counts the accepted jobs of a queue of which nothing has started.
func (k *Manager) WaitingJobs(ctx context.Context, queue string) (count int, ok bool) {
	return query(ctx, k, func() int { return k.pool.WaitingJobs(queue) })
}

// Load tells how busy the pool is. due are hosts that will go for maintenance.
func (k *Manager) Load(ctx context.Context, due []string) (hostmanager.Load, bool) {
	return query(ctx, k, func() hostmanager.Load {
		now := time.Now()
		k.pool.MarkMaintenanceDue(due, now)
		return k.pool.Load(now)
	})
}
