package hostview

import (
	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
)

// View is the state of the fleet as one process has observed it at one moment.
type View struct {
	Snapshot *configstate.Snapshot
	// Records holds the host records, at least as recent as those of Snapshot.
	Records map[string]configstate.HostRecord
	// Listed is the platform's host list. Locations holds where each host was
	// when it was last listed: a host that is down still counts towards its
	// failure domain.
	Listed, Locations map[string]fleet.Host
	// Conditions holds the conditions of the hosts probed recently.
	Conditions map[string]Condition
}

// Available reports whether a host counts as available: its record has it in a
// phase that takes work, the platform lists it as live, and its last probe found
// it reachable and healthy. The list alone lags, and would allow hosts to be
// taken out while a rack is already down.
func (v *View) Available(name string) bool {
	host, listed := v.Listed[name]
	state, known := v.Conditions[name]
	return listed && host.State == fleet.HostLive && v.Records[name].Schedulable() &&
		known && state.Reachable && state.Healthy
}

// LocationOf returns the current or last known location of a host.
func (v *View) LocationOf(name string) fleet.Host {
	if location, known := v.Locations[name]; known {
		return location
	}
	record := v.Records[name]
	return fleet.Host{Name: name, Zone: record.Zone, Rack: record.Rack}
}

// ServicesOf returns the services of a pool, or nil if the snapshot has no such
// pool.
func (v *View) ServicesOf(pool string) []string {
	spec := v.Snapshot.Pools()[pool]
	if spec == nil {
		return nil
	}
	return spec.Services
}

// ServiceState returns the state on which disruptions of a service are decided,
// without its disruption grants.
func (v *View) ServiceState(service string) budget.ServiceState {
	state := budget.ServiceState{Service: service, Revision: v.Snapshot.Revision}
	for _, b := range v.Snapshot.Budgets() {
		if b.Service == service {
			state.Budgets = append(state.Budgets, b)
		}
	}
	for _, pool := range v.Snapshot.PoolsOf(service) {
		for _, name := range v.Snapshot.HostsOf(pool) {
			location := v.LocationOf(name)
			state.Endpoints = append(state.Endpoints, budget.Endpoint{
				Host: name, Zone: location.Zone, Rack: location.Rack, Available: v.Available(name),
			})
		}
	}
	return state
}

// ServingProbes returns the probes that ServiceState needs for the given
// services: the hosts that serve them, with conditions at most MaxServingAge old.
func (v *View) ServingProbes(services map[string]bool) []Probe {
	var probes []Probe
	added := make(map[string]bool)
	for service := range services {
		for _, pool := range v.Snapshot.PoolsOf(service) {
			for _, name := range v.Snapshot.HostsOf(pool) {
				if v.Records[name].Schedulable() && !added[name] {
					added[name] = true
					probes = append(probes, Probe{Host: name, MaxAge: MaxServingAge})
				}
			}
		}
	}
	return probes
}
