package hostmanager

import (
	"context"
	"slices"
	"time"
)

// moveWithin is when a host that was to move and doesn't empty stays where it
// is: its tasks end within some seconds, and the pool that waits for it would
// count on it in vain.
const moveWithin = 4 * time.Second

// roundMoves looks whether some pool needs hosts that others can spare.
func (k *Manager) roundMoves(ctx context.Context, loads map[string]Load) {
	var views []PoolView
	for name, spare := range k.PoolNames() {
		load, known := loads[name]
		views = append(views, PoolView{Name: name, Spare: spare, Load: load, Known: known})
	}
	for _, turn := range k.rhythm.Observe(views, time.Now()) {
		k.logTurn(turn)
	}
	k.fill(views)
	// Hosts are listed only when some may move: each list is a call.
	if len(PlanMoves(views, k.allowed)) == 0 && !anyLacks(views) {
		return
	}
	if err := k.refresh(ctx); err != nil {
		k.Log.Warn().Err(err).Msg("Can't list the hosts.")
		return
	}
	k.fill(views)
	for _, move := range PlanMoves(views, k.allowed) {
		k.move(ctx, move)
	}
}

func (k *Manager) logTurn(turn BurstChange) {
	event := k.Log.Info().Str("pool", turn.Pool).Int("arriving_milli", turn.Offered).Float64("usual_milli", turn.Typical)
	if turn.Started {
		event.Msg("A turn of demand begins.")
		return
	}
	event.Msg("A turn of demand is over.")
}

func anyLacks(views []PoolView) bool {
	return slices.ContainsFunc(views, func(v PoolView) bool { return v.Known && v.lacks() })
}

// fill adds the hosts that can be moved, and those on their way.
func (k *Manager) fill(views []PoolView) {
	waves := k.Waves()
	k.mu.Lock()
	defer k.mu.Unlock()
	due := k.due(waves)
	for i := range views {
		v := &views[i]
		v.Incoming, v.Hosts = 0, nil
		for _, e := range k.busy {
			if e.to == v.Name {
				v.Incoming++
			}
		}
		for _, h := range k.hosts {
			if h.Pool == v.Name && h.Up && k.busy[h.Name] == nil {
				h.MaintenanceDue = due[h.Name]
				v.Hosts = append(v.Hosts, h)
			}
		}
	}
}

func (k *Manager) allowed(h Host, pool string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.barred[barredPair{h.Kind, pool}]
}

// move starts to take one host to another pool.
func (k *Manager) move(ctx context.Context, move Move) {
	k.mu.Lock()
	k.busy[move.Host.Name] = &errand{pool: move.Host.Pool, to: move.To}
	k.mu.Unlock()
	k.Log.Info().Str("host", move.Host.Name).Str("pool", move.Host.Pool).Str("to", move.To).Msg("Moves a host.")
	go func() {
		defer func() {
			k.mu.Lock()
			delete(k.busy, move.Host.Name)
			k.mu.Unlock()
		}()
		if !k.empty(ctx, move.Host, moveWithin) {
			return
		}
		moved, outcome := k.call(ctx, move.Host, func() Outcome { return k.Fleet.Move(ctx, move.Host.Name, move.To, k.fence) })
		if outcome == NoSuchHost {
			k.mu.Lock()
			k.barred[barredPair{move.Host.Kind, move.To}] = true
			k.mu.Unlock()
		}
		if moved {
			k.awaitBack(ctx, move.Host)
		}
	}()
}
