package poolmanager_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/worker"
)

// cutOff is a holder's client to the hosts, of which some can't be reached.
type cutOff struct {
	worker.Client

	mu   sync.Mutex
	away map[string]bool
}

func (c *cutOff) cut(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.away = map[string]bool{host: true}
}

// reaches waits for the timeout of an order if the host can't be reached.
func (c *cutOff) reaches(ctx context.Context, to worker.Target) bool {
	c.mu.Lock()
	away := c.away[to.ID]
	c.mu.Unlock()
	if away {
		pause.For(ctx, worker.OrderTimeout)
	}
	return !away
}

func (c *cutOff) Heartbeat(ctx context.Context, to worker.Target, o worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	if !c.reaches(ctx, to) {
		return worker.HeartbeatReply{}, worker.Unknown
	}
	return c.Client.Heartbeat(ctx, to, o)
}

func (c *cutOff) Start(ctx context.Context, to worker.Target, o worker.Start) worker.Outcome {
	if !c.reaches(ctx, to) {
		return worker.Unknown
	}
	return c.Client.Start(ctx, to, o)
}

func (c *cutOff) Stop(ctx context.Context, to worker.Target, o worker.Stop) worker.Outcome {
	if !c.reaches(ctx, to) {
		return worker.Unknown
	}
	return c.Client.Stop(ctx, to, o)
}

// closingStore carries out one more commit, whose response is late, and then refuses all.
type closingStore struct {
	lateStore
	closing, closed bool
}

func (s *closingStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	s.mu.Lock()
	refused := s.closed
	s.closed = s.closing
	s.mu.Unlock()
	if refused {
		return 0, &store.UnavailableError{Op: "commit", Cause: context.DeadlineExceeded}
	}
	return s.lateStore.Commit(ctx, txn)
}

// close closes the store after one more commit, and waits for that one.
func (s *closingStore) close(delay time.Duration) {
	s.mu.Lock()
	s.delay, s.closing = delay, true
	before := s.doneAt
	s.mu.Unlock()
	for s.lastCommit().Equal(before) {
		time.Sleep(time.Millisecond)
	}
}

// Guards against two runs of a task: its host can only be reached by a holder that has lost
// the store, whose last commit was answered late, and the other one only by its successor.
func TestTaskRunsOnceBesideALateConfirmedHolder(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		s, reached := &closingStore{lateStore: lateStore{Store: e.store}}, &cutOff{Client: e.workers}
		e.through, e.calls = s, reached
		old := e.takeOver(true)
		id := e.submit(old, longRunningStep(1))
		time.Sleep(2 * time.Second)
		host := e.hostOf(id)
		for _, other := range e.workers.IDs(pool) {
			if other != host {
				reached.cut(other)
			}
		}
		s.close(1400 * time.Millisecond)
		successor := &cutOff{Client: e.workers}
		successor.cut(host)
		e.through, e.calls = nil, successor
		m := e.startTakeover(false)
		time.Sleep(20 * time.Second)
		old.kill()
		m.kill()
		must.EqOp(e.t, 1, e.workers.Checker.Running(id))
	})
}
