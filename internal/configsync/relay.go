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
	// slots is how many sources a member asks at once. With two, one that has
	// died, stalls or lies delays nothing: the other brings the news.
	slots = 2
	// pollWait is how long a source may wait for news before it answers that
	// there are none. A stalled source is left after it and one call timeout.
	pollWait = 2 * time.Second
	// suspectTime is how long a source that failed isn't asked again.
	suspectTime = 5 * time.Second
	// pollPause keeps a member whose sources all fail from spinning.
	pollPause = 100 * time.Millisecond
	// idlePause is how often a part that has nothing to do looks again.
	idlePause = time.Second
	// maxBehind is how many answers in a row a source may be behind.
	maxBehind = 2
	nudges    = 8
)

// Config is what a Relay is made of.
type Config struct {
	Feed   *configfeed.Feed
	Server *peer.Server
	Client *peer.Client
	// SeedAddresses are peers known from the settings, asked when the membership
	// isn't known.
	SeedAddresses []string
	Log           zerolog.Logger
	Registerer    prometheus.Registerer
}

// Syncer keeps this process's feed current: from the store while it is one of
// its zone's relays, from peers otherwise, and from the store as a last resort.
type Syncer struct {
	Config
	self    member.Member
	metrics *metrics
	nudged  chan string
	recheck chan struct{}

	mu       sync.Mutex
	view     view
	suspects map[string]time.Time
	slots    [slots]slot
}

// view is what the membership says to this process.
type view struct {
	digest  uint64
	known   bool
	members []member.Member
	sources []string
	relay   bool
}

// slot is one source being asked.
type slot struct {
	address string
	// heard is when it last answered, watching whether it watched the store.
	heard    time.Time
	watching bool
	behind   int
}

// New returns a relay that does nothing until Serve.
func New(config Config) *Syncer {
	r := &Syncer{
		Config:   config,
		self:     config.Server.Self(),
		metrics:  newMetrics(config.Registerer),
		nudged:   make(chan string, nudges),
		recheck:  make(chan struct{}, 1),
		suspects: make(map[string]time.Time),
	}
	config.Server.OnPeerAhead(r.nudge)
	return r
}

// nudge makes the relay fetch from a peer that has something newer.
func (r *Syncer) nudge(address string) {
	select {
	case r.nudged <- address:
	default:
		// Enough peers are waiting to be asked; the next message tells again.
	}
}

// PanicError says that a loop of the relay panicked.
type PanicError struct{ Value any }

func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Serve keeps the feed current until ctx ends.
func (r *Syncer) Serve(ctx context.Context) error {
	r.bootstrap(ctx)
	loops := []func(context.Context){r.watchStore, r.probeStore, r.answerNudges}
	for i := range slots {
		loops = append(loops, func(ctx context.Context) { r.poll(ctx, i) })
	}
	return together(ctx, loops)
}

// together runs loops until ctx ends. One that panics ends them all with an
// error, so that the supervisor starts the part afresh.
func together(ctx context.Context, loops []func(context.Context)) error {
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

// look returns what the membership in force says. When it shows nobody at all,
// as after an outage in which every lease ended, the last known one counts.
func (r *Syncer) look(snapshot *configstate.Snapshot) view {
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

// poll asks one source after another for news; every slot has another one.
func (r *Syncer) poll(ctx context.Context, index int) {
	for ctx.Err() == nil {
		snapshot, changed := r.Feed.Current()
		address := r.pick(index, r.look(snapshot))
		if address == "" {
			awaitChange(ctx, changed, idlePause)
			continue
		}
		news, err := r.Client.Fetch(ctx, address, snapshot.Revision, pollWait)
		if ctx.Err() != nil {
			return
		}
		if err == nil {
			err = r.accept(ctx, address, snapshot.Revision, news)
		}
		if !r.judge(index, address, news, err) {
			pause.For(ctx, pause.Jitter(pollPause))
		}
	}
}

// pick returns the best source that no other slot asks. A relay that hears
// from the store asks one peer only.
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
		if r.askedByOther(index, address) {
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

func (r *Syncer) askedByOther(index int, address string) bool {
	for i := range r.slots {
		if i != index && r.slots[i].address == address {
			return true
		}
	}
	return false
}

// judge takes a source's answer and reports whether it was a good one.
func (r *Syncer) judge(index int, address string, news peer.FetchResult, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.Log.Debug().Err(err).Str("peer", address).Msg("Peer left for another.")
		r.suspectLocked(address)
		return false
	}
	s := &r.slots[index]
	if s.address != address {
		return true
	}
	s.heard = time.Now()
	s.watching = news.From.GetWatching()
	s.behind = r.countBehind(s.behind, news.From)
	if s.behind >= maxBehind {
		r.suspectLocked(address)
	}
	return true
}

func (r *Syncer) suspectLocked(address string) {
	r.metrics.left.Inc()
	r.suspects[address] = time.Now().Add(pause.Jitter(suspectTime))
}

// countBehind counts answers that show a source without what is in force here.
// Its revision alone doesn't tell: it grows with changes to other keys too.
func (r *Syncer) countBehind(before int, from *peerpb.Presence) int {
	snapshot := r.Feed.Snapshot()
	if from.GetHeldRevision() < int64(snapshot.Revision) && from.GetDigest() != snapshot.Digest {
		return before + 1
	}
	return 0
}

// accept puts news in force and looks for a divergence: the same revision with
// other contents means that one of the two has missed an event.
func (r *Syncer) accept(ctx context.Context, address string, asked store.Revision, news peer.FetchResult) error {
	if news.Delta.Revision != 0 && !r.overtaken(asked, news.Delta) {
		if err := r.install(ctx, address, news.Delta); err != nil {
			return err
		}
	}
	snapshot := r.Feed.Snapshot()
	held := news.From.GetHeldRevision()
	if held == int64(snapshot.Revision) && news.From.GetDigest() != snapshot.Digest {
		r.metrics.diverged.Inc()
		r.recheckStore()
	}
	return nil
}

// overtaken reports whether another source brought as much while this one's
// answer was on its way. That is no fault of the source.
func (r *Syncer) overtaken(asked store.Revision, delta configstate.Delta) bool {
	return delta.Revision > asked && delta.Revision <= r.Feed.Snapshot().Revision
}

func (r *Syncer) install(ctx context.Context, address string, delta configstate.Delta) error {
	err := r.Feed.ApplyDelta(delta)
	if !isDigest(err) {
		return err
	}
	// Either side may have missed an event. The whole snapshot can't hide one
	// that is only missing here.
	whole, fetchErr := r.Client.Fetch(ctx, address, everything, 0)
	if fetchErr != nil {
		return fetchErr
	}
	return r.Feed.ApplyDelta(whole.Delta)
}

// everything is before any revision: what came after it is the whole snapshot.
const everything = -1

func (r *Syncer) recheckStore() {
	select {
	case r.recheck <- struct{}{}:
	default:
	}
}

// answerNudges fetches from peers that turned out to be ahead.
func (r *Syncer) answerNudges(ctx context.Context) {
	for {
		select {
		case address := <-r.nudged:
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
	news, err := r.Client.Fetch(ctx, address, snapshot.Revision, 0)
	if err == nil {
		err = r.accept(ctx, address, snapshot.Revision, news)
	}
	if err != nil {
		r.Log.Debug().Err(err).Str("peer", address).Msg("Not caught up from a peer.")
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

// chance draws whether something of probability p happens.
func chance(p float64) bool { return rand.Float64() < p }
