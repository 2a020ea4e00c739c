// Package drainer drives maintenance waves: it observes, asks the wave planner
// what to do, applies one small step per host, and returns to observe. All its
// progress is in host records, so another controller goes on where one ended.
package drainer

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/catalog"
	"auburnglade.example/glade/internal/feed"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/wave"
)

// Confirmer answers which members serve a revision. Lagging returns the
// members that may still serve an older one.
type Confirmer interface {
	Lagging(ctx context.Context, revision store.Revision) []string
}

// Shard tells whether this controller may act.
type Shard interface{ Held() bool }

// StatusSink has a status written under a key, sooner or later.
type StatusSink interface {
	Put(key string, value []byte)
}

// Config is what a Drainer is made of.
type Config struct {
	Member    string
	Store     store.Store
	Status    StatusSink
	Feed      *feed.Feed
	Hosts     fleet.HostList
	Pool      fleet.PoolHosts
	Confirmer Confirmer
	Shard     Shard
	Gate      *budget.Gate
	Invariant *invariant.Checker
	Log       zerolog.Logger
	// Interval is the pause between two rounds; zero means DefaultInterval.
	Interval time.Duration
}

// DefaultInterval is the pause between two rounds.
const DefaultInterval = time.Second

// Drainer drives every wave in force while it holds the shard.
type Drainer struct {
	Config
	seen     map[string]phaseSeen
	healthy  map[string]time.Time
	drained  map[string]string
	refusals map[string]string
}

// phaseSeen is when this process first saw a host record's revision.
type phaseSeen struct {
	revision store.Revision
	at       time.Time
}

// New returns a drainer.
func New(config Config) *Drainer {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	return &Drainer{
		Config:   config,
		seen:     make(map[string]phaseSeen),
		healthy:  make(map[string]time.Time),
		drained:  make(map[string]string),
		refusals: make(map[string]string),
	}
}

// Serve drives waves until ctx ends.
func (d *Drainer) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.Shard.Held() {
			d.Round(ctx)
		}
		pause.For(ctx, d.Interval)
	}
	return ctx.Err()
}

// Round observes once and applies the steps that are due.
func (d *Drainer) Round(ctx context.Context) {
	snapshot := d.Feed.Snapshot()
	hosts, err := d.Hosts.Hosts(ctx)
	if err != nil {
		d.Log.Warn().Err(err).Msg("Host list not read.")
		return
	}
	observed := d.observe(ctx, snapshot, hosts)
	d.releaseOrphans(ctx, observed)
	for _, plan := range wave.MakeAll(d.fleetOf(observed)) {
		for _, step := range plan.Steps {
			d.apply(ctx, observed, plan.Status.Wave, step)
		}
		d.publish(plan.Status)
	}
}

// fleetOf is the snapshot that all waves are planned from.
func (d *Drainer) fleetOf(o *observed) wave.Fleet {
	planned := wave.Fleet{Policy: o.snapshot.Policy(), Now: time.Now()}
	waves := o.snapshot.Waves()
	if len(waves) == 0 {
		return planned
	}
	for _, name := range slices.Sorted(maps.Keys(waves)) {
		spec := waves[name]
		planned.Waves = append(planned.Waves, wave.Input{Name: name, Spec: spec, Hosts: d.waveHosts(o, spec)})
	}
	var views []budget.View
	for service := range o.snapshot.Services() {
		views = append(views, o.view(service))
	}
	planned.Book = budget.BookOf(views)
	return planned
}

// observed is one round's view of the fleet.
type observed struct {
	snapshot *catalog.Snapshot
	listed   map[string]fleet.Host
	states   map[string]fleet.HostCondition
	lagging  map[store.Revision]bool
}

func (d *Drainer) observe(ctx context.Context, snapshot *catalog.Snapshot, hosts []fleet.Host) *observed {
	o := &observed{
		snapshot: snapshot,
		listed:   make(map[string]fleet.Host, len(hosts)),
		states:   make(map[string]fleet.HostCondition),
		lagging:  make(map[store.Revision]bool),
	}
	for _, host := range hosts {
		o.listed[host.Name] = host
	}
	for name, item := range snapshot.Hosts {
		if d.seen[name].revision != item.Revision {
			d.seen[name] = phaseSeen{revision: item.Revision, at: time.Now()}
		}
		if item.TakesWork() && item.Wave == "" {
			continue
		}
		d.inspect(ctx, o, name, item)
	}
	return o
}

// inspect asks the platform about a host that is out.
func (d *Drainer) inspect(ctx context.Context, o *observed, host string, item catalog.HostItem) {
	condition, err := d.Pool.Condition(ctx, host)
	if err != nil {
		delete(d.healthy, host)
		return
	}
	o.states[host] = condition
	if !condition.Healthy {
		delete(d.healthy, host)
	} else if _, ok := d.healthy[host]; !ok {
		d.healthy[host] = time.Now()
	}
	if _, asked := o.lagging[item.Revision]; !asked {
		o.lagging[item.Revision] = len(d.Confirmer.Lagging(ctx, item.Revision)) > 0
	}
}

func (d *Drainer) waveHosts(o *observed, spec *record.Wave) []wave.Host {
	var hosts []wave.Host
	for _, pool := range spec.Pools {
		for _, name := range o.snapshot.HostsOf(pool) {
			if spec.Covers(name) {
				hosts = append(hosts, d.waveHost(o, name))
			}
		}
	}
	return hosts
}

func (d *Drainer) waveHost(o *observed, name string) wave.Host {
	item := o.snapshot.Hosts[name]
	condition := o.states[name]
	host := wave.Host{
		Name:          name,
		Zone:          o.listed[name].Zone,
		Rack:          o.listed[name].Rack,
		Record:        item.Record,
		Age:           time.Since(d.seen[name].at),
		Confirmed:     !o.lagging[item.Revision],
		Reachable:     condition.Reachable,
		Healthy:       condition.Healthy,
		BootID:        condition.BootID,
		InFlight:      condition.InFlight,
		LastOperation: condition.LastOperation,
		Down:          o.down(name),
		Drained:       item.Operation != "" && d.drained[name] == item.Operation,
		Refusal:       d.refusals[name],
	}
	if since, ok := d.healthy[name]; ok {
		host.HealthyFor = time.Since(since)
	}
	return host
}

// down reports whether the platform's list doesn't show a host as live.
func (o *observed) down(name string) bool {
	host, listed := o.listed[name]
	return !listed || host.State != fleet.HostLive
}
