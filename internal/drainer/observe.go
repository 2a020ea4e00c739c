package drainer

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/hostview"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/wave"
)

// hostMemory is what this process remembers of one host. Losing it costs time
// and nothing else.
type hostMemory struct {
	// revision is the newest one seen of the host's record, at is when.
	revision store.Revision
	at       time.Time
	// own is this process's last write, which may be ahead of the feed.
	own *configstate.HostRecord
	// drained is the operation the platform was told to drain the host under,
	// changed is when the host last went a step further.
	drained string
	changed time.Time
	refusal string
	busy    bool
	// starting is the wave that is taking the host out right now.
	starting string
}

// observed is one round's view of the fleet.
type observed struct {
	hostview.View
	at time.Time
	// listed is when the platform's list was read.
	listed  time.Time
	waves   map[string]waveInForce
	lagging map[store.Revision]bool
}

func (d *Drainer) observe(ctx context.Context, snapshot *configstate.Snapshot, waves []waveInForce) *observed {
	o := &observed{
		View: hostview.View{
			Snapshot: snapshot, Listed: d.list.hosts, Locations: d.list.places,
			Records: make(map[string]configstate.HostRecord, len(snapshot.Hosts)),
		},
		at: time.Now(), listed: d.list.at,
		waves:   make(map[string]waveInForce, len(waves)),
		lagging: make(map[store.Revision]bool),
	}
	for _, w := range waves {
		o.waves[w.name] = w
	}
	d.rememberAll(o)
	o.Conditions = d.asker.Refresh(ctx, d.questions(o))
	for _, item := range o.Records {
		if _, asked := o.lagging[item.Revision]; item.Phase == hostrecord.Draining && item.Wave != "" && !asked {
			o.lagging[item.Revision] = len(d.Confirmer.Lagging(ctx, item.Revision)) > 0
		}
	}
	return o
}

// rememberAll fills in the newest record known of each host.
func (d *Drainer) rememberAll(o *observed) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, item := range o.Snapshot.Hosts {
		o.Records[name] = d.remember(name, item)
	}
}

// remember returns the newest record known of a host: this process's own last
// write may not have come back through the feed yet. Without it the next round
// would plan on a host as it was before. The caller holds mu.
func (d *Drainer) remember(name string, item configstate.HostRecord) configstate.HostRecord {
	m := d.memoryOf(name)
	if m.own != nil && m.own.Revision > item.Revision {
		item = *m.own
	} else {
		m.own = nil
	}
	if m.revision != item.Revision {
		m.revision, m.at = item.Revision, time.Now()
	}
	return item
}

// memoryOf returns what is remembered of a host; the caller holds mu.
func (d *Drainer) memoryOf(host string) *hostMemory {
	m := d.hosts[host]
	if m == nil {
		m = &hostMemory{}
		d.hosts[host] = m
	}
	return m
}

// questions lists the hosts whose condition this round needs: those out for a
// wave held here, as of now, and those that serve next to hosts that such a
// wave may take out, as of lately. The calls are at most hosts out per interval
// plus hosts serving per hostview.ServingAge.
func (d *Drainer) questions(o *observed) []hostview.Probe {
	services := make(map[string]bool)
	for name, w := range o.waves {
		spec := w.input.Spec
		if spec.Paused || spec.Cancelled || d.publisher.over(w) || !d.Shards.Owns(waveShard+name) {
			continue
		}
		for _, pool := range spec.Pools {
			for _, service := range o.ServicesOf(pool) {
				services[service] = true
			}
		}
	}
	questions := o.ServingProbes(services)
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, item := range o.Records {
		if item.Wave != "" && d.Shards.Owns(waveShard+item.Wave) {
			questions = append(questions, hostview.Probe{Host: name, MaxAge: d.Interval, NotBefore: d.memoryOf(name).changed})
		}
	}
	return questions
}

// fleetOf is the snapshot that all waves are planned from. Every controller
// plans all of them, and applies those it holds: the plans agree on who gets
// what the budgets allow. The book is made from records alone: a grant without
// a record lasts for moments, and the gate counts it. A remembered ledger could
// be behind, and a wave that it blocks would never ask the gate to read it anew.
func (d *Drainer) fleetOf(o *observed) wave.Snapshot {
	planned := wave.Snapshot{Policy: o.Snapshot.Policy(), Now: time.Now(), Waves: d.inputs(o)}
	var views []budget.ServiceState
	for service := range o.Snapshot.Services() {
		views = append(views, o.ServiceState(service))
	}
	planned.Budgets = budget.NewTrackerFromServices(views)
	return planned
}

// inputs are the waves with their hosts, by name.
func (d *Drainer) inputs(o *observed) []wave.Input {
	d.mu.Lock()
	defer d.mu.Unlock()
	var inputs []wave.Input
	for _, w := range sorted(o.waves) {
		w.input.Hosts = d.waveHosts(o, w)
		inputs = append(inputs, w.input)
	}
	return inputs
}

// waveHosts are the hosts of the wave's pools and those it has out elsewhere:
// a host may have left the pool, or the pool the wave, since it was taken out.
func (d *Drainer) waveHosts(o *observed, w waveInForce) []wave.Host {
	var hosts []wave.Host
	spec := w.input.Spec
	for _, item := range o.Records {
		visited := slices.Contains(spec.Pools, item.Pool) && spec.Covers(item.Host)
		if visited || item.Wave == w.name {
			hosts = append(hosts, d.waveHost(o, item))
		}
	}
	slices.SortFunc(hosts, func(a, b wave.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// waveHost never makes a host look further than is known: one whose condition
// isn't known is unreachable with work in flight. Taken for idle it would be
// rebooted under its requests.
func (d *Drainer) waveHost(o *observed, item configstate.HostRecord) wave.Host {
	m := d.memoryOf(item.Host)
	state, known := o.Conditions[item.Host]
	place := o.LocationOf(item.Host)
	lagging, asked := o.lagging[item.Revision]
	host := wave.Host{
		Name: item.Host, Zone: place.Zone, Rack: place.Rack, Record: item.Record,
		PhaseAge:        time.Since(m.at),
		RecordConfirmed: asked && !lagging,
		Down:            !o.Available(item.Host),
		DrainRequested:  item.Operation != "" && m.drained == item.Operation,
		Refusal:         m.refusal,
		InFlight:        unknownInFlight,
		BootID:          item.BootID,
	}
	if !known || state.ProbedAt.Before(m.changed) {
		listed, ok := o.Listed[item.Host]
		host.ConditionUnknown = ok && listed.State == fleet.HostLive
		return host
	}
	host.Reachable, host.Healthy, host.LastOperation = state.Reachable, state.Healthy, state.LastOperation
	host.InFlight = state.InFlight
	host.BootID = state.BootID
	if state.Healthy {
		host.HealthyFor = time.Since(state.HealthySince)
	}
	return host
}

// unknownInFlight stands for work that may be there.
const unknownInFlight = 1

// anyOut reports whether any host is out for the wave, failed ones included.
func (o *observed) anyOut(waveName string) bool {
	for _, item := range o.Records {
		if item.Wave == waveName {
			return true
		}
	}
	return false
}

// abandoned is the plan's input for a deleted wave: as if it were cancelled,
// with the durations it had as far as this process knows them.
func (d *Drainer) abandoned(name string) wave.Input {
	spec := record.Wave{}
	if last, known := d.specs[name]; known {
		spec = *last.Spec
	}
	spec.Pools, spec.Cancelled = nil, true
	return wave.Input{Name: name, Spec: &spec}
}

func sorted(waves map[string]waveInForce) []waveInForce {
	return slices.SortedFunc(maps.Values(waves), func(a, b waveInForce) int { return strings.Compare(a.name, b.name) })
}
