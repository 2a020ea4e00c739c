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

// Shard tells whether this controller may act.
type Shard interface{ Owned() bool }

// Confirmer answers which members may still serve a configuration older than
// a revision.
type Confirmer interface {
	Lagging(ctx context.Context, revision store.Revision) []string
}

// Config is what a Mover is made of.
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
	// Interval is the pause between two rounds; zero means DefaultInterval.
	Interval time.Duration
}

// Defaults of a Mover.
const (
	// DefaultInterval is the pause between two rounds.
	DefaultInterval = 2 * time.Second
	// maxMoves bounds the hosts in moves of their own at once, for the whole
	// fleet: a wrong record is seen before it has moved everything.
	maxMoves = 10
	// patience is how long a round with moves waits to hear how hosts are: for
	// every answer there will be. Rounds are too far apart for a late answer to
	// serve the next one, and a platform that took longer to answer than the
	// patience would never let a host move.
	patience = hostview.ProbeTimeout
	// decisionAge is how old a view may be that is acted on: one from before a
	// pause may show a fleet that is no longer there.
	decisionAge = 5 * time.Second
)

// Mover applies assignments and moves while it holds the shard.
type Mover struct {
	Config
	asker   *hostview.Prober
	lasted  *lastedRecord
	seen    map[string]seenRecord
	healthy map[string]time.Time
	drained map[string]string
	reasons map[string]string
	// observed is when the view that is acted on was complete.
	observed time.Time
}

// seenRecord is when this process first saw a host record's revision.
type seenRecord struct {
	revision store.Revision
	at       time.Time
}

// New returns a mover.
func New(config Config) *Mover {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	return &Mover{
		Config: config, asker: hostview.NewProber(config.HostControl, patience), lasted: &lastedRecord{store: config.Store},
		seen: make(map[string]seenRecord), healthy: make(map[string]time.Time),
		drained: make(map[string]string), reasons: make(map[string]string),
	}
}

// Serve assigns and moves hosts until ctx ends.
func (m *Mover) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if m.Shard.Owned() {
			m.Reconcile(ctx)
		} else {
			m.lasted.forget()
		}
		pause.For(ctx, m.Interval)
	}
	return ctx.Err()
}

// Reconcile observes once and applies what is due.
func (m *Mover) Reconcile(ctx context.Context) {
	hosts, err := m.Hosts.Hosts(ctx)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Host list not read.")
		return
	}
	snapshot := m.Feed.Snapshot()
	input := NewInput(snapshot, hosts)
	input.MaxMoves = maxMoves
	input.ReasonAges, err = m.lasted.age(ctx, input)
	if err != nil {
		m.Log.Warn().Err(err).Msg("Ages of reasons to move not kept.")
	}
	listed := make(map[string]fleet.Host, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = host
	}
	for _, item := range snapshot.Hosts {
		m.firstSeen(item)
	}
	maps.DeleteFunc(m.seen, func(host string, _ seenRecord) bool { return snapshot.Hosts[host].Revision == 0 })
	m.observed = time.Now()
	m.advance(ctx, snapshot)
	m.apply(ctx, snapshot, listed, MakePlan(input))
}

func (m *Mover) apply(ctx context.Context, snapshot *configstate.Snapshot, listed map[string]fleet.Host, plan Plan) {
	for _, assignment := range plan.Assign {
		m.try(assignment.Host, "assign", assignment.Reason, func() error { return m.assign(ctx, assignment, listed[assignment.Host]) })
	}
	for _, change := range plan.Withdraw {
		m.try(change.Host, "withdraw", change.Reason, func() error { return m.withdraw(ctx, snapshot.Hosts[change.Host]) })
	}
	for _, change := range plan.Forget {
		m.try(change.Host, "forget", change.Reason, func() error { return m.forget(ctx, snapshot.Hosts[change.Host]) })
	}
	if len(plan.Moves) == 0 {
		return
	}
	view := m.view(ctx, snapshot, listed, plan.Moves)
	for _, move := range plan.Moves {
		m.try(move.Host, "move", move.Reason, func() error { return m.begin(ctx, view, move) })
	}
}

// view asks the hosts how they are that serve next to those that are to move by
// themselves. That costs nothing while no such move is planned.
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
	view.Conditions = m.asker.Refresh(ctx, view.ServingProbes(services))
	return view
}

// try runs one act if the shard is still held, and logs how it went once per
// reason.
func (m *Mover) try(host, verb, reason string, act func() error) {
	if !m.Shard.Owned() || time.Since(m.observed) > decisionAge {
		return
	}
	err := act()
	switch {
	case err == nil:
		m.Log.Info().Str("host", host).Str("verb", verb).Str("reason", reason).Msg("Step applied.")
		delete(m.reasons, host)
	case store.IsConflict(err):
		// Someone changed the record in between; the next round observes it.
	case m.reasons[host] != err.Error():
		m.reasons[host] = err.Error()
		m.Log.Info().Err(err).Str("host", host).Str("verb", verb).Msg("Step waits.")
	}
}

// NewInput builds the planner's snapshot from the configuration in force and
// the platform's list, without the reasons' ages. A host that the platform
// lists as leaving while it is out by our own doing isn't lost.
func NewInput(snapshot *configstate.Snapshot, hosts []fleet.Host) Input {
	input := Input{Pools: snapshot.Pools(), StabilizationWindow: StabilizationWindow(snapshot.Policy())}
	waves := snapshot.Waves()
	listed := make(map[string]bool, len(hosts))
	for _, host := range hosts {
		listed[host.Name] = true
		item, known := snapshot.Hosts[host.Name]
		input.Hosts = append(input.Hosts, Host{
			Name: host.Name, Zone: host.Zone, Rack: host.Rack,
			Live: host.State == fleet.HostLive || (known && !item.TakesWork()), HasRecord: known, Record: item.Record,
			MaintenanceDue: known && MaintenanceDue(waves, item.Record), VisitedByWave: remembered(waves, item.Record),
		})
	}
	for name, item := range snapshot.Hosts {
		if !listed[name] {
			input.Hosts = append(input.Hosts, Host{
				Name: name, Zone: item.Zone, Rack: item.Rack, HasRecord: true, Record: item.Record,
				VisitedByWave: remembered(waves, item.Record),
			})
		}
	}
	return input
}

// MaintenanceDue reports whether a running wave has yet to drain a serving host.
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

func remembered(waves map[string]*record.Wave, r hostrecord.Record) bool {
	for name := range r.WaveOutcomes {
		if waves[name] != nil {
			return true
		}
	}
	return false
}
