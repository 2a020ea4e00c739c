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
	testTTL  = 15 * time.Second
	holdTTL  = 3 * time.Second
	testLag  = 2 * time.Second
	testRead = 3 * time.Second
	// testSave is how long a checkpoint takes.
	testSave = 200 * time.Millisecond
)

// bench is a small platform in virtual time with any number of controllers.
type bench struct {
	t       *testing.T
	store   *memstore.Store
	fleet   *fakefleet.Fleet
	workers *fakeworkers.Workers
	checker *invariant.Checker
	wait    sync.WaitGroup
	hosts   []string
	started int
}

// controller is one that can be ended, or made to believe that it holds.
type controller struct {
	stop  context.CancelFunc
	letGo context.CancelFunc
	// stopFeed ends the watch of the configuration.
	stopFeed context.CancelFunc
	shard    sharding.Shard
	// unaware makes it go on as a holder whose lease lapsed while it was
	// paused before its check, again and again.
	unaware atomic.Bool
}

// lapse ends the controller's hold of its shard without its knowing.
func (c *controller) lapse() {
	c.unaware.Store(true)
	c.letGo()
}

// blind lets no news of the configuration reach the controller any more.
func (c *controller) blind() { c.stopFeed() }

func (c *controller) Owned() bool { return c.unaware.Load() || c.shard.Owned() }

// reach is the platform's word on hosts: one that is cut off isn't reachable.
type reach struct {
	*fakefleet.Fleet
	workers *fakeworkers.Workers
}

func (r reach) Condition(ctx context.Context, host string) (fleet.HostCondition, error) {
	condition, err := r.Fleet.Condition(ctx, host)
	condition.Reachable = condition.Reachable && !r.workers.Unreachable(host)
	return condition, err
}

func newBench(t *testing.T, hosts int, size record.Resources, behave func(fleet.Task) fakeworkers.Behaviour) *bench {
	b := &bench{t: t, store: memstore.New(), checker: invariant.New(zerolog.Nop(), nil)}
	var list []fleet.Host
	for i := range hosts {
		name := fmt.Sprintf("h%02d", i)
		b.hosts = append(b.hosts, name)
		list = append(list, fleet.Host{Name: name, Zone: fmt.Sprintf("z%d", i%3), Capacity: size, State: fleet.HostLive})
	}
	b.workers = fakeworkers.New(b.hosts, fakeworkers.Options{ReportLag: testLag, CheckpointTime: testSave, Behave: behave})
	b.fleet = fakefleet.New(list, fakefleet.Options{OnDown: b.workers.Down, OnUp: b.workers.Up, ListLag: testLag})
	return b
}

func (b *bench) put(name string, spec record.Spec) {
	envelope := record.NewEnvelope(name, spec)
	value, err := json.Marshal(envelope)
	must.NoError(b.t, err)
	b.write(storekeys.Spec(envelope.ID()), value)
}

func (b *bench) phase(host, pool string, phase hostrecord.Phase) {
	b.write(storekeys.Host(host), hostrecord.Record{Host: host, Pool: pool, Phase: phase}.Encode())
}

// write tries until it is through, whatever faults the store has.
func (b *bench) write(key string, value []byte) {
	for {
		entry, err := b.store.Get(context.Background(), key)
		if err == nil || store.IsNotFound(err) {
			if _, err = b.store.CompareAndSwap(context.Background(), store.Write{Key: key, Expect: entry.ModRevision, Value: value}); err == nil {
				return
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (b *bench) start() *controller { return b.startWith(b.workers) }

// startWith starts a controller that reaches workers its own way.
func (b *bench) startWith(workers fleet.Workers) *controller {
	b.started++
	name := fmt.Sprintf("c%d", b.started)
	ctx, stop := context.WithCancel(context.Background())
	holding, letGo := context.WithCancel(ctx)
	watching, stopFeed := context.WithCancel(ctx)
	c := &controller{stop: stop, letGo: letGo, stopFeed: stopFeed}
	b.t.Cleanup(stop)
	f := configfeed.New(b.store, zerolog.Nop(), b.checker, nil)
	registrar := member.NewRegistrar(b.store, member.Member{ID: name, Role: member.RoleController}, holdTTL, zerolog.Nop())
	c.shard = sharding.New(name, f, registrar).Shard("jobs")
	m := New(Config{
		Member: name, Store: b.store, Feed: f, Hosts: b.fleet, HostControl: reach{b.fleet, b.workers}, Workers: workers,
		Shard: c, Invariant: b.checker, Log: zerolog.Nop(), LeaseTTL: testTTL, ReportInterval: testRead,
	})
	b.wait.Go(func() { _ = registrar.Serve(holding) })
	b.wait.Go(func() { _ = f.Serve(watching) })
	b.wait.Go(func() { _ = m.Serve(ctx) })
	return c
}

// state reads a pool's state.
func (b *bench) state(pool string) *State {
	entry, err := b.store.Get(context.Background(), storekeys.Placement(pool))
	if err != nil {
		return newState(pool)
	}
	state, err := ParseState(entry.Key, entry.Value)
	must.NoError(b.t, err)
	return state
}

// within waits in virtual time until the condition holds.
func (b *bench) within(limit time.Duration, what string, condition func() bool) time.Duration {
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			b.t.Fatalf("not within %s: %s; state %s", limit, what, b.state("p").encode())
		}
		time.Sleep(limit / 500)
	}
	return time.Since(began)
}

// play runs a story in virtual time and stops every controller after it.
func play(t *testing.T, story func(t *testing.T)) { synctest.Test(t, story) }

func (b *bench) finish(controllers ...*controller) {
	for _, c := range controllers {
		c.stop()
	}
	b.wait.Wait()
	must.SliceEmpty(b.t, b.checker.Violations())
	must.Zero(b.t, b.workers.Counts().DoubleRuns, must.Sprint("a task ran twice at once"))
}

func (b *bench) pool(name string, hosts ...string) {
	b.put(name, &record.Pool{Size: len(hosts), Jobs: true})
	for _, host := range hosts {
		b.phase(host, name, hostrecord.Serving)
	}
}

func amount(cpu, mem int) record.Resources { return record.Resources{MilliCPU: cpu, MemoryMB: mem} }

// works makes every task use the same, whatever it is given: one that used a
// part of what it is given would shrink with every lesson learned.
func works(work time.Duration) func(fleet.Task) fakeworkers.Behaviour {
	return func(fleet.Task) fakeworkers.Behaviour {
		return fakeworkers.Behaviour{Used: amount(500, 500), Work: work}
	}
}
