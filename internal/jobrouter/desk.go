// Package jobrouter takes clients' calls about jobs at an entry host and finds the
// way to whoever can answer: the pool's holder, here or on another entry host;
// the store, when the holder can't be reached; another entry host, when the
// store can't.
package jobrouter

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/cluster"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolrpc"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

const (
	// acceptWithin is when a job that nobody took is given up. A client comes
	// back sooner than it would find out by itself.
	acceptWithin = 1800 * time.Millisecond
	// holderWithin is how long a pool's holder gets before another way is
	// tried; it commits within some tens of milliseconds.
	holderWithin = 500 * time.Millisecond
	// submitWithin is how long a holder gets to store a job or a cancel: longer,
	// as the other way leads through the same store.
	submitWithin = 1000 * time.Millisecond
	// tryPause is the pause before another try, and tryWithin the time that one
	// needs.
	tryPause  = 150 * time.Millisecond
	tryWithin = 400 * time.Millisecond
	// storeWithin bounds one way through the store.
	storeWithin = 700 * time.Millisecond
	// avoidFor is how long a holder that didn't answer is passed over.
	avoidFor = 700 * time.Millisecond
	// awayFor is how long jobs are refused without a try after the store was
	// found to be away for everyone.
	awayFor = 250 * time.Millisecond
	// awaySpell without another such finding ends what is logged as one spell.
	awaySpell = 5 * time.Second
	// RetryAfter is when a refused client may try again.
	RetryAfter = time.Second
	// waitingFor is how long a count of waiting jobs is told again; it may be
	// two seconds old.
	waitingFor = 300 * time.Millisecond
	waitingOld = 1500 * time.Millisecond
)

// LocalPools are the pools kept by this process.
type LocalPools interface {
	// PoolManager returns the keeper of a pool, or nil.
	PoolManager(pool string) *poolmanager.Manager
}

// Config is what a Desk needs.
type Config struct {
	Store   store.Transactor
	Cluster *cluster.Cluster
	Local   LocalPools
	Peers   poolrpc.Peers
	Log     zerolog.Logger
	Metrics *Metrics
}

// Router is safe for concurrent use.
type Router struct {
	Config

	mu      sync.Mutex
	avoid   map[string]time.Time
	waiting map[string]count
	// away is when the store was last found to be away for everyone.
	away time.Time
}

type count struct {
	value int
	at    time.Time
}

// New returns a desk.
func New(config Config) *Router {
	return &Router{Config: config, avoid: make(map[string]time.Time), waiting: make(map[string]count)}
}

var _ poolrpc.Service = (*Router)(nil)

// remote returns the address of another entry host that holds a pool.
func (d *Router) remote(pool string) (address string, ok bool) {
	claim, ok := d.Cluster.Holder(pool)
	if !ok || claim.HolderID() == d.Cluster.Self.HolderID() {
		return "", false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return claim.Address, time.Now().After(d.avoid[claim.Address])
}

func (d *Router) shun(address string, cause error) {
	d.Log.Warn().Err(cause).Str("address", address).Msg("An entry host did not answer.")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.avoid[address] = time.Now().Add(avoidFor)
}

// relays are entry hosts to ask when this one can't reach the store.
func (d *Router) relays() []string {
	var addresses []string
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range d.Cluster.Members() {
		if !m.Leaving && time.Now().After(d.avoid[m.Address]) {
			addresses = append(addresses, m.Address)
		}
	}
	start := time.Now().Nanosecond()
	for i := range addresses {
		j := (start + i) % len(addresses)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(len(addresses), mostRelays)]
}

// mostRelays bounds how many entry hosts one call is passed to.
const mostRelays = 2

// SubmitJob takes a job in. Refused is said only when nobody can have stored it.
func (d *Router) SubmitJob(ctx context.Context, record *work.Record) poolmanager.Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptWithin)
	defer cancel()
	result, tried := poolmanager.Refused, !d.storeAway()
	if tried {
		result = persist(ctx, func() (poolmanager.Result, bool) { return d.submit(ctx, record) })
	}
	d.Metrics.call("accept", result.String(), time.Since(began))
	if result != poolmanager.Stored {
		d.Log.Info().Str("job", record.ID).Str("queue", record.Queue.Name).Str("result", result.String()).
			Bool("tried", tried).Dur("took_ms", time.Since(began)).Msg("A job was not accepted.")
	}
	return result
}

// persist tries again while there is time and nobody could be reached: a
// takeover or a store's hiccup is over within a second, and the client would
// come back later than that. What may have happened once stays possible. final
// says that another try would end like this one.
func persist(ctx context.Context, try func() (result poolmanager.Result, final bool)) poolmanager.Result {
	result, final := try()
	for !final && (result == poolmanager.Refused || result == poolmanager.ResultUnknown) {
		if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) < tryWithin {
			break
		}
		pause.For(ctx, pause.Jitter(tryPause))
		var next poolmanager.Result
		next, final = try()
		result = worse(result, next)
	}
	return result
}

// Submit implements poolrpc.Service. A call that another entry host meant for
// the pool's holder goes no further than that. One to be relayed is left in the
// store: the caller has tried the holder itself, and a second wait there for
// the same job would leave neither certain of a refusal.
func (d *Router) Submit(ctx context.Context, record *work.Record, relay bool) (poolmanager.Result, bool) {
	if relay {
		return d.leaveJob(ctx, record), true
	}
	k := d.Local.PoolManager(record.Queue.Pool)
	if k == nil {
		return poolmanager.Refused, false
	}
	return k.Submit(ctx, record), true
}

func (d *Router) leaveJob(ctx context.Context, record *work.Record) poolmanager.Result {
	return d.leave(ctx, poolstore.InboxJobKey(record.Queue.Pool, record.ID), work.EncodeRecord(record))
}

// submit tries every way once. It is final when this entry host, the pool's
// holder and others were all turned away by the store: it is away for everyone
// then, and a client that is told so at once comes back sooner than one that is
// held until its time is up.
func (d *Router) submit(ctx context.Context, record *work.Record) (result poolmanager.Result, final bool) {
	result, refusals := d.everyWay(ctx, record.Queue.Pool, func(ctx context.Context, k *poolmanager.Manager) poolmanager.Result {
		return k.Submit(ctx, record)
	}, func() poolmanager.Result {
		return d.leaveJob(ctx, record)
	}, func(ctx context.Context, address string, relay bool) (poolmanager.Result, bool, error) {
		return d.Peers.Submit(ctx, address, record, relay)
	})
	final = result == poolmanager.Refused && refusals == mostRelays
	if final {
		d.noteAway()
	}
	return result, final
}

// noteAway notes that the store is away for everyone.
func (d *Router) noteAway() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Since(d.away) > awaySpell {
		d.Log.Warn().Int("refused_by", mostRelays).Msg("The store is away for everyone; jobs are refused at once.")
	}
	d.away = time.Now()
}

// storeAway reports whether a job found the store away for everyone a moment
// ago. Its client often comes back right before its time is up, and would leave
// in the middle of another round of tries.
func (d *Router) storeAway() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.away) < awayFor
}

// Cancel implements poolrpc.Service; see Submit.
func (d *Router) Cancel(ctx context.Context, pool, id string, relay bool) (poolmanager.Result, bool) {
	if relay {
		return d.leaveCancel(ctx, pool, id), true
	}
	k := d.Local.PoolManager(pool)
	if k == nil {
		return poolmanager.Refused, false
	}
	return k.Cancel(ctx, id), true
}

// leaveCancel leaves a cancel in the store for a job that is there.
func (d *Router) leaveCancel(ctx context.Context, pool, id string) poolmanager.Result {
	lookup, done := context.WithTimeout(ctx, storeWithin)
	state, known, err := poolstore.LookupState(lookup, d.Store, pool, id)
	done()
	switch {
	case err != nil:
		return poolmanager.Refused
	case !known:
		return poolmanager.JobNotFound
	case state.Final():
		return poolmanager.Stored
	}
	return d.leave(ctx, poolstore.InboxCancelKey(pool, id), []byte("{}"))
}

func (d *Router) cancel(ctx context.Context, pool, id string) poolmanager.Result {
	result, _ := d.everyWay(ctx, pool, func(ctx context.Context, k *poolmanager.Manager) poolmanager.Result {
		return k.Cancel(ctx, id)
	}, func() poolmanager.Result {
		return d.leaveCancel(ctx, pool, id)
	}, func(ctx context.Context, address string, relay bool) (poolmanager.Result, bool, error) {
		return d.Peers.Cancel(ctx, address, pool, id, relay)
	})
	return result
}

// CancelJob ends a job for a client.
func (d *Router) CancelJob(ctx context.Context, pool, id string) poolmanager.Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 2*acceptWithin)
	defer cancel()
	result := persist(ctx, func() (poolmanager.Result, bool) { return d.cancel(ctx, pool, id), false })
	d.Metrics.call("cancel", result.String(), time.Since(began))
	d.Log.Info().Str("job", id).Str("result", result.String()).Dur("took_ms", time.Since(began)).Msg("A client cancelled.")
	return result
}

// JobState tells a client a job's state. known is false only when the store says
// so; ok is false when nobody could be asked.
func (d *Router) JobState(ctx context.Context, pool, id string) (state work.State, known, ok bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptWithin)
	defer cancel()
	state, known, ok = d.state(ctx, pool, id, true)
	result := string(state)
	if !ok {
		result = "unavailable"
	} else if !known {
		result = "no job"
	}
	d.Metrics.call("state", result, time.Since(began))
	return state, known, ok
}

// State implements poolrpc.Service.
func (d *Router) State(ctx context.Context, pool, id string, relay bool) (state work.State, known, ok bool) {
	if relay {
		return d.state(ctx, pool, id, false)
	}
	k := d.Local.PoolManager(pool)
	if k == nil {
		return "", false, false
	}
	return k.JobState(ctx, id)
}

func (d *Router) state(ctx context.Context, pool, id string, relays bool) (state work.State, known, ok bool) {
	if state, known, ok = d.askHolder(ctx, pool, id); ok && known {
		return state, true, true
	}
	lookup, cancel := context.WithTimeout(ctx, storeWithin)
	state, known, err := poolstore.LookupState(lookup, d.Store, pool, id)
	cancel()
	if err == nil {
		return state, known, true
	}
	if !relays {
		return "", false, false
	}
	for _, address := range d.relays() {
		attempt, cancel := context.WithTimeout(ctx, storeWithin)
		state, known, held, err := d.Peers.State(attempt, address, pool, id, true)
		cancel()
		if err == nil && held {
			return state, known, true
		}
	}
	return "", false, false
}

func (d *Router) askHolder(ctx context.Context, pool, id string) (state work.State, known, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, holderWithin)
	defer cancel()
	if k := d.Local.PoolManager(pool); k != nil {
		return k.JobState(ctx, id)
	}
	address, ok := d.remote(pool)
	if !ok {
		return "", false, false
	}
	state, known, held, err := d.Peers.State(ctx, address, pool, id, false)
	if err != nil {
		d.shun(address, err)
	}
	return state, known, held && err == nil
}

// Waiting implements poolrpc.Service for the pools kept here.
func (d *Router) Waiting(ctx context.Context, pool, queue string) (int, bool) {
	k := d.Local.PoolManager(pool)
	if k == nil {
		return 0, false
	}
	return k.WaitingJobs(ctx, queue)
}

// QueueLength tells a client how many jobs of a queue wait. ok is false when
// no count is known that is young enough.
func (d *Router) QueueLength(ctx context.Context, pool, queue string) (value int, ok bool) {
	key := pool + "\x00" + queue
	d.mu.Lock()
	last := d.waiting[key]
	d.mu.Unlock()
	if time.Since(last.at) < waitingFor {
		return last.value, true
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, holderWithin)
	defer cancel()
	value, ok = d.Waiting(ctx, pool, queue)
	if address, usable := d.remote(pool); !ok && usable {
		var err error
		value, ok, err = d.Peers.Waiting(ctx, address, pool, queue)
		ok = ok && err == nil
	}
	if ok {
		d.mu.Lock()
		d.waiting[key] = count{value, began}
		d.mu.Unlock()
		return value, true
	}
	return last.value, time.Since(last.at) < waitingOld
}

// Vacate implements poolrpc.Service for the pools kept here.
func (d *Router) Vacate(ctx context.Context, pool string, hosts []string) (emptied []hostmanager.DrainState, ok bool) {
	k := d.Local.PoolManager(pool)
	if k == nil {
		return nil, false
	}
	return k.Drain(ctx, hosts)
}

// Drain asks whoever holds a pool to empty hosts.
func (d *Router) Drain(ctx context.Context, pool string, hosts []string) (emptied []hostmanager.DrainState, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, holderWithin)
	defer cancel()
	if emptied, ok = d.Vacate(ctx, pool, hosts); ok {
		return emptied, true
	}
	address, remote := d.remote(pool)
	if !remote {
		return nil, false
	}
	emptied, held, err := d.Peers.Vacate(ctx, address, pool, hosts)
	return emptied, held && err == nil
}

// LocalLoad implements poolrpc.Service for the pools kept here.
func (d *Router) LocalLoad(ctx context.Context, pool string, due []string) (hostmanager.Load, bool) {
	k := d.Local.PoolManager(pool)
	if k == nil {
		return hostmanager.Load{}, false
	}
	return k.Load(ctx, due)
}

var _ hostmanager.Pools = (*Router)(nil)

// Load asks whoever holds a pool how busy it is.
func (d *Router) Load(ctx context.Context, pool string, due []string) (hostmanager.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, holderWithin)
	defer cancel()
	if load, ok := d.LocalLoad(ctx, pool, due); ok {
		return load, true
	}
	address, usable := d.remote(pool)
	if !usable {
		return hostmanager.Load{}, false
	}
	load, held, err := d.Peers.Load(ctx, address, pool, due)
	return load, held && err == nil
}
