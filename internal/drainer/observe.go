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

// hostState is the in-memory state of one host. Losing it only causes delays.
type hostState struct {
	// revision is the newest revision of the host record that was seen,
	// revisionSeenAt the time at which it was first seen.
	revision       store.Revision
	revisionSeenAt time.Time
	// lastWrite is this process's last write, which may be newer than the feed.
	lastWrite *configstate.HostRecord
	// drainOperation is the operation under which the platform was asked to drain
	// the host. changedAt is when the last step of the host was applied.
	drainOperation string
	changedAt      time.Time
	refusal        string
	busy           bool
	// startingFor is the wave that is currently taking the host out.
	startingFor string
}

// observation is the view of the fleet in one reconcile.
type observation struct {
	hostview.View
	at time.Time
	// listedAt is when the platform's host list was read.
	listedAt time.Time
	waves    map[string]activeWave
	lagging  map[store.Revision]bool
}

func (d *Drainer) observe(ctx context.Context, snapshot *configstate.Snapshot, waves []activeWave) *observation {
	o := &observation{
		View: hostview.View{
			Snapshot: snapshot, Listed: d.hostList.hosts, Locations: d.hostList.locations,
			Records: make(map[string]configstate.HostRecord, len(snapshot.Hosts)),
		},
		at: time.Now(), listedAt: d.hostList.readAt,
		waves:   make(map[string]activeWave, len(waves)),
		lagging: make(map[store.Revision]bool),
	}
	for _, w := range waves {
		o.waves[w.name] = w
	}
	d.mergeRecords(o)
	o.Conditions = d.prober.Refresh(ctx, d.probes(o))
	for _, item := range o.Records {
		if _, checked := o.lagging[item.Revision]; item.Phase == hostrecord.Draining && item.Wave != "" && !checked {
			o.lagging[item.Revision] = len(d.Confirmer.Lagging(ctx, item.Revision)) > 0
		}
	}
	return o
}

// mergeRecords fills in the newest known record of each host.
func (d *Drainer) mergeRecords(o *observation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, item := range o.Snapshot.Hosts {
		o.Records[name] = d.newestRecord(name, item)
	}
}

// newestRecord returns the newest known record of a host. The feed may not show this
// process's last write yet; without it the next reconcile would plan with an
// outdated record. The caller must hold d.mu.
func (d *Drainer) newestRecord(name string, item configstate.HostRecord) configstate.HostRecord {
	state := d.stateOf(name)
	if state.lastWrite != nil && state.lastWrite.Revision > item.Revision {
		item = *state.lastWrite
	} else {
		state.lastWrite = nil
	}
	if state.revision != item.Revision {
		state.revision, state.revisionSeenAt = item.Revision, time.Now()
	}
	return item
}

// stateOf returns the state of a host, creating it if needed. The caller must hold
// d.mu.
func (d *Drainer) stateOf(host string) *hostState {
	state := d.hosts[host]
	if state == nil {
		state = &hostState{}
		d.hosts[host] = state
	}
	return state
}

// probes returns the hosts whose condition this reconcile needs: hosts that are out
// for an owned wave, probed every interval, and serving hosts of the services that
// such a wave affects, probed every hostview.MaxServingAge. The calls are limited
// to the hosts out per interval plus the hosts serving per hostview.MaxServingAge.
func (d *Drainer) probes(o *observation) []hostview.Probe {
	services := make(map[string]bool)
	for name, w := range o.waves {
		spec := w.input.Spec
		if spec.Paused || spec.Cancelled || d.publisher.finished(w) || !d.Shards.Owns(waveShard+name) {
			continue
		}
		for _, pool := range spec.Pools {
			for _, service := range o.ServicesOf(pool) {
				services[service] = true
			}
		}
	}
	probes := o.ServingProbes(services)
	d.mu.Lock()
	defer d.mu.Unlock()
	for name, item := range o.Records {
		if item.Wave != "" && d.Shards.Owns(waveShard+item.Wave) {
			probes = append(probes, hostview.Probe{Host: name, MaxAge: d.Interval, NotBefore: d.stateOf(name).changedAt})
		}
	}
	return probes
}

// planInput returns the snapshot from which all waves are planned. Every controller
// plans all waves but applies only those it owns, so that the plans agree on how
// the budgets are shared. The tracker is built from host records alone. A grant
// without a record exists only briefly, and the grant store counts it. A cached
// grant set might be outdated, and a wave that it blocked would never cause the
// grant store to read it again.
func (d *Drainer) planInput(o *observation) wave.Snapshot {
	planned := wave.Snapshot{Policy: o.Snapshot.Policy(), Now: time.Now(), Waves: d.waveInputs(o)}
	var states []budget.ServiceState
	for service := range o.Snapshot.Services() {
		states = append(states, o.ServiceState(service))
	}
	planned.Budgets = budget.NewTrackerFromServices(states)
	return planned
}

// waveInputs returns the waves with their hosts, sorted by name.
func (d *Drainer) waveInputs(o *observation) []wave.Input {
	d.mu.Lock()
	defer d.mu.Unlock()
	var inputs []wave.Input
	for _, w := range sorted(o.waves) {
		w.input.Hosts = d.waveHosts(o, w)
		inputs = append(inputs, w.input)
	}
	return inputs
}

// waveHosts returns the hosts of the wave's pools and all other hosts that the wave
// has out: since it was taken out, a host may have left the pool, or the pool may
// have been removed from the wave.
func (d *Drainer) waveHosts(o *observation, w activeWave) []wave.Host {
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

// waveHost returns a host as input for the planner. A host whose condition is unknown
// counts as unreachable with work in flight. If it counted as idle, it would be
// rebooted while it serves requests.
func (d *Drainer) waveHost(o *observation, item configstate.HostRecord) wave.Host {
	state := d.stateOf(item.Host)
	condition, ok := o.Conditions[item.Host]
	location := o.LocationOf(item.Host)
	lagging, checked := o.lagging[item.Revision]
	host := wave.Host{
		Name: item.Host, Zone: location.Zone, Rack: location.Rack, Record: item.Record,
		PhaseAge:        time.Since(state.revisionSeenAt),
		RecordConfirmed: checked && !lagging,
		Down:            !o.Available(item.Host),
		DrainRequested:  item.Operation != "" && state.drainOperation == item.Operation,
		Refusal:         state.refusal,
		InFlight:        assumedInFlight,
		BootID:          item.BootID,
	}
	if !ok || condition.ProbedAt.Before(state.changedAt) {
		listed, ok := o.Listed[item.Host]
		host.ConditionUnknown = ok && listed.State == fleet.HostLive
		return host
	}
	host.Reachable, host.Healthy, host.LastOperation = condition.Reachable, condition.Healthy, condition.LastOperation
	host.InFlight = condition.InFlight
	host.BootID = condition.BootID
	if condition.Healthy {
		host.HealthyFor = time.Since(condition.HealthySince)
	}
	return host
}

// assumedInFlight is the number of requests assumed on a host of unknown condition.
const assumedInFlight = 1

// hasHostsOut reports whether any host is out for the wave, including failed ones.
func (o *observation) hasHostsOut(waveName string) bool {
	for _, item := range o.Records {
		if item.Wave == waveName {
			return true
		}
	}
	return false
}

// deletedWaveInput returns the plan input of a deleted wave: it is treated as
// cancelled, with its last timeouts if this process has seen them.
func (d *Drainer) deletedWaveInput(name string) wave.Input {
	spec := record.Wave{}
	if last, ok := d.specs[name]; ok {
		spec = *last.Spec
	}
	spec.Pools, spec.Cancelled = nil, true
	return wave.Input{Name: name, Spec: &spec}
}

func sorted(waves map[string]activeWave) []activeWave {
	return slices.SortedFunc(maps.Values(waves), func(a, b activeWave) int { return strings.Compare(a.name, b.name) })
}
