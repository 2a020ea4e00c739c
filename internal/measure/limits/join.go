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

// Join is how long a gateway takes from its start until it may use its share.
// The gateways are real keepers over an in-memory store; messages between them
// take messageDelay each way, as between the users' zones.
type Join struct {
	// Gateways is how many there are already.
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

// NotReadyError says that gateways didn't get their shares in time.
type NotReadyError struct{ Gateways int }

func (e *NotReadyError) Error() string {
	return fmt.Sprintf("%d gateways: not all have their shares after %s", e.Gateways, joinTimeout)
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
	g, err := newGroup()
	if err != nil {
		return Join{}, err
	}
	defer g.stop()
	for range size {
		g.start()
	}
	if !g.await() {
		return Join{}, &NotReadyError{Gateways: size}
	}
	time.Sleep(settleTime)
	var took []time.Duration
	calls, messages := g.callsSoFar(), g.messages.Load()
	for range joins {
		began := time.Now()
		g.start()
		if !g.await() {
			return Join{}, &NotReadyError{Gateways: size + len(took) + 1}
		}
		took = append(took, time.Since(began))
	}
	slices.Sort(took)
	return Join{
		Gateways: size, P50Ms: percentile(took, 0.5), MaxMs: percentile(took, 1),
		StoreCalls: float64(g.callsSoFar()-calls) / float64(joins),
		Messages:   float64(g.messages.Load()-messages) / float64(joins),
	}, nil
}

// group is some gateways' keepers over one store.
type group struct {
	store    *memstore.Store
	ctx      context.Context
	cancel   context.CancelFunc
	messages atomic.Int64
	ended    sync.WaitGroup

	mu      sync.Mutex
	keepers map[string]*sharemanager.Manager
}

func newGroup() (*group, error) {
	ctx, cancel := context.WithCancel(context.Background())
	g := &group{store: memstore.New(), ctx: ctx, cancel: cancel, keepers: make(map[string]*sharemanager.Manager)}
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

func (g *group) put(kind record.Kind, name string, spec record.Spec) error {
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

func (g *group) write(key string, value []byte) error {
	_, err := g.store.CompareAndSwap(g.ctx, store.Write{Key: key, Value: value})
	return err
}

func (g *group) start() {
	g.mu.Lock()
	defer g.mu.Unlock()
	id := fmt.Sprintf("gateway-%03d", len(g.keepers)+1)
	checker := invariant.New(zerolog.Nop(), nil)
	self := member.Member{ID: id, Role: member.RoleGateway, Zone: "zone-1", PeerAddress: id, MaxSchema: 1}
	follower := configfeed.New(g.store, zerolog.Nop(), checker, nil)
	registrar := member.NewRegistrar(g.store, self, 0, zerolog.Nop())
	keeper := sharemanager.New(sharemanager.Config{
		Self: self, Store: g.store, Feed: follower, Lease: registrar, Prober: g, Usage: idle{},
		Invariant: checker, Log: zerolog.Nop(),
	})
	g.keepers[id] = keeper
	for _, part := range []interface{ Serve(context.Context) error }{follower, registrar, keeper} {
		g.ended.Go(func() {
			// Ends with the group.
			_ = part.Serve(g.ctx)
		})
	}
}

// idle uses nothing.
type idle struct{}

func (idle) WithinAllocation(func(service, host string) share.Allocation) bool { return true }
func (idle) CloseIdle()                                                        {}
func (idle) SetBorrowPolicy(*limit.BorrowPolicy)                               {}
func (idle) LoansMatchPolicy() bool                                            { return true }

// Probe implements sharekeeper.Asker.
func (g *group) Probe(_ context.Context, m share.Member) (sharemanager.ProbeResult, error) {
	g.messages.Add(1)
	time.Sleep(messageDelay)
	g.mu.Lock()
	keeper := g.keepers[m.PeerAddress]
	g.mu.Unlock()
	answer := sharemanager.ProbeResult{Member: m.ID, Revision: store.Revision(keeper.ConfirmedRevision())}
	time.Sleep(messageDelay)
	return answer, nil
}

// await waits until every gateway may use its share.
func (g *group) await() bool {
	deadline := time.Now().Add(joinTimeout)
	for time.Now().Before(deadline) {
		if g.allReady() {
			return true
		}
		time.Sleep(joinPoll)
	}
	return false
}

func (g *group) allReady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, keeper := range g.keepers {
		if !keeper.Ready() {
			return false
		}
	}
	return true
}

func (g *group) callsSoFar() int64 {
	counts := g.store.Counts()
	return counts.Reads + counts.Writes + counts.LeaseCalls
}

func (g *group) stop() {
	g.cancel()
	g.ended.Wait()
}
