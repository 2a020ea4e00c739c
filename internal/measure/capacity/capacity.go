// Package capacity measures the cost of one more host, pool, change or member, and
// extrapolates it to the target fleet, which is expected in two years. The rows of
// docs/CAPACITY.md are its output.
package capacity

import (
	"runtime"
	"time"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/endpoint"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
	"auburnglade.example/glade/internal/standin"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

// Cmd is the subcommand that measures the cost of growth.
type Cmd struct {
	Repeats int `help:"Times each point is measured; the median counts." default:"7"`
}

// Result holds all slopes and the extrapolated costs of the target fleet.
type Result struct {
	Slopes []Slope            `json:"slopes"`
	Target map[string]float64 `json:"at_target"`
}

// Run implements the command.
func (c *Cmd) Run(result *any) error {
	r := Result{Target: make(map[string]float64)}
	for _, sweep := range sweeps {
		r.Slopes = append(r.Slopes, c.sweep(sweep))
	}
	for _, slope := range r.Slopes {
		count := targetCounts[slope.Per]
		r.Target[slope.Name+"_"+slope.Unit] = slope.At(count)
	}
	*result = r
	return nil
}

// targetCounts are the counts of the target fleet by unit.
var targetCounts = map[string]float64{
	"host":   float64(standin.TargetFleet.Hosts),
	"pool":   float64(standin.TargetFleet.Pools),
	"member": float64(standin.TargetFleet.Members),
}

// sweep measures one cost as a function of one count.
type sweep struct {
	name, unit, per string
	counts          []int
	shape           func(count int) standin.SyntheticFleet
	measure         func(s standin.SyntheticFleet) float64
}

var (
	hostCounts   = []int{125, 250, 500, 750, 1000, 1500}
	poolCounts   = []int{33, 66, 131, 196, 261, 392}
	memberCounts = []int{9, 18, 36, 72, 100}
)

func byHosts(count int) standin.SyntheticFleet {
	return standin.SyntheticFleet{Hosts: count, Pools: standin.TargetFleet.Pools / 4, Members: standin.TargetFleet.Members}
}

func byPools(count int) standin.SyntheticFleet {
	return standin.SyntheticFleet{Hosts: standin.TargetFleet.Hosts, Pools: count, Members: standin.TargetFleet.Members}
}

func byMembers(count int) standin.SyntheticFleet {
	return standin.SyntheticFleet{Hosts: standin.TargetFleet.Hosts, Pools: standin.TargetFleet.Pools, Members: count}
}

var sweeps = []sweep{
	{"snapshot_heap", "bytes", "host", hostCounts, byHosts, snapshotHeap},
	{"snapshot_heap", "bytes", "pool", poolCounts, byPools, snapshotHeap},
	{"snapshot_values", "bytes", "host", hostCounts, byHosts, snapshotValues},
	{"snapshot_values", "bytes", "pool", poolCounts, byPools, snapshotValues},
	{"snapshot_values", "bytes", "member", memberCounts, byMembers, snapshotValues},
	{"apply_change", "us", "host", hostCounts, byHosts, applyChange},
	{"apply_change", "us", "pool", poolCounts, byPools, applyChange},
	{"resolve_endpoints", "us", "host", hostCounts, byHosts, resolveEndpoints},
	{"resolve_endpoints", "us", "pool", poolCounts, byPools, resolveEndpoints},
	{"plan_waves", "us", "host", hostCounts, byHosts, planWaves},
	{"plan_moves", "us", "host", hostCounts, byHosts, planMoves},
	{"plan_moves", "us", "pool", poolCounts, byPools, planMoves},
}

func (c *Cmd) sweep(s sweep) Slope {
	counts := make([]float64, len(s.counts))
	values := make([]float64, len(s.counts))
	for i, count := range s.counts {
		counts[i] = float64(count)
		values[i] = median(c.Repeats, func() float64 { return s.measure(s.shape(count)) })
	}
	return fit(s.name, s.unit, s.per, counts, values)
}

// snapshotHeap returns the heap size of a configuration snapshot in bytes.
func snapshotHeap(s standin.SyntheticFleet) float64 {
	listing := s.Listing()
	before := heapInUse()
	snapshot := configstate.FromListing(nil, listing)
	after := heapInUse()
	runtime.KeepAlive(snapshot)
	runtime.KeepAlive(listing)
	return float64(after) - float64(before)
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// snapshotValues returns the total size of the shared keys and values in the store in
// bytes. It is also the size, without framing, that a starting process receives.
func snapshotValues(s standin.SyntheticFleet) float64 {
	total := 0
	for _, entry := range s.Listing().Entries {
		total += len(entry.Key) + len(entry.Value)
	}
	return float64(total)
}

// applyChange returns the time in microseconds to apply one change of a host record to
// a snapshot.
func applyChange(s standin.SyntheticFleet) float64 {
	snapshot := configstate.FromListing(nil, s.Listing())
	const changes = 50
	next := snapshot
	began := time.Now()
	for i := range changes {
		changed := hostrecord.Record{Host: "host-0001", Pool: "pool-001", Phase: hostrecord.Draining}
		entry := store.Entry{Key: storekeys.Host("host-0001"), Value: changed.Encode(), ModRevision: snapshot.Revision + store.Revision(i) + 1}
		next = next.Apply(store.WatchBatch{Events: []store.Event{{Entry: entry}}, Revision: entry.ModRevision})
	}
	elapsed := time.Since(began)
	runtime.KeepAlive(next)
	return microseconds(elapsed) / changes
}

// resolveEndpoints returns the time in microseconds to compute the whole routing table
// of a gateway.
func resolveEndpoints(s standin.SyntheticFleet) float64 {
	snapshot := configstate.FromListing(nil, s.Listing())
	hosts := s.HostList()
	return timed(func() { runtime.KeepAlive(endpoint.Resolve(snapshot, hosts)) })
}

// planWaves returns the time in microseconds to plan one wave over the whole fleet.
func planWaves(s standin.SyntheticFleet) float64 {
	s.Wave = true
	snapshot := configstate.FromListing(nil, s.Listing())
	input := wave.Input{Name: "wave", Spec: snapshot.Waves()["wave"]}
	for _, host := range s.HostList() {
		input.Hosts = append(input.Hosts, wave.Host{
			Name: host.Name, Zone: host.Zone, Rack: host.Rack, Record: snapshot.Hosts[host.Name].Record,
		})
	}
	return timed(func() { runtime.KeepAlive(wave.PlanOne(input)) })
}

// planMoves returns the time in microseconds to plan the moves of a fleet in which one
// pool lacks ten hosts.
func planMoves(s standin.SyntheticFleet) float64 {
	snapshot := configstate.FromListing(nil, s.Listing())
	input := mover.NewInput(snapshot, s.HostList())
	return timed(func() { runtime.KeepAlive(mover.MakePlan(input)) })
}
