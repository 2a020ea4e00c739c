// Package jobs places the tasks of jobs on workers: it observes, asks package
// placement what to do, writes the intent to the store, and acts on workers.
// All that must last is one value per pool, so another controller goes on
// where one ended.
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

// Shard tells whether this controller may act.
type Shard interface{ Owned() bool }

// Config is what a Manager is made of.
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
	// Interval is the pause between two rounds without news.
	Interval time.Duration
	// LeaseTTL is how long a task runs on when nobody renews it.
	LeaseTTL time.Duration
	// ReportInterval is the pause between two readings of reports.
	ReportInterval time.Duration
	// CheckpointTimeout is how long a checkpoint may take before the task is
	// stopped; it is what urgent work waits for at most.
	CheckpointTimeout time.Duration
}

// Defaults of a Config. Leases are slow on purpose: at 1,000 hosts a renewal
// each 60 s is 17 calls a second, none of them to the store.
const (
	DefaultInterval          = 500 * time.Millisecond
	DefaultLeaseTTL          = 3 * time.Minute
	DefaultReportInterval    = 15 * time.Second
	DefaultCheckpointTimeout = 800 * time.Millisecond
)

const (
	renewalsPerTTL = 3
	// breather is the least pause between two rounds, so that a burst of news
	// becomes one round and one write per pool.
	breather = 20 * time.Millisecond
	// maxCalls bounds the calls to workers at once.
	maxCalls = 64
	// callTimeout bounds one call to a worker.
	callTimeout = 5 * time.Second
)

// Manager places jobs while it holds the shard.
type Manager struct {
	Config
	calls chan struct{}
	news  chan struct{}

	mu       sync.Mutex
	outcomes []outcome
	readings map[string]reading
	// renewable lists by host the tasks whose leases this process renews.
	renewable map[string][]string

	// What follows belongs to the loop alone.
	loaded bool
	// changed says that a pool was planned since the leases to renew were
	// last handed out.
	changed bool
	pools   map[string]*poolState
	// busy holds the tasks with a call under way.
	busy map[string]bool
	// away says since when the platform can't reach a host.
	away map[string]time.Time
	// probed says when a quarantined worker was last tried or taken out.
	probed map[string]time.Time
}

// poolState is a pool's state in the store and what this process alone knows.
type poolState struct {
	*State
	revision store.Revision
	dirty    bool
	// claimed says that this holder has written the state.
	claimed bool
	// confirmed says that the store has just been seen to hold this state.
	confirmed bool
	// stuck says that the state can't be read, stale that a write of it failed
	// and it must be read again. A stale state's tasks are still renewed.
	stuck, stale bool
	tasks        map[string]*taskSight
	// touched says that something came back from workers since the last plan;
	// planned is when that was, on which snapshot and workers.
	touched  bool
	planned  time.Time
	snapshot *configstate.Snapshot
	workers  []placement.Worker
	// agedAt is when the jobs' ages were last brought up to date.
	agedAt time.Time
}

// taskSight is what this process has seen of a task.
type taskSight struct {
	// sent says that a Start may have reached the worker; started that the
	// worker has taken it.
	sent, started bool
	startedAt     time.Time
	// throttled is what the worker has last confirmed.
	throttled bool
	ranFor    time.Duration
	// notBefore spaces tries after a failed call.
	notBefore time.Time
	// ownStart says that this process placed the task, so that one that wasn't
	// sent certainly never ran.
	ownStart bool
}

// outcome is how a call to a worker ended.
type outcome struct {
	pool, task string
	verb       verb
	err        error
	// sentBefore is whether the task may have been sent by an earlier call.
	sentBefore bool
	// throttled is how a Start asked the task to run.
	throttled bool
}

// verb is what a worker was called for.
type verb string

const (
	verbStart      verb = "start"
	verbStop       verb = "stop"
	verbCheckpoint verb = "checkpoint"
	verbThrottle   verb = "throttle"
	verbUnthrottle verb = "unthrottle"
)

// reading is one reading of a host's reports.
type reading struct {
	reports []fleet.TaskReport
	err     error
	at      time.Time
}

// New returns a manager that has read nothing yet.
func New(config Config) *Manager {
	defaultTo(&config.Interval, DefaultInterval)
	defaultTo(&config.LeaseTTL, DefaultLeaseTTL)
	defaultTo(&config.ReportInterval, DefaultReportInterval)
	defaultTo(&config.CheckpointTimeout, DefaultCheckpointTimeout)
	if config.Metrics == nil {
		config.Metrics = NewMetrics(nil)
	}
	m := &Manager{
		Config: config, calls: make(chan struct{}, maxCalls), news: make(chan struct{}, 1),
		readings: make(map[string]reading), renewable: make(map[string][]string),
	}
	m.drop()
	return m
}

func defaultTo(d *time.Duration, fallback time.Duration) {
	if *d == 0 {
		*d = fallback
	}
}

// drop forgets what was read: another controller may decide now.
func (m *Manager) drop() {
	m.loaded = false
	m.pools = make(map[string]*poolState)
	m.busy = make(map[string]bool)
	m.away = make(map[string]time.Time)
	m.probed = make(map[string]time.Time)
}

// Serve places jobs until ctx ends. Tasks go on under their leases, which the
// next holder renews.
func (m *Manager) Serve(ctx context.Context) error {
	var wait sync.WaitGroup
	defer wait.Wait()
	wait.Go(func() { m.renewLoop(ctx) })
	wait.Go(func() { m.readLoop(ctx) })
	for ctx.Err() == nil {
		_, changed := m.Feed.Current()
		m.Reconcile(ctx)
		pause.For(ctx, breather)
		timer := time.NewTimer(m.Interval)
		select {
		case <-timer.C:
		case <-changed:
		case <-m.news:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

// Reconcile observes once, plans every pool with jobs, and acts.
func (m *Manager) Reconcile(ctx context.Context) {
	if !m.Shard.Owned() {
		m.drop()
		return
	}
	if !m.loaded {
		if err := m.load(ctx); err != nil {
			m.Log.Warn().Err(err).Msg("Placements not read.")
			return
		}
	}
	hosts, err := m.Hosts.Hosts(ctx)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Host list not read.")
		return
	}
	view := m.observe(ctx, m.Feed.Snapshot(), hosts)
	m.settle(view)
	for _, name := range view.pools {
		if !m.Shard.Owned() {
			return
		}
		m.poolRound(ctx, view, name)
	}
	if m.changed {
		m.publishRenewable()
	}
}

// poolRound writes the intent first and acts second: a controller that ends in
// between leaves a state from which the next one acts.
func (m *Manager) poolRound(ctx context.Context, view *view, name string) {
	p := m.pool(ctx, name)
	if p == nil {
		return
	}
	if m.quiet(view, p) {
		return
	}
	began := time.Now()
	m.decide(view, p)
	p.touched, p.planned, p.snapshot, p.workers = false, began, view.snapshot, view.workers[name]
	m.changed = true
	m.Metrics.plan.Observe(time.Since(began).Seconds())
	if p.dirty || !p.claimed {
		if err := m.save(ctx, p); err != nil {
			m.Log.Warn().Err(err).Str("pool", name).Msg("Placement not written.")
			m.writeFailed(p, err)
			return
		}
	}
	if p.startsDue(m.busy) && !p.confirmed && !m.confirm(ctx, p) {
		return
	}
	p.confirmed = false
	m.act(ctx, view, p)
}

// replanPause is how often a pool is planned in which nothing changed: ages,
// deadlines and probes of quarantined workers go on.
const replanPause = 5 * time.Second

// quiet reports whether a plan would find what the last one found. Without it
// the idle target costs two percent of a core.
func (m *Manager) quiet(v *view, p *poolState) bool {
	same := !p.dirty && p.claimed && !p.touched && p.snapshot == v.snapshot && slices.Equal(p.workers, v.workers[p.Pool])
	if !same || time.Since(p.planned) > replanPause {
		return false
	}
	for id, task := range p.Tasks {
		if _, due := p.nextCall(task); due || m.busy[id] {
			return false
		}
	}
	return true
}

// writeFailed makes sure that nothing is decided on a state that may not be
// the stored one. A conflict means that another controller decides too: then
// every state is read and claimed anew, so that of two controllers that both
// believe to hold the shard only the one that claimed last can write. Without
// that they could take a team over its quota in two pools at once.
func (m *Manager) writeFailed(p *poolState, err error) {
	p.stale = true
	if store.IsConflict(err) {
		m.loaded = false
	}
}

func (m *Manager) tell() {
	select {
	case m.news <- struct{}{}:
	default:
	}
}

// call runs one call to a worker in the background, a bounded number at once.
func (m *Manager) call(ctx context.Context, run func(ctx context.Context)) {
	go func() {
		m.calls <- struct{}{}
		defer func() { <-m.calls }()
		run(ctx)
	}()
}

// jobsOf returns the pools that have jobs, or had some.
func (m *Manager) jobsOf(snapshot *configstate.Snapshot) map[string]bool {
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
