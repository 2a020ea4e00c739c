package hostmanager

import (
	"context"
	"encoding/json"
	"maps"
	"strconv"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

// waveState is the progress of a wave as it is stored.
type waveState struct {
	// StartedMs is when the wave was first seen, in Unix milliseconds.
	StartedMs int64 `json:"b"`
	// Started are the hosts whose maintenance may start or have started: each is a permit,
	// stored before the first call. Done are those whose maintenance the platform has
	// confirmed.
	Started  map[string]bool `json:"o,omitempty"`
	Done     map[string]bool `json:"d,omitempty"`
	Finished bool            `json:"x,omitempty"`

	// inherited are the permits of earlier holders.
	inherited     map[string]bool
	startedAt     time.Time
	statusWritten bool
	// version counts the changes, storedVersion those that are known to be stored, at
	// revision. saving is occupied by the goroutine that stores them. It is a channel because
	// waiting for a mutex stops virtual time in tests.
	version, storedVersion uint64
	revision               store.Revision
	saving                 chan struct{}
}

// loadWaveState returns the progress of a wave. It is read from the store once.
func (m *Manager) loadWaveState(ctx context.Context, wave Wave) *waveState {
	if state := m.waves[wave.Number]; state != nil {
		return state
	}
	state := &waveState{saving: make(chan struct{}, 1)}
	entry, err := m.Store.Get(ctx, waveKey(wave.Number))
	switch {
	case store.IsNotFound(err):
		state.StartedMs = time.Now().UnixMilli()
	case err != nil:
		m.Log.Warn().Err(err).Int64("wave", wave.Number).Msg("Failed to read the progress of a wave.")
		return nil
	default:
		if err := json.Unmarshal(entry.Value, state); err != nil {
			m.Log.Error().Err(err).Int64("wave", wave.Number).Msg("The stored progress of a wave is corrupt; its state is reset.")
			state = &waveState{StartedMs: time.Now().UnixMilli(), saving: make(chan struct{}, 1)}
		}
	}
	if state.Started == nil {
		state.Started = make(map[string]bool)
	}
	if state.Done == nil {
		state.Done = make(map[string]bool)
	}
	state.inherited = maps.Clone(state.Started)
	state.revision = entry.ModRevision
	state.startedAt = time.Now().Add(-min(wave.TimeLimit, max(0, time.Since(time.UnixMilli(state.StartedMs)))))
	m.mu.Lock()
	m.waves[wave.Number] = state
	m.mu.Unlock()
	m.Log.Info().Int64("wave", wave.Number).Int("hosts", len(wave.Hosts)).Int("done", len(state.Done)).Int("started", len(state.Started)).Dur("within", wave.TimeLimit).Msg("Managing a wave.")
	return state
}

func waveKey(number int64) string { return "glade/wave/" + strconv.FormatInt(number, 10) }

// permitted reports whether a host's maintenance may start at any moment: this process or an
// earlier holder was allowed to call for it, and isn't known to have done so.
func (s *waveState) permitted(name string) bool { return s.Started[name] && !s.Done[name] }

// change changes a wave's state and returns the version to store.
func (m *Manager) change(state *waveState, to func()) (version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	to()
	state.version++
	return state.version
}

// recordMaintenance stores that a host's maintenance may start or, with done set,
// that it has. Without the former, the next holder would not count the host as
// down.
func (m *Manager) recordMaintenance(ctx context.Context, wave Wave, state *waveState, name string, done bool) bool {
	version := m.change(state, func() {
		state.Started[name] = true
		if done {
			state.Done[name] = true
		}
	})
	for ctx.Err() == nil && !m.isFenced() {
		if m.saveWaveState(ctx, wave.Number, state, version) {
			return true
		}
		pause.For(ctx, retryInterval)
	}
	return false
}

// returnPermit stores that a host's maintenance will not start after all, after calls that
// did nothing. An earlier holder may still use its own permit.
func (m *Manager) returnPermit(ctx context.Context, wave Wave, state *waveState, name string) {
	if state.inherited[name] {
		return
	}
	version := m.change(state, func() { delete(state.Started, name) })
	if !m.saveWaveState(ctx, wave.Number, state, version) {
		m.Log.Warn().Int64("wave", wave.Number).Str("host", name).Msg("Failed to store that a host was not sent; the next change of the progress does.")
	}
}

// saveWaveState stores a wave's state and reports whether a version is stored. It does so on
// the condition that the claim's head is unchanged, so that only the current holder can, and
// that the state is the one stored last: a write that is overtaken, or carried out late after
// its answer was lost, would bring permits back to what they were, and the next holder
// would not know of the others. Changes that come meanwhile are stored together.
func (m *Manager) saveWaveState(ctx context.Context, number int64, state *waveState, version uint64) bool {
	select {
	case state.saving <- struct{}{}:
		defer func() { <-state.saving }()
	case <-ctx.Done():
		return false
	}
	if state.storedVersion >= version {
		return true
	}
	value, current := m.encodeWaveState(state)
	key := waveKey(number)
	revision, err := m.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: m.revision}, {Key: key, Expect: state.revision}},
		Puts:       []store.Put{{Key: key, Value: value}},
	})
	if conflict, ok := err.(*store.TxnConflictError); ok {
		if conflict.Find(poolstore.HeadKey(ClaimName)).ModRevision != m.revision {
			m.setFenced()
		}
		// An earlier write of this process was carried out although its answer was lost.
		state.revision = conflict.Find(key).ModRevision
	}
	if err != nil {
		m.Log.Warn().Err(err).Int64("wave", number).Msg("Failed to store the progress of a wave; it will be retried.")
		return false
	}
	state.revision, state.storedVersion = revision, current
	return true
}

// encodeWaveState returns the state as it is stored, and its version.
func (m *Manager) encodeWaveState(state *waveState) (value []byte, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, err := json.Marshal(state)
	if err != nil {
		// A struct of maps and numbers always encodes.
		panic(err)
	}
	return value, state.version
}
