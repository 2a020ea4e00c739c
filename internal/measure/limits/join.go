package limits

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/share"
	"auburnglade.example/glade/internal/sharemanager"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// Join is the time from the start of a gateway until it may use its share, in
// milliseconds, and the store calls and messages of a join. The gateways are share
// managers on an in-memory store; messages between them take messageDelay each way,
// as between availability zones.
type Join struct {
	// Gateways is the number of gateways before the joins.
	Gateways   int     `json:"gateways"`
	P50Ms      float64 `json:"p50_ms"`
	MaxMs      float64 `json:"most_ms"`
	StoreCalls float64 `json:"store_calls_per_join"`
	Messages   float64 `json:"messages_per_join"`
}

const (
	messageDelay = 1500 * time.Microsecond
	joinTimeout  = 20 * time.Second
	joinPoll     = time.Millisecond
	settleTime   = 500 * time.Millisecond
)

// NotReadyError reports that some gateways didn't get their shares in time.
type NotReadyError struct{ Gateways int }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%d gateways: some have no shares after %s", e.Gateways, joinTimeout)
}

func measureJoins(joins int) ([]Join, error) {
	var list []Join
	for _, size := range sizes {
		j, err := measureJoin(size, joins)
		if err != nil {
			return nil, err
		}
		list = append(list, j)
	}
	return list, nil
}

func measureJoin(size, joins int) (Join, error) {
	g, err := newGatewayGroup()
	if err != nil {
		return Join{}, err
	}
	defer g.stop()
	for range size {
		g.start()
	}
	if !g.waitReady() {
		return Join{}, &NotReadyError{Gateways: size}
	}
	time.Sleep(settleTime)
	var took []time.Duration
	calls, messages := g.storeCalls(), g.messages.Load()
	for range joins {
		began := time.Now()
		g.start()
		if !g.waitReady() {
			return Join{}, &NotReadyError{Gateways: size + len(took) + 1}
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	return Join{
		Gateways: size, P50Ms: percentile(took, 0.5), MaxMs: percentile(took, 1),
		StoreCalls: float64(g.storeCalls()-calls) / float64(joins),
		Messages:   float64(g.messages.Load()-messages) / float64(joins),
	}, nil
}

// gatewayGroup is the share managers of several gateways on one store.
type gatewayGroup struct {
	store    *memstore.Store
	ctx      context.Context
	cancel   context.CancelFunc
	messages atomic.Int64
	wait     sync.WaitGroup

	mu       sync.Mutex
	managers map[string]*sharemanager.Manager
}

func newGatewayGroup() (*gatewayGroup, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &gatewayGroup{store: memstore.New(), ctx: ctx, cancel: cancel, managers: make(map[string]*sharemanager.Manager)}
	for s := range services {
		name := fmt.Sprintf("service-%d", s)
		service := &record.Service{PathPrefix: "/" + name + "/", Port: 8101 + s}
		pool := &record.Pool{Services: []string{name}, Size: hostsPerService}
		if err := g.put(record.KindService, name, service); err != nil {
			return nil, err
		}
		if err := g.put(record.KindPool, name, pool); err != nil {
			return nil, err
		}
		for _, host := range names("host-"+name, hostsPerService) {
			r := hostrecord.Record{Pool: name, Phase: hostrecord.Serving}
			if err := g.write(storekeys.Host(host), r.Encode()); err != nil {
				return nil, err
			}
		}
	}
	return g, nil
}

func (g *gatewayGroup) put(kind record.Kind, name string, spec record.Spec) error {
	body, err := record.Patch(nil, spec)
	if err != nil {
		return err
	}
	envelope := record.Envelope{Kind: kind, Name: name, Schema: 1, Spec: body}
	data, err := json.Marshal(envelope)
	if err != nil {
		return err
	}
	return g.write(storekeys.Spec(envelope.ID()), data)
}

func (g *gatewayGroup) write(key string, value []byte) error {
	_, err := g.store.CompareAndSwap(g.ctx, store.SwapRequest{Key: key, Value: value})
	return err
}

func (g *gatewayGroup) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := fmt.Sprintf("gateway-%03d", len(g.managers)+1)
	checker := invariant.New(zerolog.Nop(), nil)
	self := member.Member{ID: id, Role: member.RoleGateway, Zone: "zone-1", PeerAddress: id, MaxSchema: 1}
	feed := configfeed.New(g.store, zerolog.Nop(), checker, nil)
	registrar := member.NewRegistrar(g.store, self, 0, zerolog.Nop())
	manager := sharemanager.New(sharemanager.Config{
		Self: self, Store: g.store, Feed: feed, Lease: registrar, Prober: g, Usage: idle{},
		Invariant: checker, Log: zerolog.Nop(),
	})
	g.managers[id] = manager
	for _, component := range []interface{ Serve(context.Context) error }{feed, registrar, manager} {
		g.wait.Go(func() {
			// Returns when the context of the group ends.
			_ = component.Serve(g.ctx)
		})
	}
}

// idle is a usage without requests.
type idle struct{}

func (idle) WithinAllocation(func(service, host string) share.Allocation) bool { return true }
func (idle) CloseIdle()                                                        {}
func (idle) SetBorrowPolicy(*limit.BorrowPolicy)                               {}
func (idle) LoansMatchPolicy() bool                                            { return true }

// Probe implements sharemanager.Prober.
func (g *gatewayGroup) Probe(_ context.Context, m share.Member) (sharemanager.ProbeResult, error) {
	g.messages.Add(1)
	time.Sleep(messageDelay)
	g.mu.Lock()
	manager := g.managers[m.PeerAddress]
	g.mu.Unlock()
	reply := sharemanager.ProbeResult{Member: m.ID, Revision: store.Revision(manager.ConfirmedRevision())}
	time.Sleep(messageDelay)
	return reply, nil
}

// waitReady waits until every gateway may use its share. It returns false after
// joinTimeout.
func (g *gatewayGroup) waitReady() bool {
	deadline := time.Now().Add(joinTimeout)
	for time.Now().Before(deadline) {
		if g.allReady() {
			return true
		}
		time.Sleep(joinPoll)
	}
	return false
}

func (g *gatewayGroup) allReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, manager := range g.managers {
		if !manager.Ready() {
			return false
		}
	}
	return true
}

func (g *gatewayGroup) storeCalls() int64 {
	counts := g.store.Counts()
	return counts.Reads + counts.Writes + counts.LeaseCalls
}

func (g *gatewayGroup) stop() {
	g.cancel()
	g.wait.Wait()
}
