package hostmanager

import (
	"context"
	"slices"
	"time"
)

// moveDrainTimeout is how long a host that is to move may take to drain before it
// stays where it is. Its tasks should end within some seconds, and the destination
// pool would count on it in vain.
const moveDrainTimeout = 4 * time.Second

// reconcileMoves moves hosts to pools that need some, from pools that can spare
// them.
func (m *Manager) reconcileMoves(ctx context.Context, loads map[string]Load) {
	var views []PoolView
	for name, spare := range m.PoolNames() {
		load, known := loads[name]
		views = append(views, PoolView{Name: name, Spare: spare, Load: load, Known: known, ReportAge: time.Since(load.ReceivedAt)})
	}
	for _, change := range m.bursts.Observe(views, time.Now()) {
		m.logBurst(change)
	}
	m.lengths.Observe(views, time.Now())
	m.fillViews(views)
	m.Metrics.observe(views, nil)
	// The hosts are listed only if some may move, since each list is a call.
	if len(m.Allocation.planMoves(views, m.moveAllowed)) == 0 && !anyNeedsHosts(views) {
		return
	}
	if err := m.ensureRecentList(ctx); err != nil {
		m.Log.Warn().Err(err).Msg("Failed to list hosts.")
		return
	}
	m.fillViews(views)
	moves := m.Allocation.planMoves(views, m.moveAllowed)
	decisions := Decisions(moves, views)
	m.logDecisions(decisions)
	m.Metrics.observe(views, decisions)
	for _, move := range moves {
		m.startMove(ctx, move)
	}
}

func (m *Manager) logBurst(change BurstChange) {
	event := m.Log.Info().Str("pool", change.Pool).Int("arriving_milli", change.Offered).Float64("usual_milli", change.Typical)
	if change.Started {
		event.Msg("Demand burst started.")
		return
	}
	event.Msg("Demand burst ended.")
}

func anyNeedsHosts(views []PoolView) bool {
	return slices.ContainsFunc(views, func(v PoolView) bool { return v.Known && v.needsHosts() })
}

// fillViews adds the hosts that can be moved, and the number of incoming ones.
func (m *Manager) fillViews(views []PoolView) {
	waves := m.Waves()
	m.mu.Lock()
	defer m.mu.Unlock()
	due := m.maintenanceDue(waves)
	now := time.Now()
	index := make(map[string]*PoolView, len(views))
	for i := range views {
		views[i].Incoming, views[i].Hosts = 0, nil
		index[views[i].Name] = &views[i]
	}
	for _, op := range m.operations {
		if v := index[op.to]; v != nil {
			v.Incoming++
		}
	}
	for _, h := range m.hosts {
		v := index[h.Pool]
		switch {
		case v == nil || m.operations[h.Name] != nil:
		case h.Up:
			h.MaintenanceDue, h.Settling = due[h.Name], now.Sub(m.movedAt[h.Name]) < SettlingTime
			v.Hosts = append(v.Hosts, h)
		case h.Moving:
			// The move was started by an earlier host manager.
			v.Incoming++
		}
	}
}

func (m *Manager) moveAllowed(h Host, pool string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.rejected[kindAndPool{h.Kind, pool}]
}

// startMove starts to drain one host and move it to another pool.
func (m *Manager) startMove(ctx context.Context, move Move) {
	m.mu.Lock()
	m.operations[move.Host.Name] = &operation{pool: move.Host.Pool, to: move.To}
	m.mu.Unlock()
	m.Log.Info().Str("host", move.Host.Name).Str("pool", move.Host.Pool).Str("to", move.To).Msg("Moving a host.")
	go func() {
		defer func() {
			m.mu.Lock()
			delete(m.operations, move.Host.Name)
			m.mu.Unlock()
		}()
		if !m.awaitDrained(ctx, move.Host, moveDrainTimeout) {
			return
		}
		moved, outcome := m.callPlatform(ctx, move.Host, func() Outcome { return m.Fleet.Move(ctx, move.Host.Name, move.To, m.fence) })
		if outcome == NoSuchHost {
			m.mu.Lock()
			m.rejected[kindAndPool{move.Host.Kind, move.To}] = true
			m.mu.Unlock()
		}
		if moved {
			m.noteMoved(move.Host.Name)
			m.awaitReturn(ctx, move.Host)
		}
	}()
}

// noteMoved records that a host has just been moved.
func (m *Manager) noteMoved(host string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.movedAt[host] = time.Now()
}
