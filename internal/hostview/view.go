package hostview

import (
	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
)

// View is what a process knows of the fleet at one moment.
type View struct {
	Snapshot *configstate.Snapshot
	// Records are the host records, at least as new as the snapshot's.
	Records map[string]configstate.HostRecord
	// Listed is the platform's host list, Places where each host was when it
	// was last listed: one that is away still belongs to its failure domain.
	Listed, Locations map[string]fleet.Host
	// Conditions are the hosts' conditions, of those asked for lately.
	Conditions map[string]Condition
}

// Available is the pessimistic view: the host's record says that it serves,
// the platform lists it live, and when lately asked it was well. The list alone
// lags, and would let hosts be taken out while a rack is already gone.
func (v *View) Available(name string) bool {
	host, listed := v.Listed[name]
	state, known := v.Conditions[name]
	return listed && host.State == fleet.HostLive && v.Records[name].TakesWork() &&
		known && state.Reachable && state.Healthy
}

// LocationOf returns where a host is, or was when it was last known.
func (v *View) LocationOf(name string) fleet.Host {
	if place, known := v.Locations[name]; known {
		return place
	}
	item := v.Records[name]
	return fleet.Host{Name: name, Zone: item.Zone, Rack: item.Rack}
}

// ServicesOf returns the services of a pool, none if it isn't in force.
func (v *View) ServicesOf(pool string) []string {
	spec := v.Snapshot.Pools()[pool]
	if spec == nil {
		return nil
	}
	return spec.Services
}

// ServiceState is what a decision about a service rests on, but for its ledger.
func (v *View) ServiceState(service string) budget.ServiceState {
	view := budget.ServiceState{Service: service, Revision: v.Snapshot.Revision}
	for _, b := range v.Snapshot.Budgets() {
		if b.Service == service {
			view.Budgets = append(view.Budgets, b)
		}
	}
	for _, pool := range v.Snapshot.PoolsOf(service) {
		for _, name := range v.Snapshot.HostsOf(pool) {
			place := v.LocationOf(name)
			view.Endpoints = append(view.Endpoints, budget.Endpoint{
				Host: name, Zone: place.Zone, Rack: place.Rack, Available: v.Available(name),
			})
		}
	}
	return view
}

// ServingProbes returns the questions whose answers Budget needs for some services:
// the conditions of the hosts that serve them, at most ServingAge old.
func (v *View) ServingProbes(services map[string]bool) []Probe {
	var questions []Probe
	asked := make(map[string]bool)
	for service := range services {
		for _, pool := range v.Snapshot.PoolsOf(service) {
			for _, name := range v.Snapshot.HostsOf(pool) {
				if v.Records[name].TakesWork() && !asked[name] {
					asked[name] = true
					questions = append(questions, Probe{Host: name, MaxAge: MaxServingAge})
				}
			}
		}
	}
	return questions
}
