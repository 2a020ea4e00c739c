package sharemanager

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/share"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

const (
	slotLimit       = 8
	connectionLimit = 64
	serviceTimeout  = 5 * time.Second
	// callersPerGateway is enough callers for one gateway to exceed the slots.
	callersPerGateway = 10
	// loadPhase is how long a gateway keeps the same number of callers. Changing the number
	// makes gateways lend slots in both directions.
	loadPhase = 4 * time.Second
	// testInterval reduces the cost of a run that covers minutes of virtual time.
	testInterval = 250 * time.Millisecond
)

// countingEndpoint counts the concurrent requests and connections on the endpoint's
// side.
type countingEndpoint struct {
	mu             sync.Mutex
	requests, peak int
	open, peakOpen int
	served         int
}

func (e *countingEndpoint) begin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests++
	e.served++
	e.peak = max(e.peak, e.requests)
}

func (e *countingEndpoint) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requests--
}

func (e *countingEndpoint) connect(delta int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.open += delta
	e.peakOpen = max(e.peakOpen, e.open)
}

func (e *countingEndpoint) counts() (peak, peakOpen, served int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.peak, e.peakOpen, e.served
}

// fleet is a few gateways over one store and one endpoint, which all of them
// keep as busy as they may.
type fleet struct {
	t        *testing.T
	store    *memstore.Store
	endpoint *countingEndpoint
	checker  *invariant.Checker
	random   *rand.Rand

	mu       sync.Mutex
	gateways map[string]*testGateway
	started  int
	// delay bounds the random delay of a message between gateways; lost is the percentage
	// of messages lost.
	delay time.Duration
	lost  int
}

// testGateway simulates one gateway process.
type testGateway struct {
	id      string
	fleet   *fleet
	manager *Manager
	feed    *configfeed.Feed
	limiter *limit.Limiter
	stop    context.CancelFunc
	// workCtx is cancelled as soon as the process ends, as by a kill.
	workCtx    context.Context
	stopWork   context.CancelFunc
	goroutines sync.WaitGroup

	cutFromStore atomic.Bool
	cutFromPeers atomic.Bool
	// load, if set, is one more than the number of callers.
	load  atomic.Int64
	index int
	// served counts the completed requests. slow makes every request take its whole
	// deadline.
	served atomic.Int64
	slow   atomic.Bool
	// configDelayed holds back configuration updates alone.
	configDelayed atomic.Bool
	stopped       atomic.Bool
	paused        atomic.Bool
	killed        atomic.Bool
	idle          *idleConns
}

func newFleet(t *testing.T, seed uint64) *fleet {
	f := &fleet{
		t: t, store: memstore.New(), endpoint: &countingEndpoint{},
		checker:  invariant.New(zerolog.Nop(), nil),
		random:   rand.New(rand.NewPCG(seed, seed)),
		gateways: make(map[string]*testGateway),
	}
	f.put(record.KindService, "match", &record.Service{PathPrefix: "/match/", Port: 8101, TimeoutSeconds: int(serviceTimeout / time.Second)})
	f.put(record.KindPool, "match", &record.Pool{Services: []string{"match"}, Size: 1})
	host := hostrecord.Record{Pool: "match", Phase: hostrecord.Serving}
	f.write(storekeys.Host("host-001"), host.Encode())
	return f
}

func (f *fleet) put(kind record.Kind, name string, spec record.Spec) {
	body, err := record.Patch(nil, spec)
	must.NoError(f.t, err)
	envelope := record.Envelope{Kind: kind, Name: name, Schema: 1, Spec: body}
	f.write(storekeys.Spec(envelope.ID()), encodeEnvelope(f.t, envelope))
}

func (f *fleet) write(key string, value []byte) {
	_, err := f.store.CompareAndSwap(context.Background(), store.SwapRequest{Key: key, Value: value})
	must.NoError(f.t, err)
}

// start starts one gateway with more callers than it may serve.
func (f *fleet) start() *testGateway {
	f.mu.Lock()
	f.started++
	id := fmt.Sprintf("gateway-%02d", f.started)
	f.mu.Unlock()
	ctx, stop := context.WithCancel(context.Background())
	work, stopWork := context.WithCancel(context.Background())
	g := &testGateway{id: id, index: f.started, fleet: f, stop: stop, workCtx: work, stopWork: stopWork, idle: &idleConns{}}
	gatewayStore := &faultyStore{Store: f.store, gateway: g}
	self := member.Member{ID: id, Role: member.RoleGateway, Zone: "uppsala-1", PeerAddress: id, MaxSchema: 1}
	feed := configfeed.New(gatewayStore, zerolog.Nop(), f.checker, nil)
	registrar := member.NewRegistrar(gatewayStore, self, 0, zerolog.Nop())
	g.feed = feed
	g.manager = New(Config{
		Self: self, Store: gatewayStore, Feed: feed, Lease: registrar, Prober: &faultyProber{from: g},
		Invariant: f.checker, Log: zerolog.Nop(), Interval: testInterval,
	})
	g.limiter = limit.New(limit.Config{Shares: g.manager, Borrower: &faultyBorrower{from: g}, CloseIdle: g.idle.closeAll})
	g.manager.Usage = g
	g.manager.Lenders = &faultyBorrower{from: g}
	f.mu.Lock()
	f.gateways[id] = g
	f.mu.Unlock()
	for _, service := range []interface{ Serve(context.Context) error }{feed, registrar, g.manager} {
		g.goroutines.Go(func() { _ = service.Serve(ctx) })
	}
	dial := g.limiter.Dialer(func(context.Context, string, string) (net.Conn, error) { return newCountedConn(f.endpoint), nil })
	for i := range callersPerGateway {
		random := rand.New(rand.NewPCG(uint64(f.started), uint64(i)))
		g.goroutines.Go(func() { g.runCaller(dial, random, i) })
	}
	return g
}

// WithinAllocation implements Usage.
func (g *testGateway) WithinAllocation(allocation func(service, host string) share.Allocation) bool {
	return g.limiter.WithinAllocation(allocation)
}

// SetBorrowPolicy implements Usage.
func (g *testGateway) SetBorrowPolicy(policy *limit.BorrowPolicy) { g.limiter.SetBorrowPolicy(policy) }

// LoansMatchPolicy implements Usage.
func (g *testGateway) LoansMatchPolicy() bool { return g.limiter.LoansMatchPolicy() }

// CloseIdle implements Usage.
func (g *testGateway) CloseIdle() { g.idle.closeAll() }

// runCaller sends requests from one caller until the process ends.
func (g *testGateway) runCaller(dial limit.Dialer, random *rand.Rand, index int) {
	ranked := []endpoint.Endpoint{{Service: "match", Host: "host-001", Address: "10.0.0.1:8101", TakesWork: true}}
	for g.workCtx.Err() == nil {
		if g.paused.Load() || g.stopped.Load() || index >= g.callers() {
			pause.For(g.workCtx, 200*time.Millisecond)
			continue
		}
		ctx, cancel := context.WithTimeout(g.workCtx, serviceTimeout)
		slot, err := g.limiter.Acquire(ctx, limit.Request{
			Service: "match", Caller: fmt.Sprint(random.IntN(3)), Rank: func() []endpoint.Endpoint { return ranked },
		})
		if err != nil {
			cancel()
			pause.For(g.workCtx, 100*time.Millisecond)
			continue
		}
		g.sendRequest(ctx, dial, random, slot.SingleUse)
		slot.Release()
		cancel()
	}
}

// callers returns the current number of callers: one, all or four in rotation, unless a
// test has set it.
func (g *testGateway) callers() int {
	if fixed := g.load.Load(); fixed != 0 {
		return int(fixed) - 1
	}
	phase := int(time.Now().UnixNano()/int64(loadPhase)) + g.index
	return []int{1, callersPerGateway, 4}[phase%3]
}

// sendRequest sends one request. Most are short; some take their whole deadline.
func (g *testGateway) sendRequest(ctx context.Context, dial limit.Dialer, random *rand.Rand, single bool) {
	conn := g.idle.take()
	if conn == nil {
		opened, err := dial(ctx, "tcp", "10.0.0.1:8101")
		if err != nil {
			return
		}
		conn = opened
	}
	hold := time.Duration(50+random.IntN(1000)) * time.Millisecond
	if random.IntN(20) == 0 || g.slow.Load() {
		hold = 2 * serviceTimeout
	}
	g.fleet.endpoint.begin()
	pause.For(ctx, hold)
	g.fleet.endpoint.end()
	g.served.Add(1)
	if ctx.Err() != nil || single || !g.idle.keep(conn) {
		_ = conn.Close()
	}
}

// kill ends the process immediately: its requests end and its address refuses
// connections.
func (g *testGateway) kill() {
	g.killed.Store(true)
	g.stopWork()
	g.stop()
	g.idle.closeAll()
	g.unregister()
}

// leave stops the gateway gracefully.
func (g *testGateway) leave() {
	g.stopped.Store(true)
	for !g.limiter.WithinAllocation(noSlotsAndConnections(connectionLimit)) {
		time.Sleep(50 * time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = g.manager.Leave(ctx)
	g.kill()
}

func noSlotsAndConnections(connections int) func(string, string) share.Allocation {
	return func(string, string) share.Allocation { return share.Allocation{Connections: connections} }
}

func (g *testGateway) unregister() {
	g.fleet.mu.Lock()
	defer g.fleet.mu.Unlock()
	delete(g.fleet.gateways, g.id)
}

func (f *fleet) all() []*testGateway {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*testGateway
	for i := 1; i <= f.started; i++ {
		if g := f.gateways[fmt.Sprintf("gateway-%02d", i)]; g != nil {
			list = append(list, g)
		}
	}
	return list
}

// stopAll stops all gateways.
func (f *fleet) stopAll() {
	f.store.SetDown(false)
	for _, g := range f.all() {
		g.paused.Store(false)
		g.kill()
		g.goroutines.Wait()
	}
	// Loans in transit end when they expire at the lenders.
	time.Sleep(time.Minute)
}

// usableSlots returns the sum of the slots that all gateways may use at the moment.
func (f *fleet) usableSlots() int {
	total := 0
	for _, g := range f.all() {
		total += g.manager.Allocation("match", "host-001").Slots
	}
	return total
}
