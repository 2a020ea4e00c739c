// Package explain describes why a host, a pool, a wave, a job or a service is
// in its present state, and what it waits for. Its functions are pure: they
// derive the reasons from a view of the fleet.
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

// View holds the inputs of an explanation.
type View struct {
	Snapshot *configstate.Snapshot
	// Listed is the platform's host list by host name, nil if it can't be read.
	Listed map[string]fleet.Host
	// GrantSets holds the services' disruption grants by service.
	GrantSets map[string]budget.GrantSet
	// Waves holds the waves' statuses by wave.
	Waves map[string]wave.Status
	// Placements holds the placement of the pools' tasks by pool. Only
	// explanations of jobs and hosts use it.
	Placements map[string]*jobs.State
}

// Availability is the availability of one service compared with its budgets.
type Availability struct {
	Service string   `json:"service"`
	Pools   []string `json:"pools"`
	// Endpoints counts the hosts of the service's pools. Available counts those
	// that the platform lists as live, that are serving, and that have no
	// disruption grant.
	Endpoints int `json:"endpoints"`
	Available int `json:"available"`
	// ActiveGrants counts the disruption grants that are active at present.
	ActiveGrants int `json:"granted"`
	// MinAvailable is the highest minimum of the service's budgets. Margin is
	// the failure margin of that budget.
	MinAvailable int                  `json:"minAvailable"`
	Margin       record.FailureMargin `json:"margin,omitempty"`
	// HasBudget reports whether the service has an active budget.
	HasBudget bool `json:"bounded"`
}

// BelowBudget reports whether fewer endpoints are available than the budget
// requires.
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
	grantSet := v.GrantSets[service]
	a.ActiveGrants = len(grantSet.ByHost)
	for _, pool := range a.Pools {
		for _, host := range v.Snapshot.HostsOf(pool) {
			a.Endpoints++
			_, granted := grantSet.ByHost[host]
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
	if !v.Snapshot.Hosts[host].Schedulable() {
		return false
	}
	return v.Listed == nil || v.Listed[host].State == fleet.HostLive
}

// Record explains an operator's record. It returns false if there is none.
func Record(v View, id record.ID) ([]string, bool) {
	item, active := v.Snapshot.Records[id]
	rejection, rejected := v.Snapshot.Rejected[id]
	if !active && !rejected {
		return nil, false
	}
	var reasons []string
	if rejected {
		reasons = append(reasons, fmt.Sprintf("revision %d is not in force: %s", rejection.Revision, rejection.Reason))
	}
	if !active {
		return append(reasons, "no earlier version is in force either"), true
	}
	reasons = append(reasons, fmt.Sprintf("revision %d is in force at schema %d%s", item.Revision, item.Envelope.Schema, authorSuffix(item.Envelope.Author)))
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

func authorSuffix(author string) string {
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
