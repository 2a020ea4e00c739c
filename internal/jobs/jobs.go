// Package jobs places the tasks of jobs on workers. It observes the fleet, plans
// with package placement, writes the plan to the store and then calls the
// workers. The persistent state of a pool is one value in the store, so another
// controller can continue from it after a failover.
package jobs

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/store"
)

// Shard reports whether this controller owns the shard and may act.
type Shard interface{ Owned() bool }

// Config configures a Manager.
type Config struct {
	Member      string
	Store       store.Store
	Feed        *configfeed.Feed
	Hosts       fleet.HostList
	HostControl fleet.HostControl
	Workers     fleet.Workers
	Shard       Shard
	Invariant   *invariant.Checker
	Metrics     *Metrics
	Log         zerolog.Logger
	// Interval is the time between two reconciles if nothing triggers one earlier.
	Interval time.Duration
	// LeaseTTL is how long a task keeps running without a lease renewal.
	LeaseTTL time.Duration
	// ReportInterval is the time between two reads of all hosts' task reports.
	ReportInterval time.Duration
	// CheckpointTimeout is how long a checkpoint may take before the task is
	// stopped. It limits how long an urgent task waits for preemption.
	CheckpointTimeout time.Duration
}

// Defaults of a Config. The lease TTL is long to limit the number of renewals:
// with 1,000 hosts, one renewal per host every 60 s is 17 calls/s, none of them
// to the store.
const (
	DefaultInterval          = 500 * time.Millisecond
	DefaultLeaseTTL          = 3 * time.Minute
	DefaultReportInterval    = 15 * time.Second
	DefaultCheckpointTimeout = 800 * time.Millisecond
)

const (
	renewalsPerTTL = 3
	// minReconcilePause is the least time between two reconciles, so that a burst
	// of changes causes one reconcile and one write per pool.
	minReconcilePause = 20 * time.Millisecond
	// maxCalls limits the number of concurrent calls to workers.
	maxCalls = 64
	// callTimeout is the timeout of one call to a worker.
	callTimeout = 5 * time.Second
)

// Manager places jobs while it owns the shard.
type Manager struct {
	Config
	callSlots chan struct{}
	wakeup    chan struct{}

	mu             sync.Mutex
	outcomes       []outcome
	reportsResults map[string]reportsResult
	// renewable lists by host the tasks whose leases this process renews.
	renewable map[string][]string

	// The fields below are used only by the goroutine that calls Reconcile.
	loaded bool
	// renewableStale is whether a pool was planned since renewable was last
	// updated.
	renewableStale bool
	pools          map[string]*poolState
	// callPending holds the tasks with a call in progress.
	callPending map[string]bool
	// unreachable holds since when the platform can't reach a host.
	unreachable map[string]time.Time
	// probedAt holds when a quarantined worker was last probed or first seen
	// quarantined.
	probedAt map[string]time.Time
}

// poolState is a pool's stored state together with what only this process has
// observed.
type poolState struct {
	*State
	revision store.Revision
	dirty    bool
	// claimed is whether this controller has written the state since it loaded it.
	claimed bool
	// confirmed is whether the state was just written to the store and so is
	// known to be the stored one.
	confirmed bool
	// corrupt is whether the stored state can't be parsed; stale is whether a
	// write failed, so that the state must be read again. The leases of a stale
	// state's tasks are still renewed.
	corrupt, stale bool
	observed       map[string]*observedTask
	// updated is whether results from workers were applied since the last plan.
	// plannedAt is the time of that plan, snapshot and workers are its inputs.
	updated   bool
	plannedAt time.Time
	snapshot  *configstate.Snapshot
	workers   []placement.Worker
	// agesUpdatedAt is when the jobs' ages were last updated.
	agesUpdatedAt time.Time
}

// observedTask is what this process has observed of a task.
type observedTask struct {
	// sent is whether a Start may have reached the worker, started whether the
	// worker has accepted it.
	sent, started bool
	startedAt     time.Time
	// throttled is the throttling that the worker last confirmed.
	throttled bool
	ranFor    time.Duration
	// notBefore is the earliest time of the next call after a failed one.
	notBefore time.Time
	// placedHere is whether this process placed the task; if it hasn't sent
	// the task either, the task has certainly never run.
	placedHere bool
}

// outcome is the result of a call to a worker.
type outcome struct {
	pool, task string
	verb       verb
	err        error
	// sentBefore is whether an earlier call may have sent the task.
	sentBefore bool
	// throttled is whether a Start requested the task to run throttled.
	throttled bool
}

// verb is the kind of a call to a worker.
type verb string

const (
	verbStart      verb = "start"
	verbStop       verb = "stop"
	verbCheckpoint verb = "checkpoint"
	verbThrottle   verb = "throttle"
	verbUnthrottle verb = "unthrottle"
)

// reportsResult is the result of reading a host's task reports.
type reportsResult struct {
	reports []fleet.TaskReport
	err     error
	at      time.Time
}

// New returns a Manager. Zero durations in config are set to their defaults.
func New(config Config) *Manager {
	defaultTo(&config.Interval, DefaultInterval)
	defaultTo(&config.LeaseTTL, DefaultLeaseTTL)
	defaultTo(&config.ReportInterval, DefaultReportInterval)
	defaultTo(&config.CheckpointTimeout, DefaultCheckpointTimeout)
	if config.Metrics == nil {
		config.Metrics = NewMetrics(nil)
	}
	m := &Manager{
		Config: config, callSlots: make(chan struct{}, maxCalls), wakeup: make(chan struct{}, 1),
		reportsResults: make(map[string]reportsResult), renewable: make(map[string][]string),
	}
	m.reset()
	return m
}

func defaultTo(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// reset discards the loaded state, because another controller may own the shard.
func (m *Manager) reset() {
	m.loaded = false
	m.pools = make(map[string]*poolState)
	m.callPending = make(map[string]bool)
	m.unreachable = make(map[string]time.Time)
	m.probedAt = make(map[string]time.Time)
}

// Serve places jobs until ctx ends. Tasks keep running under their leases, which
// the next owner of the shard renews.
func (m *Manager) Serve(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { m.renewLoop(ctx) })
	wait.Go(func() { m.reportLoop(ctx) })
	for ctx.Err() == nil {
		_, changed := m.Feed.Current()
		m.Reconcile(ctx)
		pause.For(ctx, minReconcilePause)
		timer := time.NewTimer(m.Interval)
		select {
		case <-timer.C:
		case <-changed:
		case <-m.wakeup:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// Reconcile observes the fleet once, plans every pool with jobs and calls the
// workers. It does nothing if this controller does not own the shard.
func (m *Manager) Reconcile(ctx context.Context) {
	if !m.Shard.Owned() {
		m.reset()
		return
	}
	if !m.loaded {
		if err := m.load(ctx); err != nil {
			m.Log.Warn().Err(err).Msg("Could not load the placement states.")
			return
		}
	}
	hosts, err := m.Hosts.Hosts(ctx)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Could not read the host list.")
		return
	}
	view := m.observe(ctx, m.Feed.Snapshot(), hosts)
	m.applyResults(view)
	for _, name := range view.pools {
		if !m.Shard.Owned() {
			return
		}
		m.reconcilePool(ctx, view, name)
	}
	if m.renewableStale {
		m.updateRenewable()
	}
}

// reconcilePool writes the plan to the store before it calls workers. If the
// controller stops in between, the next one continues from the stored state.
func (m *Manager) reconcilePool(ctx context.Context, view *view, name string) {
	p := m.pool(ctx, name)
	if p == nil {
		return
	}
	if m.planUnchanged(view, p) {
		return
	}
	began := time.Now()
	m.planPool(view, p)
	p.updated, p.plannedAt, p.snapshot, p.workers = false, began, view.snapshot, view.workers[name]
	m.renewableStale = true
	m.Metrics.plan.Observe(time.Since(began).Seconds())
	if p.dirty || !p.claimed {
		if err := m.save(ctx, p); err != nil {
			m.Log.Warn().Err(err).Str("pool", name).Msg("Could not write the placement state.")
			m.handleWriteError(p, err)
			return
		}
	}
	if p.hasStartDue(m.callPending) && !p.confirmed && !m.confirmRevision(ctx, p) {
		return
	}
	p.confirmed = false
	m.startCalls(ctx, view, p)
}

// replanInterval is the longest time between two plans of an unchanged pool. Plans
// also depend on time: on job ages, deadlines and the probes of quarantined workers.
const replanInterval = 5 * time.Second

// planUnchanged reports whether a new plan would equal the last one. Without this
// check, planning an idle fleet of the target size takes 2 % of a core.
func (m *Manager) planUnchanged(v *view, p *poolState) bool {
	unchanged := !p.dirty && p.claimed && !p.updated && p.snapshot == v.snapshot && slices.Equal(p.workers, v.workers[p.Pool])
	if !unchanged || time.Since(p.plannedAt) > replanInterval {
		return false
	}
	for id, task := range p.Tasks {
		if _, due := p.nextCall(task); due || m.callPending[id] {
			return false
		}
	}
	return true
}

// handleWriteError marks the state as stale, so that nothing is planned on a state
// that may differ from the stored one. A conflict means that another controller is
// writing too: then all states are read and claimed again, so that of two
// controllers that both act as owner only the last to claim can write. Otherwise
// they could exceed a team's quota by placing tasks in two pools concurrently.
func (m *Manager) handleWriteError(p *poolState, err error) {
	p.stale = true
	if store.IsConflict(err) {
		m.loaded = false
	}
}

func (m *Manager) notify() {
	select {
	case m.wakeup <- struct{}{}:
	default:
	}
}

// call runs a call to a worker in a goroutine, at most maxCalls at once.
func (m *Manager) call(ctx context.Context, run func(ctx context.Context)) {
	go func() {
		m.callSlots <- struct{}{}
		defer func() { <-m.callSlots }()
		run(ctx)
	}()
}

// poolsWithJobs returns the pools that have jobs, placed tasks or job progress.
func (m *Manager) poolsWithJobs(snapshot *configstate.Snapshot) map[string]bool {
	pools := make(map[string]bool)
	for name, p := range m.pools {
		if len(p.Tasks) > 0 || len(p.Jobs) > 0 {
			pools[name] = true
		}
	}
	for _, job := range snapshot.Jobs() {
		pools[job.Pool] = true
	}
	return pools
}
