package jobs

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/google/uuid"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// load reads the states of all pools in one call and claims each by writing it:
// one write per stored pool state, once per failover.
func (m *Manager) load(ctx context.Context) error {
	listing, err := m.Store.List(ctx, storekeys.PlacementPrefix)
	if err != nil {
		return err
	}
	// Another controller may have placed tasks on a host that this one considers
	// unreachable, so the time since when hosts are unreachable is reset.
	m.unreachable = make(map[string]time.Time)
	listed := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		listed[m.loadEntry(entry).Pool] = true
	}
	for name := range m.pools {
		if !listed[name] {
			delete(m.pools, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.pools)) {
		p := m.pools[name]
		if p.corrupt || !m.Shard.Owned() {
			continue
		}
		if err := m.save(ctx, p); err != nil {
			return err
		}
	}
	m.loaded = true
	return nil
}

func (m *Manager) loadEntry(entry store.Entry) *poolState {
	state, err := ParseState(entry.Key, entry.Value)
	if err != nil {
		m.Log.Error().Err(err).Msg("Placement state is corrupt; the jobs of its pool are suspended.")
		pool := entry.Key[len(storekeys.PlacementPrefix):]
		m.pools[pool] = &poolState{State: newState(pool), corrupt: true}
		return m.pools[pool]
	}
	p := newPoolState(state, entry.ModRevision)
	p.keepObserved(m.pools[state.Pool])
	m.pools[state.Pool] = p
	return p
}

// keepObserved keeps the observations of tasks that still exist. It resets
// placedHere, because another controller may have read the state in between and
// sent a task that this process hasn't sent.
func (p *poolState) keepObserved(earlier *poolState) {
	if earlier == nil {
		return
	}
	for id := range p.observed {
		if seen := earlier.observed[id]; seen != nil {
			seen.placedHere = false
			p.observed[id] = seen
		}
	}
}

func newPoolState(state *State, revision store.Revision) *poolState {
	p := &poolState{State: state, revision: revision, observed: make(map[string]*observedTask), agesUpdatedAt: time.Now()}
	for id, task := range state.Tasks {
		// Whether the task was sent is unknown, so it counts as sent, and the
		// inverted throttled value makes the throttle call repeat.
		p.observed[id] = &observedTask{sent: true, throttled: !task.Throttled}
	}
	return p
}

// pool returns a pool's state, or nil if it is corrupt or can't be read now. It
// reads the state again if a write of it failed.
func (m *Manager) pool(ctx context.Context, name string) *poolState {
	p := m.pools[name]
	if p == nil || p.stale {
		entry, err := m.Store.Get(ctx, storekeys.Placement(name))
		switch {
		case store.IsNotFound(err):
			p = newPoolState(newState(name), 0)
			m.pools[name] = p
		case err != nil:
			m.Log.Warn().Err(err).Str("pool", name).Msg("Could not read the placement state.")
			return nil
		default:
			p = m.loadEntry(entry)
		}
	}
	if p.corrupt {
		return nil
	}
	return p
}

func (m *Manager) save(ctx context.Context, p *poolState) error {
	p.Writer, p.WriteID = m.Member, uuid.NewString()
	p.updateAges()
	revision, err := store.IdempotentCAS(ctx, m.Store, store.SwapRequest{
		Key: storekeys.Placement(p.Pool), Expect: p.revision, Value: p.encode(),
	})
	if err != nil {
		return err
	}
	p.revision, p.dirty, p.claimed = revision, false, true
	p.confirmed = true
	return nil
}

// confirmRevision reports whether a state is still the stored one, before a task is
// sent to a worker again. Otherwise a paused former owner could retry a Start that
// its successor has abandoned, on a worker that has rebooted since and lost the
// record of the Stop, and the task would run twice.
func (m *Manager) confirmRevision(ctx context.Context, p *poolState) bool {
	entry, err := m.Store.Get(ctx, storekeys.Placement(p.Pool))
	if err == nil && entry.ModRevision != p.revision {
		m.handleWriteError(p, &store.ConflictError{Key: storekeys.Placement(p.Pool), Expect: p.revision, Actual: entry.ModRevision})
		return false
	}
	return err == nil
}

// updateAges adds the whole seconds elapsed since the last update to the jobs' ages.
func (p *poolState) updateAges() {
	elapsed := time.Since(p.agesUpdatedAt).Truncate(time.Second)
	p.agesUpdatedAt = p.agesUpdatedAt.Add(elapsed)
	for _, job := range p.Jobs {
		job.AgeSeconds += int(elapsed / time.Second)
	}
}
