package hostmanager

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"auburnglade.example/glade/internal/elapsed"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

// ClaimName is the name under which the host manager role is claimed, in the
// same way as a pool. The platform's pool names contain no dot.
const ClaimName = ".hosts"

const (
	// reconcileInterval is the pause between two reconciliations.
	reconcileInterval = 200 * time.Millisecond
	// maxListWait is how long the last host list may have taken for a
	// reconciliation to wait for a new one.
	maxListWait = 30 * time.Millisecond
	// maxListAge is the maximum age of the host list that a reconciliation uses.
	// This process's own operations are tracked without the list.
	maxListAge = 800 * time.Millisecond
	// drainPollInterval is the pause between two checks whether a host is drained.
	drainPollInterval = 150 * time.Millisecond
	// drainTimeout is how long a host may take to drain before the attempt ends.
	// Steps that allow one unavailable task at a time take some 12 s to leave
	// twenty hosts.
	drainTimeout = 20 * time.Second
	// retryInterval is the pause before a call is repeated.
	retryInterval = 300 * time.Millisecond
	// rateLimitRetry is the pause before a call that exceeded the rate limit is
	// tried again.
	rateLimitRetry = 40 * time.Millisecond
	// sameInstanceAfter is how long after a call a host that is up with the same
	// instance counts as already maintained or moved before: the list shows a
	// call's effect at once.
	sameInstanceAfter = time.Second
	// returnTimeout is how long after a call a host that isn't back counts as lost.
	returnTimeout = 15 * time.Second
)

// Config configures a Manager.
type Config struct {
	Holder string
	Fleet  Fleet
	Pools  Pools
	Store  store.Transactor
	// Waves returns the operator's waves that are known to this process.
	Waves func() []Wave
	// PoolNames returns all pools, with whether their hosts are spare.
	PoolNames func() map[string]bool
	// HasHolder reports whether a pool has a holder that can be called; hosts of
	// other pools run nothing.
	HasHolder func(pool string) bool
	// WaveStatus returns the key and value of a wave's status for the operator.
	WaveStatus func(number int64, done bool) (key string, value []byte)
	// CallsPerSecond is how many moves and maintenances the platform accepts per
	// second; zero means no limit.
	CallsPerSecond float64
	// Allocation is how hosts are allocated to pools that are short of some; empty
	// means AllocateByNeed.
	Allocation Allocation
	// Metrics may be nil: then none are kept.
	Metrics *Metrics
	Log     zerolog.Logger
}

// Manager sends hosts to maintenance in waves and moves them between pools while
// this process holds the claim on ClaimName.
type Manager struct {
	Config
	fence    int64
	revision store.Revision
	claim    []byte

	// bursts and lengths are used only by the goroutine of Run.
	bursts  *BurstTracker
	lengths *BurstLengths

	mu sync.Mutex
	// maintenanceTimes estimates how long hosts are out for maintenance.
	maintenanceTimes MaintenanceTimes
	// operations are the moves and maintenances in progress, by host.
	operations map[string]*operation
	// waves is the progress of each wave, by its number.
	waves map[int64]*waveState
	hosts []Host
	// byName maps the hosts' names to their indexes in hosts.
	byName map[string]int
	// listedAt is when hosts was read, listDuration how long that took.
	listedAt     time.Time
	listDuration time.Duration
	fenced       bool
	// confirmedAt is when the store last confirmed this process's claim.
	confirmedAt time.Time
	// limiter keeps calls for hosts within the platform's rate limit.
	limiter *rate.Limiter
	// movedAt is when hosts were last moved by this process.
	movedAt map[string]time.Time
	// rejected are the pools that a kind of host can't belong to.
	rejected map[kindAndPool]bool
	// listSlot is occupied by the goroutine that reads the list of hosts. It is a
	// channel because waiting for a mutex stops virtual time in tests.
	listSlot chan struct{}
	drains   *drainBatcher
}

type kindAndPool struct{ kind, pool string }

// operation is a move or a maintenance of one host in progress.
type operation struct {
	pool string
	// to is the destination pool of a move, empty for a maintenance.
	to   string
	wave int64
	// slowToDrain is set if long-running tasks have to leave the host first.
	slowToDrain bool
	// down is set if the call may have been made and the host isn't back.
	down bool
}

// New returns a manager for a claim that was just made. fence is its fencing
// token, revision the revision of its head, and claim the claim record.
func New(config Config, fence int64, revision store.Revision, claim []byte) *Manager {
	return &Manager{
		Config: config, fence: fence, revision: revision, claim: claim, confirmedAt: time.Now(),
		drains: newDrainBatcher(config.Pools), listSlot: make(chan struct{}, 1), limiter: newLimiter(config.CallsPerSecond),
		bursts: NewBurstTracker(), lengths: NewBurstLengths(), maintenanceTimes: NewMaintenanceTimes(),
		operations: make(map[string]*operation), waves: make(map[int64]*waveState),
		rejected: make(map[kindAndPool]bool), movedAt: make(map[string]time.Time),
	}
}

// rateLimitShare is the share of the platform's rate limit that is used: the
// platform's one-second windows don't start at the same time as the limiter's.
const rateLimitShare = 0.9

// newLimiter limits calls to a rate, with a burst of a twentieth of a second's
// calls.
func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(rateLimitShare*perSecond), max(1, int(perSecond/20)))
}

// ConfirmClaim implements cluster.HeldPool.
func (m *Manager) ConfirmClaim(at time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if at.After(m.confirmedAt) {
		m.confirmedAt = at
	}
}

// ClaimLost implements cluster.HeldPool. Not all platforms check the fences of calls for
// hosts, so that the manager stops at once.
func (m *Manager) ClaimLost() {
	if !m.isFenced() {
		m.Log.Warn().Int64("fence", m.fence).Msg("Another process manages the hosts.")
	}
	m.setFenced()
}

// maxUnconfirmed is how long the manager goes on acting when the store doesn't
// confirm its claim. It is less than another process takes to claim the role: two
// managers that act on one host in turn would each undo what the other plans.
const maxUnconfirmed = 1800 * time.Millisecond

// mayAct reports whether this process may act on hosts. If the time of day is set
// forward, the manager pauses until the store confirms the claim again.
func (m *Manager) mayAct() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.fenced && elapsed.Between(m.confirmedAt, time.Now()) < maxUnconfirmed
}

// RestoreClaim implements cluster.HeldPool.
func (m *Manager) RestoreClaim(lease store.LeaseID) {
	if m.isFenced() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := m.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: m.revision}, {Key: poolstore.ClaimKey(ClaimName)}},
		Puts:       []store.Put{{Key: poolstore.ClaimKey(ClaimName), Value: m.claim, Lease: lease}},
	})
	if conflict, ok := err.(*store.TxnConflictError); ok && conflict.Find(poolstore.HeadKey(ClaimName)).ModRevision != m.revision {
		m.setFenced()
	}
}

func (m *Manager) setFenced() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fenced = true
}

func (m *Manager) isFenced() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.fenced
}

// Release releases the claim. It also writes the head: this process sees its claim
// vanish and restores it, which succeeds only while the head is unchanged. With
// the head left unchanged, the claim was restored under the lease of a process
// that was leaving, and the hosts were not managed for three seconds.
func (m *Manager) Release(ctx context.Context) {
	m.setFenced()
	head := poolstore.Head{Fence: m.fence, Holder: m.Holder, Sequence: 1, Released: true}
	_, err := m.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: m.revision}},
		Puts:       []store.Put{{Key: poolstore.HeadKey(ClaimName), Value: head.Encode()}},
		Deletes:    []string{poolstore.ClaimKey(ClaimName)},
	})
	m.Log.Info().AnErr("cause", err).Msg("Released the host manager claim.")
}

// Run reconciles waves and pools until ctx ends or another process has made the
// claim.
func (m *Manager) Run(ctx context.Context) {
	m.Log.Info().Int64("fence", m.fence).Msg("Host manager started.")
	for ctx.Err() == nil && !m.isFenced() {
		if m.mayAct() {
			m.reconcile(ctx)
		}
		pause.For(ctx, reconcileInterval)
	}
	m.Log.Info().Msg("Host manager stopped.")
}

func (m *Manager) reconcile(ctx context.Context) {
	waves := m.Waves()
	loads := m.loads(ctx, m.workersDue(waves))
	for _, wave := range waves {
		m.reconcileWave(ctx, wave, loads)
	}
	m.reconcileMoves(ctx, loads)
}

// maintenanceDue returns the hosts whose maintenance is still to come. The caller
// holds mu.
func (m *Manager) maintenanceDue(waves []Wave) map[string]bool {
	due := make(map[string]bool)
	for _, wave := range waves {
		state := m.waves[wave.Number]
		if state == nil || state.Finished {
			continue
		}
		for _, name := range wave.Hosts {
			if !state.Done[name] {
				due[name] = true
			}
		}
	}
	return due
}

// workersDue returns the workers of each pool that are due for maintenance,
// according to the last list of hosts.
func (m *Manager) workersDue(waves []Wave) map[string][]string {
	workers := make(map[string][]string)
	m.mu.Lock()
	defer m.mu.Unlock()
	due := m.maintenanceDue(waves)
	for _, h := range m.hosts {
		if due[h.Name] && h.Up {
			workers[h.Pool] = append(workers[h.Pool], h.Worker)
		}
	}
	return workers
}

// loads calls the holders of all pools concurrently for their loads, and reports
// to them which of their workers are due for maintenance. When they were called
// one after the other, one holder that didn't respond kept the hosts of all pools
// from moving.
func (m *Manager) loads(ctx context.Context, due map[string][]string) map[string]Load {
	var mu sync.Mutex
	var calls sync.WaitGroup
	loads := make(map[string]Load)
	for name, spare := range m.PoolNames() {
		if spare && !m.HasHolder(name) {
			continue
		}
		calls.Go(func() {
			if load, ok := m.Pools.Load(ctx, name, due[name]); ok {
				mu.Lock()
				defer mu.Unlock()
				load.ReceivedAt = time.Now()
				loads[name] = load
			}
		})
	}
	calls.Wait()
	return loads
}
