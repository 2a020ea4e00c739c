package jobs

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/fleet/fakeworkers"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/sharding"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	testTTL            = 15 * time.Second
	memberTTL          = 3 * time.Second
	testLag            = 2 * time.Second
	testReportInterval = 3 * time.Second
	// testCheckpointTime is how long a checkpoint takes.
	testCheckpointTime = 200 * time.Millisecond
)

// testCluster is a small fleet in virtual time with any number of controllers.
type testCluster struct {
	t       *testing.T
	store   *memstore.Store
	fleet   *fakefleet.Fleet
	workers *fakeworkers.Workers
	checker *invariant.Checker
	wait    sync.WaitGroup
	hosts   []string
	started int
}

// controller is a controller that can be stopped or made to act as owner of its
// shard without owning it.
type controller struct {
	stop          context.CancelFunc
	stopRegistrar context.CancelFunc
	// stopFeed stops the watch of the configuration.
	stopFeed context.CancelFunc
	shard    sharding.Shard
	// forceOwned makes Owned return true, as for an owner that was paused and
	// whose lease expired before each of its ownership checks.
	forceOwned atomic.Bool
}

// loseLease ends the controller's ownership while it continues to act as owner.
func (c *controller) loseLease() {
	c.forceOwned.Store(true)
	c.stopRegistrar()
}

// stopConfigWatch stops the controller's watch of the configuration.
func (c *controller) stopConfigWatch() { c.stopFeed() }

func (c *controller) Owned() bool { return c.forceOwned.Load() || c.shard.Owned() }

// reachability is the host control of a platform that reports disconnected hosts
// as unreachable.
type reachability struct {
	*fakefleet.Fleet
	workers *fakeworkers.Workers
}

func (r reachability) Condition(ctx context.Context, host string) (fleet.HostCondition, error) {
	condition, err := r.Fleet.Condition(ctx, host)
	condition.Reachable = condition.Reachable && !r.workers.Unreachable(host)
	return condition, err
}

func newTestCluster(t *testing.T, hosts int, size record.Resources, behave func(fleet.Task) fakeworkers.Behaviour) *testCluster {
	b := &testCluster{t: t, store: memstore.New(), checker: invariant.New(zerolog.Nop(), nil)}
	var list []fleet.Host
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		b.hosts = append(b.hosts, name)
		list = append(list, fleet.Host{Name: name, Zone: fmt.Sprintf("z%d", i%3), Capacity: size, State: fleet.HostLive})
	}
	b.workers = fakeworkers.New(b.hosts, fakeworkers.Options{ReportLag: testLag, CheckpointTime: testCheckpointTime, Behave: behave})
	b.fleet = fakefleet.New(list, fakefleet.Options{OnDown: b.workers.Down, OnUp: b.workers.Up, ListLag: testLag})
	return b
}

func (b *testCluster) put(name string, spec record.Spec) {
	envelope := record.NewEnvelope(name, spec)
	value, err := json.Marshal(envelope)
	must.NoError(b.t, err)
	b.write(storekeys.Spec(envelope.ID()), value)
}

func (b *testCluster) phase(host, pool string, phase hostrecord.Phase) {
	b.write(storekeys.Host(host), hostrecord.Record{Host: host, Pool: pool, Phase: phase}.Encode())
}

// write retries until the value is written, despite injected store faults.
func (b *testCluster) write(key string, value []byte) {
	for {
		entry, err := b.store.Get(context.Background(), key)
		if err == nil || store.IsNotFound(err) {
			if _, err = b.store.CompareAndSwap(context.Background(), store.SwapRequest{Key: key, Expect: entry.ModRevision, Value: value}); err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (b *testCluster) start() *controller { return b.startWith(b.workers) }

// startWith starts a controller that uses the given client for workers.
func (b *testCluster) startWith(workers fleet.Workers) *controller {
	b.started++
	name := fmt.Sprintf("c%d", b.started)
	ctx, stop := context.WithCancel(context.Background())
	registrarCtx, stopRegistrar := context.WithCancel(ctx)
	feedCtx, stopFeed := context.WithCancel(ctx)
	c := &controller{stop: stop, stopRegistrar: stopRegistrar, stopFeed: stopFeed}
	b.t.Cleanup(stop)
	f := configfeed.New(b.store, zerolog.Nop(), b.checker, nil)
	registrar := member.NewRegistrar(b.store, member.Member{ID: name, Role: member.RoleController}, memberTTL, zerolog.Nop())
	c.shard = sharding.New(name, f, registrar).Shard("jobs")
	m := New(Config{
		Member: name, Store: b.store, Feed: f, Hosts: b.fleet, HostControl: reachability{b.fleet, b.workers}, Workers: workers,
		Shard: c, Invariant: b.checker, Log: zerolog.Nop(), LeaseTTL: testTTL, ReportInterval: testReportInterval,
	})
	b.wait.Go(func() { _ = registrar.Serve(registrarCtx) })
	b.wait.Go(func() { _ = f.Serve(feedCtx) })
	b.wait.Go(func() { _ = m.Serve(ctx) })
	return c
}

// state reads a pool's state from the store.
func (b *testCluster) state(pool string) *State {
	entry, err := b.store.Get(context.Background(), storekeys.Placement(pool))
	if err != nil {
		return newState(pool)
	}
	state, err := ParseState(entry.Key, entry.Value)
	must.NoError(b.t, err)
	return state
}

// within waits in virtual time until the condition holds and returns the time taken.
func (b *testCluster) within(limit time.Duration, what string, condition func() bool) time.Duration {
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			b.t.Fatalf("not within %s: %s; state %s", limit, what, b.state("p").encode())
		}
		time.Sleep(limit / 500)
	}
	return time.Since(began)
}

// runInVirtualTime runs a test in virtual time.
func runInVirtualTime(t *testing.T, test func(t *testing.T)) { synctest.Test(t, test) }

func (b *testCluster) finish(controllers ...*controller) {
	for _, c := range controllers {
		c.stop()
	}
	b.wait.Wait()
	must.SliceEmpty(b.t, b.checker.Violations())
	must.Zero(b.t, b.workers.Counts().DoubleRuns, must.Sprint("a task ran twice at once"))
}

func (b *testCluster) pool(name string, hosts ...string) {
	b.put(name, &record.Pool{Size: len(hosts), Jobs: true})
	for _, host := range hosts {
		b.phase(host, name, hostrecord.Serving)
	}
}

func amount(cpu, mem int) record.Resources { return record.Resources{MilliCPU: cpu, MemoryMB: mem} }

// runsFor makes every task run for the given time and use a fixed amount. If tasks
// used a fraction of their allocation, every new estimate would be smaller.
func runsFor(work time.Duration) func(fleet.Task) fakeworkers.Behaviour {
	return func(fleet.Task) fakeworkers.Behaviour {
		return fakeworkers.Behaviour{Used: amount(500, 500), Work: work}
	}
}
