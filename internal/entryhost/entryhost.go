// Package entryhost puts one entry host's process together: it serves clients,
// answers other entry hosts, and keeps the pools that it holds.
package entryhost

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/carrier"
	"auburnglade.example/glade/internal/cluster"
	"auburnglade.example/glade/internal/desk"
	"auburnglade.example/glade/internal/duty"
	"auburnglade.example/glade/internal/keeper"
	"auburnglade.example/glade/internal/poolrpc"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/telemetry"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Config is what an entry host needs of its surroundings.
type Config struct {
	Self    cluster.Member
	Store   store.Transactor
	Orders  worker.Orders
	Hosts   worker.HostSource
	Adviser worker.Adviser
	// Peers reaches other entry hosts, Carriers those that carry orders.
	Peers    poolrpc.Peers
	Carriers carrier.Peers
	// Strength is how many hosts a core of an entry host can call; zero takes
	// the default.
	Strength carrier.Strength
	// LinkMbps is this entry host's link, zero when it isn't known.
	LinkMbps float64
	Sched    sched.Config
	// Pools are the pools that need a holder.
	Pools func() []string
	// Duty is what looking after the hosts takes; Fleet is nil where there is
	// none to look after.
	Duty       duty.Config
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Host is one entry host's process.
type Host struct {
	Config
	Cluster *cluster.Cluster
	Desk    *desk.Desk
	// Carrier makes calls for holders of large pools elsewhere.
	Carrier *carrier.Server
	metrics *keeper.Metrics
	routing *carrier.Metrics
	ctx     context.Context

	mu      sync.Mutex
	keepers map[string]*keeper.Keeper
	duty    *duty.Keeper
}

// New returns an entry host that does nothing before Run.
func New(config Config) *Host {
	config.Self.Carries = true
	h := &Host{Config: config, keepers: make(map[string]*keeper.Keeper), metrics: keeper.NewMetrics(config.Registerer), routing: carrier.NewMetrics(config.Registerer)}
	h.Carrier = carrier.NewServer(config.Orders, carrier.PauseOn(config.LinkMbps), h.routing)
	h.Cluster = cluster.New(cluster.Config{
		Store: config.Store, Self: config.Self, Pools: h.claims, Take: h.take,
		Log: telemetry.Part(config.Log, "cluster"),
	})
	h.Desk = desk.New(desk.Config{
		Store: config.Store, Cluster: h.Cluster, Keepers: h, Client: config.Peers,
		Log: telemetry.Part(config.Log, "desk"), Metrics: desk.NewMetrics(config.Registerer),
	})
	return h
}

// Run takes part until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.ctx = ctx
	return h.Cluster.Run(ctx)
}

// Keeper implements desk.Keepers.
func (h *Host) Keeper(pool string) *keeper.Keeper {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keepers[pool]
}

// claims are the pools that need a holder, and the duty.
func (h *Host) claims() []string {
	pools := h.Pools()
	if h.Duty.Fleet != nil && len(pools) > 0 {
		pools = append(pools, duty.Claim)
	}
	return pools
}

// takeDuty starts to look after the hosts.
func (h *Host) takeDuty(grant cluster.Grant) cluster.Kept {
	config := h.Duty
	config.Holder, config.Store, config.Pools = h.Self.Holder(), h.Store, h.Desk
	config.Kept = func(pool string) bool { return slices.Contains(h.Pools(), pool) }
	config.Log = telemetry.Part(h.Log, "duty")
	k := duty.New(config, grant.Head.Fence, grant.Revision, grant.Claim)
	h.mu.Lock()
	h.duty = k
	h.mu.Unlock()
	go func() {
		k.Run(h.ctx)
		h.mu.Lock()
		h.duty = nil
		h.mu.Unlock()
		h.Cluster.Dropped(duty.Claim)
	}()
	return k
}

// take starts to keep a pool that was claimed.
func (h *Host) take(grant cluster.Grant) cluster.Kept {
	if grant.Pool == duty.Claim {
		return h.takeDuty(grant)
	}
	config := h.Sched
	if !grant.Quiet {
		config.OldHolds += keeper.UnconfirmedFor
	}
	router := h.router(grant)
	k := keeper.New(keeper.Config{
		Pool: grant.Pool, Holder: h.Self.Holder(), Store: h.Store, Orders: router, Hosts: router, Adviser: h.Adviser,
		Sched: config, Log: telemetry.Part(h.Log, "pool").With().Str("pool", grant.Pool).Logger(), Metrics: h.metrics,
	}, keeper.Grant{
		Head: grant.Head, Revision: grant.Revision, Claim: grant.Claim, Lease: grant.Lease,
	})
	h.mu.Lock()
	h.keepers[grant.Pool] = k
	h.mu.Unlock()
	go h.keep(grant.Pool, k)
	return k
}

// router returns the ways to the hosts of a pool that was claimed.
func (h *Host) router(grant cluster.Grant) *carrier.Router {
	return carrier.NewRouter(carrier.Config{
		Pool: grant.Pool, Session: fmt.Sprintf("%s/%s/%d", h.Self.Holder(), grant.Pool, grant.Head.Fence), Share: h.Self.Share, Strength: cmp.Or(h.Strength, carrier.HostsPerCore),
		Direct: h.Orders, Hosts: h.Hosts, Peers: h.Carriers, Pause: carrier.PauseOn(h.LinkMbps), Candidates: h.candidates, Metrics: h.routing,
		Log: telemetry.Part(h.Log, "carrier").With().Str("pool", grant.Pool).Logger(),
	})
}

// candidates are the entry hosts that may carry orders for a pool held here.
func (h *Host) candidates() []carrier.Candidate {
	var candidates []carrier.Candidate
	for _, p := range h.Cluster.Peers() {
		if !p.Carries {
			continue
		}
		candidates = append(candidates, carrier.Candidate{Name: p.Holder(), Address: p.Address, Zone: p.Zone, Share: p.Share, Holds: p.Holds})
	}
	return candidates
}

func (h *Host) keep(pool string, k *keeper.Keeper) {
	err := guarded(func() error { return k.Run(h.ctx) })
	h.mu.Lock()
	delete(h.keepers, pool)
	h.mu.Unlock()
	h.Cluster.Dropped(pool)
	event := h.Log.Info()
	var panicked *PanicError
	if errors.As(err, &panicked) {
		event = h.Log.Error()
	}
	event.Str("pool", pool).AnErr("cause", err).Msg("Keeps the pool no more.")
}

// PanicError says that a part ended by a panic.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// guarded turns a panic of one pool into the loss of that pool alone: its
// claim is given up, and another entry host takes it over.
func guarded(run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{value}
		}
	}()
	return run()
}

// Leave gives up all pools, each once everything of it is stored. It returns
// when that is done or ctx ends.
func (h *Host) Leave(ctx context.Context) {
	h.Cluster.Leave(ctx)
	h.mu.Lock()
	keepers := make([]*keeper.Keeper, 0, len(h.keepers))
	for _, k := range h.keepers {
		keepers = append(keepers, k)
	}
	looksAfter := h.duty
	h.mu.Unlock()
	if looksAfter != nil {
		looksAfter.Release(ctx)
	}
	var released sync.WaitGroup
	for _, k := range keepers {
		released.Go(func() { k.Release(ctx) })
	}
	released.Wait()
}

// holdFor is how long a hold lasts. A pool whose holder dies is ordered again
// within some three seconds, which work that runs has to outlive; a host that
// falls silent blocks what ran on it for as long.
const holdFor = 4500 * time.Millisecond

// SchedConfig works out a pool's timing from the platform's bounds.
func SchedConfig(b work.Bounds) sched.Config {
	hold := min(holdFor, b.MaxHold)
	return sched.Config{
		HoldFor: hold, OldHolds: sched.Lapse(hold), StopGrace: b.StopGrace,
		FarFactor: b.FarFactor, KeepStatus: b.KeepStatus,
	}
}
