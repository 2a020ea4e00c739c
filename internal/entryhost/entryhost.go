// Package entryhost assembles the process of an entry host, which serves clients
// and other entry hosts, and manages the pools that it holds.
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
	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/jobrouter"
	"auburnglade.example/glade/internal/linkbudget"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolrpc"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storeaccess"
	"auburnglade.example/glade/internal/telemetry"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

// Config configures a Host.
type Config struct {
	Self    cluster.Member
	Store   store.Transactor
	Workers worker.Client
	Hosts   worker.HostSource
	Adviser worker.Adviser
	// Limits provides the limits of organisations, nil where they have none.
	Limits poolmanager.LimitSource
	// JobMemory bounds what accepted large jobs take; nil is unlimited.
	JobMemory *poolmanager.JobMemory
	// Peers is the client for other entry hosts, CarrierPeers the one for those
	// that are used as carriers.
	Peers        poolrpc.Peers
	CarrierPeers carrier.Peers
	// StorePeers is the client for other entry hosts that stand in for the store.
	StorePeers storeaccess.Peers
	// OperatorPrefix is the prefix of the operator's entries, which all entry hosts
	// watch.
	OperatorPrefix string
	// HostsPerCore is how many hosts a core of an entry host can call; zero selects
	// the default.
	HostsPerCore carrier.HostsPerCore
	// LinkMbps is the bandwidth of this entry host's network link in Mbit/s, zero
	// if unknown.
	LinkMbps float64
	Sched    sched.Config
	// ApplyConfig is called with each newer version of the operator's configuration;
	// nil if there is none.
	ApplyConfig func(configrelay.Version)
	// Pools returns the pools that queues go to.
	Pools func() []string
	// HostManager configures the host manager. Its Fleet is nil if there are no hosts to
	// manage.
	HostManager hostmanager.Config
	Log         zerolog.Logger
	Registerer  prometheus.Registerer
}

// Host is the process of an entry host.
type Host struct {
	Config
	Cluster *cluster.Cluster
	Jobs    *jobrouter.Router
	// Access is this entry host's way to the store.
	Access *storeaccess.Access
	// Relay keeps the newest version of the operator's configuration.
	Relay *configrelay.Relay
	// Carrier makes calls to hosts for other entry hosts that hold large pools.
	Carrier        *carrier.Server
	poolMetrics    *poolmanager.Metrics
	carrierMetrics *carrier.Metrics
	// starts is the share of the link for the starts of all pools held here.
	starts *linkbudget.Budget
	owed   *owedPools
	ctx    context.Context

	mu          sync.Mutex
	managers    map[string]*poolmanager.Manager
	hostManager *hostmanager.Manager
}

// New returns an entry host. It is inactive until Run.
func New(config Config) *Host {
	config.Self.CanCarry, config.Self.CanRelay, config.Self.LinkMbps = true, true, config.LinkMbps
	h := &Host{
		Config:         config,
		managers:       make(map[string]*poolmanager.Manager),
		poolMetrics:    poolmanager.NewMetrics(config.Registerer),
		carrierMetrics: carrier.NewMetrics(config.Registerer),
		starts:         linkbudget.New(config.LinkMbps, startShare),
	}
	h.Carrier = carrier.NewServer(config.Workers, carrier.BatchDelay(config.LinkMbps), h.carrierMetrics)
	h.Access = storeaccess.New(storeaccess.Config{
		Direct: config.Store, Peers: config.StorePeers, Shared: []string{poolstore.EphemeralPrefix, config.OperatorPrefix},
		Route: h.route, Log: telemetry.PartLogger(config.Log, "store"), Metrics: storeaccess.NewMetrics(config.Registerer),
	})
	h.owed = newOwedPools(h.Access, telemetry.PartLogger(config.Log, "pools"))
	h.Cluster = cluster.New(cluster.Config{
		Store: h.Access, Self: config.Self, Pools: h.claims, StartPool: h.startPool,
		Log: telemetry.PartLogger(config.Log, "cluster"),
	})
	h.Relay = configrelay.New(configrelay.Config{
		Peers: config.Peers, Addresses: h.addresses, Arriving: func() bool { return h.Access.Arriving(config.OperatorPrefix) }, Apply: h.applyConfig,
		Log: telemetry.PartLogger(config.Log, "config"), Registerer: config.Registerer,
	})
	h.Jobs = jobrouter.New(jobrouter.Config{
		Store: config.Store, Cluster: h.Cluster, Local: h, Peers: config.Peers, Relay: h.Relay,
		Log: telemetry.PartLogger(config.Log, "desk"), Metrics: jobrouter.NewMetrics(config.Registerer),
	})
	return h
}

// Run joins the cluster and serves until ctx ends.
func (h *Host) Run(ctx context.Context) error {
	h.ctx = ctx
	go h.Relay.Run(ctx)
	go h.owed.run(ctx)
	return h.Cluster.Run(ctx)
}

func (h *Host) route() storeaccess.Route { return h.Cluster.Route() }

func (h *Host) applyConfig(version configrelay.Version) {
	if h.ApplyConfig != nil {
		h.ApplyConfig(version)
	}
}

// addresses returns the addresses of the other entry hosts that are running.
func (h *Host) addresses() []string {
	var addresses []string
	for _, m := range h.Cluster.Members() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// PoolManager implements jobrouter.LocalPools.
func (h *Host) PoolManager(pool string) *poolmanager.Manager {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.managers[pool]
}

// claims returns what can be claimed: the pools that need a holder, and the host
// manager's role if there is a fleet.
func (h *Host) claims() []string {
	pools := h.heldPools()
	if h.HostManager.Fleet != nil && len(pools) > 0 {
		pools = append(pools, hostmanager.ClaimName)
	}
	return pools
}

// heldPools returns the pools that need a holder.
func (h *Host) heldPools() []string { return h.owed.with(h.Pools(), time.Now()) }

// startHostManager starts the host manager after its claim was acquired.
func (h *Host) startHostManager(takeover cluster.Takeover) cluster.HeldPool {
	config := h.HostManager
	config.Holder, config.Store, config.Pools = h.Self.HolderID(), h.Access, h.Jobs
	config.HasHolder = func(pool string) bool { return slices.Contains(h.heldPools(), pool) }
	config.Log = telemetry.PartLogger(h.Log, "duty")
	manager := hostmanager.New(config, takeover.Head.Fence, takeover.Revision, takeover.Claim)
	h.mu.Lock()
	h.hostManager = manager
	h.mu.Unlock()
	go func() {
		manager.Run(h.ctx)
		h.mu.Lock()
		h.hostManager = nil
		h.mu.Unlock()
		h.Cluster.PoolReleased(hostmanager.ClaimName)
	}()
	return manager
}

// startPool starts the manager of a pool, or the host manager, after its claim was
// acquired.
func (h *Host) startPool(takeover cluster.Takeover) cluster.HeldPool {
	if takeover.Pool == hostmanager.ClaimName {
		return h.startHostManager(takeover)
	}
	router := h.router(takeover)
	manager := poolmanager.New(poolmanager.Config{
		Pool: takeover.Pool, Holder: h.Self.HolderID(), Store: h.Access, Workers: router, Hosts: router, Adviser: h.Adviser, Limits: h.Limits, UnheldFor: h.Cluster.UnheldFor,
		Memory: h.JobMemory, Starts: h.starts,
		Sched: h.Sched, Log: telemetry.PartLogger(h.Log, "pool").With().Str("pool", takeover.Pool).Logger(), Metrics: h.poolMetrics,
	}, poolmanager.Takeover{
		Head: takeover.Head, Revision: takeover.Revision, Claim: takeover.Claim, Lease: takeover.Lease, RequestedAt: takeover.RequestedAt, PreviousStopped: takeover.PreviousStopped,
	})
	h.mu.Lock()
	h.managers[takeover.Pool] = manager
	h.mu.Unlock()
	go h.runManager(takeover.Pool, manager)
	return manager
}

// router returns the router for calls to the hosts of a claimed pool.
func (h *Host) router(takeover cluster.Takeover) *carrier.Router {
	return carrier.NewRouter(carrier.Config{
		Pool: takeover.Pool, Session: fmt.Sprintf("%s/%s/%d", h.Self.HolderID(), takeover.Pool, takeover.Head.Fence),
		CPUShare: h.Self.CPUShare, HostsPerCore: cmp.Or(h.HostsPerCore, carrier.DefaultHostsPerCore),
		Direct: h.Workers, Hosts: h.Hosts, Peers: h.CarrierPeers, BatchDelay: carrier.BatchDelay(h.LinkMbps), Candidates: h.candidates, Metrics: h.carrierMetrics,
		Log: telemetry.PartLogger(h.Log, "carrier").With().Str("pool", takeover.Pool).Logger(),
	})
}

// candidates returns the entry hosts that may be carriers of a pool held here.
func (h *Host) candidates() []carrier.Candidate {
	var candidates []carrier.Candidate
	for _, p := range h.Cluster.Peers() {
		if !p.CanCarry {
			continue
		}
		candidates = append(candidates, carrier.Candidate{Name: p.HolderID(), Address: p.Address, Zone: p.Zone, CPUShare: p.CPUShare, ClaimCount: p.ClaimCount})
	}
	return candidates
}

func (h *Host) runManager(pool string, manager *poolmanager.Manager) {
	err := runRecovered(func() error { return manager.Run(h.ctx) })
	h.mu.Lock()
	delete(h.managers, pool)
	h.mu.Unlock()
	h.Cluster.PoolReleased(pool)
	event := h.Log.Info()
	var panicked *PanicError
	if errors.As(err, &panicked) {
		event = h.Log.Error()
	}
	event.Str("pool", pool).AnErr("cause", err).Msg("Stopped managing the pool.")
}

// PanicError reports that a pool manager panicked.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// runRecovered calls run and returns a panic as *PanicError. A panic then ends only
// that pool's manager: its claim is released, and another entry host takes it over.
func runRecovered(run func() error) (err error) {
	defer func() {
		if value := recover(); value != nil {
			err = &PanicError{value}
		}
	}()
	return run()
}

// Leave leaves the cluster and releases all pools, each once its state is stored. It
// returns when that is done or ctx ends.
func (h *Host) Leave(ctx context.Context) {
	h.Cluster.Leave(ctx)
	h.mu.Lock()
	managers := make([]*poolmanager.Manager, 0, len(h.managers))
	for _, manager := range h.managers {
		managers = append(managers, manager)
	}
	hostMgr := h.hostManager
	h.mu.Unlock()
	if hostMgr != nil {
		hostMgr.Release(ctx)
	}
	var released sync.WaitGroup
	for _, manager := range managers {
		released.Go(func() { manager.Release(ctx) })
	}
	released.Wait()
}

// startShare is the share of an entry host's link for starts. The rest is for lease
// renewals, stops, clients and the store; commits take half as much as starts.
const startShare = 0.5

// leaseTTL is how long after the last confirmation of the pool's claim leases on hosts'
// runs last. A pool whose holder fails is taken over within about 3 s, and running work
// must outlast that. Tasks of a host that does not answer cannot start elsewhere before
// the leases have expired, which after a takeover must take no more than 4.5 s: the
// platform lets a long-running task be without a run for 7 s of calm, 2.2 s of which pass
// until the claim of a lost holder has expired.
const leaseTTL = 4 * time.Second

// SchedConfig derives a pool's scheduling configuration from the platform's bounds.
func SchedConfig(b work.Bounds) sched.Config {
	ttl := min(leaseTTL, b.MaxLease)
	return sched.Config{
		LeaseTTL: ttl, MaxLeaseTTL: b.MaxLease, PriorLeaseTTL: sched.LeaseUpperBound(ttl), StopGrace: b.StopGrace,
		RemoteFactor: b.RemoteFactor, StatusRetention: b.StatusRetention,
	}
}
