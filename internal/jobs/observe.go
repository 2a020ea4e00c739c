package jobs

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/mover"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/placement"
	"auburnglade.example/glade/internal/record"
)

// view is the snapshot of all external state for one reconcile.
type view struct {
	snapshot       *configstate.Snapshot
	jobs           map[string]*record.Job
	pools          []string
	workers        map[string][]placement.Worker
	reportsResults map[string]reportsResult
	outcomes       []outcome
	quotas         map[string]record.Resources
}

func (m *Manager) observe(ctx context.Context, snapshot *configstate.Snapshot, hosts []fleet.Host) *view {
	v := &view{
		snapshot: snapshot, jobs: snapshot.Jobs(), workers: make(map[string][]placement.Worker),
		quotas: make(map[string]record.Resources),
	}
	v.pools = slices.Sorted(maps.Keys(m.poolsWithJobs(snapshot)))
	for _, quota := range snapshot.Quotas() {
		v.quotas[quota.Team] = quota.Resources
	}
	m.mu.Lock()
	v.outcomes, m.outcomes = m.outcomes, nil
	v.reportsResults, m.reportsResults = m.reportsResults, make(map[string]reportsResult)
	m.mu.Unlock()
	m.updateUnreachable(ctx, v)
	waves := snapshot.Waves()
	specs := snapshot.Pools()
	for _, host := range hosts {
		item, known := snapshot.Hosts[host.Name]
		if !known || specs[item.Pool] == nil || !specs[item.Pool].Jobs {
			continue
		}
		v.workers[item.Pool] = append(v.workers[item.Pool], m.worker(host, item.Record, waves))
	}
	return v
}

func (m *Manager) worker(host fleet.Host, hostRecord hostrecord.Record, waves map[string]*record.Wave) placement.Worker {
	_, unreachable := m.unreachable[host.Name]
	return placement.Worker{
		Name: host.Name, Capacity: host.Capacity,
		Ready:     host.State == fleet.HostLive && hostRecord.Schedulable() && !unreachable,
		Draining:  hostRecord.Phase == hostrecord.Draining || (host.State == fleet.HostDraining && hostRecord.Schedulable()),
		DrainSoon: hostRecord.NextPool != "" || mover.MaintenanceDue(waves, hostRecord),
	}
}

// updateUnreachable queries the platform for hosts whose reports couldn't be read.
// The time after which a host's tasks count as ended starts only when the platform
// reports the host as unreachable: renewals go through the platform too, so no
// controller's renewals reach the host then.
func (m *Manager) updateUnreachable(ctx context.Context, v *view) {
	for host, result := range v.reportsResults {
		if result.err == nil {
			delete(m.unreachable, host)
			continue
		}
		condition, err := m.HostControl.Condition(ctx, host)
		confirmed := isHostUnknown(err) || (err == nil && !condition.Reachable)
		switch {
		case !confirmed:
			delete(m.unreachable, host)
		case m.unreachable[host].IsZero():
			m.unreachable[host] = time.Now()
		}
	}
}

// leasesExpired reports whether a host has been unreachable for so long that the
// leases of its tasks have certainly expired and the tasks have ended.
func (m *Manager) leasesExpired(host string) bool {
	since, unreachable := m.unreachable[host]
	return unreachable && time.Since(since) > m.LeaseTTL+fleet.MaxActionDelay
}

// reportLoop periodically reads the reports of every host that has tasks.
func (m *Manager) reportLoop(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		if m.Shard.Owned() {
			m.readReports(ctx)
		}
		pause.For(ctx, max(minReportPause, m.ReportInterval-time.Since(began)))
	}
}

const (
	// maxReportReadsPerSecond limits the hosts read per second. The reports of
	// five tasks are 0.8 KB plus headers, so 12 reads/s leave room for renewals
	// within the 29 KB/s that control traffic may use on a node. With 1,000 hosts
	// a pass takes 83 s.
	maxReportReadsPerSecond = 12
	minReportPause          = 100 * time.Millisecond
)

func (m *Manager) readReports(ctx context.Context) {
	var wait sync.WaitGroup
	for host := range m.renewables() {
		wait.Add(1)
		m.call(ctx, func(ctx context.Context) {
			defer wait.Done()
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reports, err := m.Workers.Reports(ctx, host)
			m.mu.Lock()
			m.reportsResults[host] = reportsResult{reports: reports, err: err, at: time.Now()}
			m.mu.Unlock()
		})
		pause.For(ctx, time.Second/maxReportReadsPerSecond)
	}
	wait.Wait()
	m.notify()
}

// updateRenewable updates the tasks to renew and the hosts to read. An unreachable
// host is still read when it has no tasks left: otherwise its return would not be
// noticed and it would never get tasks again.
func (m *Manager) updateRenewable() {
	renewable := make(map[string][]string)
	for host := range m.unreachable {
		renewable[host] = nil
	}
	for _, p := range m.pools {
		for id, task := range p.Tasks {
			renewable[task.Host] = append(renewable[task.Host], id)
		}
	}
	for _, ids := range renewable {
		slices.Sort(ids)
	}
	m.renewableStale = false
	m.mu.Lock()
	m.renewable = renewable
	m.mu.Unlock()
}

func (m *Manager) renewables() map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewable
}
