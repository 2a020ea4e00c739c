package hostmanager

import (
	"context"
	"time"

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
		m.saveWaveState(ctx, wave.Number, state, m.change(state, func() { state.Finished = true }))
		m.Log.Info().Int64("wave", wave.Number).Dur("took", time.Since(state.startedAt)).Msg("Wave finished.")
	}
}
