// Package drainer drives maintenance waves: it observes, asks the wave planner
// what to do, applies one small step per host, and returns to observe. All its
// progress is in host records, so another controller goes on where one ended.
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

// Confirmer answers which members serve a revision. Lagging returns the
// members that may still serve an older one.
type Confirmer interface {
	Lagging(ctx context.Context, revision store.Revision) []string
}

// StatusSink has a status written under a key, sooner or later.
type StatusSink interface {
	Put(key string, value []byte)
}

// Shards tells which shards this controller may act on. Each wave is one, and
// so is the sweep over the whole fleet.
type Shards interface{ Owns(shard string) bool }

// The shards of a drainer.
const (
	waveShard  = "wave/"
	sweepShard = "sweep"
)

// Config is what a Drainer is made of.
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
	// Interval is the longest pause between two rounds; zero means
	// DefaultInterval. Changes of the configuration start a round earlier.
	Interval time.Duration
}

const (
	// DefaultInterval is the longest pause between two rounds.
	DefaultInterval = time.Second
	// gapsPerInterval sets the shortest pause between two rounds: however much
	// changes, there are at most this many rounds an interval.
	gapsPerInterval = 10
	// maxActs bounds the steps applied at once, so that one slow host holds up
	// no other.
	maxActs = 16
	// patience is how long a round waits to hear how hosts are.
	patience = 250 * time.Millisecond
	// decisionAge is how old a view of the fleet may be for a host to be taken
	// out on it.
	decisionAge = 5 * time.Second
)

// Drainer drives every wave in force whose shard it holds.
type Drainer struct {
	Config
	metrics   *metrics
	asker     *hostview.Prober
	sweeper   *sweeper
	publisher *publisher
	wake      chan struct{}
	slots     chan struct{}
	acting    sync.WaitGroup

	mu    sync.Mutex
	hosts map[string]*hostMemory
	specs map[string]wave.Input
	list  listing
}

// New returns a drainer.
func New(config Config) *Drainer {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	return &Drainer{
		Config:    config,
		metrics:   newMetrics(config.Registry),
		asker:     hostview.NewProber(config.HostControl, patience),
		sweeper:   newSweeper(),
		publisher: newPublisher(config.Status),
		wake:      make(chan struct{}, 1),
		slots:     make(chan struct{}, maxActs),
		hosts:     make(map[string]*hostMemory),
		specs:     make(map[string]wave.Input),
	}
}

// Serve drives waves until ctx ends.
func (d *Drainer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := d.Feed.Current()
		d.Reconcile(ctx)
		d.metrics.lastRound.SetToCurrentTime()
		pause.For(ctx, d.Interval/gapsPerInterval)
		d.await(ctx, changed)
	}
	d.acting.Wait()
	return ctx.Err()
}

// await returns once something may be due: the configuration changed, a step
// ended, or the interval is over.
func (d *Drainer) await(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(d.Interval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-d.wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Reconcile observes once and starts the steps that are due.
func (d *Drainer) Reconcile(ctx context.Context) {
	snapshot := d.Feed.Snapshot()
	if d.Shards.Owns(sweepShard) {
		d.sweep(ctx, snapshot)
	}
	waves := d.wavesOf(snapshot)
	if !d.anyHeld(waves) {
		return
	}
	if err := d.readList(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("Host list not read.")
		return
	}
	observed := d.observe(ctx, snapshot, waves)
	for _, plan := range wave.PlanAll(d.fleetOf(observed)) {
		d.apply(ctx, observed, plan)
	}
}

// anyHeld reports whether this controller holds a wave that isn't over.
func (d *Drainer) anyHeld(waves []waveInForce) bool {
	for _, w := range waves {
		if d.Shards.Owns(waveShard+w.name) && !d.publisher.over(w) {
			return true
		}
	}
	return false
}

// apply starts a plan's steps. The publisher hears of the plan last, so that
// the end of a wave is never told before it.
func (d *Drainer) apply(ctx context.Context, o *observed, plan wave.Plan) {
	shard := waveShard + plan.Status.Wave
	if !d.Shards.Owns(shard) {
		return
	}
	starting := d.starting(plan.Status.Wave)
	for _, step := range plan.Steps {
		if step.Verb == wave.MarkDraining && starting {
			// The plan can't know yet which hosts those starts will have
			// taken out; another host on top could go over the wave's width.
			continue
		}
		d.start(ctx, o, plan.Status.Wave, step)
	}
	if w := o.waves[plan.Status.Wave]; !w.abandoned {
		d.publisher.publish(w, plan.Status, o.anyOut(w.name))
	}
}

// listing is the platform's host list as last read.
type listing struct {
	hosts map[string]fleet.Host
	// places is where each host was when it was last listed: a host that is
	// away isn't listed, and still belongs to its failure domain.
	places map[string]fleet.Host
	at     time.Time
}

// readList reads the host list at most once an interval, and often enough for
// decisions to rest on it.
func (d *Drainer) readList(ctx context.Context) error {
	if time.Since(d.list.at) < min(d.Interval, decisionAge/2) {
		return nil
	}
	asked := time.Now()
	hosts, err := d.Hosts.Hosts(ctx)
	if err != nil {
		return err
	}
	next := listing{at: asked, hosts: make(map[string]fleet.Host, len(hosts)), places: maps.Clone(d.list.places)}
	if next.places == nil {
		next.places = make(map[string]fleet.Host, len(hosts))
	}
	for _, host := range hosts {
		next.hosts[host.Name] = host
		next.places[host.Name] = host
	}
	// Steps under way still read the earlier maps.
	d.list = next
	return nil
}

// signal starts the next round early.
func (d *Drainer) signal() {
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// waveInForce is a wave's record, or what is left of a deleted one.
type waveInForce struct {
	name  string
	input wave.Input
	// revision is that of the configuration the wave was looked up in.
	revision store.Revision
	// abandoned says that the record is gone while hosts are still out for it.
	abandoned bool
}

// wavesOf returns the waves in force and those that were deleted with hosts
// still out: without them these hosts would stay out for ever, with their
// grants.
func (d *Drainer) wavesOf(snapshot *configstate.Snapshot) []waveInForce {
	waves := make(map[string]waveInForce)
	for name, spec := range snapshot.Waves() {
		input := wave.Input{Name: name, Spec: spec}
		d.specs[name] = input
		waves[name] = waveInForce{name: name, input: input, revision: snapshot.Revision}
	}
	for _, item := range snapshot.Hosts {
		if _, known := waves[item.Wave]; item.Wave == "" || known {
			continue
		}
		waves[item.Wave] = waveInForce{name: item.Wave, input: d.abandoned(item.Wave), revision: snapshot.Revision, abandoned: true}
	}
	return sorted(waves)
}
