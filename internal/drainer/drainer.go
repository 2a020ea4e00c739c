// Package drainer runs maintenance waves with a reconcile loop: it observes the
// fleet, asks the wave planner for steps and applies at most one step per host at
// a time. All progress is stored in host records, so that another controller can
// continue after a failover.
package drainer

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostview"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/wave"
)

// Confirmer determines which members serve a revision. Lagging returns the members
// that may still serve an older one.
type Confirmer interface {
	Lagging(ctx context.Context, revision store.Revision) []string
}

// StatusSink writes a status under a key asynchronously.
type StatusSink interface {
	Put(key string, value []byte)
}

// Shards reports which shards this controller owns and may act on. Each wave is
// one shard; the sweep over the whole fleet is another.
type Shards interface{ Owns(shard string) bool }

// The shards of a drainer.
const (
	waveShard  = "wave/"
	sweepShard = "sweep"
)

// Config configures a Drainer.
type Config struct {
	Member      string
	Store       store.Store
	Status      StatusSink
	Feed        *configfeed.Feed
	Hosts       fleet.HostList
	HostControl fleet.HostControl
	Confirmer   Confirmer
	Shards      Shards
	Grants      *budget.GrantStore
	Invariant   *invariant.Checker
	Log         zerolog.Logger
	Registry    prometheus.Registerer
	// Interval is the maximum time between two reconciles; zero means
	// DefaultInterval. A configuration change triggers a reconcile earlier.
	Interval time.Duration
}

const (
	// DefaultInterval is the default maximum time between two reconciles.
	DefaultInterval = time.Second
	// maxReconcilesPerInterval limits the reconciles per interval, however often the
	// configuration changes.
	maxReconcilesPerInterval = 10
	// maxConcurrentSteps limits the steps applied at once. Steps run concurrently so
	// that a slow host does not delay others.
	maxConcurrentSteps = 16
	// probeTimeout is how long a reconcile waits for the conditions of hosts.
	probeTimeout = 250 * time.Millisecond
	// maxDecisionAge is the maximum age of the observation on which a host is taken
	// out.
	maxDecisionAge = 5 * time.Second
)

// Drainer runs every active wave whose shard it owns.
type Drainer struct {
	Config
	metrics    *metrics
	prober     *hostview.Prober
	sweeper    *sweeper
	publisher  *publisher
	wake       chan struct{}
	stepSlots  chan struct{}
	inProgress sync.WaitGroup

	mu       sync.Mutex
	hosts    map[string]*hostState
	specs    map[string]wave.Input
	hostList hostListing
}

// New returns a Drainer. Serve starts it.
func New(config Config) *Drainer {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	return &Drainer{
		Config:    config,
		metrics:   newMetrics(config.Registry),
		prober:    hostview.NewProber(config.HostControl, probeTimeout),
		sweeper:   newSweeper(),
		publisher: newPublisher(config.Status),
		wake:      make(chan struct{}, 1),
		stepSlots: make(chan struct{}, maxConcurrentSteps),
		hosts:     make(map[string]*hostState),
		specs:     make(map[string]wave.Input),
	}
}

// Serve reconciles until ctx ends, and waits for steps in progress.
func (d *Drainer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := d.Feed.Current()
		d.Reconcile(ctx)
		d.metrics.lastReconcile.SetToCurrentTime()
		pause.For(ctx, d.Interval/maxReconcilesPerInterval)
		d.waitForTrigger(ctx, changed)
	}
	d.inProgress.Wait()
	return ctx.Err()
}

// waitForTrigger returns when the next reconcile is due: the configuration
// changed, a step completed, or the interval has passed.
func (d *Drainer) waitForTrigger(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(d.Interval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-d.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Reconcile observes the fleet once and starts the steps that are due.
func (d *Drainer) Reconcile(ctx context.Context) {
	snapshot := d.Feed.Snapshot()
	if d.Shards.Owns(sweepShard) {
		d.sweep(ctx, snapshot)
	}
	waves := d.activeWaves(snapshot)
	if !d.ownsUnfinishedWave(waves) {
		return
	}
	if err := d.refreshHostList(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("Failed to read the host list.")
		return
	}
	observed := d.observe(ctx, snapshot, waves)
	for _, plan := range wave.PlanAll(d.planInput(observed)) {
		d.apply(ctx, observed, plan)
	}
}

// ownsUnfinishedWave reports whether this controller owns a wave that is not
// finished.
func (d *Drainer) ownsUnfinishedWave(waves []activeWave) bool {
	for _, w := range waves {
		if d.Shards.Owns(waveShard+w.name) && !d.publisher.finished(w) {
			return true
		}
	}
	return false
}

// apply starts a plan's steps. The status is published last, so that a wave is
// never reported as finished before its last steps are started.
func (d *Drainer) apply(ctx context.Context, o *observation, plan wave.Plan) {
	shard := waveShard + plan.Status.Wave
	if !d.Shards.Owns(shard) {
		return
	}
	starting := d.isStartingHost(plan.Status.Wave)
	for _, step := range plan.Steps {
		if step.Verb == wave.MarkDraining && starting {
			// The plan does not include the hosts that are being taken out
			// right now; another one could exceed the wave's parallelism.
			continue
		}
		d.startStep(ctx, o, plan.Status.Wave, step)
	}
	if w := o.waves[plan.Status.Wave]; !w.deleted {
		d.publisher.publish(w, plan.Status, o.hasHostsOut(w.name))
	}
}

// hostListing is the platform's host list as last read.
type hostListing struct {
	hosts map[string]fleet.Host
	// locations holds each host as it was last listed. A host that is unavailable
	// is not listed, but still belongs to its failure domain.
	locations map[string]fleet.Host
	readAt    time.Time
}

// refreshHostList reads the host list at most once per interval, and often enough
// for it to stay within maxDecisionAge.
func (d *Drainer) refreshHostList(ctx context.Context) error {
	if time.Since(d.hostList.readAt) < min(d.Interval, maxDecisionAge/2) {
		return nil
	}
	requestedAt := time.Now()
	hosts, err := d.Hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	next := hostListing{readAt: requestedAt, hosts: make(map[string]fleet.Host, len(hosts)), locations: maps.Clone(d.hostList.locations)}
	if next.locations == nil {
		next.locations = make(map[string]fleet.Host, len(hosts))
	}
	for _, host := range hosts {
		next.hosts[host.Name] = host
		next.locations[host.Name] = host
	}
	// The maps are replaced because running steps still read the previous ones.
	d.hostList = next
	return nil
}

// trigger requests the next reconcile before the interval has passed.
func (d *Drainer) trigger() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// activeWave is a wave in the configuration, or a deleted one with hosts still
// out.
type activeWave struct {
	name  string
	input wave.Input
	// revision is the configuration revision in which the wave was looked up.
	revision store.Revision
	// deleted is set when the wave's record is gone while hosts are still out for
	// it.
	deleted bool
}

// activeWaves returns the configured waves and those that were deleted with hosts
// still out. Without the latter these hosts would stay out forever and keep their
// grants.
func (d *Drainer) activeWaves(snapshot *configstate.Snapshot) []activeWave {
	waves := make(map[string]activeWave)
	for name, spec := range snapshot.Waves() {
		input := wave.Input{Name: name, Spec: spec}
		d.specs[name] = input
		waves[name] = activeWave{name: name, input: input, revision: snapshot.Revision}
	}
	for _, item := range snapshot.Hosts {
		if _, known := waves[item.Wave]; item.Wave == "" || known {
			continue
		}
		waves[item.Wave] = activeWave{name: item.Wave, input: d.deletedWaveInput(item.Wave), revision: snapshot.Revision, deleted: true}
	}
	return sorted(waves)
}
