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
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/jobrouter"
	"auburnglade.example/glade/internal/poolmanager"
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
	Orders  worker.Client
	Hosts   worker.HostSource
	Adviser worker.Adviser
	// Peers reaches other entry hosts, Carriers those that carry orders.
	Peers        poolrpc.Peers
	CarrierPeers carrier.Peers
	// HostsPerCore is how many hosts a core of an entry host can call; zero takes
	// the default.
	HostsPerCore carrier.HostsPerCore
	// LinkMbps is this entry host's link, zero when it isn't known.
	LinkMbps float64
	Sched    sched.Config
	// Pools are the pools that need a holder.
	Pools func() []string
	// Duty is what looking after the hosts takes; Fleet is nil where there is
	// none to look after.
	Duty       hostmanager.Config
	Log        zerolog.Logger
	Registerer prometheus.Registerer
}

// Host is one entry host's process.
type Host struct {
	Config
	Cluster *cluster.Cluster
	Jobs    *jobrouter.Router
	// Carrier makes calls for holders of large pools elsewhere.
	Carrier *carrier.Server
	metrics *poolmanager.Metrics
	routing *carrier.Metrics
	ctx     context.Context

	mu      sync.Mutex
	keepers map[string]*poolmanager.Manager
	duty    *hostmanager.Manager
}

// New returns an entry host that does nothing before Run.
func New(config Config) *Host {
	config.Self.Carries = true
	h := &Host{Config: config, keepers: make(map[string]*poolmanager.Manager), metrics: poolmanager.NewMetrics(config.Registerer), routing: carrier.NewMetrics(config.Registerer)}
	h.Carrier = carrier.NewServer(config.Orders, carrier.BatchDelay(config.LinkMbps), h.routing)
	h.Cluster = cluster.New(cluster.Config{
		Store: config.Store, Self: config.Self, Pools: h.claims, StartPool: h.take,
		Log: telemetry.PartLogger(config.Log, "cluster"),
	})
	h.Jobs = jobrouter.New(jobrouter.Config{
		Store: config.Store, Cluster: h.Cluster, Local: h, Peers: config.Peers,
		Log: telemetry.PartLogger(config.Log, "desk"), Metrics: jobrouter.NewMetrics(config.Registerer),
	})
	return h
}

// Run takes part until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.ctx = ctx
	return h.Cluster.Run(ctx)
}

// PoolManager implements desk.Keepers.
func (h *Host) PoolManager(pool string) *poolmanager.Manager {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keepers[pool]
}

// claims are the pools that need a holder, and the duty.
func (h *Host) claims() []string {
	pools := h.Pools()
	if h.Duty.Fleet != nil && len(pools) > 0 {
		pools = append(pools, hostmanager.ClaimName)
	}
	return pools
}

// takeDuty starts to look after the hosts.
func (h *Host) takeDuty(grant cluster.Takeover) cluster.HeldPool {
	config := h.Duty
	config.Holder, config.Store, config.Pools = h.Self.HolderID(), h.Store, h.Jobs
	config.HasHolder = func(pool string) bool { return slices.Contains(h.Pools(), pool) }
	config.Log = telemetry.PartLogger(h.Log, "duty")
	k := hostmanager.New(config, grant.Head.Fence, grant.Revision, grant.Claim)
	h.mu.Lock()
	h.duty = k
	h.mu.Unlock()
	go func() {
		k.Run(h.ctx)
		h.mu.Lock()
		h.duty = nil
		h.mu.Unlock()
		h.Cluster.PoolReleased(hostmanager.ClaimName)
	}()
	return k
}

// take starts to keep a pool that was claimed.
func (h *Host) take(grant cluster.Takeover) cluster.HeldPool {
	if grant.Pool == hostmanager.ClaimName {
		return h.takeDuty(grant)
	}
	config := h.Sched
	if !grant.PreviousStopped {
		config.PriorLeaseTTL += poolmanager.ConfirmationTimeout
	}
	router := h.router(grant)
	k := poolmanager.New(poolmanager.Config{
		Pool: grant.Pool, Holder: h.Self.HolderID(), Store: h.Store, Workers: router, Hosts: router, Adviser: h.Adviser,
		Sched: config, Log: telemetry.PartLogger(h.Log, "pool").With().Str("pool", grant.Pool).Logger(), Metrics: h.metrics,
	}, poolmanager.Takeover{
		Head: grant.Head, Revision: grant.Revision, Claim: grant.Claim, Lease: grant.Lease,
	})
	h.mu.Lock()
	h.keepers[grant.Pool] = k
	h.mu.Unlock()
	go h.keep(grant.Pool, k)
	return k
}

// router returns the ways to the hosts of a pool that was claimed.
func (h *Host) router(grant cluster.Takeover) *carrier.Router {
	return carrier.NewRouter(carrier.Config{
		Pool: grant.Pool, Session: fmt.Sprintf("%s/%s/%d", h.Self.HolderID(), grant.Pool, grant.Head.Fence), CPUShare: h.Self.CPUShare, HostsPerCore: cmp.Or(h.HostsPerCore, carrier.DefaultHostsPerCore),
		Direct: h.Orders, Hosts: h.Hosts, Peers: h.CarrierPeers, BatchDelay: carrier.BatchDelay(h.LinkMbps), Candidates: h.candidates, Metrics: h.routing,
		Log: telemetry.PartLogger(h.Log, "carrier").With().Str("pool", grant.Pool).Logger(),
	})
}

// candidates are the entry hosts that may carry orders for a pool held here.
func (h *Host) candidates() []carrier.Candidate {
	var candidates []carrier.Candidate
	for _, p := range h.Cluster.Peers() {
		if !p.Carries {
			continue
		}
		candidates = append(candidates, carrier.Candidate{Name: p.HolderID(), Address: p.Address, Zone: p.Zone, CPUShare: p.CPUShare, ClaimCount: p.ClaimCount})
	}
	return candidates
}

func (h *Host) keep(pool string, k *poolmanager.Manager) {
	err := guarded(func() error { return k.Run(h.ctx) })
	h.mu.Lock()
	delete(h.keepers, pool)
	h.mu.Unlock()
	h.Cluster.PoolReleased(pool)
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
	keepers := make([]*poolmanager.Manager, 0, len(h.keepers))
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
	hold := min(holdFor, b.MaxLease)
	return sched.Config{
		LeaseTTL: hold, PriorLeaseTTL: sched.LeaseUpperBound(hold), StopGrace: b.StopGrace,
		RemoteFactor: b.RemoteFactor, StatusRetention: b.StatusRetention,
	}
}
