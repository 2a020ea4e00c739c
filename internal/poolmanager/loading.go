package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
)

// load loads the pool's jobs from the store. It retries until it succeeds or ctx
// ends: a pool cannot be served without its jobs, and the claim keeps other
// processes from trying.
func (m *Manager) load(ctx context.Context) error {
	began := time.Now()
	m.loadQueues(ctx)
	for {
		loaded, err := poolstore.Load(ctx, m.Store, m.Pool)
		if err == nil {
			m.restoreJobs(loaded, began)
			return nil
		}
		m.Log.Warn().Err(err).Msg("Failed to load the pool's jobs; retrying.")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(commitRetryDelay):
		}
	}
}

func (m *Manager) restoreJobs(loaded poolstore.Snapshot, began time.Time) {
	now, wall := time.Now(), m.WallClock()
	m.pool = sched.New(m.Sched, rosterOf(m.head), now)
	for _, job := range loaded.Jobs {
		m.pool.Restore(job.Record, job.Progress, now, wall)
	}
	for _, fault := range loaded.DecodeErrors {
		m.Log.Error().Err(fault).Msg("Cannot decode a stored job or its progress; leaving it in the store.")
	}
	for _, l := range m.lanes[1:] {
		l.revision = loaded.Lanes[l.index]
	}
	m.Metrics.takeovers.Inc()
	m.Log.Info().Int64("fence", m.head.Fence).Int("jobs", len(loaded.Jobs)).Int("roster", len(m.head.HostsInUse)).Int("silent", len(m.head.Unresponsive)).
		Bool("previous_stopped", m.takeover.PreviousStopped).Dur("prior_lease_ms", m.Sched.PriorLeaseTTL).Dur("loading_ms", time.Since(began)).Msg("Took over the pool.")
}
