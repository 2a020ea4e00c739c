// Package explain says in words why a host, a pool, a wave, a job or a service
// is as it is, and what it waits for. It is pure: a view of the fleet in,
// reasons out.
package explain

import (
	"fmt"
	"slices"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/jobs"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/wave"
)

// View is everything an explanation rests on.
type View struct {
	Snapshot *configstate.Snapshot
	// Listed is the platform's host list by host, nil when it can't be read.
	Listed map[string]fleet.Host
	// GrantSets are the services' disruption ledgers by service.
	GrantSets map[string]budget.GrantSet
	// Waves are the waves' statuses by wave.
	Waves map[string]wave.Status
	// Placements hold the pools' tasks by pool; only explanations of jobs and
	// hosts need them.
	Placements map[string]*jobs.State
}

// Availability is one service against its budgets.
type Availability struct {
	Service string   `json:"service"`
	Pools   []string `json:"pools"`
	// Endpoints counts the hosts of its pools, Available those that the
	// platform lists live, that serve, and that no grant takes out.
	Endpoints int `json:"endpoints"`
	Available int `json:"available"`
	// ActiveGrants counts the disruptions that the ledger lets through now.
	ActiveGrants int `json:"granted"`
	// MinAvailable is the most that any of its budgets asks for, and Margin
	// that budget's failure margin.
	MinAvailable int                  `json:"minAvailable"`
	Margin       record.FailureMargin `json:"margin,omitempty"`
	// HasBudget says that a budget is in force at all.
	HasBudget bool `json:"bounded"`
}

// BelowBudget reports whether fewer endpoints are available than the budget asks for.
func (a Availability) BelowBudget() bool { return a.HasBudget && a.Available < a.MinAvailable }

func (a Availability) String() string {
	text := fmt.Sprintf("service %s: %d of %d endpoints available", a.Service, a.Available, a.Endpoints)
	if a.ActiveGrants > 0 {
		text += fmt.Sprintf(", %d granted to maintenance", a.ActiveGrants)
	}
	if !a.HasBudget {
		return text + ", no availability budget: nothing may be taken out"
	}
	text += fmt.Sprintf(", %d needed", a.MinAvailable)
	if a.Margin != "" && a.Margin != record.MarginNone {
		text += fmt.Sprintf(" with one %s lost", a.Margin)
	}
	if a.BelowBudget() {
		text += ": BELOW ITS BUDGET"
	}
	return text
}

// Availabilities returns every service's availability, sorted by service.
func Availabilities(v View) []Availability {
	var all []Availability
	for service := range v.Snapshot.Services() {
		all = append(all, v.availability(service))
	}
	slices.SortFunc(all, func(a, b Availability) int { return compare(a.Service, b.Service) })
	return all
}

func (v View) availability(service string) Availability {
	a := Availability{Service: service, Pools: v.Snapshot.PoolsOf(service)}
	ledger := v.GrantSets[service]
	a.ActiveGrants = len(ledger.ByHost)
	for _, pool := range a.Pools {
		for _, host := range v.Snapshot.HostsOf(pool) {
			a.Endpoints++
			_, granted := ledger.ByHost[host]
			if v.available(host) && !granted {
				a.Available++
			}
		}
	}
	for _, b := range v.Snapshot.Budgets() {
		if b.Service == service && (!a.HasBudget || b.MinAvailable > a.MinAvailable) {
			a.HasBudget, a.MinAvailable, a.Margin = true, b.MinAvailable, b.Margin
		}
	}
	return a
}

func (v View) available(host string) bool {
	if !v.Snapshot.Hosts[host].TakesWork() {
		return false
	}
	return v.Listed == nil || v.Listed[host].State == fleet.HostLive
}

// Record explains an operator's record. It reports false when there is none.
func Record(v View, id record.ID) ([]string, bool) {
	item, inForce := v.Snapshot.Records[id]
	rejection, rejected := v.Snapshot.Rejected[id]
	if !inForce && !rejected {
		return nil, false
	}
	var reasons []string
	if rejected {
		reasons = append(reasons, fmt.Sprintf("revision %d is not in force: %s", rejection.Revision, rejection.Reason))
	}
	if !inForce {
		return append(reasons, "no earlier version is in force either"), true
	}
	reasons = append(reasons, fmt.Sprintf("revision %d is in force at schema %d%s", item.Revision, item.Envelope.Schema, by(item.Envelope.Author)))
	switch spec := item.Spec.(type) {
	case *record.Pool:
		reasons = append(reasons, v.pool(id.Name, spec)...)
	case *record.Wave:
		reasons = append(reasons, v.wave(id.Name, spec)...)
	case *record.Job:
		reasons = append(reasons, v.job(id.Name, spec)...)
	case *record.Service:
		reasons = append(reasons, v.availability(id.Name).String())
		reasons = append(reasons, v.grants(id.Name)...)
	case *record.Budget:
		reasons = append(reasons, v.availability(spec.Service).String())
		reasons = append(reasons, v.grants(spec.Service)...)
	}
	return reasons, true
}

func by(author string) string {
	if author == "" {
		return ""
	}
	return ", written by " + author
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
