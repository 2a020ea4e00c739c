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
	holdTTL      = 6 * time.Second
	poolSize     = 8
	gatewayCount = 2
)

// blind is how long a crash may go unnoticed without it being our fault.
const blind = 30 * time.Second

// world is a small deployment in virtual time: the fakes, gateways that follow
// the configuration, and controllers that race. It judges from the fakes' own
// record.
type world struct {
	t        *testing.T
	ctx      context.Context
	random   *rand.Rand
	store    *memstore.Store
	fleet    *fakefleet.Fleet
	gateways []*configfeed.Feed

	mu          sync.Mutex
	controllers []*controller
	started     int
	// boundedDelay has acts that are later than fleet.MaxActDelay dropped.
	boundedDelay bool
	serving      map[string]bool
	floors       map[string][]floor
	faults       []string
}

// floor is a budget's demand from a moment on.
type floor struct {
	from time.Time
	min  int
}

type controller struct {
	id      string
	stall   *stall
	shards  *sharding.Ownership
	drainer *drainer.Drainer
	checker *invariant.Checker
	stop    context.CancelFunc
	ended   sync.WaitGroup
	// statuses holds the last status of each wave by key.
	statuses sync.Map
}

func newWorld(t *testing.T, ctx context.Context, seed uint64, controllers int, options fakefleet.Options) *world {
	w := &world{
		t: t, ctx: ctx, random: rand.New(rand.NewPCG(seed, 7)), store: memstore.New(),
		serving: make(map[string]bool), floors: make(map[string][]floor),
	}
	options.InFlight = w.inFlight
	w.boundedDelay = options.LastRebootOnly
	w.fleet = fakefleet.New(worldHosts(), options)
	w.put(record.KindService, "a", &record.Service{PathPrefix: "/a/", Port: 8001})
	w.put(record.KindService, "b", &record.Service{PathPrefix: "/b/", Port: 8002})
	w.put(record.KindService, "c", &record.Service{PathPrefix: "/c/", Port: 8003})
	w.put(record.KindPool, "p1", &record.Pool{Services: []string{"a"}, Size: poolSize})
	w.put(record.KindPool, "p2", &record.Pool{Services: []string{"a", "b"}, Size: poolSize})
	w.put(record.KindPool, "p3", &record.Pool{Services: []string{"c"}, Size: poolSize})
	w.setBudget("a", 12, record.MarginHost)
	w.setBudget("b", 5, record.MarginHost)
	w.setBudget("c", 5, record.MarginNone)
	for i, host := range worldHosts() {
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

func worldHosts() []fleet.Host {
	var hosts []fleet.Host
	for i := range 3 * poolSize {
		zone := fmt.Sprintf("z%d", i%3+1)
		hosts = append(hosts, fleet.Host{Name: fmt.Sprintf("h%02d", i+1), Zone: zone, Rack: fmt.Sprintf("%s-r%d", zone, i/12+1)})
	}
	return hosts
}

// inFlight counts one request for every gateway that still sends work.
func (w *world) inFlight(host string) int {
	count := 0
	for _, gateway := range w.gateways {
		if item, ok := gateway.Snapshot().Hosts[host]; ok && item.TakesWork() {
			count++
		}
	}
	return count
}

// Lagging implements drainer.Confirmer.
func (w *world) Lagging(_ context.Context, revision store.Revision) []string {
	var lagging []string
	for i, gateway := range w.gateways {
		if gateway.Snapshot().Revision < revision {
			lagging = append(lagging, fmt.Sprintf("gateway-%d", i))
		}
	}
	return lagging
}

func (w *world) put(kind record.Kind, name string, spec record.Spec) {
	data, err := json.Marshal(spec)
	must.NoError(w.t, err)
	envelope, err := json.Marshal(record.Envelope{Kind: kind, Name: name, Schema: 2, WriteID: uuid.NewString(), Spec: data})
	must.NoError(w.t, err)
	w.write(store.Write{Key: storekeys.Spec(record.ID{Kind: kind, Name: name}), Value: envelope})
}

func (w *world) putHost(r hostrecord.Record) {
	r.WriteID = uuid.NewString()
	w.write(store.Write{Key: storekeys.Host(r.Host), Value: r.Encode()})
}

func (w *world) remove(key string) { w.write(store.Write{Key: key, Delete: true}) }

// write is an operator's write: it is repeated until it is there.
func (w *world) write(write store.Write) {
	for {
		write.Expect = 0
		for _, entry := range w.store.Peek(write.Key) {
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

func (w *world) setBudget(service string, minAvailable int, margin record.FailureMargin) {
	w.mu.Lock()
	w.floors[service] = append(w.floors[service], floor{from: time.Now(), min: minAvailable})
	w.mu.Unlock()
	w.put(record.KindBudget, service, &record.Budget{Service: service, MinAvailable: minAvailable, Margin: margin})
}

// lowestFloor is the least that the service's budget has asked for lately: a
// grant taken just before the operators raised it stands.
func (w *world) lowestFloor(service string) int {
	const lately = 2 * time.Minute
	lowest := -1
	history := w.floors[service]
	for i, f := range history {
		superseded := i+1 < len(history) && time.Since(history[i+1].from) > lately
		if !superseded && (lowest < 0 || f.min < lowest) {
			lowest = f.min
		}
	}
	return lowest
}

func (w *world) records() map[string]hostrecord.Record {
	records := make(map[string]hostrecord.Record)
	for _, entry := range w.store.Peek(storekeys.HostPrefix) {
		parsed, err := hostrecord.Parse(entry.Key, entry.Value)
		must.NoError(w.t, err)
		records[parsed.Host] = parsed
	}
	return records
}

func (w *world) ledgers() map[string]budget.GrantSet {
	ledgers := make(map[string]budget.GrantSet)
	for _, entry := range w.store.Peek(storekeys.GrantSetPrefix) {
		ledger, err := budget.ParseGrantSet(entry.Key, entry.Value)
		must.NoError(w.t, err)
		ledgers[strings.TrimPrefix(entry.Key, storekeys.GrantSetPrefix)] = ledger
	}
	return ledgers
}

var servicesOf = map[string][]string{"p1": {"a"}, "p2": {"a", "b"}, "p3": {"c"}}

// audit judges the store after a write: whoever just marked a host out must
// have left every one of its services within budget.
func (w *world) audit() {
	w.mu.Lock()
	defer w.mu.Unlock()
	records, ledgers := w.records(), w.ledgers()
	down := w.downSince()
	for host, r := range records {
		for _, service := range r.GrantedServices {
			if ledgers[service].ByHost[host].Operation != r.Operation {
				w.fault("%s is %s under %s without a grant of %s", host, r.Phase, r.Operation, service)
			}
		}
		takenOut := w.serving[host] && !r.TakesWork()
		w.serving[host] = r.TakesWork()
		if !takenOut {
			continue
		}
		for _, service := range servicesOf[r.Pool] {
			if left := available(records, down, service); left < w.lowestFloor(service) {
				w.fault("taking out %s leaves %s with %d, budget %d", host, service, left, w.lowestFloor(service))
			}
		}
	}
}

func available(records map[string]hostrecord.Record, down map[string]time.Time, service string) int {
	count := 0
	for host, r := range records {
		since, isDown := down[host]
		known := isDown && time.Since(since) > blind
		for _, carried := range servicesOf[r.Pool] {
			if carried == service && r.TakesWork() && !known {
				count++
			}
		}
	}
	return count
}

// downSince returns when each host that is down crashed.
func (w *world) downSince() map[string]time.Time {
	down := make(map[string]time.Time)
	for _, act := range w.fleet.Actions() {
		switch act.Verb {
		case fakefleet.VerbCrash:
			down[act.Host] = act.At
		case fakefleet.VerbReturn:
			delete(down, act.Host)
		}
	}
	return down
}

// fault notes what went wrong; the caller holds mu.
func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// judgeActs replays what happened to the hosts.
func (w *world) judgeActs() {
	type visit struct{ operation, rebooted string }
	out := make(map[string]visit)
	drainedAt := make(map[string]time.Time)
	for _, act := range w.fleet.Actions() {
		v := out[act.Host]
		switch act.Verb {
		case fakefleet.VerbDrain:
			out[act.Host] = visit{operation: act.Operation}
			drainedAt[act.Host] = act.At
		case fakefleet.VerbUndrain:
			if v.operation == act.Operation {
				delete(out, act.Host)
			}
		case fakefleet.VerbReboot:
			if v.operation != act.Operation {
				w.fault("%s rebooted by %s while it is out for %q", act.Host, act.Operation, v.operation)
			}
			if v.rebooted != "" {
				w.fault("%s rebooted twice in one visit", act.Host)
			}
			if act.InFlight > 0 && act.At.Sub(drainedAt[act.Host]) < drainTime {
				w.fault("%s rebooted with %d in flight", act.Host, act.InFlight)
			}
			v.rebooted = act.Operation
			out[act.Host] = v
		}
	}
}

// judge reports everything that went wrong so far.
func (w *world) judge(t *testing.T) {
	t.Helper()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.judgeActs()
	for _, c := range w.controllers {
		for _, violation := range c.checker.Violations() {
			w.fault("%s: %s: %s", c.id, violation.Rule, violation.Evidence)
		}
	}
	for _, fault := range w.faults {
		t.Error(fault)
	}
}

// judgeEnd holds once every fault is over and every wave has had its time.
func (w *world) judgeEnd(t *testing.T, dead map[string]bool) {
	t.Helper()
	for host, r := range w.records() {
		switch {
		case dead[host]:
			if !r.TakesWork() && r.Phase != hostrecord.Failed {
				t.Errorf("%s, which is dead, ends %s for wave %q", host, r.Phase, r.Wave)
			}
		case r.Phase != hostrecord.Serving || r.Operation != "":
			t.Errorf("%s ends %s for wave %q", host, r.Phase, r.Wave)
		case w.fleet.Draining(host):
			t.Errorf("%s serves but the platform still drains it", host)
		}
	}
	for service, ledger := range w.ledgers() {
		for host, grant := range ledger.ByHost {
			if !dead[host] {
				t.Errorf("%s still has a grant for %s by %s", service, host, grant.Wave)
			}
		}
	}
}

// end stops every controller and waits for it.
func (w *world) end(cancel context.CancelFunc) {
	cancel()
	for _, c := range w.controllers {
		c.ended.Wait()
	}
}

// holderOf returns the controller that holds a wave, or nil.
func (w *world) holderOf(waveName string) *controller {
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
