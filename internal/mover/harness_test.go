package mover

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/sharding"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// testCluster is a store, a fleet and any number of movers in virtual time.
type testCluster struct {
	fleet.HostControl
	t        *testing.T
	store    *memstore.Store
	fleet    *fakefleet.Fleet
	inFlight atomic.Int64
	checker  *invariant.Checker
	wait     sync.WaitGroup
	started  int
	history  *historyChecker
	// responseTime is how long the platform takes to return a host's condition;
	// interval is the movers' pause between reconciles.
	responseTime, interval time.Duration
	// hangingHost is the host for which condition queries don't return.
	hangingHost atomic.Pointer[string]
}

// platformTimeout is the adapter's timeout of one call plus a small margin for the
// response.
const platformTimeout = 5*time.Second + 10*time.Millisecond

// Condition implements fleet.HostControl.
func (b *testCluster) Condition(ctx context.Context, host string) (fleet.HostCondition, error) {
	ctx, cancel := context.WithTimeout(ctx, platformTimeout)
	defer cancel()
	time.Sleep(b.responseTime)
	if hangingHost := b.hangingHost.Load(); hangingHost != nil && *hangingHost == host {
		<-ctx.Done()
		return fleet.HostCondition{}, ctx.Err()
	}
	return b.HostControl.Condition(ctx, host)
}

// noLagging is a Confirmer for which every member serves every revision.
type noLagging struct{}

func (noLagging) Lagging(context.Context, store.Revision) []string { return nil }

// discardStatus discards the wave status of the drainer.
type discardStatus struct{}

func (discardStatus) Put(string, []byte) {}

// controller is a controller that can be stopped or made to act as owner of its
// shard without owning it.
type controller struct {
	stop       context.CancelFunc
	shard      sharding.Shard
	forceOwned atomic.Bool
}

func (c *controller) Owned() bool { return c.forceOwned.Load() || c.shard.Owned() }

// Owns implements drainer.Shards: the owner of the moves owns every wave.
func (c *controller) Owns(string) bool { return c.Owned() }

func newTestCluster(t *testing.T, hosts int) *testCluster {
	return newTestClusterWithLag(t, hosts, time.Second)
}

func newTestClusterWithLag(t *testing.T, hosts int, listLag time.Duration) *testCluster {
	b := &testCluster{t: t, store: memstore.New(), checker: invariant.New(zerolog.Nop(), nil)}
	var list []fleet.Host
	for i := range hosts {
		list = append(list, fleet.Host{Name: fmt.Sprintf("h%02d", i), Zone: fmt.Sprintf("z%d", i%3), Rack: fmt.Sprintf("r%d", i/3)})
	}
	b.fleet = fakefleet.New(list, fakefleet.Options{
		ListLag: listLag, RebootTime: 20 * time.Second, InFlight: func(string) int { return int(b.inFlight.Load()) },
	})
	b.HostControl = b.fleet
	b.history = newHistoryChecker(b.store)
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	b.wait.Go(func() { b.history.watch(ctx) })
	t.Cleanup(func() { stop(); b.wait.Wait() })
	return b
}

func (b *testCluster) put(name string, spec record.Spec) {
	envelope := record.NewEnvelope(name, spec)
	value, err := json.Marshal(envelope)
	must.NoError(b.t, err)
	key := storekeys.Spec(envelope.ID())
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

// pool writes a pool with its own service and budget.
func (b *testCluster) pool(name string, size, minimum int) {
	b.put("s-"+name, &record.Service{PathPrefix: "/" + name + "/", Port: 80})
	b.put("b-"+name, &record.Budget{Service: "s-" + name, MinAvailable: minimum})
	b.resize(name, size)
}

func (b *testCluster) resize(name string, size int) {
	b.put(name, &record.Pool{Size: size, Services: []string{"s-" + name}})
}

func (b *testCluster) start() *controller {
	b.started++
	name := fmt.Sprintf("c%d", b.started)
	ctx, stop := context.WithCancel(context.Background())
	b.t.Cleanup(stop)
	f := configfeed.New(b.store, zerolog.Nop(), b.checker, nil)
	registrar := member.NewRegistrar(b.store, member.Member{ID: name, Role: member.RoleController}, 3*time.Second, zerolog.Nop())
	c := &controller{stop: stop, shard: sharding.New(name, f, registrar).Shard("moves")}
	m := New(Config{
		Member: name, Store: b.store, Feed: f, Hosts: b.fleet, HostControl: b, Confirmer: noLagging{}, Interval: b.interval,
		Grants: budget.NewGrantStore(b.store), Shard: c, Invariant: b.checker, Log: zerolog.Nop(),
	})
	d := drainer.New(drainer.Config{
		Member: name, Store: b.store, Status: discardStatus{}, Feed: f, Hosts: b.fleet, HostControl: b.fleet, Confirmer: noLagging{},
		Grants: budget.NewGrantStore(b.store), Shards: c, Invariant: b.checker, Log: zerolog.Nop(),
	})
	for _, serve := range []func(context.Context) error{registrar.Serve, f.Serve, m.Serve, d.Serve} {
		b.wait.Go(func() { _ = serve(ctx) })
	}
	return c
}

// members returns the number of serving hosts of each pool.
func (b *testCluster) members() map[string]int {
	listing, err := b.store.List(context.Background(), storekeys.HostPrefix)
	counts := make(map[string]int)
	if err != nil {
		return counts
	}
	for _, entry := range listing.Entries {
		if r, err := hostrecord.Parse(entry.Key, entry.Value); err == nil && r.Phase == hostrecord.Serving {
			counts[r.Pool]++
		}
	}
	return counts
}

func (b *testCluster) within(limit time.Duration, what string, condition func() bool) {
	began := time.Now()
	for !condition() {
		if time.Since(began) > limit {
			b.t.Fatalf("not within %s: %s; pools have %v", limit, what, b.members())
		}
		time.Sleep(limit / 500)
	}
}

func (b *testCluster) sizes(want map[string]int) func() bool {
	return func() bool {
		have := b.members()
		for pool, size := range want {
			if have[pool] != size {
				return false
			}
		}
		return true
	}
}

func (b *testCluster) finish(controllers ...*controller) {
	for _, c := range controllers {
		c.stop()
	}
	time.Sleep(time.Second)
	must.SliceEmpty(b.t, b.checker.Violations(), must.Sprint(b.checker.Violations()))
	b.history.mu.Lock()
	defer b.history.mu.Unlock()
	must.SliceEmpty(b.t, b.history.violations, must.Sprint(b.history.violations))
}

// historyChecker checks the store's history of host records and grant sets,
// independently of the mover: a host's pool may change only while the host is
// drained with a grant of its old pool's service, and no change may take a service's
// serving hosts below its budget.
type historyChecker struct {
	store      *memstore.Store
	mu         sync.Mutex
	hosts      map[string]hostrecord.Record
	grants     map[string]map[string]budget.Grant
	moves      int
	violations []string
	minimum    map[string]int
}

func newHistoryChecker(s *memstore.Store) *historyChecker {
	return &historyChecker{
		store: s, hosts: make(map[string]hostrecord.Record), grants: make(map[string]map[string]budget.Grant),
		minimum: make(map[string]int),
	}
}

func (j *historyChecker) watch(ctx context.Context) {
	var after store.Revision
	for ctx.Err() == nil {
		batch, err := j.store.Watch(ctx, storekeys.Root, after)
		if err != nil {
			time.Sleep(100 * time.Millisecond)
			continue
		}
		after = batch.Revision
		for _, event := range batch.Events {
			j.observe(event)
		}
	}
}

func (j *historyChecker) observe(event store.Event) {
	j.mu.Lock()
	defer j.mu.Unlock()
	key := event.Entry.Key
	if service, ok := cutPrefix(key, storekeys.GrantSetPrefix); ok {
		ledger, _ := budget.ParseGrantSet(key, event.Entry.Value)
		j.grants[service] = ledger.ByHost
	}
	host, ok := cutPrefix(key, storekeys.HostPrefix)
	if !ok {
		return
	}
	before, known := j.hosts[host]
	if event.Deleted {
		delete(j.hosts, host)
		return
	}
	after, _ := hostrecord.Parse(key, event.Entry.Value)
	j.hosts[host] = after
	if !known {
		return
	}
	if before.Pool != after.Pool {
		j.moves++
		ownDrain := before.Phase == hostrecord.Draining && after.Phase == hostrecord.Verifying
		withWave := before.Wave != "" && before.Phase != hostrecord.Draining && before.NextPool == after.Pool
		if !ownDrain && !withWave {
			j.addViolation("host %s changed from pool %s to %s in phase %s, next phase %s", host, before.Pool, after.Pool, before.Phase, after.Phase)
		}
	}
	if after.Phase != hostrecord.Serving && after.Phase != hostrecord.Failed && j.grants["s-"+firstOf(after.PreviousPool, after.Pool)][host].Operation != after.Operation {
		j.addViolation("host %s is %s without its grant", host, after.Phase)
	}
	j.checkBudget(before)
}

// moveCount returns how often a host changed pool.
func (j *historyChecker) moveCount() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.moves
}

// records returns the host records as last seen.
func (j *historyChecker) records() map[string]hostrecord.Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	return maps.Clone(j.hosts)
}

// setMinimum sets how many hosts of a pool must serve.
func (j *historyChecker) setMinimum(pool string, minimum int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.minimum[pool] = minimum
}

func (j *historyChecker) checkBudget(changed hostrecord.Record) {
	serving := 0
	for _, r := range j.hosts {
		if r.Pool == changed.Pool && r.Phase == hostrecord.Serving {
			serving++
		}
	}
	if serving < j.minimum[changed.Pool] {
		j.addViolation("pool %s has %d serving hosts", changed.Pool, serving)
	}
}

func (j *historyChecker) addViolation(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf(format, args...))
}

func firstOf(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

func cutPrefix(key, prefix string) (string, bool) {
	if len(key) > len(prefix) && key[:len(prefix)] == prefix {
		return key[len(prefix):], true
	}
	return "", false
}
