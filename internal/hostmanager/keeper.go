package hostmanager

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

// ClaimName is the name under which the duty is claimed, like a pool. No pool of
// the platform's has a dot in its name.
const ClaimName = ".hosts"

const (
	// roundEvery is the pause between two looks at waves and pools.
	roundEvery = 200 * time.Millisecond
	// listSoon is how long a list may take that a round waits for.
	listSoon = 30 * time.Millisecond
	// listOld is how old the list may be that a round goes by. Whatever this
	// process does to hosts it knows without it.
	listOld = 800 * time.Millisecond
	// emptyEvery is the pause between two questions whether a host is empty.
	emptyEvery = 150 * time.Millisecond
	// emptyWithin is when a host that does not empty is let go for now. Steps
	// of which one task may miss at a time leave twenty hosts in some 12 s.
	emptyWithin = 20 * time.Second
	// retryEvery is the pause before a call is made again.
	retryEvery = 300 * time.Millisecond
	// paceRetry is the pause before a call that has to wait for others tries again.
	paceRetry = 40 * time.Millisecond
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
	// HasHolder reports whether a pool has a holder that can be asked; hosts of
	// others run nothing.
	HasHolder func(pool string) bool
	// WaveStatus is the key and value that tell the operator how a wave goes.
	WaveStatus func(number int64, done bool) (key string, value []byte)
	// CallsPerSecond is how many moves and maintenances the platform takes, zero
	// for any number.
	CallsPerSecond float64
	Log            zerolog.Logger
}

// Manager holds the duty.
type Manager struct {
	Config
	fence    int64
	revision store.Revision
	claim    []byte

	// rhythm is what is known of the turns of demand; owned by Run.
	rhythm *BurstTracker

	mu sync.Mutex
	// outTimes is how long hosts were out for maintenance.
	outTimes MaintenanceTimes
	// busy are the hosts that something is done with.
	busy map[string]*errand
	// waves is how far each wave has come.
	waves map[int64]*waveState
	hosts []Host
	// byName are the places of the hosts in the list.
	byName map[string]int
	// listed is when the list was read, listTook how long that took.
	listed   time.Time
	listTook time.Duration
	deposed  bool
	// confirmed is when the store last showed that the duty is held here.
	confirmed time.Time
	// pace keeps calls for hosts within what the platform takes.
	pace *rate.Limiter
	// barred are pools that a kind of host can't belong to.
	barred map[barredPair]bool
	// listing has a place for the one goroutine that reads the list of hosts. A
	// mutex would do, but stops virtual time while it is waited for.
	listing   chan struct{}
	questions *questions
}

type barredPair struct{ kind, pool string }

// errand is what is being done with one host.
type errand struct {
	pool string
	// to is the pool that it moves to, empty for none.
	to   string
	wave int64
	// slow: lasting tasks have to leave it first.
	slow bool
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
func New(config Config, fence int64, revision store.Revision, claim []byte) *Manager {
	return &Manager{
		Config: config, fence: fence, revision: revision, claim: claim, questions: newQuestions(config.Pools), listing: make(chan struct{}, 1), pace: paceOf(config.CallsPerSecond),
		rhythm: NewBurstTracker(), outTimes: NewMaintenanceTimes(), busy: make(map[string]*errand), waves: make(map[int64]*waveState),
		barred: make(map[barredPair]bool), confirmed: time.Now(),
	}
}

// paceShare of what the platform takes is used: its second and ours don't begin
// together.
const paceShare = 0.9

// paceOf bounds calls to a rate, a twentieth of a second's at once.
func paceOf(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(paceShare*perSecond), max(1, int(perSecond/20)))
}

// ConfirmClaim implements cluster.Kept.
func (k *Manager) ConfirmClaim() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.confirmed = time.Now()
}

// unconfirmedFor is how long the duty is carried on when the store doesn't
// show that it is still held: less than it takes for another process to claim
// it. Two that act in turns on one host would each undo what the other plans.
const unconfirmedFor = 1800 * time.Millisecond

// acts reports whether this process may act on hosts. The steady clock stands
// still while a process is suspended, and it would wake up believing that it
// has just been confirmed; the time of day goes on. Where that one is set
// forward instead, the duty rests until the store confirms it again.
func (k *Manager) acts() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	byDay := now.Round(0).Sub(k.confirmed.Round(0))
	return !k.deposed && max(now.Sub(k.confirmed), byDay) < unconfirmedFor
}

// RestoreClaim implements cluster.Kept.
func (k *Manager) RestoreClaim(lease store.LeaseID) {
	if k.isDeposed() {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := k.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: k.revision}, {Key: poolstore.ClaimKey(ClaimName)}},
		Puts:       []store.Put{{Key: poolstore.ClaimKey(ClaimName), Value: k.claim, Lease: lease}},
	})
	if conflict, ok := err.(*store.TxnConflictError); ok && conflict.Find(poolstore.HeadKey(ClaimName)).ModRevision != k.revision {
		k.depose()
	}
}

func (k *Manager) depose() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.deposed = true
}

func (k *Manager) isDeposed() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.deposed
}

// Release gives the duty up. The head is written too: this process sees its claim
// vanish and asks for it to be written again, which holds only against the head
// as it was. Left as it was, the claim came back under the lease of a process
// that was leaving, and nobody looked after the hosts for three seconds.
func (k *Manager) Release(ctx context.Context) {
	k.depose()
	head := poolstore.Head{Fence: k.fence, Holder: k.Holder, Sequence: 1, Released: true}
	_, err := k.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(ClaimName), Expect: k.revision}},
		Puts:       []store.Put{{Key: poolstore.HeadKey(ClaimName), Value: head.Encode()}},
		Deletes:    []string{poolstore.ClaimKey(ClaimName)},
	})
	k.Log.Info().AnErr("cause", err).Msg("Gave the duty up.")
}

// Run looks after the hosts until ctx ends or another holder is found.
func (k *Manager) Run(ctx context.Context) {
	k.Log.Info().Int64("fence", k.fence).Msg("Holds the duty.")
	for ctx.Err() == nil && !k.isDeposed() {
		if k.acts() {
			k.round(ctx)
		}
		pause.For(ctx, roundEvery)
	}
	k.Log.Info().Msg("Holds the duty no more.")
}

func (k *Manager) round(ctx context.Context) {
	waves := k.Waves()
	loads := k.loads(ctx, k.leaving(waves))
	for _, wave := range waves {
		k.roundWave(ctx, wave, loads)
	}
	k.roundMoves(ctx, loads)
}

// due are the hosts whose maintenance is still to come. The caller holds mu.
func (k *Manager) due(waves []Wave) map[string]bool {
	due := make(map[string]bool)
	for _, wave := range waves {
		state := k.waves[wave.Number]
		if state == nil || state.Over {
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

// leaving are the workers of each pool that will go for maintenance, as far as
// the last list of hosts tells.
func (k *Manager) leaving(waves []Wave) map[string][]string {
	workers := make(map[string][]string)
	k.mu.Lock()
	defer k.mu.Unlock()
	due := k.due(waves)
	for _, h := range k.hosts {
		if due[h.Name] && h.Up {
			workers[h.Pool] = append(workers[h.Pool], h.Worker)
		}
	}
	return workers
}

// loads asks the holders of all pools at once how busy they are, and tells them
// which of their workers will go for maintenance. Asked one after the other, a
// holder that didn't answer kept the hosts of all pools from moving.
func (k *Manager) loads(ctx context.Context, leaving map[string][]string) map[string]Load {
	var mu sync.Mutex
	var asked sync.WaitGroup
	loads := make(map[string]Load)
	for name, spare := range k.PoolNames() {
		if spare && !k.HasHolder(name) {
			continue
		}
		asked.Go(func() {
			if load, ok := k.Pools.Load(ctx, name, leaving[name]); ok {
				mu.Lock()
				defer mu.Unlock()
				loads[name] = load
			}
		})
	}
	asked.Wait()
	return loads
}
