package duty

import (
	"context"
	"encoding/json"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/ledger"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
)

// Claim is the name under which the duty is claimed, like a pool. No pool of
// the platform's has a dot in its name.
const Claim = ".hosts"

const (
	// roundEvery is the pause between two looks at waves and pools.
	roundEvery = 200 * time.Millisecond
	// emptyEvery is the pause between two questions whether a host is empty.
	emptyEvery = 150 * time.Millisecond
	// emptyWithin is when a host that does not empty is let go for now. Steps
	// of which one task may miss at a time leave twenty hosts in some 12 s.
	emptyWithin = 20 * time.Second
	// retryEvery is the pause before a call is made again.
	retryEvery = 300 * time.Millisecond
	// sameLifeAfter is when a host that is up in the same life after a call has
	// been through it before: the list shows a call's effect at once.
	sameLifeAfter = time.Second
	// backWithin is when a host that doesn't come back counts as lost.
	backWithin = 15 * time.Second
)

// Config is what a Keeper needs.
type Config struct {
	Holder string
	Fleet  Fleet
	Pools  Pools
	Store  store.Transactor
	// Waves are the operator's waves as they are known.
	Waves func() []Wave
	// PoolNames are all pools, with whether their hosts are spare.
	PoolNames func() map[string]bool
	// Kept reports whether a pool has a holder that can be asked; hosts of
	// others run nothing.
	Kept func(pool string) bool
	// Status is the key and value that tell the operator how a wave goes.
	Status func(number int64, done bool) (key string, value []byte)
	Log    zerolog.Logger
}

// Keeper holds the duty.
type Keeper struct {
	Config
	fence    int64
	revision store.Revision
	claim    []byte

	mu sync.Mutex
	// busy are the hosts that something is done with.
	busy map[string]*errand
	// waves is how far each wave has come.
	waves   map[int64]*waveState
	hosts   []Host
	listed  time.Time
	deposed bool
	// confirmed is when the store last showed that the duty is held here.
	confirmed time.Time
	// barred are pools that a kind of host can't belong to.
	barred map[barredPair]bool
}

type barredPair struct{ kind, pool string }

// errand is what is being done with one host.
type errand struct {
	pool string
	// to is the pool that it moves to, empty for none.
	to   string
	wave int64
	// down: the call may have been made, and the host isn't back.
	down bool
}

// waveState is how far a wave has come, as the store has it.
type waveState struct {
	// Began is when it was first seen, a time of day in milliseconds.
	BeganMs int64 `json:"b"`
	// Begun are hosts whose maintenance may have begun, Done those for which the
	// platform has said that it has.
	Begun map[string]bool `json:"o,omitempty"`
	Done  map[string]bool `json:"d,omitempty"`
	Over  bool            `json:"x,omitempty"`

	revision store.Revision
	began    time.Time
	told     bool
}

// New returns a keeper of a duty that was just claimed.
func New(config Config, fence int64, revision store.Revision, claim []byte) *Keeper {
	return &Keeper{
		Config: config, fence: fence, revision: revision, claim: claim,
		busy: make(map[string]*errand), waves: make(map[int64]*waveState),
		barred: make(map[barredPair]bool), confirmed: time.Now(),
	}
}

// Confirm implements cluster.Kept.
func (k *Keeper) Confirm() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed = time.Now()
}

// unconfirmedFor is how long the duty is carried on when the store doesn't
// show that it is still held: less than it takes for another process to claim
// it. Two that act in turns on one host would each undo what the other plans.
const unconfirmedFor = 1800 * time.Millisecond

// acts reports whether this process may act on hosts.
func (k *Keeper) acts() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return !k.deposed && time.Since(k.confirmed) < unconfirmedFor
}

// Reclaim implements cluster.Kept.
func (k *Keeper) Reclaim(lease store.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := k.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: ledger.HeadKey(Claim), Expect: k.revision}, {Key: ledger.ClaimKey(Claim)}},
		Puts:       []store.Put{{Key: ledger.ClaimKey(Claim), Value: k.claim, Lease: lease}},
	})
	if conflict, ok := err.(*store.TxnConflictError); ok && conflict.Find(ledger.HeadKey(Claim)).ModRevision != k.revision {
		k.depose()
	}
}

func (k *Keeper) depose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.deposed = true
}

func (k *Keeper) isDeposed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.deposed
}

// Release gives the duty up.
func (k *Keeper) Release(ctx context.Context) {
	k.depose()
	_, err := k.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: ledger.HeadKey(Claim), Expect: k.revision}},
		Deletes:    []string{ledger.ClaimKey(Claim)},
	})
	k.Log.Info().AnErr("cause", err).Msg("Gave the duty up.")
}

// Run looks after the hosts until ctx ends or another holder is found.
func (k *Keeper) Run(ctx context.Context) {
	k.Log.Info().Int64("fence", k.fence).Msg("Holds the duty.")
	for ctx.Err() == nil && !k.isDeposed() {
		if k.acts() {
			k.round(ctx)
		}
		pause.For(ctx, roundEvery)
	}
	k.Log.Info().Msg("Holds the duty no more.")
}

func (k *Keeper) round(ctx context.Context) {
	for _, wave := range k.Waves() {
		k.roundWave(ctx, wave)
	}
	k.roundMoves(ctx)
}

func (k *Keeper) roundWave(ctx context.Context, wave Wave) {
	state := k.waveState(ctx, wave)
	if state == nil || state.Over {
		return
	}
	if err := k.list(ctx); err != nil {
		k.Log.Warn().Err(err).Msg("Can't list the hosts.")
		return
	}
	view := k.view(ctx, wave, state)
	for _, host := range NextOut(view) {
		k.send(ctx, wave, state, host)
	}
	k.tell(ctx, wave, state)
}

// waveState returns how far a wave has come, reading it from the store once.
func (k *Keeper) waveState(ctx context.Context, wave Wave) *waveState {
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
	state.began = time.Now().Add(-min(wave.Within, max(0, time.Since(time.UnixMilli(state.BeganMs)))))
	k.waves[wave.Number] = state
	k.Log.Info().Int64("wave", wave.Number).Int("hosts", len(wave.Hosts)).Int("done", len(state.Done)).Dur("within", wave.Within).Msg("Looks after a wave.")
	return state
}

func waveKey(number int64) string { return "glade/wave/" + strconv.FormatInt(number, 10) }

// list reads the hosts unless that was done a moment ago.
func (k *Keeper) list(ctx context.Context) error {
	k.mu.Lock()
	recent := time.Since(k.listed) < roundEvery/2
	k.mu.Unlock()
	if recent {
		return nil
	}
	hosts, err := k.Fleet.List(ctx)
	if err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hosts, k.listed = hosts, time.Now()
	return nil
}

func (k *Keeper) host(name string) (Host, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, h := range k.hosts {
		if h.Name == name {
			return h, true
		}
	}
	return Host{}, false
}

func (k *Keeper) view(ctx context.Context, wave Wave, state *waveState) WaveView {
	view := WaveView{
		Wave: wave, Remaining: wave.Within - time.Since(state.began),
		Loads: make(map[string]float64), OutOf: make(map[string]int), SizeOf: make(map[string]int),
	}
	k.mu.Lock()
	hosts := k.hosts
	for _, e := range k.busy {
		view.OutOf[e.pool]++
		if e.wave == wave.Number {
			view.Out++
		}
	}
	k.mu.Unlock()
	due := make(map[string]bool, len(wave.Hosts))
	for _, name := range wave.Hosts {
		due[name] = true
	}
	for _, h := range hosts {
		view.SizeOf[h.Pool]++
		if due[h.Name] && h.Up && !k.settledOrBusy(state, h.Name) {
			view.Left = append(view.Left, h)
		}
	}
	for pool := range view.SizeOf {
		if load, ok := k.Pools.Load(ctx, pool); ok && load.Capacity > 0 {
			view.Loads[pool] = float64(load.Used+load.Waiting) / float64(load.Capacity)
		}
	}
	return view
}

func (k *Keeper) settledOrBusy(state *waveState, name string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return state.Done[name] || k.busy[name] != nil
}

// send starts to take one host through its maintenance.
func (k *Keeper) send(ctx context.Context, wave Wave, state *waveState, host Host) {
	k.mu.Lock()
	k.busy[host.Name] = &errand{pool: host.Pool, wave: wave.Number}
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

func (k *Keeper) maintain(ctx context.Context, wave Wave, state *waveState, host Host) {
	if !k.empty(ctx, host) {
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
}

// empty waits until nothing runs on a host any more and nothing will.
func (k *Keeper) empty(ctx context.Context, host Host) bool {
	until := time.Now().Add(emptyWithin)
	for ctx.Err() == nil && !k.isDeposed() && time.Now().Before(until) {
		if k.stillEmpty(ctx, host, false) {
			return true
		}
		pause.For(ctx, emptyEvery)
	}
	return false
}

// goDown counts a host as down if its wave allows one more. Hosts that an
// earlier holder sent and that aren't back count as well.
func (k *Keeper) goDown(wave Wave, name string) bool {
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
	due := make(map[string]bool, len(wave.Hosts))
	for _, other := range wave.Hosts {
		due[other] = true
	}
	state := k.waves[wave.Number]
	for _, h := range k.hosts {
		begun := state.Begun[h.Name] && !state.Done[h.Name] && k.busy[h.Name] == nil
		if due[h.Name] && !counted[h.Name] && h.Name != name && (h.Down || begun) {
			down++
		}
	}
	if down >= wave.AtOnce {
		return false
	}
	k.busy[name].down = true
	return true
}

// note stores that a host's maintenance may begin, or that it has. Without the
// former, a successor would not count the host as down.
func (k *Keeper) note(ctx context.Context, wave Wave, state *waveState, name string, done bool) bool {
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
func (k *Keeper) save(ctx context.Context, number int64, state *waveState) bool {
	k.mu.Lock()
	value, err := json.Marshal(state)
	k.mu.Unlock()
	if err != nil {
		// A struct of maps and numbers always encodes.
		panic(err)
	}
	_, err = k.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: ledger.HeadKey(Claim), Expect: k.revision}},
		Puts:       []store.Put{{Key: waveKey(number), Value: value}},
	})
	if store.IsTxnConflict(err) {
		k.depose()
	}
	return err == nil
}

// call makes a call until its outcome is certain. It reports whether it was
// carried out.
func (k *Keeper) call(ctx context.Context, host Host, act func() Outcome) (carriedOut bool, last Outcome) {
	called, until := false, time.Now().Add(emptyWithin)
	for ctx.Err() == nil && !k.isDeposed() {
		if !k.acts() || !k.stillEmpty(ctx, host, called) {
			if !called && time.Now().After(until) {
				return false, Refused
			}
			pause.For(ctx, retryEvery)
			continue
		}
		last, called = act(), true
		k.Log.Info().Str("host", host.Name).Str("pool", host.Pool).Int64("fence", k.fence).Stringer("outcome", last).Msg("Called the platform for a host.")
		switch last {
		case Done:
			return true, last
		case Deposed:
			k.depose()
			return false, last
		case Busy, NotDue, NoSuchHost:
			return false, last
		}
		pause.For(ctx, retryEvery)
	}
	return false, last
}

// stillEmpty asks right before a call whether a host is empty: some time may
// have gone since it was, waiting for the store, and its pool takes it back
// into use when nobody asks. After a call without an outcome the host may be
// gone from its pool, and the call has to be made again to know.
func (k *Keeper) stillEmpty(ctx context.Context, host Host, called bool) bool {
	if !k.Kept(host.Pool) {
		return true
	}
	empty, known, ok := k.Pools.Empty(ctx, host.Pool, host.Worker)
	return ok && (known && empty || !known && called)
}

// awaitBack waits until a host is up in another life. One that is up in the
// same life some time after the call was already done with.
func (k *Keeper) awaitBack(ctx context.Context, host Host) {
	began := time.Now()
	until := began.Add(backWithin)
	for ctx.Err() == nil && time.Now().Before(until) {
		pause.For(ctx, retryEvery)
		if err := k.list(ctx); err != nil {
			continue
		}
		now, listed := k.host(host.Name)
		if !listed || now.Up && (now.Worker != host.Worker || time.Since(began) > sameLifeAfter) {
			return
		}
	}
}

// tell writes a wave's status for the operator when it changes.
func (k *Keeper) tell(ctx context.Context, wave Wave, state *waveState) {
	over := true
	for _, name := range wave.Hosts {
		_, listed := k.host(name)
		k.mu.Lock()
		over = over && (state.Done[name] || !listed)
		k.mu.Unlock()
	}
	if state.told && !over {
		return
	}
	key, value := k.Status(wave.Number, over)
	_, err := k.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: ledger.HeadKey(Claim), Expect: k.revision}},
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
