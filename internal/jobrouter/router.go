// Package jobrouter handles clients' requests about jobs at an entry host. It routes a
// request to the pool's holder, in this process or on another entry host; to the
// store, if the holder cannot be reached; and to another entry host, if the store
// cannot be reached either.
package jobrouter

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/cluster"
	"auburnglade.example/glade/internal/configrelay"
	"auburnglade.example/glade/internal/hostmanager"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolmanager"
	"auburnglade.example/glade/internal/poolrpc"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
)

const (
	// acceptTimeout bounds a client's request; a cancel gets twice as long. A
	// client that is refused after this time retries sooner than one that has to
	// time out itself.
	acceptTimeout = 1800 * time.Millisecond
	// holderTimeout bounds a call to a pool's holder before the next route is
	// tried. A holder commits within some tens of milliseconds.
	holderTimeout = 500 * time.Millisecond
	// holderCommitTimeout bounds a holder's commit of a job or a cancel. It is
	// longer than holderTimeout because the next route depends on the same store.
	holderCommitTimeout = 1000 * time.Millisecond
	// retryPause is the mean pause before a retry, minRetryTime the least
	// remaining time for which a retry is started.
	retryPause   = 150 * time.Millisecond
	minRetryTime = 400 * time.Millisecond
	// storeTimeout bounds one access to the store, directly or by a relay.
	storeTimeout = 700 * time.Millisecond
	// avoidFor is how long an entry host that did not respond is skipped.
	avoidFor = 700 * time.Millisecond
	// outageBackoff is how long jobs are refused without a try after the store
	// was found to be unavailable to all entry hosts.
	outageBackoff = 250 * time.Millisecond
	// outageLogGap is the least time between two detected outages for the later
	// one to be logged as a new outage.
	outageLogGap = 5 * time.Second
	// RetryAfter is how long a refused client should wait before it retries.
	RetryAfter = time.Second
)

// LocalPools gives access to the pools held by this process.
type LocalPools interface {
	// PoolManager returns the manager of a pool, or nil if this process does not hold
	// the pool.
	PoolManager(pool string) *poolmanager.Manager
}

// Config configures a Router.
type Config struct {
	Store   store.Transactor
	Cluster *cluster.Cluster
	Local   LocalPools
	Peers   poolrpc.Peers
	Relay   *configrelay.Relay
	Log     zerolog.Logger
	Metrics *Metrics
}

// Router routes clients' requests about jobs. It is safe for concurrent use.
type Router struct {
	Config

	mu           sync.Mutex
	avoidUntil   map[string]time.Time
	queueLengths map[string]cachedCount
	// pools holds the records of queues by path.
	pools map[string]cachedPools
	// outage is when the store was last found to be unavailable to all entry
	// hosts.
	outage time.Time
}

// New returns a router.
func New(config Config) *Router {
	return &Router{Config: config, avoidUntil: make(map[string]time.Time), queueLengths: make(map[string]cachedCount), pools: make(map[string]cachedPools)}
}

var _ poolrpc.Service = (*Router)(nil)

// ConfigurationAfter implements poolrpc.Service.
func (r *Router) ConfigurationAfter(known store.Revision) configrelay.Answer {
	return r.Relay.Answer(known)
}

// remote returns the address of the entry host that holds a pool. ok is false if no
// other entry host holds it, or if that one is to be skipped.
func (r *Router) remote(pool string) (address string, ok bool) {
	claim, ok := r.Cluster.Holder(pool)
	if !ok || claim.HolderID() == r.Cluster.Self.HolderID() {
		return "", false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return claim.Address, time.Now().After(r.avoidUntil[claim.Address])
}

func (r *Router) avoidPeer(address string, cause error) {
	r.Log.Warn().Err(cause).Str("address", address).Msg("An entry host did not respond.")
	r.mu.Lock()
	defer r.mu.Unlock()
	r.avoidUntil[address] = time.Now().Add(avoidFor)
}

// relays returns the addresses of up to maxRelays entry hosts, chosen at random, to
// try when this one cannot reach the store.
func (r *Router) relays() []string {
	var addresses []string
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range r.Cluster.Members() {
		if !m.Draining && time.Now().After(r.avoidUntil[m.Address]) {
			addresses = append(addresses, m.Address)
		}
	}
	start := time.Now().Nanosecond()
	for i := range addresses {
		j := (start + i) % len(addresses)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(len(addresses), maxRelays)]
}

// maxRelays bounds the entry hosts that one request is relayed to.
const maxRelays = 2

// SubmitJob submits a job for a client. The result is Refused only if no entry host
// can have stored the job, and NoRoom or OverShare if the pool's holder refused it.
func (r *Router) SubmitJob(ctx context.Context, record *work.JobRecord) poolmanager.Reply {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	result, tried := poolmanager.Refused, !r.inOutage()
	retryAfter := RetryAfter
	if tried {
		result = retry(ctx, func() (poolmanager.Result, bool) { return r.submit(ctx, record, &retryAfter) })
	}
	r.Metrics.call("accept", result.String(), time.Since(began))
	if result != poolmanager.Stored {
		r.Log.Info().Str("job", record.ID).Str("queue", record.Queue.Name).Str("result", result.String()).
			Str("organisation", record.Organisation).Bool("tried", tried).Dur("took_ms", time.Since(began)).Msg("A job was not accepted.")
	}
	return poolmanager.Reply{Result: result, RetryAfter: retryAfter}
}

// retry calls try again while its result is Refused or unknown and not final, and
// ctx leaves at least minRetryTime. A takeover or a brief store outage is over
// within a second, before the client would retry. Once a try ended with an unknown
// outcome, a later refusal does not make the result Refused. final means that
// another try would have the same result.
func retry(ctx context.Context, try func() (result poolmanager.Result, final bool)) poolmanager.Result {
	result, final := try()
	for !final && (result == poolmanager.Refused || result == poolmanager.ResultUnknown) {
		if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) < minRetryTime {
			break
		}
		pause.For(ctx, pause.Jitter(retryPause))
		var next poolmanager.Result
		next, final = try()
		result = combine(result, next)
	}
	return result
}

// Submit implements poolrpc.Service. A call without relay is for the pool's holder
// and is not forwarded. A call with relay writes the job to the pool's inbox in the
// store: the caller has already tried the holder, and a second concurrent submission
// of the same job there would let neither caller rely on a refusal.
func (r *Router) Submit(ctx context.Context, record *work.JobRecord, relay bool) (poolmanager.Reply, bool) {
	if relay {
		return poolmanager.Reply{Result: r.writeJob(ctx, record)}, true
	}
	manager := r.Local.PoolManager(record.Queue.Pool)
	if manager == nil {
		return poolmanager.Reply{Result: poolmanager.Refused}, false
	}
	return manager.Submit(ctx, record), true
}

// writeJob leaves a job in its pool's inbox. A large one is left to the pool's holder, which
// bounds what it keeps: a holder must take whatever is in the inbox. Its outcome stays
// unknown, as an earlier try may have stored it.
func (r *Router) writeJob(ctx context.Context, record *work.JobRecord) poolmanager.Result {
	if record.Spec.LargeBytes() > 0 {
		return poolmanager.ResultUnknown
	}
	key := poolstore.InboxJobKey(record.Queue.Pool, record.ID)
	txn, others, err := r.inboxTxn(ctx, record)
	if err != nil {
		// Nothing was written.
		return poolmanager.Refused
	}
	result, conflict := r.writeInbox(ctx, key, work.EncodeRecord(record), txn)
	if conflict == nil {
		return result
	}
	existing := conflict.Find(key)
	if other, err := work.DecodeRecord(existing.Value); existing.ModRevision != 0 && err == nil && !other.BelongsTo(record.Organisation) {
		return poolmanager.Conflict
	}
	for _, other := range others {
		if poolstore.HasJob(conflict, other, record.ID) {
			return poolmanager.Elsewhere
		}
	}
	return result
}

// submit tries every route once. The result is final if the pool's holder refused the
// job for want of room; it then sets retryAfter. It is also final if the store refused
// this entry host, the pool's holder and maxRelays others: the store is then unavailable
// to all, and a client that is refused at once retries sooner than one that has to wait
// for its timeout.
func (r *Router) submit(ctx context.Context, record *work.JobRecord, retryAfter *time.Duration) (result poolmanager.Result, final bool) {
	noteRetry := func(reply poolmanager.Reply) poolmanager.Result {
		if reply.Result.ForRoom() {
			*retryAfter = reply.RetryAfter
		}
		return reply.Result
	}
	result, refusals := r.everyRoute(ctx, record.Queue.Pool, func(ctx context.Context, manager *poolmanager.Manager) poolmanager.Result {
		return noteRetry(manager.Submit(ctx, record))
	}, func() poolmanager.Result {
		return r.writeJob(ctx, record)
	}, func(ctx context.Context, address string, relay bool) (poolmanager.Result, bool, error) {
		reply, held, err := r.Peers.Submit(ctx, address, record, relay)
		return noteRetry(reply), held, err
	})
	if result.ForRoom() {
		return result, true
	}
	if result == poolmanager.Elsewhere {
		return r.acceptedElsewhere(ctx, record), true
	}
	final = result == poolmanager.Refused && refusals == maxRelays
	if final {
		r.recordOutage()
	}
	return result, final
}

// recordOutage records that the store is unavailable to all entry hosts.
func (r *Router) recordOutage() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.outage) > outageLogGap {
		r.Log.Warn().Int("refused_by", maxRelays).Msg("The store is unavailable to all entry hosts; jobs are refused at once.")
	}
	r.outage = time.Now()
}

// inOutage reports whether a request found the store unavailable to all entry hosts
// within outageBackoff. Clients often retry shortly before their own timeout and
// would disconnect in the middle of another series of tries.
func (r *Router) inOutage() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(r.outage) < outageBackoff
}

// Cancel implements poolrpc.Service; see Submit.
func (r *Router) Cancel(ctx context.Context, job work.JobRef, relay bool) (poolmanager.Result, bool) {
	if relay {
		return r.writeCancel(ctx, job), true
	}
	manager := r.Local.PoolManager(job.Pool)
	if manager == nil {
		return poolmanager.Refused, false
	}
	return manager.Cancel(ctx, job), true
}

// writeCancel writes a cancel to the pool's inbox if the store contains the job and
// the job has not ended.
func (r *Router) writeCancel(ctx context.Context, job work.JobRef) poolmanager.Result {
	lookup, done := context.WithTimeout(ctx, storeTimeout)
	state, known, err := poolstore.LookupState(lookup, r.Store, job)
	done()
	switch {
	case err != nil:
		return poolmanager.Refused
	case !known:
		return poolmanager.JobNotFound
	case state.Final():
		return poolmanager.Stored
	}
	result, _ := r.writeInbox(ctx, poolstore.InboxCancelKey(job.Pool, job.ID), []byte("{}"), store.Txn{})
	return result
}

func (r *Router) cancel(ctx context.Context, job work.JobRef) poolmanager.Result {
	result, _ := r.everyRoute(ctx, job.Pool, func(ctx context.Context, manager *poolmanager.Manager) poolmanager.Result {
		return manager.Cancel(ctx, job)
	}, func() poolmanager.Result {
		return r.writeCancel(ctx, job)
	}, func(ctx context.Context, address string, relay bool) (poolmanager.Result, bool, error) {
		return r.Peers.Cancel(ctx, address, job, relay)
	})
	return result
}

// CancelJob cancels a job for a client.
func (r *Router) CancelJob(ctx context.Context, job work.JobRef) poolmanager.Result {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, 2*acceptTimeout)
	defer cancel()
	result := retry(ctx, func() (poolmanager.Result, bool) { return r.cancelAnywhere(ctx, job), false })
	r.Metrics.call("cancel", result.String(), time.Since(began))
	r.Log.Info().Str("job", job.ID).Str("result", result.String()).Dur("took_ms", time.Since(began)).Msg("A client cancelled a job.")
	return result
}

// JobState returns a job's state for a client. known is false only if the store has no
// such job; ok is false if neither the holder, the store nor a relay responded.
func (r *Router) JobState(ctx context.Context, job work.JobRef) (state work.State, known, ok bool) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	state, known, ok = r.state(ctx, job, true)
	result := string(state)
	if !ok {
		result = "unavailable"
	} else if !known {
		result = "no job"
	}
	r.Metrics.call("state", result, time.Since(began))
	return state, known, ok
}

// State implements poolrpc.Service.
func (r *Router) State(ctx context.Context, job work.JobRef, relay bool) (state work.State, known, ok bool) {
	if relay {
		return r.state(ctx, job, false)
	}
	manager := r.Local.PoolManager(job.Pool)
	if manager == nil {
		return "", false, false
	}
	return manager.JobState(ctx, job)
}

func (r *Router) state(ctx context.Context, job work.JobRef, relays bool) (state work.State, known, ok bool) {
	if state, known, ok = r.stateFromHolder(ctx, job); ok && known {
		return state, true, true
	}
	state, known, err := r.stateFromStore(ctx, job)
	if err == nil && !known {
		state, known, err = r.stateElsewhere(ctx, job)
	}
	if err == nil {
		return state, known, true
	}
	if !relays {
		return "", false, false
	}
	for _, address := range r.relays() {
		attempt, cancel := context.WithTimeout(ctx, storeTimeout)
		state, known, held, err := r.Peers.State(attempt, address, job, true)
		cancel()
		if err == nil && held {
			return state, known, true
		}
	}
	return "", false, false
}

func (r *Router) stateFromStore(ctx context.Context, job work.JobRef) (state work.State, known bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return poolstore.LookupState(ctx, r.Store, job)
}

func (r *Router) stateFromHolder(ctx context.Context, job work.JobRef) (state work.State, known, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	if manager := r.Local.PoolManager(job.Pool); manager != nil {
		return manager.JobState(ctx, job)
	}
	address, ok := r.remote(job.Pool)
	if !ok {
		return "", false, false
	}
	state, known, held, err := r.Peers.State(ctx, address, job, false)
	if err != nil {
		r.avoidPeer(address, err)
	}
	return state, known, held && err == nil
}

// Waiting implements poolrpc.Service for the pools held by this process.
func (r *Router) Waiting(ctx context.Context, pool, queue string) (int, bool) {
	manager := r.Local.PoolManager(pool)
	if manager == nil {
		return 0, false
	}
	return manager.WaitingJobs(ctx, queue)
}

// DrainLocal implements poolrpc.Service for the pools held by this process.
func (r *Router) DrainLocal(ctx context.Context, pool string, hosts []string) (states []hostmanager.DrainState, ok bool) {
	manager := r.Local.PoolManager(pool)
	if manager == nil {
		return nil, false
	}
	return manager.Drain(ctx, hosts)
}

// Drain implements hostmanager.Pools: it asks the holder of a pool to drain hosts.
func (r *Router) Drain(ctx context.Context, pool string, hosts []string) (states []hostmanager.DrainState, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	if states, ok = r.DrainLocal(ctx, pool, hosts); ok {
		return states, true
	}
	address, remote := r.remote(pool)
	if !remote {
		return nil, false
	}
	states, held, err := r.Peers.Vacate(ctx, address, pool, hosts)
	return states, held && err == nil
}

// LocalLoad implements poolrpc.Service for the pools held by this process.
func (r *Router) LocalLoad(ctx context.Context, pool string, due []string) (hostmanager.Load, bool) {
	manager := r.Local.PoolManager(pool)
	if manager == nil {
		return hostmanager.Load{}, false
	}
	return manager.Load(ctx, due)
}

var _ hostmanager.Pools = (*Router)(nil)

// Load implements hostmanager.Pools: it returns the load of a pool as reported by its
// holder. due names the hosts that are due for maintenance.
func (r *Router) Load(ctx context.Context, pool string, due []string) (hostmanager.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, holderTimeout)
	defer cancel()
	if load, ok := r.LocalLoad(ctx, pool, due); ok {
		return load, true
	}
	address, usable := r.remote(pool)
	if !usable {
		return hostmanager.Load{}, false
	}
	load, held, err := r.Peers.Load(ctx, address, pool, due)
	return load, held && err == nil
}
