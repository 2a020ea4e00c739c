package entryhost_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/cluster"
	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/entryhost"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/work"
)

// world is a small deployment in virtual time: entry hosts, pools of emulated
// hosts, the service that moves and maintains them, and a stand-in store.
type world struct {
	t       *testing.T
	ctx     context.Context
	store   *memstore.Store
	workers *emulate.Workers
	fleet   *emulate.Fleet
	net     *emulate.Network
	pools   map[string]bool
	mu      sync.Mutex
	waves   []hostmanager.Wave
	entries map[string]*entry
	starts  int
	jobs    int
	// crashers are the jobs whose first task crashes its hosts.
	crashers map[string]bool
	// strength is how many hosts a core of an entry host can call, zero for
	// the default.
	strength carrier.HostsPerCore
}

// nodes are the names of up to three entry hosts, in order.
var nodes = []string{"entry-1", "entry-2", "entry-3"}

type entry struct {
	*entryhost.Host
	address string
	kill    context.CancelFunc
}

var bounds = work.Bounds{
	MaxLease: 10 * time.Second, StopGrace: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
	RemoteFactor: 3, StatusRetention: time.Minute,
}

// play runs a test in virtual time with two pools of hosts and a spare one.
func play(t *testing.T, entries int, test func(w *world)) { playWith(t, entries, 0, test) }

// playWith is play with entry hosts of which a core can call so many hosts.
func playWith(t *testing.T, entries int, strength carrier.HostsPerCore, test func(w *world)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		var w *world
		workers := emulate.NewWorkers(emulate.WorkersConfig{
			Seed: 1, MaxLeaseTTL: bounds.MaxLease, StopGrace: bounds.StopGrace, GangTimeout: bounds.GangTimeout,
			Checkpoint: time.Second, Startup: 300 * time.Millisecond,
			Crashes: func(name work.TaskName) bool { return w.crashes(name) },
		})
		w = &world{
			t: t, ctx: ctx, store: memstore.New(), workers: workers, fleet: emulate.NewFleet(workers), net: emulate.NewNetwork(),
			crashers: make(map[string]bool),
			pools:    map[string]bool{"day": false, "night": false, "spare": true}, entries: make(map[string]*entry),
			strength: strength,
		}
		// As long as the users' platform is asked to wait.
		w.store.SetWatchWait(time.Second)
		go workers.Run(ctx)
		for pool := range w.pools {
			for i := range 4 {
				w.fleet.Add(pool, fmt.Sprintf("r%d", i/2), work.Resources{MilliCPU: 16_000, MemMB: 32_000})
			}
		}
		for i := range entries {
			w.start(fmt.Sprintf("entry-%d", i+1))
		}
		time.Sleep(2 * time.Second)
		test(w)
		for _, broken := range workers.Checker.Violations() {
			t.Errorf("broken rule: %s", broken)
		}
		for _, broken := range w.fleet.Violations() {
			t.Errorf("broken rule: %s", broken)
		}
		cancel()
		time.Sleep(30 * time.Second)
	})
}

// start starts an entry host's process, again if it ran before.
func (w *world) start(node string) *entry { return w.startOn(node, w.store) }

// startOn starts an entry host that reaches the store through s.
func (w *world) startOn(node string, s store.Transactor) *entry {
	w.starts++
	ctx, cancel := context.WithCancel(w.ctx)
	host := entryhost.New(entryhost.Config{
		Self:  cluster.Member{Node: node, Incarnation: fmt.Sprint(w.starts), Address: node, CPUShare: 0.4},
		Store: s, Orders: w.workers, Hosts: w.workers, Peers: w.net, CarrierPeers: w.net, HostsPerCore: w.strength, Sched: entryhost.SchedConfig(bounds),
		Pools: func() []string { return []string{"day", "night"} },
		Duty: hostmanager.Config{
			Fleet: w.fleet, Waves: w.listWaves,
			PoolNames: func() map[string]bool { return w.pools },
			WaveStatus: func(number int64, done bool) (string, []byte) {
				return fmt.Sprintf("status/%d", number), fmt.Append(nil, done)
			},
		},
		Log: zerolog.Nop(),
	})
	e := &entry{host, node, cancel}
	w.entries[node] = e
	w.net.Connect(node, host.Jobs, host.Carrier)
	go host.Run(ctx)
	return e
}

func (w *world) listWaves() []hostmanager.Wave {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.waves
}

// crashes reports whether a task crashes its hosts.
func (w *world) crashes(name work.TaskName) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.crashers[name.Job] && name.Step == 0 && name.Index == 0
}

// harmful makes the first task of a job crash its hosts.
func (w *world) harmful(job string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashers[job] = true
}

// demand asks for a wave as the operator does.
func (w *world) demand(wave hostmanager.Wave) {
	w.fleet.AddWave(wave)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waves = append(w.waves, wave)
}

// kill ends an entry host's process without a word.
func (w *world) kill(node string) {
	w.net.Connect(node, nil, nil)
	w.entries[node].kill()
	delete(w.entries, node)
}

// holder returns the entry host that holds a pool, or empty.
func (w *world) holder(pool string) string {
	for node, e := range w.entries {
		if e.PoolManager(pool) != nil {
			return node
		}
	}
	return ""
}

// other returns an entry host that doesn't hold a pool.
func (w *world) other(pool string) *entry {
	for node, e := range w.entries {
		if node != w.holder(pool) {
			return e
		}
	}
	return nil
}

func (w *world) record(pool string, steps ...work.Step) *work.Record {
	w.jobs++
	record := &work.Record{
		ID: fmt.Sprintf("%016x", w.jobs), ArrivedMs: time.Now().UnixMilli(),
		Queue: work.Queue{Name: "q", Pool: pool, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond},
		Spec:  work.Spec{Payload: fmt.Sprintf("text %d", w.jobs), Steps: steps},
	}
	w.workers.Checker.Submitted(record)
	return record
}

// accept hands a job in at an entry host and returns its id.
func (w *world) accept(e *entry, pool string, steps ...work.Step) string {
	w.t.Helper()
	record := w.record(pool, steps...)
	must.EqOp(w.t, poolmanager.Stored, e.Jobs.SubmitJob(w.ctx, record))
	return record.ID
}

// done waits until an entry host shows a job as done.
func (w *world) done(e *entry, pool, id string, within time.Duration) {
	w.t.Helper()
	until := time.Now().Add(within)
	for {
		state, known, ok := e.Jobs.JobState(w.ctx, pool, id)
		if ok && known && state == work.Done {
			return
		}
		if time.Now().After(until) {
			w.t.Fatalf("job %s is %q (known %t, answered %t) after %s", id, state, known, ok, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func quick(count int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: 2000, MemMB: 1000}, Estimate: time.Second}
}

func lasting(count int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: 3000, MemMB: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerHost: 1}
}
