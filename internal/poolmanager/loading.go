package poolmanager

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
)

// load reads the pool's jobs. It tries until it succeeds: without its jobs a
// pool can't be served, and the claim keeps others from trying.
func (k *Manager) load(ctx context.Context) error {
	began := time.Now()
	for {
		loaded, err := poolstore.Load(ctx, k.Store, k.Pool)
		if err == nil {
			k.adopt(loaded, began)
			return nil
		}
		k.Log.Warn().Err(err).Msg("Can't read the pool's jobs yet.")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(commitRetry):
		}
	}
}

func (k *Manager) adopt(loaded poolstore.Snapshot, began time.Time) {
	now, wall := time.Now(), k.WallClock()
	k.pool = sched.New(k.Sched, rosterOf(k.head), now)
	for _, job := range loaded.Jobs {
		k.pool.Restore(job.Record, job.Progress, now, wall)
	}
	for _, fault := range loaded.DecodeErrors {
		k.Log.Error().Err(fault).Msg("A stored job can't be read and is left alone.")
	}
	for _, l := range k.lanes[1:] {
		l.revision = loaded.Lanes[l.index]
	}
	k.Metrics.takeovers.Inc()
	k.Log.Info().Int64("fence", k.head.Fence).Int("jobs", len(loaded.Jobs)).Int("roster", len(k.head.HostsInUse)).Int("silent", len(k.head.Unresponsive)).
		Dur("loading_ms", time.Since(began)).Msg("Holds the pool.")
}
