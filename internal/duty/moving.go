package duty

import (
	"context"
)

// roundMoves looks whether some pool needs hosts that others can spare.
func (k *Keeper) roundMoves(ctx context.Context) {
	names := k.PoolNames()
	views := make([]PoolView, 0, len(names))
	needed := false
	for name, spare := range names {
		view := PoolView{Name: name, Spare: spare}
		if !spare || k.Kept(name) {
			view.Load, view.Known = k.Pools.Load(ctx, name, nil)
		}
		needed = needed || view.Known && view.lacks()
		views = append(views, view)
	}
	// Hosts are listed only when some pool may get one: each list is a call.
	if !needed {
		return
	}
	if err := k.list(ctx); err != nil {
		k.Log.Warn().Err(err).Msg("Can't list the hosts.")
		return
	}
	k.fill(views)
	for _, move := range PlanMoves(views, k.allowed) {
		k.move(ctx, move)
	}
}

// fill adds the hosts that can be moved, and those on their way.
func (k *Keeper) fill(views []PoolView) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := range views {
		v := &views[i]
		for _, e := range k.busy {
			if e.to == v.Name {
				v.Coming++
			}
		}
		for _, h := range k.hosts {
			if h.Pool == v.Name && h.Up && k.busy[h.Name] == nil {
				v.Hosts = append(v.Hosts, h)
			}
		}
	}
}

func (k *Keeper) allowed(h Host, pool string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.barred[barredPair{h.Kind, pool}]
}

// move starts to take one host to another pool.
func (k *Keeper) move(ctx context.Context, move Move) {
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
		if !k.empty(ctx, move.Host) {
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
