package drainer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/sharding"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	drainTime    = 5 * time.Second
	rebootTime   = 4 * time.Second
	listLag      = 3 * time.Second
	leaseTTL     = 6 * time.Second
	poolSize     = 8
	gatewayCount = 2
)

// detectionDelay is how long a crash may go undetected without counting as a
// failure.
const detectionDelay = 30 * time.Second

// testCluster is a small deployment in virtual time: fakes, gateways that watch the
// configuration, and competing controllers. Its checks use the actions recorded by
// the fakes.
type testCluster struct {
	t        *testing.T
	ctx      context.Context
	random   *rand.Rand
	store    *memstore.Store
	fleet    *fakefleet.Fleet
	gateways []*configfeed.Feed

	mu          sync.Mutex
	controllers []*controller
	started     int
	// boundedDelay drops requests delayed by more than fleet.MaxActionDelay.
	boundedDelay bool
	serving      map[string]bool
	requirements map[string][]requirement
	failures     []string
}

// requirement is the minimum that a budget requires from a point in time on.
type requirement struct {
	from         time.Time
	minAvailable int
}

type controller struct {
	id      string
	calls   *interceptor
	shards  *sharding.Ownership
	drainer *drainer.Drainer
	checker *invariant.Checker
	stop    context.CancelFunc
	ended   sync.WaitGroup
	// statuses holds the last status of each wave by store key.
	statuses sync.Map
}

func newTestCluster(t *testing.T, ctx context.Context, seed uint64, controllers int, options fakefleet.Options) *testCluster {
	w := &testCluster{
		t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 7)), store: memstore.New(),
		serving: make(map[string]bool), requirements: make(map[string][]requirement),
	}
	options.InFlight = w.inFlight
	w.boundedDelay = options.LastRebootOnly
	w.fleet = fakefleet.New(clusterHosts(), options)
	w.put(record.KindService, "a", &record.Service{PathPrefix: "/a/", Port: 8001})
	w.put(record.KindService, "b", &record.Service{PathPrefix: "/b/", Port: 8002})
	w.put(record.KindService, "c", &record.Service{PathPrefix: "/c/", Port: 8003})
	w.put(record.KindPool, "p1", &record.Pool{Services: []string{"a"}, Size: poolSize})
	w.put(record.KindPool, "p2", &record.Pool{Services: []string{"a", "b"}, Size: poolSize})
	w.put(record.KindPool, "p3", &record.Pool{Services: []string{"c"}, Size: poolSize})
	w.setBudget("a", 12, record.MarginHost)
	w.setBudget("b", 5, record.MarginHost)
	w.setBudget("c", 5, record.MarginNone)
	for i, host := range clusterHosts() {
		pool := fmt.Sprintf("p%d", i/poolSize+1)
		w.putHost(hostrecord.Record{Host: host.Name, Pool: pool, Phase: hostrecord.Serving})
		w.serving[host.Name] = true
	}
	for range gatewayCount {
		gateway := configfeed.New(w.store, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
		go func() { _ = gateway.Serve(ctx) }()
		w.gateways = append(w.gateways, gateway)
	}
	for range controllers {
		w.startController()
	}
	return w
}

func clusterHosts() []fleet.Host {
	var hosts []fleet.Host
	for i := range 3 * poolSize {
		zone := fmt.Sprintf("z%d", i%3+1)
		hosts = append(hosts, fleet.Host{Name: fmt.Sprintf("h%02d", i+1), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/12+1)})
	}
	return hosts
}

// inFlight returns one request for every gateway that still sends work to the host.
func (w *testCluster) inFlight(host string) int {
	count := 0
	for _, gateway := range w.gateways {
		if item, ok := gateway.Snapshot().Hosts[host]; ok && item.Schedulable() {
			count++
		}
	}
	return count
}

// Lagging implements drainer.Confirmer.
func (w *testCluster) Lagging(_ context.Context, revision store.Revision) []string {
	var lagging []string
	for i, gateway := range w.gateways {
		if gateway.Snapshot().Revision < revision {
			lagging = append(lagging, fmt.Sprintf("gateway-%d", i))
		}
	}
	return lagging
}

func (w *testCluster) put(kind record.Kind, name string, spec record.Spec) {
	data, err := json.Marshal(spec)
	must.NoError(w.t, err)
	envelope, err := json.Marshal(record.Envelope{Kind: kind, Name: name, Schema: 2, WriteID: uuid.NewString(), Spec: data})
	must.NoError(w.t, err)
	w.writeUntilStored(store.SwapRequest{Key: storekeys.Spec(record.ID{Kind: kind, Name: name}), Value: envelope})
}

func (w *testCluster) putHost(r hostrecord.Record) {
	r.WriteID = uuid.NewString()
	w.writeUntilStored(store.SwapRequest{Key: storekeys.Host(r.Host), Value: r.Encode()})
}

func (w *testCluster) remove(key string) {
	w.writeUntilStored(store.SwapRequest{Key: key, Delete: true})
}

// writeUntilStored retries an operator's write until it is stored.
func (w *testCluster) writeUntilStored(write store.SwapRequest) {
	for {
		write.Expect = 0
		for _, entry := range w.store.Snapshot(write.Key) {
			if entry.Key == write.Key {
				write.Expect = entry.ModRevision
			}
		}
		if write.Delete && write.Expect == 0 {
			return
		}
		_, err := w.store.CompareAndSwap(w.ctx, write)
		if err == nil || store.IsUnknownOutcome(err) {
			return
		}
		time.Sleep(time.Second)
	}
}

func (w *testCluster) setBudget(service string, minAvailable int, margin record.FailureMargin) {
	w.mu.Lock()
	w.requirements[service] = append(w.requirements[service], requirement{from: time.Now(), minAvailable: minAvailable})
	w.mu.Unlock()
	w.put(record.KindBudget, service, &record.Budget{Service: service, MinAvailable: minAvailable, Margin: margin})
}

// lowestRequirement returns the lowest recent minimum of the service's budget,
// because a grant acquired just before an operator raised the minimum stays valid.
func (w *testCluster) lowestRequirement(service string) int {
	const recentPeriod = 2 * time.Minute
	lowest := -1
	history := w.requirements[service]
	for i, f := range history {
		superseded := i+1 < len(history) && time.Since(history[i+1].from) > recentPeriod
		if !superseded && (lowest < 0 || f.minAvailable < lowest) {
			lowest = f.minAvailable
		}
	}
	return lowest
}

func (w *testCluster) records() map[string]hostrecord.Record {
	records := make(map[string]hostrecord.Record)
	for _, entry := range w.store.Snapshot(storekeys.HostPrefix) {
		parsed, err := hostrecord.Parse(entry.Key, entry.Value)
		must.NoError(w.t, err)
		records[parsed.Host] = parsed
	}
	return records
}

func (w *testCluster) grantSets() map[string]budget.GrantSet {
	grantSets := make(map[string]budget.GrantSet)
	for _, entry := range w.store.Snapshot(storekeys.GrantSetPrefix) {
		grantSet, err := budget.ParseGrantSet(entry.Key, entry.Value)
		must.NoError(w.t, err)
		grantSets[strings.TrimPrefix(entry.Key, storekeys.GrantSetPrefix)] = grantSet
	}
	return grantSets
}

var servicesOf = map[string][]string{"p1": {"a"}, "p2": {"a", "b"}, "p3": {"c"}}

// audit checks the store after a write: every service of a host that was just marked
// out must still be within its budget.
func (w *testCluster) audit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	records, grantSets := w.records(), w.grantSets()
	down := w.downSince()
	for host, r := range records {
		for _, service := range r.GrantedServices {
			if grantSets[service].ByHost[host].Operation != r.Operation {
				w.addFailure("%s is %s under %s without a grant of %s", host, r.Phase, r.Operation, service)
			}
		}
		takenOut := w.serving[host] && !r.Schedulable()
		w.serving[host] = r.Schedulable()
		if !takenOut {
			continue
		}
		for _, service := range servicesOf[r.Pool] {
			if left := available(records, down, service); left < w.lowestRequirement(service) {
				w.addFailure("taking out %s leaves %s with %d, budget %d", host, service, left, w.lowestRequirement(service))
			}
		}
	}
}

func available(records map[string]hostrecord.Record, down map[string]time.Time, service string) int {
	count := 0
	for host, r := range records {
		since, isDown := down[host]
		detected := isDown && time.Since(since) > detectionDelay
		for _, carried := range servicesOf[r.Pool] {
			if carried == service && r.Schedulable() && !detected {
				count++
			}
		}
	}
	return count
}

// downSince returns the crash time of each host that is down.
func (w *testCluster) downSince() map[string]time.Time {
	down := make(map[string]time.Time)
	for _, action := range w.fleet.Actions() {
		switch action.Verb {
		case fakefleet.VerbCrash:
			down[action.Host] = action.At
		case fakefleet.VerbReturn:
			delete(down, action.Host)
		}
	}
	return down
}

// addFailure records a failed check. The caller must hold w.mu.
func (w *testCluster) addFailure(format string, args ...any) {
	w.failures = append(w.failures, fmt.Sprintf(format, args...))
}

// checkActions replays and checks the recorded actions on the hosts.
func (w *testCluster) checkActions() {
	type visit struct{ operation, rebooted string }
	out := make(map[string]visit)
	drainedAt := make(map[string]time.Time)
	for _, action := range w.fleet.Actions() {
		v := out[action.Host]
		switch action.Verb {
		case fakefleet.VerbDrain:
			out[action.Host] = visit{operation: action.Operation}
			drainedAt[action.Host] = action.At
		case fakefleet.VerbUndrain:
			if v.operation == action.Operation {
				delete(out, action.Host)
			}
		case fakefleet.VerbReboot:
			if v.operation != action.Operation {
				w.addFailure("%s rebooted by %s while it is out for %q", action.Host, action.Operation, v.operation)
			}
			if v.rebooted != "" {
				w.addFailure("%s rebooted twice in one visit", action.Host)
			}
			if action.InFlight > 0 && action.At.Sub(drainedAt[action.Host]) < drainTime {
				w.addFailure("%s rebooted with %d in flight", action.Host, action.InFlight)
			}
			v.rebooted = action.Operation
			out[action.Host] = v
		}
	}
}

// check reports all failed checks so far as test errors.
func (w *testCluster) check(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.checkActions()
	for _, c := range w.controllers {
		for _, violation := range c.checker.Violations() {
			w.addFailure("%s: %s: %s", c.id, violation.Rule, violation.Evidence)
		}
	}
	for _, failure := range w.failures {
		t.Error(failure)
	}
}

// checkEndState checks the final state, after all faults ended and all waves had
// enough time to finish.
func (w *testCluster) checkEndState(t *testing.T, lost map[string]bool) {
	t.Helper()
	for host, r := range w.records() {
		switch {
		case lost[host]:
			if !r.Schedulable() && r.Phase != hostrecord.Failed {
				t.Errorf("%s, which failed for good, ends %s for wave %q", host, r.Phase, r.Wave)
			}
		case r.Phase != hostrecord.Serving || r.Operation != "":
			t.Errorf("%s ends %s for wave %q", host, r.Phase, r.Wave)
		case w.fleet.Draining(host):
			t.Errorf("%s serves but the platform still drains it", host)
		}
	}
	for service, grantSet := range w.grantSets() {
		for host, grant := range grantSet.ByHost {
			if !lost[host] {
				t.Errorf("%s still has a grant for %s by %s", service, host, grant.Wave)
			}
		}
	}
}

// end stops all controllers and waits for them.
func (w *testCluster) end(cancel context.CancelFunc) {
	cancel()
	for _, c := range w.controllers {
		c.ended.Wait()
	}
}

// ownerOf returns the controller that owns the wave, or nil.
func (w *testCluster) ownerOf(waveName string) *controller {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, c := range w.controllers {
		if c.shards.Owns("wave/" + waveName) {
			return c
		}
	}
	return nil
}

func testLog() zerolog.Logger { return zerolog.New(io.Discard) }
