package explain

import (
	"fmt"
	"maps"
	"slices"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
)

// Host explains a host: its pool, its phase, and what it waits for. It returns
// false if neither a record nor the platform's list has the host.
func Host(v View, name string) ([]string, bool) {
	item, known := v.Snapshot.Hosts[name]
	_, listed := v.Listed[name]
	if !known {
		if !listed {
			return nil, false
		}
		return append(v.platformState(name), "belongs to no pool: no pool that lacks hosts takes it, see explain Pool"), true
	}
	reasons := []string{fmt.Sprintf("belongs to pool %q and is %s", item.Pool, phaseOf(item))}
	reasons = append(reasons, v.platformState(name)...)
	if item.NextPool != "" && item.NextPool != item.Pool {
		reasons = append(reasons, fmt.Sprintf("joins pool %q when it returns", item.NextPool))
	}
	if item.Schedulable() {
		reasons = append(reasons, v.pendingWaves(name, item)...)
	} else {
		reasons = append(reasons, underMaintenance(item)...)
	}
	for _, service := range v.servicesOf(item.Pool) {
		if grant, granted := v.GrantSets[service].ByHost[name]; granted {
			reasons = append(reasons, fmt.Sprintf("service %s counts it as out: granted to operation %s for %q", service, grant.Operation, grant.Wave))
		}
	}
	reasons = append(reasons, v.tasks(name, item.Pool)...)
	for _, wave := range slices.Sorted(maps.Keys(item.WaveOutcomes)) {
		reasons = append(reasons, outcomeLine(wave, item.WaveOutcomes[wave]))
	}
	return reasons, true
}

// tasks lists the jobs whose tasks run on the host.
func (v View) tasks(host, pool string) []string {
	state := v.Placements[pool]
	if state == nil {
		return nil
	}
	counts := make(map[string]int)
	for _, task := range state.Tasks {
		if task.Host == host {
			counts[task.Job]++
		}
	}
	var lines []string
	for _, job := range slices.Sorted(maps.Keys(counts)) {
		lines = append(lines, fmt.Sprintf("runs %d tasks of job %q", counts[job], job))
	}
	return lines
}

func phaseOf(item configstate.HostRecord) hostrecord.Phase {
	if item.Phase == "" {
		return hostrecord.Serving
	}
	return item.Phase
}

func (v View) platformState(name string) []string {
	if v.Listed == nil {
		return []string{"the platform's host list can't be read now"}
	}
	host, listed := v.Listed[name]
	switch {
	case !listed:
		return []string{"the platform doesn't list it: it counts as unavailable"}
	case host.State == fleet.HostDraining:
		return []string{fmt.Sprintf("is in zone %s, rack %s; the platform lists it as leaving: it counts as unavailable", host.Zone, host.Rack)}
	}
	return []string{fmt.Sprintf("is in zone %s, rack %s, listed live", host.Zone, host.Rack)}
}

// underMaintenance returns what a host under maintenance waits for.
func underMaintenance(item configstate.HostRecord) []string {
	var reasons []string
	if item.Wave != "" {
		since := ""
		if !item.OutSince.IsZero() {
			since = " since " + item.OutSince.UTC().Format("2006-01-02 15:04:05 UTC")
		}
		reasons = append(reasons, fmt.Sprintf("is out for %q%s, operation %s", item.Wave, since, item.Operation))
	}
	switch item.Phase {
	case hostrecord.Draining:
		reasons = append(reasons, fmt.Sprintf("waits until every gateway serves revision %d, then until its requests and tasks have ended or the drain deadline has passed", item.Revision))
	case hostrecord.Rebooting:
		reasons = append(reasons, fmt.Sprintf("waits for the platform to show another boot than %q", item.BootID))
	case hostrecord.Verifying:
		reasons = append(reasons, "waits until it has been healthy for the proof time")
	case hostrecord.Failed:
		reasons = append(reasons, "waits for an operator: it did not come back whole, and its grant stays counted")
	}
	return reasons
}

// pendingWaves returns why the waves that cover a serving host have not taken
// it out yet.
func (v View) pendingWaves(name string, item configstate.HostRecord) []string {
	var reasons []string
	waves := v.Snapshot.Waves()
	for _, waveName := range slices.Sorted(maps.Keys(waves)) {
		spec := waves[waveName]
		_, visited := item.WaveOutcomes[waveName]
		if visited || !slices.Contains(spec.Pools, item.Pool) || !spec.Covers(name) {
			continue
		}
		reasons = append(reasons, fmt.Sprintf("wave %q will maintain it: %s", waveName, v.pendingReason(waveName, name, spec)))
	}
	return reasons
}

func (v View) pendingReason(waveName, host string, spec *record.Wave) string {
	status, known := v.Waves[waveName]
	switch {
	case spec.Cancelled:
		return "the wave is cancelled"
	case spec.Paused:
		return "the wave is paused"
	case !known:
		return "the wave has not been planned yet"
	case status.Waiting[host] != "":
		return status.Waiting[host]
	case status.Reason != "":
		return "the wave is " + string(status.Phase) + ", " + status.Reason
	}
	return fmt.Sprintf("not its turn yet, %d of %d hosts are out or done", status.Maintained+len(status.HostsOut)+len(status.Failed), status.Hosts)
}

func (v View) servicesOf(pool string) []string {
	spec := v.Snapshot.Pools()[pool]
	if spec == nil {
		return nil
	}
	return spec.Services
}

func outcomeLine(wave string, outcome hostrecord.WaveOutcome) string {
	line := fmt.Sprintf("wave %q: %s", wave, outcome.Result)
	if outcome.DowntimeSeconds > 0 {
		line += fmt.Sprintf(" in %d s", outcome.DowntimeSeconds)
	}
	if outcome.Reason != "" {
		line += ", " + outcome.Reason
	}
	return line
}
