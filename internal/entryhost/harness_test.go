package entryhost_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/cluster"
	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/emulate"
	"auburnglade.example/glade/internal/entryhost"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/work"
)

// deployment is a small deployment in virtual time: entry hosts, pools of emulated
// hosts, the service that moves and maintains them, and an in-memory store.
type deployment struct {
	t       *testing.T
	ctx     context.Context
	store   *memstore.Store
	workers *emulate.Workers
	fleet   *emulate.Fleet
	net     *emulate.Network
	pools   map[string]bool
	mu      sync.Mutex
	waves   []hostmanager.Wave
	// routedPools are the pools that queues go to, nil for day and night.
	routedPools []string
	entries     map[string]*entry
	starts      int
	jobs        int
	// crashing holds the jobs whose first task crashes the hosts that it runs on.
	crashing map[string]bool
	// hostsPerCore is how many hosts a core of an entry host can call, zero for
	// the default.
	hostsPerCore carrier.HostsPerCore
	// operator provides the limits of organisations, nil for none.
	operator *operator
	// zones is the number of availability zones of the entry hosts, zero for one.
	zones int
	// gated is set if the store can turn single entry hosts away.
	gated bool
	// weights are the weights of organisations that have no limits, nil for none.
	weights map[string]int
	// links connects the entry hosts, each with linkMbps, nil for links without limit.
	links    *emulate.Links
	linkMbps float64
	// suspendable is set if entry hosts can stand still and be cut off from hosts.
	suspendable bool
}

// nodes are the names of up to three entry hosts, in order.
var nodes = []string{"entry-1", "entry-2", "entry-3"}

type entry struct {
	*entryhost.Host
	address string
	// ctx ends when the process is killed.
	ctx  context.Context
	kill context.CancelFunc
	// gate turns the entry host away from the store, nil where it can't.
	gate *gate
	// process makes the entry host stand still, nil where it can't.
	process *emulate.Process
}

var bounds = work.Bounds{
	MaxLease: 10 * time.Second, StopGrace: 400 * time.Millisecond, GangTimeout: 3 * time.Second,
	RemoteFactor: 3, StatusRetention: time.Minute,
}

// runTest runs a test in virtual time with two pools of hosts and a spare pool.
func runTest(t *testing.T, entries int, test func(dep *deployment)) { runTestWith(t, entries, 0, test) }

// runTestWith is runTest with the number of hosts that a core of an entry host can call.
func runTestWith(t *testing.T, entries int, hostsPerCore carrier.HostsPerCore, test func(dep *deployment)) {
	runTestOf(t, entries, func(dep *deployment) { dep.hostsPerCore = hostsPerCore }, test)
}

// runTestOf is runTest on a deployment that prepare has adjusted.
func runTestOf(t *testing.T, entries int, prepare, test func(dep *deployment)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer func() {
			// All goroutines end, also after a failure.
			cancel()
			time.Sleep(30 * time.Second)
		}()
		var dep *deployment
		workers := emulate.NewWorkers(emulate.WorkersConfig{
			Seed: 1, MaxLeaseTTL: bounds.MaxLease, StopGrace: bounds.StopGrace, GangTimeout: bounds.GangTimeout,
			Checkpoint: time.Second, Startup: 300 * time.Millisecond,
			Crashes: func(name work.TaskName) bool { return dep.crashes(name) },
		})
		dep = &deployment{
			t: t, ctx: ctx, store: memstore.New(), workers: workers, fleet: emulate.NewFleet(workers), net: emulate.NewNetwork(),
			crashing: make(map[string]bool),
			pools:    map[string]bool{"day": false, "night": false, "spare": true}, entries: make(map[string]*entry),
		}
		prepare(dep)
		// The same wait that package platform asks the store for.
		dep.store.SetWatchWait(time.Second)
		go workers.Run(ctx)
		for pool := range dep.pools {
			for i := range 4 {
				dep.fleet.Add(pool, fmt.Sprintf("r%d", i/2), work.Resources{MilliCPU: 16_000, MemMB: 32_000})
			}
		}
		for i := range entries {
			dep.start(fmt.Sprintf("entry-%d", i+1))
		}
		time.Sleep(2 * time.Second)
		test(dep)
		for _, violation := range workers.Checker.Violations() {
			t.Errorf("invariant violated: %s", violation)
		}
		for _, violation := range dep.fleet.Violations() {
			t.Errorf("invariant violated: %s", violation)
		}
	})
}

// start starts or restarts an entry host's process.
func (dep *deployment) start(node string) *entry {
	if dep.operator == nil && !dep.gated {
		return dep.startOn(node, dep.store)
	}
	through := &cutStore{Store: dep.store}
	e := dep.startOn(node, through)
	e.gate = &through.gate
	return e
}

// startOn starts an entry host that reaches the store through s.
func (dep *deployment) startOn(node string, s store.Transactor) *entry {
	dep.starts++
	ctx, cancel := context.WithCancel(dep.ctx)
	config := entryhost.Config{
		Self:  cluster.Member{Node: node, Incarnation: fmt.Sprint(dep.starts), Address: node, Zone: dep.zoneOf(node), CPUShare: 0.4},
		Store: s, Workers: dep.workers, Hosts: dep.workers, Peers: dep.net, CarrierPeers: dep.net, StorePeers: dep.net, OperatorPrefix: operatorPrefix, HostsPerCore: dep.hostsPerCore, Sched: entryhost.SchedConfig(bounds),
		Pools: dep.routed,
		HostManager: hostmanager.Config{
			Fleet: dep.fleet, Waves: dep.listWaves,
			PoolNames: func() map[string]bool { return dep.pools },
			WaveStatus: func(number int64, done bool) (string, []byte) {
				return fmt.Sprintf("status/%d", number), fmt.Append(nil, done)
			},
		},
		Log: zerolog.Nop(),
	}
	var source *limitSource
	if dep.operator != nil && !dep.operator.ignored {
		source = &limitSource{}
		config.Limits, config.ApplyConfig = source, source.apply
	}
	if dep.weights != nil {
		config.Limits = weightSource(dep.weights)
	}
	var process *emulate.Process
	if dep.suspendable {
		process = emulate.NewProcess(ctx)
		config.Store, config.Workers, config.Hosts = process.Store(config.Store), process.Client(config.Workers), process.Hosts(config.Hosts)
		config.HostManager.Fleet = process.Fleet(config.HostManager.Fleet)
	}
	if dep.links != nil {
		dep.connect(&config)
	}
	host := entryhost.New(config)
	if dep.links != nil {
		dep.serve(ctx, host)
	}
	if source != nil {
		source.relay = host.Relay
		go host.Relay.Follow(ctx, configrelay.Source{Store: s, Prefix: operatorKey, Key: operatorKey})
	}
	e := &entry{Host: host, address: node, ctx: ctx, kill: cancel, process: process}
	dep.entries[node] = e
	dep.net.Connect(node, host.Jobs, host.Carrier, host.Access)
	go host.Run(ctx)
	return e
}

// routed returns the pools that queues go to.
func (dep *deployment) routed() []string {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	if dep.routedPools == nil {
		return []string{"day", "night"}
	}
	return slices.Clone(dep.routedPools)
}

func (dep *deployment) setRouted(pools ...string) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.routedPools = pools
}

// operatorPrefix is the prefix of the operator's entries.
const operatorPrefix = "operator/"

// zoneOf returns the availability zone of an entry host.
func (dep *deployment) zoneOf(node string) string {
	var number int
	if _, err := fmt.Sscanf(node, "entry-%d", &number); err != nil || dep.zones == 0 {
		return ""
	}
	return fmt.Sprintf("zone-%d", number%dep.zones)
}

func (dep *deployment) listWaves() []hostmanager.Wave {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return dep.waves
}

// crashes reports whether a task crashes the hosts that it runs on.
func (dep *deployment) crashes(name work.TaskName) bool {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	return dep.crashing[name.Job] && name.Step == 0 && name.Index == 0
}

// crashOnStart makes the first task of a job crash the hosts that it runs on.
func (dep *deployment) crashOnStart(job string) {
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.crashing[job] = true
}

// requestWave requests a maintenance wave as an operator does.
func (dep *deployment) requestWave(wave hostmanager.Wave) {
	dep.fleet.AddWave(wave)
	dep.mu.Lock()
	defer dep.mu.Unlock()
	dep.waves = append(dep.waves, wave)
}

// kill terminates an entry host's process abruptly.
func (dep *deployment) kill(node string) {
	dep.net.Connect(node, nil, nil, nil)
	dep.entries[node].kill()
	delete(dep.entries, node)
}

// holder returns the entry host that holds a pool, or empty.
func (dep *deployment) holder(pool string) string {
	for node, e := range dep.entries {
		if e.PoolManager(pool) != nil {
			return node
		}
	}
	return ""
}

// other returns an entry host that does not hold the pool.
func (dep *deployment) other(pool string) *entry {
	for node, e := range dep.entries {
		if node != dep.holder(pool) {
			return e
		}
	}
	return nil
}

func (dep *deployment) record(pool string, steps ...work.Step) *work.JobRecord {
	dep.jobs++
	record := &work.JobRecord{
		ID: fmt.Sprintf("%016x", dep.jobs), ArrivedMs: time.Now().UnixMilli(),
		Queue: work.Queue{Name: "q", Path: "host/" + pool + "/", Pool: pool, MaxAttempts: 3, Stretch: 1.6, Slack: 600 * time.Millisecond},
		Spec:  work.Spec{Payload: fmt.Sprintf("text %d", dep.jobs), Steps: steps},
	}
	dep.workers.Checker.Submitted(record)
	return record
}

// accept submits a job at an entry host and returns its ID.
func (dep *deployment) accept(e *entry, pool string, steps ...work.Step) string {
	dep.t.Helper()
	record := dep.record(pool, steps...)
	must.EqOp(dep.t, poolmanager.Stored, e.Jobs.SubmitJob(dep.ctx, record).Result)
	return record.ID
}

// done waits until an entry host reports a job as done.
func (dep *deployment) done(e *entry, pool, id string, within time.Duration) {
	dep.t.Helper()
	until := time.Now().Add(within)
	for {
		state, known, ok := e.Jobs.JobState(dep.ctx, work.JobRef{Pool: pool, ID: id})
		if ok && known && state == work.Done {
			return
		}
		if time.Now().After(until) {
			dep.t.Fatalf("job %s is %q (known %t, answered %t) after %s", id, state, known, ok, within)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func quick(count int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: 2000, MemMB: 1000}, Estimate: time.Second}
}

func longRunning(count int) work.Step {
	return work.Step{Count: count, Resources: work.Resources{MilliCPU: 3000, MemMB: 1000}, LongRunning: true, MaxUnavailable: 1, MaxPerHost: 1}
}
