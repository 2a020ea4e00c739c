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

// view is one round's snapshot of everything outside.
type view struct {
	snapshot *configstate.Snapshot
	jobs     map[string]*record.Job
	pools    []string
	workers  map[string][]placement.Worker
	readings map[string]reading
	outcomes []outcome
	quotas   map[string]record.Resources
}

func (m *Manager) observe(ctx context.Context, snapshot *configstate.Snapshot, hosts []fleet.Host) *view {
	v := &view{
		snapshot: snapshot, jobs: snapshot.Jobs(), workers: make(map[string][]placement.Worker),
		quotas: make(map[string]record.Resources),
	}
	v.pools = slices.Sorted(maps.Keys(m.jobsOf(snapshot)))
	for _, quota := range snapshot.Quotas() {
		v.quotas[quota.Team] = quota.Resources
	}
	m.mu.Lock()
	v.outcomes, m.outcomes = m.outcomes, nil
	v.readings, m.readings = m.readings, make(map[string]reading)
	m.mu.Unlock()
	m.watchAway(ctx, v)
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

func (m *Manager) worker(host fleet.Host, r hostrecord.Record, waves map[string]*record.Wave) placement.Worker {
	_, away := m.away[host.Name]
	return placement.Worker{
		Name: host.Name, Capacity: host.Capacity,
		Ready:     host.State == fleet.HostLive && r.TakesWork() && !away,
		Draining:  r.Phase == hostrecord.Draining || (host.State == fleet.HostDraining && r.TakesWork()),
		DrainSoon: r.NextPool != "" || mover.MaintenanceDue(waves, r),
	}
}

// watchAway asks the platform about hosts whose reports couldn't be read. Only
// the platform's word that it doesn't reach a host starts the clock after
// which its tasks count as ended: renewals go through the platform too, so
// nobody's reach the host then.
func (m *Manager) watchAway(ctx context.Context, v *view) {
	for host, reading := range v.readings {
		if reading.err == nil {
			delete(m.away, host)
			continue
		}
		condition, err := m.HostControl.Condition(ctx, host)
		gone := isHostUnknown(err) || (err == nil && !condition.Reachable)
		switch {
		case !gone:
			delete(m.away, host)
		case m.away[host].IsZero():
			m.away[host] = time.Now()
		}
	}
}

// lost reports whether a host's tasks have certainly ended with their leases.
func (m *Manager) lost(host string) bool {
	since, away := m.away[host]
	return away && time.Since(since) > m.LeaseTTL+fleet.MaxActionDelay
}

// readLoop reads the reports of every host that has tasks.
func (m *Manager) readLoop(ctx context.Context) {
	for ctx.Err() == nil {
		began := time.Now()
		if m.Shard.Owned() {
			m.readAll(ctx)
		}
		pause.For(ctx, max(minReadPause, m.ReportInterval-time.Since(began)))
	}
}

const (
	// maxReadings bounds the hosts read a second. A reading of five tasks is
	// 0.8 KB and its headers, so twelve a second leave room for the renewals
	// within the 29 KB a second that control may take of a node; at 1,000 hosts
	// a pass then takes 83 s.
	maxReadings  = 12
	minReadPause = 100 * time.Millisecond
)

func (m *Manager) readAll(ctx context.Context) {
	var wait sync.WaitGroup
	for host := range m.renewables() {
		wait.Add(1)
		m.call(ctx, func(ctx context.Context) {
			defer wait.Done()
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			reports, err := m.Workers.Reports(ctx, host)
			m.mu.Lock()
			m.readings[host] = reading{reports: reports, err: err, at: time.Now()}
			m.mu.Unlock()
		})
		pause.For(ctx, time.Second/maxReadings)
	}
	wait.Wait()
	m.tell()
}

// publishRenewable hands the loops the tasks to renew and the hosts to read.
// A host that was away is read on although it has no tasks left: without that
// nobody would see it come back, and it would get none ever again.
func (m *Manager) publishRenewable() {
	renewable := make(map[string][]string)
	for host := range m.away {
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
	m.changed = false
	m.mu.Lock()
	m.renewable = renewable
	m.mu.Unlock()
}

func (m *Manager) renewables() map[string][]string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.renewable
}
