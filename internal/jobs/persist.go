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

// load reads every pool's state in one call and claims each: one write per
// pool that has tasks, once per fail-over.
func (m *Manager) load(ctx context.Context) error {
	listing, err := m.Store.List(ctx, storekeys.PlacementPrefix)
	if err != nil {
		return err
	}
	// Another controller may have placed tasks on a host while this one
	// believed it away: its clock starts anew.
	m.away = make(map[string]time.Time)
	listed := make(map[string]bool, len(listing.Entries))
	for _, entry := range listing.Entries {
		listed[m.adopt(entry).Pool] = true
	}
	for name := range m.pools {
		if !listed[name] {
			delete(m.pools, name)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(m.pools)) {
		p := m.pools[name]
		if p.stuck || !m.Shard.Owned() {
			continue
		}
		if err := m.save(ctx, p); err != nil {
			return err
		}
	}
	m.loaded = true
	return nil
}

func (m *Manager) adopt(entry store.Entry) *poolState {
	state, err := ParseState(entry.Key, entry.Value)
	if err != nil {
		m.Log.Error().Err(err).Msg("Placement can't be read; its pool's jobs stand still.")
		pool := entry.Key[len(storekeys.PlacementPrefix):]
		m.pools[pool] = &poolState{State: newState(pool), stuck: true}
		return m.pools[pool]
	}
	p := newPoolState(state, entry.ModRevision)
	p.carryOver(m.pools[state.Pool])
	m.pools[state.Pool] = p
	return p
}

// carryOver keeps what was seen of tasks that are still there. That a task
// wasn't sent by this process says nothing any more: another controller may
// have read the state in between and sent it.
func (p *poolState) carryOver(earlier *poolState) {
	if earlier == nil {
		return
	}
	for id := range p.tasks {
		if sight := earlier.tasks[id]; sight != nil {
			sight.ownStart = false
			p.tasks[id] = sight
		}
	}
}

func newPoolState(state *State, revision store.Revision) *poolState {
	p := &poolState{State: state, revision: revision, tasks: make(map[string]*taskSight), agedAt: time.Now()}
	for id, task := range state.Tasks {
		// Whether it was sent before is unknown: it counts as sent, and its
		// throttle is set again.
		p.tasks[id] = &taskSight{sent: true, throttled: !task.Throttled}
	}
	return p
}

// pool returns a pool's state, read again when a write of it failed, or nil
// when it can't be had now.
func (m *Manager) pool(ctx context.Context, name string) *poolState {
	p := m.pools[name]
	if p == nil || p.stale {
		entry, err := m.Store.Get(ctx, storekeys.Placement(name))
		switch {
		case store.IsNotFound(err):
			p = newPoolState(newState(name), 0)
			m.pools[name] = p
		case err != nil:
			m.Log.Warn().Err(err).Str("pool", name).Msg("Placement not read.")
			return nil
		default:
			p = m.adopt(entry)
		}
	}
	if p.stuck {
		return nil
	}
	return p
}

func (m *Manager) save(ctx context.Context, p *poolState) error {
	p.Holder, p.WriteID = m.Member, uuid.NewString()
	p.age()
	revision, err := store.IdempotentCAS(ctx, m.Store, store.Write{
		Key: storekeys.Placement(p.Pool), Expect: p.revision, Value: p.encode(),
	})
	if err != nil {
		return err
	}
	p.revision, p.dirty, p.claimed = revision, false, true
	p.confirmed = true
	return nil
}

// confirm makes sure that a state is still the stored one before a task is sent
// to a worker again. A holder that was paused could otherwise go on trying a
// Start that its successor has given up, on a worker that has rebooted since
// and forgotten that it was told to stop it.
func (m *Manager) confirm(ctx context.Context, p *poolState) bool {
	entry, err := m.Store.Get(ctx, storekeys.Placement(p.Pool))
	if err == nil && entry.ModRevision != p.revision {
		m.writeFailed(p, &store.ConflictError{Key: storekeys.Placement(p.Pool), Expect: p.revision, Actual: entry.ModRevision})
		return false
	}
	return err == nil
}

// age brings the jobs' ages up to date, in whole seconds.
func (p *poolState) age() {
	passed := time.Since(p.agedAt).Truncate(time.Second)
	p.agedAt = p.agedAt.Add(passed)
	for _, job := range p.Jobs {
		job.AgeSeconds += int(passed / time.Second)
	}
}
