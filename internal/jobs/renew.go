package jobs

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// maxStoreOutage is how long leases are renewed while the store is unavailable and
// so the shard can't be owned.
const maxStoreOutage = 6 * time.Hour

// renewLoop renews leases, one call per host. It continues while the store is
// unavailable: an outage of the store must not end running tasks, and no other
// controller can take over without the store. If the store responds and this
// controller doesn't own the shard, another one renews the leases.
func (m *Manager) renewLoop(ctx context.Context) {
	ownedAt := time.Now()
	for ctx.Err() == nil {
		switch {
		case m.Shard.Owned():
			ownedAt = time.Now()
			m.renewAll(ctx)
		case time.Since(ownedAt) < maxStoreOutage && m.storeUnavailable(ctx):
			m.renewAll(ctx)
		default:
			m.mu.Lock()
			m.renewable = make(map[string][]string)
			m.mu.Unlock()
		}
		pause.For(ctx, m.LeaseTTL/renewalsPerTTL)
	}
}

func (m *Manager) storeUnavailable(ctx context.Context) bool {
	if len(m.renewables()) == 0 {
		return false
	}
	_, err := m.Store.Get(ctx, storekeys.PlacementPrefix)
	return err != nil && !store.IsNotFound(err)
}

func (m *Manager) renewAll(ctx context.Context) {
	var wait sync.WaitGroup
	for host, ids := range m.renewables() {
		if len(ids) == 0 {
			continue
		}
		wait.Add(1)
		m.call(ctx, func(ctx context.Context) {
			defer wait.Done()
			ctx, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()
			if err := m.Workers.Renew(ctx, host, ids, m.LeaseTTL); err != nil {
				m.Log.Debug().Err(err).Str("host", host).Msg("Could not renew the leases of the host's tasks.")
			}
		})
	}
	wait.Wait()
}

func isHostUnknown(err error) bool {
	var unknown *fleet.HostUnknownError
	return errors.As(err, &unknown)
}

func taskEnded(err error) (fleet.TaskState, bool) {
	var ended *fleet.TaskEndedError
	if errors.As(err, &ended) {
		return ended.State, true
	}
	return "", false
}
