package hostmanager

import (
	"context"
	"encoding/json"
	"strconv"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

func (k *Manager) roundWave(ctx context.Context, wave Wave, loads map[string]Load) {
	state := k.waveState(ctx, wave)
	if state == nil || state.Over {
		return
	}
	if err := k.refresh(ctx); err != nil {
		k.Log.Warn().Err(err).Msg("Can't list the hosts.")
		return
	}
	view := k.view(wave, state, loads)
	for _, host := range NextToDrain(view) {
		k.send(ctx, wave, state, host, view.SlowToDrain[host.Worker])
	}
	k.tell(ctx, wave, state)
}

// waveState returns how far a wave has come, reading it from the store once.
func (k *Manager) waveState(ctx context.Context, wave Wave) *waveState {
	if state := k.waves[wave.Number]; state != nil {
		return state
	}
	state := &waveState{}
	entry, err := k.Store.Get(ctx, waveKey(wave.Number))
	switch {
	case store.IsNotFound(err):
		state.BeganMs = time.Now().UnixMilli()
	case err != nil:
		k.Log.Warn().Err(err).Int64("wave", wave.Number).Msg("Can't read how far a wave has come.")
		return nil
	default:
		if err := json.Unmarshal(entry.Value, state); err != nil {
			k.Log.Error().Err(err).Int64("wave", wave.Number).Msg("What is stored of a wave can't be read; it is worked out anew.")
			state = &waveState{BeganMs: time.Now().UnixMilli()}
		}
	}
	if state.Begun == nil {
		state.Begun = make(map[string]bool)
	}
	if state.Done == nil {
		state.Done = make(map[string]bool)
	}
	state.revision = entry.ModRevision
	state.began = time.Now().Add(-min(wave.TimeLimit, max(0, time.Since(time.UnixMilli(state.BeganMs)))))
	k.waves[wave.Number] = state
	k.Log.Info().Int64("wave", wave.Number).Int("hosts", len(wave.Hosts)).Int("done", len(state.Done)).Dur("within", wave.TimeLimit).Msg("Looks after a wave.")
	return state
}

func waveKey(number int64) string { return "glade/wave/" + strconv.FormatInt(number, 10) }

func (k *Manager) view(wave Wave, state *waveState, loads map[string]Load) WaveView {
	view := WaveView{
		Wave: wave, Remaining: wave.TimeLimit - time.Since(state.began),
		Loads: make(map[string]float64), OutByPool: make(map[string]int), SizeByPool: make(map[string]int),
		SlowToDrain: make(map[string]bool), SlowDraining: make(map[string]int), Occupied: make(map[string]bool),
		BurstLikelihood: k.rhythm.Likelihoods(),
	}
	k.viewHosts(&view, wave.due(), state)
	view.SetLoads(loads)
	return view
}

// viewHosts counts the hosts of each pool, those out, and those left to send.
func (k *Manager) viewHosts(view *WaveView, due map[string]bool, state *waveState) {
	k.mu.Lock()
	defer k.mu.Unlock()
	view.PerHost = k.outTimes.PerHost()
	for _, e := range k.busy {
		view.OutByPool[e.pool]++
		if e.wave == view.Wave.Number {
			view.Out++
		}
		if e.slow && !e.down {
			view.SlowDraining[e.pool]++
		}
	}
	for _, h := range k.hosts {
		view.SizeByPool[h.Pool]++
		if !due[h.Name] || !h.Up || state.Done[h.Name] {
			continue
		}
		if k.busy[h.Name] == nil {
			view.Pending = append(view.Pending, h)
		}
	}
}

// send starts to take one host through its maintenance.
func (k *Manager) send(ctx context.Context, wave Wave, state *waveState, host Host, slow bool) {
	k.mu.Lock()
	k.busy[host.Name] = &errand{pool: host.Pool, wave: wave.Number, slow: slow}
	k.mu.Unlock()
	k.Log.Info().Int64("wave", wave.Number).Str("host", host.Name).Str("pool", host.Pool).Msg("Empties a host.")
	go func() {
		defer func() {
			k.mu.Lock()
			delete(k.busy, host.Name)
			k.mu.Unlock()
		}()
		k.maintain(ctx, wave, state, host)
	}()
}

func (k *Manager) maintain(ctx context.Context, wave Wave, state *waveState, host Host) {
	began := time.Now()
	if !k.empty(ctx, host, emptyWithin) {
		k.Log.Warn().Int64("wave", wave.Number).Str("host", host.Name).Msg("A host does not empty; it comes later.")
		return
	}
	if !k.goDown(wave, host.Name) {
		return
	}
	if !k.note(ctx, wave, state, host.Name, false) {
		return
	}
	maintained, _ := k.call(ctx, host, func() Outcome { return k.Fleet.Maintain(ctx, host.Name, wave.Number, k.fence) })
	if !maintained {
		return
	}
	// The platform has taken the call: what is left is to wait, and the host
	// counts as down for as long.
	k.note(ctx, wave, state, host.Name, true)
	k.awaitBack(ctx, host)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.outTimes.Add(time.Since(began))
}

// goDown counts a host as down if its wave allows one more. Hosts that an
// earlier holder sent and that aren't back count as well.
func (k *Manager) goDown(wave Wave, name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	down := 0
	counted := make(map[string]bool)
	for other, e := range k.busy {
		if e.wave == wave.Number && e.down {
			counted[other] = true
			down++
		}
	}
	due, state := wave.due(), k.waves[wave.Number]
	for _, h := range k.hosts {
		begun := state.Begun[h.Name] && !state.Done[h.Name] && k.busy[h.Name] == nil
		if due[h.Name] && !counted[h.Name] && h.Name != name && (h.Down || begun) {
			down++
		}
	}
	if down >= wave.MaxDown {
		return false
	}
	k.busy[name].down = true
	return true
}

// note stores that a host's maintenance may begin, or that it has. Without the
// former, a successor would not count the host as down.
func (k *Manager) note(ctx context.Context, wave Wave, state *waveState, name string, done bool) bool {
	for ctx.Err() == nil && !k.isDeposed() {
		k.mu.Lock()
		state.Begun[name] = true
		if done {
			state.Done[name] = true
		}
		k.mu.Unlock()
		if k.save(ctx, wave.Number, state) {
			return true
		}
		pause.For(ctx, retryEvery)
	}
	return false
}

// save stores a wave's state under the duty's head, so that only its holder
// can.
func (k *Manager) save(ctx context.Context, number int64, state *waveState) bool {
	_, err := k.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: k.revision}},
		Puts:       []store.Put{{Key: waveKey(number), Value: k.encode(state)}},
	})
	if store.IsTxnConflict(err) {
		k.depose()
	}
	return err == nil
}

func (k *Manager) encode(state *waveState) []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	value, err := json.Marshal(state)
	if err != nil {
		// A struct of maps and numbers always encodes.
		panic(err)
	}
	return value
}

// over reports whether no host that is still listed is left in the wave.
func (k *Manager) over(wave Wave, state *waveState) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, name := range wave.Hosts {
		if _, listed := k.hostLocked(name); listed && !state.Done[name] {
			return false
		}
	}
	return true
}

// tell writes a wave's status for the operator when it changes.
func (k *Manager) tell(ctx context.Context, wave Wave, state *waveState) {
	over := k.over(wave, state)
	if state.told && !over {
		return
	}
	key, value := k.WaveStatus(wave.Number, over)
	_, err := k.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: k.revision}},
		Puts:       []store.Put{{Key: key, Value: value}},
	})
	if err != nil {
		k.Log.Warn().Err(err).Int64("wave", wave.Number).Msg("Can't write a wave's status yet.")
		return
	}
	state.told = true
	if over {
		k.mu.Lock()
		state.Over = true
		k.mu.Unlock()
		k.save(ctx, wave.Number, state)
		k.Log.Info().Int64("wave", wave.Number).Dur("took", time.Since(state.began)).Msg("A wave is done.")
	}
}
