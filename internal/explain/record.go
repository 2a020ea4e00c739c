package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/jobs"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/wave"
)

func (v View) pool(name string, spec *record.Pool) []string {
	hosts := v.Snapshot.HostsOf(name)
	reasons := []string{fmt.Sprintf("has %d of %d hosts%s", len(hosts), spec.Size, v.zoneSpread(hosts))}
	if missing := spec.Size - len(hosts); missing > 0 {
		reasons = append(reasons, fmt.Sprintf("lacks %d hosts: %s", missing, v.missingHostsReason(spec)))
	}
	for _, host := range hosts {
		if item := v.Snapshot.Hosts[host]; !item.Schedulable() {
			reasons = append(reasons, fmt.Sprintf("%s is %s for %q", host, item.Phase, item.Wave))
		}
	}
	for _, service := range spec.Services {
		reasons = append(reasons, v.availability(service).String())
	}
	for _, name := range slices.Sorted(maps.Keys(v.Snapshot.Hosts)) {
		item := v.Snapshot.Hosts[name]
		if item.NextPool != "" && item.NextPool != item.Pool && slices.Contains(hosts, name) {
			reasons = append(reasons, fmt.Sprintf("%s leaves for pool %q", name, item.NextPool))
		}
	}
	return reasons
}

// zoneSpread returns the number of a pool's hosts in each zone.
func (v View) zoneSpread(hosts []string) string {
	if v.Listed == nil {
		return ""
	}
	zones := make(map[string]int)
	for _, host := range hosts {
		zones[v.Listed[host].Zone]++
	}
	var parts []string
	for _, zone := range slices.Sorted(maps.Keys(zones)) {
		name := zone
		if name == "" {
			name = "not listed"
		}
		parts = append(parts, fmt.Sprintf("%d in %s", zones[zone], name))
	}
	if len(parts) == 0 {
		return ""
	}
	return ": " + strings.Join(parts, ", ")
}

func (v View) missingHostsReason(spec *record.Pool) string {
	free := 0
	for name, host := range v.Listed {
		_, taken := v.Snapshot.Hosts[name]
		if !taken && (len(spec.Zones) == 0 || slices.Contains(spec.Zones, host.Zone)) {
			free++
		}
	}
	if free > 0 {
		return fmt.Sprintf("%d listed hosts belong to no pool and may join", free)
	}
	return "no listed host in its zones is without a pool, so one must move from another pool"
}

func (v View) wave(name string, spec *record.Wave) []string {
	status, known := v.Waves[name]
	if !known {
		return []string{"has not been planned yet: no controller has published its status"}
	}
	reasons := []string{waveLine(status)}
	if status.Reason != "" {
		reasons = append(reasons, "because "+status.Reason)
	}
	if status.Parallelism > 0 || status.ParallelismReason != "" {
		reasons = append(reasons, fmt.Sprintf("up to %d hosts out at once, the budgets would allow %d: %s", status.Parallelism, status.BudgetLimit, status.ParallelismReason))
	}
	if spec.MaxParallel > 0 {
		reasons = append(reasons, fmt.Sprintf("its record allows at most %d hosts out at once", spec.MaxParallel))
	}
	if status.RemainingSeconds > 0 {
		remaining := time.Duration(status.RemainingSeconds) * time.Second
		reasons = append(reasons, fmt.Sprintf("about %s left, from %s", remaining, status.EstimatedFrom))
	}
	for _, claim := range status.Buffers {
		reasons = append(reasons, fmt.Sprintf("service %s holds back %d hosts: up to %d for the wave, %d out now; %s",
			claim.Service, claim.Total(), claim.MaxOut, claim.Out, claim.Reason))
	}
	for _, host := range status.HostsOut {
		reasons = append(reasons, fmt.Sprintf("%s is out: %s", host, phaseOf(v.Snapshot.Hosts[host])))
	}
	for _, host := range slices.Sorted(maps.Keys(status.Waiting)) {
		reasons = append(reasons, host+" is not out yet: "+status.Waiting[host])
	}
	for _, host := range slices.Sorted(maps.Keys(status.Failed)) {
		reasons = append(reasons, host+" failed: "+status.Failed[host])
	}
	return reasons
}

func waveLine(status wave.Status) string {
	return fmt.Sprintf("%s: %d of %d hosts maintained, %d out, %d failed",
		status.Phase, status.Maintained, status.Hosts, len(status.HostsOut), len(status.Failed))
}

func (v View) job(name string, spec *record.Job) []string {
	var reasons []string
	if spec.Cancelled {
		reasons = append(reasons, "is cancelled")
	}
	pool := v.Snapshot.Pools()[spec.Pool]
	switch {
	case pool == nil:
		reasons = append(reasons, fmt.Sprintf("waits for pool %q, which isn't in force", spec.Pool))
	case !pool.Jobs:
		reasons = append(reasons, fmt.Sprintf("waits: pool %q takes no jobs", spec.Pool))
	}
	for name, quota := range v.Snapshot.Quotas() {
		if quota.Team == spec.Team {
			reasons = append(reasons, fmt.Sprintf("team %s is bounded by quota %q", spec.Team, name))
		}
	}
	state := v.Placements[spec.Pool]
	if state == nil {
		return append(reasons, fmt.Sprintf("has not been taken up: nothing is known of placements in pool %q", spec.Pool))
	}
	status, known := state.Status(name, spec)
	if !known {
		return append(reasons, "has not been taken up yet by the controller that decides")
	}
	return append(reasons, jobProgress(status)...)
}

func jobProgress(status jobs.JobStatus) []string {
	accepted := time.Duration(status.AgeSeconds) * time.Second
	reasons := []string{fmt.Sprintf("%d of %d tasks finished, %d placed, accepted %s ago", status.Finished, status.Tasks, status.Placed, accepted)}
	for _, host := range slices.Sorted(maps.Keys(status.Hosts)) {
		reasons = append(reasons, fmt.Sprintf("%d on %s", status.Hosts[host], host))
	}
	if status.Parked != "" {
		reasons = append(reasons, "is parked until an operator or the fleet changes something: "+status.Parked)
	}
	if status.Waiting != "" {
		reasons = append(reasons, "waits: "+status.Waiting)
	}
	return reasons
}

func (v View) grants(service string) []string {
	var lines []string
	grants := v.GrantSets[service].ByHost
	for _, host := range slices.Sorted(maps.Keys(grants)) {
		phase := hostrecord.Phase("without a record")
		if item, known := v.Snapshot.Hosts[host]; known {
			phase = phaseOf(item)
		}
		lines = append(lines, fmt.Sprintf("%s is granted to operation %s for %q and is %s", host, grants[host].Operation, grants[host].Wave, phase))
	}
	return lines
}
