package mover

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/hostview"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// Shard reports whether this controller owns the shard and may act.
type Shard interface{ Owned() bool }

// Confirmer returns the members that may still serve a configuration older than
// a revision.
type Confirmer interface {
	Lagging(ctx context.Context, revision store.Revision) []string
}

// Config configures a Mover.
type Config struct {
	Member      string
	Store       store.Store
	Feed        *configfeed.Feed
	Hosts       fleet.HostList
	HostControl fleet.HostControl
	Confirmer   Confirmer
	Grants      *budget.GrantStore
	Shard       Shard
	Invariant   *invariant.Checker
	Log         zerolog.Logger
	// Interval is the pause between two reconciles; zero means DefaultInterval.
	Interval time.Duration
}

// Defaults of a Mover.
const (
	// DefaultInterval is the default pause between two reconciles.
	DefaultInterval = 2 * time.Second
	// maxMoves limits the concurrent moves outside waves in the whole fleet, so
	// that a wrong record is noticed before it has moved every host.
	maxMoves = 10
	// probeTimeout is how long a reconcile with moves waits for host conditions.
	// It is the full timeout of a probe: reconciles are too far apart for a late
	// response to be used by the next one, so with a shorter timeout no host
	// would ever move on a platform that responds more slowly.
	probeTimeout = hostview.ProbeTimeout
	// maxViewAge is the maximum age of a view for acting on it: a view from before
	// a pause of the process may be out of date.
	maxViewAge = 5 * time.Second
)

// Mover applies assignments and moves while it owns the shard.
type Mover struct {
	Config
	prober         *hostview.Prober
	ages           *ageStore
	seen           map[string]seenRecord
	healthySince   map[string]time.Time
	drainRequested map[string]string
	loggedErrors   map[string]string
	// observedAt is when the view that is acted on was complete.
	observedAt time.Time
}

// seenRecord is a host record's revision and when this process first saw it.
type seenRecord struct {
	revision store.Revision
	at       time.Time
}

// New returns a Mover.
func New(config Config) *Mover {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	return &Mover{
		Config: config, prober: hostview.NewProber(config.HostControl, probeTimeout), ages: &ageStore{store: config.Store},
		seen: make(map[string]seenRecord), healthySince: make(map[string]time.Time),
		drainRequested: make(map[string]string), loggedErrors: make(map[string]string),
	}
}

// Serve assigns and moves hosts until ctx ends, while the shard is owned.
func (m *Mover) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.Shard.Owned() {
			m.Reconcile(ctx)
		} else {
			m.ages.reset()
		}
		pause.For(ctx, m.Interval)
	}
	return ctx.Err()
}

// Reconcile observes the fleet once and applies the steps that are due.
func (m *Mover) Reconcile(ctx context.Context) {
	hosts, err := m.Hosts.Hosts(ctx)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Could not read the host list.")
		return
	}
	snapshot := m.Feed.Snapshot()
	input := NewInput(snapshot, hosts)
	input.MaxMoves = maxMoves
	input.ReasonAges, err = m.ages.advance(ctx, input)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Could not load or store the ages of move reasons.")
	}
	listed := make(map[string]fleet.Host, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = host
	}
	for _, item := range snapshot.Hosts {
		m.firstSeen(item)
	}
	maps.DeleteFunc(m.seen, func(host string, _ seenRecord) bool { return snapshot.Hosts[host].Revision == 0 })
	m.observedAt = time.Now()
	m.advanceMoves(ctx, snapshot)
	m.apply(ctx, snapshot, listed, MakePlan(input))
}

func (m *Mover) apply(ctx context.Context, snapshot *configstate.Snapshot, listed map[string]fleet.Host, plan Plan) {
	for _, assignment := range plan.Assign {
		m.runStep(assignment.Host, "assign", assignment.Reason, func() error { return m.assign(ctx, assignment, listed[assignment.Host]) })
	}
	for _, change := range plan.Withdraw {
		m.runStep(change.Host, "withdraw", change.Reason, func() error { return m.withdraw(ctx, snapshot.Hosts[change.Host]) })
	}
	for _, change := range plan.Removals {
		m.runStep(change.Host, "forget", change.Reason, func() error { return m.forget(ctx, snapshot.Hosts[change.Host]) })
	}
	if len(plan.Moves) == 0 {
		return
	}
	view := m.view(ctx, snapshot, listed, plan.Moves)
	for _, move := range plan.Moves {
		m.runStep(move.Host, "move", move.Reason, func() error { return m.beginMove(ctx, view, move) })
	}
}

// view probes the hosts that serve the same services as the hosts to be moved
// without a wave. It probes none while no such move is planned.
func (m *Mover) view(ctx context.Context, snapshot *configstate.Snapshot, listed map[string]fleet.Host, moves []Move) *hostview.View {
	view := &hostview.View{Snapshot: snapshot, Records: snapshot.Hosts, Listed: listed, Locations: listed}
	services := make(map[string]bool)
	for _, move := range moves {
		if move.WithWave {
			continue
		}
		for _, service := range view.ServicesOf(move.From) {
			services[service] = true
		}
	}
	view.Conditions = m.prober.Refresh(ctx, view.ServingProbes(services))
	return view
}

// runStep runs one step if the shard is still owned and the view is recent. It
// logs success, and a failure once for each new error of a host.
func (m *Mover) runStep(host, verb, reason string, step func() error) {
	if !m.Shard.Owned() || time.Since(m.observedAt) > maxViewAge {
		return
	}
	err := step()
	switch {
	case err == nil:
		m.Log.Info().Str("host", host).Str("verb", verb).Str("reason", reason).Msg("Step applied.")
		delete(m.loggedErrors, host)
	case store.IsConflict(err):
		// The record was changed concurrently; the next reconcile observes it.
	case m.loggedErrors[host] != err.Error():
		m.loggedErrors[host] = err.Error()
		m.Log.Info().Err(err).Str("host", host).Str("verb", verb).Msg("Step deferred.")
	}
}

// NewInput builds the planner's input, except ReasonAges, from the active
// configuration and the platform's host list. A host that the platform lists as
// draining while a wave or a move has taken it out counts as live.
func NewInput(snapshot *configstate.Snapshot, hosts []fleet.Host) Input {
	input := Input{Pools: snapshot.Pools(), StabilizationWindow: StabilizationWindow(snapshot.Policy())}
	waves := snapshot.Waves()
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = true
		item, known := snapshot.Hosts[host.Name]
		input.Hosts = append(input.Hosts, Host{
			Name: host.Name, Zone: host.Zone, Rack: host.Rack,
			Live: host.State == fleet.HostLive || (known && !item.Schedulable()), HasRecord: known, Record: item.Record,
			MaintenanceDue: known && MaintenanceDue(waves, item.Record), VisitedByWave: visitedByWave(waves, item.Record),
		})
	}
	for name, item := range snapshot.Hosts {
		if !listed[name] {
			input.Hosts = append(input.Hosts, Host{
				Name: name, Zone: item.Zone, Rack: item.Rack, HasRecord: true, Record: item.Record,
				VisitedByWave: visitedByWave(waves, item.Record),
			})
		}
	}
	return input
}

// MaintenanceDue reports whether a running wave is still to drain a serving host.
func MaintenanceDue(waves map[string]*record.Wave, r hostrecord.Record) bool {
	if r.Phase != hostrecord.Serving {
		return false
	}
	for name, wave := range waves {
		_, visited := r.WaveOutcomes[name]
		if visited || wave.Paused || wave.Cancelled || !wave.Covers(r.Host) {
			continue
		}
		if slices.Contains(wave.Pools, r.Pool) {
			return true
		}
	}
	return false
}

func visitedByWave(waves map[string]*record.Wave, r hostrecord.Record) bool {
	for name := range r.WaveOutcomes {
		if waves[name] != nil {
			return true
		}
	}
	return false
}
