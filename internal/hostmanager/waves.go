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

func (m *Manager) reconcileWave(ctx context.Context, wave Wave, loads map[string]Load) {
	state := m.loadWaveState(ctx, wave)
	if state == nil || state.Finished {
		return
	}
	if err := m.ensureRecentList(ctx); err != nil {
		m.Log.Warn().Err(err).Msg("Failed to list hosts.")
		return
	}
	view := m.waveView(wave, state, loads)
	for _, host := range NextToDrain(view) {
		m.startMaintenance(ctx, wave, state, host, view.SlowToDrain[host.Worker])
	}
	m.writeStatus(ctx, wave, state)
}

// loadWaveState returns the progress of a wave. It is read from the store once.
func (m *Manager) loadWaveState(ctx context.Context, wave Wave) *waveState {
	if state := m.waves[wave.Number]; state != nil {
		return state
	}
	state := &waveState{}
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
			state = &waveState{StartedMs: time.Now().UnixMilli()}
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

func (m *Manager) waveView(wave Wave, state *waveState, loads map[string]Load) WaveView {
	view := WaveView{
		Wave: wave, Remaining: wave.TimeLimit - time.Since(state.startedAt),
		Loads: make(map[string]float64), OutByPool: make(map[string]int), SizeByPool: make(map[string]int),
		SlowToDrain: make(map[string]bool), SlowDraining: make(map[string]int), Occupied: make(map[string]bool), Permitted: make(map[string]bool),
		BurstLikelihood: m.bursts.Likelihoods(),
	}
	m.addHosts(&view, wave.hostSet(), state)
	view.SetLoads(loads)
	return view
}

// addHosts counts the hosts of each pool, those out, and those still to be sent.
func (m *Manager) addHosts(view *WaveView, due map[string]bool, state *waveState) {
	m.mu.Lock()
	defer m.mu.Unlock()
	view.OutTime = m.maintenanceTimes.OutTime()
	for _, op := range m.operations {
		view.OutByPool[op.pool]++
		if op.wave == view.Wave.Number {
			view.Out++
		}
		if op.slowToDrain && !op.down {
			view.SlowDraining[op.pool]++
		}
	}
	for _, h := range m.hosts {
		view.SizeByPool[h.Pool]++
		if !due[h.Name] || m.operations[h.Name] != nil {
			continue
		}
		permitted := state.permitted(h.Name)
		if permitted || h.Down {
			view.Held++
		}
		if h.Up && !state.Done[h.Name] {
			view.Pending = append(view.Pending, h)
			view.Permitted[h.Name] = permitted
		}
	}
}

// startMaintenance starts to drain and maintain one host.
func (m *Manager) startMaintenance(ctx context.Context, wave Wave, state *waveState, host Host, slow bool) {
	m.mu.Lock()
	m.operations[host.Name] = &operation{pool: host.Pool, wave: wave.Number, slowToDrain: slow}
	m.mu.Unlock()
	m.Log.Info().Int64("wave", wave.Number).Str("host", host.Name).Str("pool", host.Pool).Msg("Draining a host for maintenance.")
	go func() {
		defer func() {
			m.mu.Lock()
			delete(m.operations, host.Name)
			m.mu.Unlock()
		}()
		m.maintain(ctx, wave, state, host)
	}()
}

func (m *Manager) maintain(ctx context.Context, wave Wave, state *waveState, host Host) {
	start := time.Now()
	if !m.awaitDrained(ctx, host, drainTimeout) {
		m.Log.Warn().Int64("wave", wave.Number).Str("host", host.Name).Msg("Host not drained; it will be retried.")
		return
	}
	if !m.reserveDown(wave, host.Name) {
		m.Log.Info().Int64("wave", wave.Number).Str("host", host.Name).Int("limit", wave.MaxDown).Msg("As many hosts of the wave as may be are down; it will be retried.")
		return
	}
	if !m.recordMaintenance(ctx, wave, state, host.Name, false) {
		return
	}
	maintained, outcome := m.callPlatform(ctx, host, func() Outcome { return m.Fleet.Maintain(ctx, host.Name, wave.Number, m.fence) })
	if !maintained {
		if outcome.nothingDone() {
			m.returnPermit(ctx, wave, state, host.Name)
		}
		return
	}
	// The platform has accepted the call. What is left is to wait, and the host
	// counts as down meanwhile.
	m.recordMaintenance(ctx, wave, state, host.Name, true)
	m.awaitReturn(ctx, host)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.maintenanceTimes.Add(time.Since(start))
}

// permitted reports whether a host's maintenance may start at any moment: this process or an
// earlier holder was allowed to call for it, and isn't known to have done so.
func (s *waveState) permitted(name string) bool { return s.Started[name] && !s.Done[name] }

// reserveDown counts a host as down if its wave allows one more. The permits that earlier
// holders stored count as well, whatever this one does with their hosts: such a holder may
// have been suspended right before its call, and the platform's fencing tokens, which
// each host checks for itself, don't stop it. Each host has one permit, whoever uses it.
func (m *Manager) reserveDown(wave Wave, name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	down := 0
	counted := make(map[string]bool)
	for other, op := range m.operations {
		if op.wave == wave.Number && op.down {
			counted[other] = true
			down++
		}
	}
	due, state := wave.hostSet(), m.waves[wave.Number]
	for _, h := range m.hosts {
		if due[h.Name] && !counted[h.Name] && h.Name != name && (h.Down || state.permitted(h.Name)) {
			down++
		}
	}
	if down >= wave.MaxDown {
		return false
	}
	m.operations[name].down = true
	return true
}

// recordMaintenance stores that a host's maintenance may start or, with done set,
// that it has. Without the former, the next holder would not count the host as
// down.
func (m *Manager) recordMaintenance(ctx context.Context, wave Wave, state *waveState, name string, done bool) bool {
	for ctx.Err() == nil && !m.isFenced() {
		m.mu.Lock()
		state.Started[name] = true
		if done {
			state.Done[name] = true
		}
		m.mu.Unlock()
		if m.saveWaveState(ctx, wave.Number, state) {
			return true
		}
		pause.For(ctx, retryInterval)
	}
	return false
}

// returnPermit stores that a host's maintenance will not start after all, after calls that
// did nothing. An earlier holder may still use its own permit.
func (m *Manager) returnPermit(ctx context.Context, wave Wave, state *waveState, name string) {
	m.mu.Lock()
	inherited := state.inherited[name]
	if !inherited {
		delete(state.Started, name)
	}
	m.mu.Unlock()
	if !inherited && !m.saveWaveState(ctx, wave.Number, state) {
		m.Log.Warn().Int64("wave", wave.Number).Str("host", name).Msg("Failed to store that a host was not sent; the next change of the progress does.")
	}
}

// saveWaveState stores a wave's state on the condition that the claim's head is
// unchanged, so that only the current holder can.
func (m *Manager) saveWaveState(ctx context.Context, number int64, state *waveState) bool {
	_, err := m.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: m.revision}},
		Puts:       []store.Put{{Key: waveKey(number), Value: m.encodeWaveState(state)}},
	})
	if store.IsTxnConflict(err) {
		m.setFenced()
	}
	return err == nil
}

func (m *Manager) encodeWaveState(state *waveState) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	value, err := json.Marshal(state)
	if err != nil {
		// A struct of maps and numbers always encodes.
		panic(err)
	}
	return value
}

// waveFinished reports whether all hosts of the wave that are still listed are
// done.
func (m *Manager) waveFinished(wave Wave, state *waveState) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range wave.Hosts {
		if _, listed := m.hostLocked(name); listed && !state.Done[name] {
			return false
		}
	}
	return true
}

// writeStatus writes a wave's status for the operator when it changes.
func (m *Manager) writeStatus(ctx context.Context, wave Wave, state *waveState) {
	finished := m.waveFinished(wave, state)
	if state.statusWritten && !finished {
		return
	}
	key, value := m.WaveStatus(wave.Number, finished)
	_, err := m.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: m.revision}},
		Puts:       []store.Put{{Key: key, Value: value}},
	})
	if err != nil {
		m.Log.Warn().Err(err).Int64("wave", wave.Number).Msg("Failed to write the status of a wave; it will be retried.")
		return
	}
	state.statusWritten = true
	if finished {
		m.mu.Lock()
		state.Finished = true
		m.mu.Unlock()
		m.saveWaveState(ctx, wave.Number, state)
		m.Log.Info().Int64("wave", wave.Number).Dur("took", time.Since(state.startedAt)).Msg("Wave finished.")
	}
}
