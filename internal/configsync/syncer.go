package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/peer"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/store"
)

const (
	// slots is the number of sources from which a member fetches concurrently. With
	// two, a source that has failed, stalls or sends wrong data causes no delay,
	// because the other delivers the update.
	slots = 2
	// pollWait is how long a source may wait for an update before it responds that
	// there is none. A stalled source is abandoned after this time plus one call
	// timeout.
	pollWait = 2 * time.Second
	// suspectDuration is how long a source that failed is not used.
	suspectDuration = 5 * time.Second
	// pollRetryDelay is the delay after a failed fetch. It keeps a member from retrying
	// in a busy loop if all its sources fail.
	pollRetryDelay = 100 * time.Millisecond
	// idleInterval is the interval at which a loop that has nothing to do checks again.
	idleInterval = time.Second
	// maxBehind is the number of consecutive responses showing an older
	// configuration after which a source becomes suspect.
	maxBehind      = 2
	aheadQueueSize = 8
)

// Config holds the settings and dependencies of a Syncer.
type Config struct {
	Feed   *configfeed.Feed
	Server *peer.Server
	Client *peer.Client
	// SeedAddresses are the peer addresses from the settings. They are used if the
	// membership is unknown.
	SeedAddresses []string
	Log           zerolog.Logger
	Registerer    prometheus.Registerer
}

// Syncer keeps this process's feed up to date: from the store while the process is
// one of its zone's relays, otherwise from peers, and from the store as a last
// resort.
type Syncer struct {
	Config
	self       member.Member
	metrics    *metrics
	aheadPeers chan string
	recheck    chan struct{}

	mu       sync.Mutex
	view     view
	suspects map[string]time.Time
	slots    [slots]slot
}

// view is the membership as seen by this process, with what follows from it.
type view struct {
	digest  uint64
	known   bool
	members []member.Member
	sources []string
	relay   bool
}

// slot is one of the sources currently in use.
type slot struct {
	address string
	// respondedAt is the time of the source's last response, and watching whether it was
	// watching the store then.
	respondedAt time.Time
	watching    bool
	behind      int
}

// New returns a Syncer. It does nothing until Serve is called.
func New(config Config) *Syncer {
	r := &Syncer{
		Config:     config,
		self:       config.Server.Self(),
		metrics:    newMetrics(config.Registerer),
		aheadPeers: make(chan string, aheadQueueSize),
		recheck:    make(chan struct{}, 1),
		suspects:   make(map[string]time.Time),
	}
	config.Server.OnPeerAhead(r.notifyAhead)
	return r
}

// notifyAhead schedules a fetch from a peer that has a newer revision.
func (r *Syncer) notifyAhead(address string) {
	select {
	case r.aheadPeers <- address:
	default:
		// The queue is full. The peer's next message repeats the notification.
	}
}

// PanicError reports that a loop of the Syncer panicked.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Serve keeps the feed up to date until ctx ends.
func (r *Syncer) Serve(ctx context.Context) error {
	r.bootstrap(ctx)
	loops := []func(context.Context){r.watchStore, r.probeStore, r.fetchFromAheadPeers}
	for i := range slots {
		loops = append(loops, func(ctx context.Context) { r.poll(ctx, i) })
	}
	return runAll(ctx, loops)
}

// runAll runs the loops until ctx ends. If one panics, it stops all of them and
// returns a PanicError, so that the supervisor restarts the Syncer.
func runAll(ctx context.Context, loops []func(context.Context)) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var wait sync.WaitGroup
	for _, loop := range loops {
		wait.Go(func() {
			defer func() {
				if value := recover(); value != nil {
					cancel(&PanicError{Value: value})
				}
			}()
			loop(ctx)
		})
	}
	wait.Wait()
	return context.Cause(ctx)
}

// currentView returns the view of the membership in snapshot. If the membership is
// empty, as after an outage in which every lease expired, the last known one is
// used.
func (r *Syncer) currentView(snapshot *configstate.Snapshot) view {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.view.known && r.view.digest == snapshot.MembersDigest {
		return r.view
	}
	members := member.All(snapshot)
	if len(members) == 0 {
		members = r.view.members
	}
	r.view = view{
		digest:  snapshot.MembersDigest,
		known:   true,
		members: members,
		sources: Sources(r.self, members, r.SeedAddresses),
		relay:   IsRelay(r.self, members),
	}
	r.metrics.setRelay(r.view.relay)
	return r.view
}

// poll repeatedly fetches updates from the best source that no other slot uses.
func (r *Syncer) poll(ctx context.Context, index int) {
	for ctx.Err() == nil {
		snapshot, changed := r.Feed.Current()
		address := r.pick(index, r.currentView(snapshot))
		if address == "" {
			awaitChange(ctx, changed, idleInterval)
			continue
		}
		update, err := r.Client.Fetch(ctx, address, snapshot.Revision, pollWait)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = r.accept(ctx, address, snapshot.Revision, update)
		}
		if !r.evaluate(index, address, update, err) {
			pause.For(ctx, pause.Jitter(pollRetryDelay))
		}
	}
}

// pick returns the best source that no other slot uses, or "" if there is none. A
// relay whose watch works uses one source only.
func (r *Syncer) pick(index int, v view) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	if index > 0 && r.Server.Watching() {
		r.slots[index] = slot{}
		return ""
	}
	now := time.Now()
	for _, address := range v.sources {
		if until, suspect := r.suspects[address]; suspect && now.Before(until) {
			continue
		}
		delete(r.suspects, address)
		if r.usedByOtherSlot(index, address) {
			continue
		}
		if r.slots[index].address != address {
			r.slots[index] = slot{address: address}
		}
		return address
	}
	r.slots[index] = slot{}
	return ""
}

func (r *Syncer) usedByOtherSlot(index int, address string) bool {
	for i := range r.slots {
		if i != index && r.slots[i].address == address {
			return true
		}
	}
	return false
}

// evaluate records the result of a fetch from a source and reports whether it
// succeeded.
func (r *Syncer) evaluate(index int, address string, update peer.FetchResult, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.Log.Debug().Err(err).Str("peer", address).Msg("Cannot fetch from a peer; switching to another one.")
		r.suspectLocked(address)
		return false
	}
	s := &r.slots[index]
	if s.address != address {
		return true
	}
	s.respondedAt = time.Now()
	s.watching = update.From.GetWatching()
	s.behind = r.countBehind(s.behind, update.From)
	if s.behind >= maxBehind {
		r.suspectLocked(address)
	}
	return true
}

func (r *Syncer) suspectLocked(address string) {
	r.metrics.abandoned.Inc()
	r.suspects[address] = time.Now().Add(pause.Jitter(suspectDuration))
}

// countBehind returns the number of consecutive responses in which a source lacks
// the configuration that is active here. The revision alone does not show this,
// because changes to other keys increase it too.
func (r *Syncer) countBehind(previous int, from *peerpb.Presence) int {
	snapshot := r.Feed.Snapshot()
	if from.GetHeldRevision() < int64(snapshot.Revision) && from.GetDigest() != snapshot.Digest {
		return previous + 1
	}
	return 0
}

// accept applies an update and checks for a divergence: if both sides have the same
// revision with different contents, one of them has missed an event.
func (r *Syncer) accept(ctx context.Context, address string, requestedAfter store.Revision, update peer.FetchResult) error {
	if update.Delta.Revision != 0 && !r.superseded(requestedAfter, update.Delta) {
		if err := r.install(ctx, address, update.Delta); err != nil {
			return err
		}
	}
	snapshot := r.Feed.Snapshot()
	held := update.From.GetHeldRevision()
	if held == int64(snapshot.Revision) && update.From.GetDigest() != snapshot.Digest {
		r.metrics.diverged.Inc()
		r.recheckStore()
	}
	return nil
}

// superseded reports whether another source has delivered the same or a newer
// revision since the fetch began. This is not a failure of the source.
func (r *Syncer) superseded(requestedAfter store.Revision, delta configstate.Delta) bool {
	return delta.Revision > requestedAfter && delta.Revision <= r.Feed.Snapshot().Revision
}

func (r *Syncer) install(ctx context.Context, address string, delta configstate.Delta) error {
	err := r.Feed.ApplyDelta(delta)
	if !isDigestError(err) {
		return err
	}
	// Either side may have missed an event. The complete snapshot includes any event
	// that is missing only here.
	full, fetchErr := r.Client.Fetch(ctx, address, beforeAll, 0)
	if fetchErr != nil {
		return fetchErr
	}
	return r.Feed.ApplyDelta(full.Delta)
}

// beforeAll precedes every revision, so that the changes after it are the complete
// snapshot.
const beforeAll = -1

func (r *Syncer) recheckStore() {
	select {
	case r.recheck <- struct{}{}:
	default:
	}
}

// fetchFromAheadPeers fetches from peers that have reported a newer revision.
func (r *Syncer) fetchFromAheadPeers(ctx context.Context) {
	for {
		select {
		case address := <-r.aheadPeers:
			r.catchUp(ctx, address)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Syncer) catchUp(ctx context.Context, address string) {
	snapshot := r.Feed.Snapshot()
	if r.Feed.SeenRevision() <= snapshot.Revision {
		return
	}
	update, err := r.Client.Fetch(ctx, address, snapshot.Revision, 0)
	if err == nil {
		err = r.accept(ctx, address, snapshot.Revision, update)
	}
	if err != nil {
		r.Log.Debug().Err(err).Str("peer", address).Msg("Cannot fetch a newer configuration from a peer.")
	}
}

func awaitChange(ctx context.Context, changed <-chan struct{}, atMost time.Duration) {
	timer := time.NewTimer(pause.Jitter(atMost))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// chance returns true with probability p.
func chance(p float64) bool { return rand.Float64() < p }
