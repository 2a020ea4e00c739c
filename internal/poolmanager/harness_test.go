package poolmanager_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/linkbudget"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

const (
	pool      = "desk"
	leaseTTL  = 4500 * time.Millisecond
	stopGrace = 400 * time.Millisecond
)

// env is one pool with emulated hosts and an in-memory store.
type env struct {
	t       *testing.T
	ctx     context.Context
	store   *memstore.Store
	workers *emulate.Workers
	// calls makes the manager's calls to the hosts, starts limits its starts.
	calls  worker.Client
	starts *linkbudget.Budget
	fence  int64
	jobs   int
	// limits is nil where organisations have no weights and limits.
	limits poolmanager.LimitSource
	// memory bounds the large jobs, nil for no bound.
	memory *poolmanager.JobMemory
	// through is the store as holders reach it, nil for store itself.
	through store.Transactor
}

// runEnv runs a test in virtual time and fails it for each violation that the
// checker has found.
func runEnv(t *testing.T, config emulate.WorkersConfig, hosts int, test func(e *env)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			// All goroutines end, also after a failure.
			cancel()
			time.Sleep(30 * time.Second)
		}()
		config.MaxLeaseTTL, config.StopGrace, config.Startup = 10*time.Second, stopGrace, 300*time.Millisecond
		config.GangTimeout, config.Checkpoint = 3*time.Second, time.Second
		e := &env{t: t, ctx: ctx, store: memstore.New(), workers: emulate.NewWorkers(config)}
		e.store.SetWatchWait(time.Second)
		e.calls = e.workers
		go e.workers.Run(ctx)
		for i := range hosts {
			e.workers.Add(pool, fmt.Sprintf("r%d", i/2), work.Resources{MilliCPU: 16_000, MemMB: 32_000})
		}
		test(e)
		for _, violation := range e.workers.Checker.Violations() {
			t.Errorf("rule violated: %s", violation)
		}
	})
}

// runningManager is a manager whose Run is in progress.
type runningManager struct {
	*poolmanager.Manager
	kill  context.CancelFunc
	ended chan error
}

// takeOver takes over the pool in the way package cluster does, and waits until
// the manager has found the tasks that run. previousStopped means that the
// previous holder has certainly stopped.
func (e *env) takeOver(previousStopped bool) *runningManager {
	e.t.Helper()
	m := e.startTakeover(previousStopped)
	time.Sleep(time.Second)
	return m
}

// startTakeover is takeOver without the wait.
func (e *env) startTakeover(previousStopped bool) *runningManager {
	e.t.Helper()
	previous, revision, err := poolstore.ReadHead(e.ctx, e.store, pool)
	must.NoError(e.t, err)
	e.fence = previous.Fence + poolstore.FencesPerTakeover
	holder := fmt.Sprintf("entry-%d", e.fence)
	head := previous.Succeed(holder)
	requestedAt := time.Now()
	takenAt, err := e.store.Commit(e.ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(pool), Expect: revision}},
		Puts: []store.Put{
			{Key: poolstore.HeadKey(pool), Value: head.Encode()},
			{Key: poolstore.FenceKey(pool), Value: poolstore.Head{Fence: head.Fence, Holder: holder}.Encode()},
		},
	})
	must.NoError(e.t, err)
	through := e.through
	if through == nil {
		through = e.store
	}
	m := poolmanager.New(poolmanager.Config{
		Pool: pool, Holder: holder, Store: through, Workers: e.calls, Hosts: e.workers, Limits: e.limits, Memory: e.memory, Starts: e.starts, Log: zerolog.Nop(),
		Metrics: poolmanager.NewMetrics(nil),
		Sched: sched.Config{
			LeaseTTL: leaseTTL, PriorLeaseTTL: sched.LeaseUpperBound(leaseTTL), StopGrace: stopGrace, RemoteFactor: 3, StatusRetention: time.Minute,
		},
	}, poolmanager.Takeover{Head: head, Revision: takenAt, RequestedAt: requestedAt, PreviousStopped: previousStopped})
	ctx, cancel := context.WithCancel(e.ctx)
	ended := make(chan error, 1)
	go func() { ended <- m.Run(ctx) }()
	return &runningManager{m, cancel, ended}
}

// submit submits a job and returns its ID.
func (e *env) submit(m *runningManager, steps ...work.Step) string {
	e.t.Helper()
	record := e.record(steps...)
	must.EqOp(e.t, poolmanager.Stored, m.Submit(e.ctx, record).Result)
	return record.ID
}

func (e *env) record(steps ...work.Step) *work.JobRecord {
	e.jobs++
	record := &work.JobRecord{
		ID: fmt.Sprintf("%016x", e.jobs), ArrivedMs: time.Now().UnixMilli(),
		Queue: work.Queue{Name: "q", Path: "host/" + pool + "/", Pool: pool, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond},
		Spec:  work.Spec{Payload: fmt.Sprintf("text %d", e.jobs), Steps: steps},
	}
	e.workers.Checker.Submitted(record)
	return record
}

func (e *env) state(m *runningManager, id string) work.State {
	e.t.Helper()
	state, known, ok := m.JobState(e.ctx, work.JobRef{ID: id})
	must.True(e.t, ok)
	must.True(e.t, known)
	return state
}

// waitForState waits until a job has the given state for clients, and fails the
// test after the timeout.
func (e *env) waitForState(m *runningManager, id string, state work.State, timeout time.Duration) {
	e.t.Helper()
	deadline := time.Now().Add(timeout)
	for e.state(m, id) != state {
		if time.Now().After(deadline) {
			e.t.Fatalf("job %s is %s after %s, want %s", id, e.state(m, id), timeout, state)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func shortStep(count int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: 2000, MemMB: 1000}, Estimate: time.Second}
}

func after(s work.Step, steps ...int) work.Step {
	s.After = steps
	return s
}

func longRunningStep(count int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: 3000, MemMB: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerHost: 1}
}

// drain drains one host.
func (e *env) drain(m *runningManager, host string) (empty, known, ok bool) {
	drained, ok := m.Drain(e.ctx, []string{host})
	if !ok {
		return false, false, false
	}
	return drained[0].Empty, drained[0].Known, true
}
