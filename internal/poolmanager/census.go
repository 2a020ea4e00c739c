package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/worker"
)

const (
	// censusMinInterval is the least time between two questions about hosts in doubt.
	censusMinInterval = 400 * time.Millisecond
	// censusCostFactor times the duration of a census is the least time until the
	// next: a list of thousands of hosts takes seconds and many calls.
	censusCostFactor = 4
	// censusTimeout bounds a census: leases tell as much after a little longer.
	censusTimeout = 4 * time.Second
)

// censusSchedule is when the platform is asked which hosts are up.
type censusSchedule struct {
	pending bool
	next    time.Time
	// appliedAskedAt is when the last one that was applied was asked for.
	appliedAskedAt time.Time
}

// censusAge returns how long ago the census was asked for that gives the evidence, zero
// for other evidence.
func (m *Manager) censusAge(evidence sched.Evidence) time.Duration {
	if evidence != sched.HostDown && evidence != sched.HostRemoved {
		return 0
	}
	return time.Since(m.census.appliedAskedAt)
}

// askForDoubted asks the platform which hosts are up while tasks may run on some that do
// not answer.
func (m *Manager) askForDoubted(now time.Time) {
	if m.Inventory == nil || m.census.pending || now.Before(m.census.next) || !m.pool.HasHostsInDoubt(now) {
		return
	}
	m.census.pending = true
	go func() {
		ctx, cancel := context.WithTimeout(m.ctx, censusTimeout)
		defer cancel()
		census, err := m.Inventory.Census(ctx)
		m.enqueuePart(m.ctx, partHeartbeats, func() { m.applyCensus(census, err, now) })
	}()
}

// applyCensus applies the answer to a question that was asked at sent.
func (m *Manager) applyCensus(census worker.Census, err error, sent time.Time) {
	now := time.Now()
	m.census.pending, m.census.next = false, now.Add(censusMinInterval)
	if err != nil {
		m.Log.Warn().Err(err).Msg("The platform did not say which hosts are up; those in doubt are waited for.")
		m.Metrics.censuses.WithLabelValues("failed").Inc()
		return
	}
	m.census.next = now.Add(max(censusMinInterval, censusCostFactor*now.Sub(sent)))
	m.Metrics.censuses.WithLabelValues("answered").Inc()
	m.census.appliedAskedAt = sent
	m.pool.ApplyCensus(census, sent, now, m.WallClock())
}
