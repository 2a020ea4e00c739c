// Package poolmanager holds one pool: it carries out what package sched decides,
// stores what must last, and answers for the pool's jobs. One goroutine owns
// the pool's state; calls to hosts and to the store run beside it and post
// their outcomes back.
package poolmanager

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/worker"
)

const (
	// holdWait is how long a host may keep a hold that finds no new end. It
	// also is the pause between two renewals, several of which may be lost
	// before a hold runs out.
	holdWait = 600 * time.Millisecond
	// holdPause lets ends that come together be told together, up to
	// holdPauseBusy while orders take as long as that because this process is
	// busy: with a hold for each end of a large pool's turn it had no time left to
	// start what could be in time.
	holdPause     = 15 * time.Millisecond
	holdPauseBusy = 60 * time.Millisecond
	// holdRetry is the pause after the second hold without an answer.
	holdRetry = 150 * time.Millisecond
	// commitPause is the least time between two commits: the platform takes
	// some hundred writes a second from all processes together.
	commitPause = 30 * time.Millisecond
	// fullPause is that after one that had no room for more: what is left over
	// needs another call however long it waits.
	fullPause = 5 * time.Millisecond
	// commitRetry is the pause after a commit that the store didn't take.
	commitRetry = 100 * time.Millisecond
	// tickEvery is how often time-outs are looked at.
	tickEvery = 100 * time.Millisecond
	// planPause lets what arrives together be planned for together: a plan for
	// each answer takes more than the processor time of an entry host.
	planPause = 5 * time.Millisecond
	// planFactor times its own time is the least pause before the next plan, up
	// to planPauseMost: plans that follow each other without a break leave no
	// processor time to carry any of them out.
	planFactor    = 3
	planPauseMost = 50 * time.Millisecond
	// statsEvery is how often the pool is described in the log.
	statsEvery = 5 * time.Second
	// inboxPause is the least time between two looks into the inbox.
	inboxPause = 250 * time.Millisecond
	// ConfirmationTimeout is how long a holder goes on holding hosts when the store
	// doesn't show that it still has the pool. While the store is away nobody
	// can take over, and work would be lost for nothing; while it is away only
	// for this process, a successor has to wait that long for hosts that it
	// can't reach itself.
	ConfirmationTimeout = 6 * time.Second
	// mailbox bounds the outcomes that wait for the pool's goroutine.
	mailbox = 1024
)

// Config is what a keeper needs.
type Config struct {
	Pool string
	// Holder identifies this process and its start.
	Holder  string
	Store   store.Transactor
	Workers worker.Client
	Hosts   worker.HostSource
	// Adviser may be nil where no queue has a policy.
	Adviser worker.Adviser
	Sched   sched.Config
	Log     zerolog.Logger
	Metrics *Metrics
	// WallClock is the time of day; nil takes the process's own.
	WallClock func() time.Time
}

// Takeover is a pool just taken over.
type Takeover struct {
	// Head is the pool's head as the takeover left it, at Revision; its roster
	// is the earlier holder's.
	Head     poolstore.Head
	Revision store.Revision
	Claim    []byte
	Lease    store.LeaseID
}

// Manager holds one pool.
type Manager struct {
	Config
	grant Takeover
	pool  *sched.Pool
	post  chan message
	ended chan struct{}
	ctx   context.Context

	// Owned by the pool's goroutine.
	asking  map[string]bool
	submits map[string]*submission
	cancels map[string]*cancellation
	// inboxDone are the keys of the inbox that were taken over.
	inboxDone map[string]bool
	forget    []string
	head      poolstore.Head
	// lanes are the chains of commits, first that of the head.
	lanes []*lane
	// storing are the jobs whose progress a commit on its way contains.
	storing map[string]bool
	// opened is when a lane beside the head's last sent a commit; crowded: that
	// one was full, and more may wait.
	opened  time.Time
	crowded bool
	// commitTook is how long a commit takes of late.
	commitTook time.Duration
	repeats    repeats
	reclaim    bool
	closing    chan struct{}
	released   bool
	// confirmed is when the store last showed that we hold the pool.
	confirmed time.Time
	// stored is when the last commit happened.
	stored    time.Time
	described time.Time
	// planned: a plan is due. planTook is how long plans take of late.
	planned  bool
	planTook time.Duration
	// lag is how late this goroutine got to its ticks of late, worstLag the most
	// since the pool was last described.
	lag, worstLag time.Duration
	busy          *busy
}

// New returns a keeper for a pool that was just taken over.
func New(config Config, grant Takeover) *Manager {
	if config.WallClock == nil {
		config.WallClock = time.Now
	}
	config.Sched.Fence = grant.Head.Fence
	return &Manager{
		Config: config, grant: grant, post: make(chan message, mailbox), busy: newBusy(config.Metrics), ended: make(chan struct{}),
		asking: make(map[string]bool), submits: make(map[string]*submission), cancels: make(map[string]*cancellation),
		head: grant.Head, lanes: newLanes(grant.Revision), storing: make(map[string]bool),
		inboxDone: make(map[string]bool), confirmed: time.Now(),
	}
}

// ClaimLostError says that another process holds the pool.
type ClaimLostError struct{ Pool string }

func (e *ClaimLostError) Error() string { return "pool " + e.Pool + " is held by another process" }

// Run loads the pool and holds it until ctx ends or another process has it.
// It returns *DeposedError then, and nil after Release.
func (k *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(k.ended)
	k.ctx = ctx
	if err := k.load(ctx); err != nil {
		return err
	}
	go k.watchInbox(ctx)
	go k.Hosts.Watch(ctx, k.Pool, k.setHosts)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	due := time.NewTimer(planPause)
	defer due.Stop()
	defer k.abandon()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case m := <-k.post:
			k.busy.spend(m.part, m.act)
			k.drain()
			if !k.planned {
				k.planned = true
				due.Reset(k.restFromPlans())
			}
			continue
		case at := <-ticker.C:
			k.lagged(time.Since(at))
			k.busy.spend(partTicks, func() { k.tick(time.Now()) })
		case <-due.C:
		}
		k.planned = false
		k.reportLosses()
		if k.released {
			return nil
		}
		if k.pool.Fenced() {
			k.Log.Warn().Int64("fence", k.grant.Head.Fence).Msg("Another process holds the pool.")
			return &ClaimLostError{k.Pool}
		}
		k.step()
	}
}

// lagged notes how late a tick was looked at.
func (k *Manager) lagged(by time.Duration) {
	k.lag = max(by, (7*k.lag+by)/8)
	k.worstLag = max(k.worstLag, by)
	k.Metrics.lag.Observe(by.Seconds())
	k.pool.SetLag(k.lag)
}

func (k *Manager) tick(now time.Time) {
	k.forget = append(k.forget, k.pool.Tick(now, k.WallClock())...)
	if b := k.lanes[0].batch; b != nil && now.Sub(b.begun) > sideFactor*k.commitTook {
		k.turnAway(b)
	}
	if now.Sub(k.described) < statsEvery {
		return
	}
	k.described = now
	s := k.pool.Stats(now)
	k.Log.Info().Dur("plan_ms", k.planTook).Dur("worst_lag_ms", k.worstLag).Dur("order_ms", k.repeats.usual()).Int("jobs", s.Jobs).Int("hosts", s.Hosts).Int("usable", s.Usable).Interface("unusable", s.UnusableReasons).
		Int("unreached", s.Unreached).Int("runs", s.Runs).Int("waiting_tasks", s.WaitingTasks).
		Int("waiting_lasting", s.LongRunningWaiting).Int("used_cores", s.UsedCores).Int("cores", s.Cores).Dict("busy_ms", k.busy.describe()).Msg("The pool.")
	k.worstLag = 0
}

// drain applies what else has arrived, so that one plan serves it all.
func (k *Manager) drain() {
	for {
		select {
		case m := <-k.post:
			k.busy.spend(m.part, m.act)
		default:
			return
		}
	}
}

// ConfirmClaim notes that the store shows us as the pool's holder.
func (k *Manager) ConfirmClaim() { k.do(context.Background(), func() { k.confirmed = time.Now() }) }

// surelyHeld reports whether the store has shown lately that we hold the pool.
func (k *Manager) surelyHeld(now time.Time) bool { return now.Sub(k.confirmed) < ConfirmationTimeout }

func (k *Manager) setHosts(hosts []worker.Host) {
	k.do(k.ctx, func() { k.pool.SetHosts(hosts, time.Now()) })
}

// step decides and carries out what is due.
func (k *Manager) step() {
	now := time.Now()
	for _, target := range k.pool.HeartbeatTargets() {
		if !k.asking[target.ID] {
			k.asking[target.ID] = true
			go k.ask(target)
		}
	}
	k.busy.spend(partPlans, func() { k.plan(now) })
	k.busy.spend(partCommits, func() { k.commit(now) })
}

// plan decides what runs where and sends it off.
func (k *Manager) plan(now time.Time) {
	k.pool.SetClaimConfirmed(k.surelyHeld(now))
	plan := k.pool.Plan(now, k.WallClock())
	took := time.Since(now)
	k.planTook = (3*k.planTook + took) / 4
	k.Metrics.plan.Observe(took.Seconds())
	for _, order := range plan.Orders {
		k.dispatch(order)
	}
	for _, question := range plan.AdviceRequests {
		go k.question(question)
	}
}

// restFromPlans is the pause before the next plan.
func (k *Manager) restFromPlans() time.Duration {
	return min(planPauseMost, max(planPause, planFactor*k.planTook))
}
