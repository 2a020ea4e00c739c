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
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/work"
)

const (
	pool      = "desk"
	holdFor   = 4500 * time.Millisecond
	stopGrace = 400 * time.Millisecond
)

// world is one pool on emulated hosts and a stand-in store.
type world struct {
	t       *testing.T
	ctx     context.Context
	store   *memstore.Store
	workers *emulate.Workers
	fence   int64
	jobs    int
}

// play runs a test in virtual time and fails it when a rule was broken.
func play(t *testing.T, config emulate.WorkersConfig, hosts int, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		config.MaxLeaseTTL, config.StopGrace, config.Startup = 10*time.Second, stopGrace, 300*time.Millisecond
		config.GangTimeout, config.Checkpoint = 3*time.Second, time.Second
		w := &world{t: t, ctx: ctx, store: memstore.New(), workers: emulate.NewWorkers(config)}
		w.store.SetWatchWait(time.Second)
		go w.workers.Run(ctx)
		for i := range hosts {
			w.workers.Add(pool, fmt.Sprintf("r%d", i/2), work.Resources{MilliCPU: 16_000, MemMB: 32_000})
		}
		test(w)
		for _, broken := range w.workers.Checker.Violations() {
			t.Errorf("broken rule: %s", broken)
		}
		cancel()
		time.Sleep(30 * time.Second)
	})
}

// kept is a keeper that runs.
type kept struct {
	*poolmanager.Manager
	kill  context.CancelFunc
	ended chan error
}

// take takes the pool over the way cluster does. quiet says that the earlier
// holder has certainly ended.
func (w *world) take(quiet bool) *kept {
	w.t.Helper()
	k := w.takeAtOnce(quiet)
	time.Sleep(time.Second)
	return k
}

// takeAtOnce is take without the time to find what runs.
func (w *world) takeAtOnce(quiet bool) *kept {
	w.t.Helper()
	before, revision, err := poolstore.ReadHead(w.ctx, w.store, pool)
	must.NoError(w.t, err)
	w.fence = before.Fence + 1
	holder := fmt.Sprintf("entry-%d", w.fence)
	head := poolstore.Head{Fence: w.fence, Holder: holder, HostsInUse: before.HostsInUse, Unresponsive: before.Unresponsive}
	taken, err := w.store.Commit(w.ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(pool), Expect: revision}},
		Puts: []store.Put{
			{Key: poolstore.HeadKey(pool), Value: head.Encode()},
			{Key: poolstore.FenceKey(pool), Value: poolstore.Head{Fence: head.Fence, Holder: holder}.Encode()},
		},
	})
	must.NoError(w.t, err)
	old := sched.LeaseUpperBound(holdFor)
	if !quiet {
		old += poolmanager.ConfirmationTimeout
	}
	k := poolmanager.New(poolmanager.Config{
		Pool: pool, Holder: holder, Store: w.store, Workers: w.workers, Hosts: w.workers, Log: zerolog.Nop(),
		Metrics: poolmanager.NewMetrics(nil),
		Sched: sched.Config{
			LeaseTTL: holdFor, PriorLeaseTTL: old, StopGrace: stopGrace, RemoteFactor: 3, StatusRetention: time.Minute,
		},
	}, poolmanager.Takeover{Head: head, Revision: taken})
	ctx, cancel := context.WithCancel(w.ctx)
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()
	return &kept{k, cancel, ended}
}

// submit hands a job in and returns its id.
func (w *world) submit(k *kept, steps ...work.Step) string {
	w.t.Helper()
	record := w.record(steps...)
	must.EqOp(w.t, poolmanager.Stored, k.Submit(w.ctx, record))
	return record.ID
}

func (w *world) record(steps ...work.Step) *work.Record {
	w.jobs++
	record := &work.Record{
		ID: fmt.Sprintf("%016x", w.jobs), ArrivedMs: time.Now().UnixMilli(),
		Queue: work.Queue{Name: "q", Pool: pool, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond},
		Spec:  work.Spec{Payload: fmt.Sprintf("text %d", w.jobs), Steps: steps},
	}
	w.workers.Checker.Submitted(record)
	return record
}

func (w *world) state(k *kept, id string) work.State {
	w.t.Helper()
	state, known, ok := k.JobState(w.ctx, id)
	must.True(w.t, ok)
	must.True(w.t, known)
	return state
}

// shown waits until a job is shown in a state.
func (w *world) shown(k *kept, id string, state work.State, within time.Duration) {
	w.t.Helper()
	until := time.Now().Add(within)
	for w.state(k, id) != state {
		if time.Now().After(until) {
			w.t.Fatalf("job %s is %s after %s, not %s", id, w.state(k, id), within, state)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func quick(count int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: 2000, MemMB: 1000}, Estimate: time.Second}
}

func after(s work.Step, steps ...int) work.Step {
	s.After = steps
	return s
}

func lasting(count int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: 3000, MemMB: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerHost: 1}
}

// vacate asks for one host to be emptied.
func (w *world) vacate(k *kept, host string) (empty, known, ok bool) {
	emptied, ok := k.Drain(w.ctx, []string{host})
	if !ok {
		return false, false, false
	}
	return emptied[0].Empty, emptied[0].Known, true
}
