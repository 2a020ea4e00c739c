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
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/worker"
)

// lateStore delays the responses to commits that it has carried out.
type lateStore struct {
	*memstore.Store

	mu    sync.Mutex
	delay time.Duration
	// doneAt is when the last commit was carried out, shownAt when the store last showed
	// the pool's head or carried out a commit.
	doneAt, shownAt time.Time
}

func (s *lateStore) Get(ctx context.Context, key string) (store.Entry, error) {
	entry, err := s.Store.Get(ctx, key)
	if err == nil {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.shownAt = time.Now()
	}
	return entry, err
}

func (s *lateStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	revision, err := s.Store.Commit(ctx, txn)
	s.mu.Lock()
	if err == nil {
		s.doneAt = time.Now()
		s.shownAt = s.doneAt
	}
	delay := s.delay
	s.mu.Unlock()
	pause.For(ctx, delay)
	return revision, err
}

// lastCommit returns when the last commit was carried out.
func (s *lateStore) lastCommit() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.doneAt
}

// lastShown returns when the store last showed who holds the pool.
func (s *lateStore) lastShown() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shownAt
}

// renewals records when leases were last renewed.
type renewals struct {
	worker.Client

	mu      sync.Mutex
	renewed time.Time
}

func (r *renewals) Heartbeat(ctx context.Context, to worker.Target, o worker.Heartbeat) (worker.HeartbeatReply, worker.Outcome) {
	if o.DeadlineMs != 0 {
		r.mu.Lock()
		r.renewed = time.Now()
		r.mu.Unlock()
	}
	return r.Client.Heartbeat(ctx, to, o)
}

func (r *renewals) lastRenewal() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.renewed
}

// Guards against a replaced holder that renews leases longer than its successor waits: the
// claim counts as confirmed when the response to a commit arrives, not when it was sent.
func TestLateCommitResponseConfirmsNoLaterClaim(t *testing.T) {
	runEnv(t, emulate.WorkersConfig{Seed: 1}, 2, func(e *env) {
		s, r := &lateStore{Store: e.store}, &renewals{Client: e.calls}
		e.through, e.calls = s, r
		m := e.takeOver(true)
		time.Sleep(time.Second)
		s.mu.Lock()
		s.delay = 1400 * time.Millisecond
		s.mu.Unlock()
		e.submit(m, longRunningStep(1))
		e.store.SetDown(true)
		time.Sleep(4 * leaseTTL)
		must.LessEq(e.t, leaseTTL, r.lastRenewal().Sub(s.lastShown()), must.Sprint("renewed this long after the store showed the claim last"))
		e.store.SetDown(false)
		m.kill()
	})
}
