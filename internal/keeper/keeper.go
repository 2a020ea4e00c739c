// Package keeper holds one pool: it carries out what package sched decides,
// stores what must last, and answers for the pool's jobs. One goroutine owns
// the pool's state; calls to hosts and to the store run beside it and post
// their outcomes back.
package keeper

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/duty"
	"auburnglade.example/glade/internal/ledger"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/work"
	"auburnglade.example/glade/internal/worker"
)

const (
	// holdWait is how long a host may keep a hold that finds no new end. It
	// also is the pause between two renewals, several of which may be lost
	// before a hold runs out.
	holdWait = 600 * time.Millisecond
	// holdPause lets ends that come together be told together, up to
	// holdPauseBusy while orders take as long as that because this process is
	// busy. With 230 hosts in a turn it made some four thousand holds a second
	// and had no time left to start what could be in time; the longer pauses are
	// worth 0.015 (0.007) of a day of 350 hosts.
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
	// planPause lets what arrives together be planned for together: at 85 hosts
	// some 500 answers a second come in, and a plan for each took more than the
	// processor time of an entry host.
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
	// UnconfirmedFor is how long a holder goes on holding hosts when the store
	// doesn't show that it still has the pool. While the store is away nobody
	// can take over, and work would be lost for nothing; while it is away only
	// for this process, a successor has to wait that long for hosts that it
	// can't reach itself.
	UnconfirmedFor = 6 * time.Second
	// mailbox bounds the outcomes that wait for the pool's goroutine.
	mailbox = 1024
)

// Config is what a keeper needs.
type Config struct {
	Pool string
	// Holder identifies this process and its start.
	Holder string
	Store  store.Transactor
	Orders worker.Orders
	Hosts  worker.HostSource
	// Adviser may be nil where no queue has a policy.
	Adviser worker.Adviser
	Sched   sched.Config
	Log     zerolog.Logger
	Metrics *Metrics
	// Wall is the time of day; nil takes the process's own.
	Wall func() time.Time
}

// Grant is a pool just taken over.
type Grant struct {
	// Head is the pool's head as the takeover left it, at Revision; its roster
	// is the earlier holder's.
	Head     ledger.Head
	Revision store.Revision
	Claim    []byte
	Lease    store.LeaseID
}

// Keeper holds one pool.
type Keeper struct {
	Config
	grant Grant
	pool  *sched.Pool
	post  chan func()
	ended chan struct{}
	ctx   context.Context

	// Owned by the pool's goroutine.
	asking  map[string]bool
	submits map[string]*submission
	cancels map[string]*cancellation
	// inboxDone are the keys of the inbox that were taken over.
	inboxDone map[string]bool
	forget    []string
	head      ledger.Head
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
}

// New returns a keeper for a pool that was just taken over.
func New(config Config, grant Grant) *Keeper {
	if config.Wall == nil {
		config.Wall = time.Now
	}
	config.Sched.Fence = grant.Head.Fence
	return &Keeper{
		Config: config, grant: grant, post: make(chan func(), mailbox), ended: make(chan struct{}),
		asking: make(map[string]bool), submits: make(map[string]*submission), cancels: make(map[string]*cancellation),
		head: grant.Head, lanes: newLanes(grant.Revision), storing: make(map[string]bool),
		inboxDone: make(map[string]bool), confirmed: time.Now(),
	}
}

// DeposedError says that another process holds the pool.
type DeposedError struct{ Pool string }

func (e *DeposedError) Error() string { return "pool " + e.Pool + " is held by another process" }

// Run loads the pool and holds it until ctx ends or another process has it.
// It returns *DeposedError then, and nil after Release.
func (k *Keeper) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(k.ended)
	k.ctx = ctx
	if err := k.load(ctx); err != nil {
		return err
	}
	go k.watchInbox(ctx)
	go k.Hosts.Follow(ctx, k.Pool, k.setHosts)
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	due := time.NewTimer(planPause)
	defer due.Stop()
	defer k.abandon()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case act := <-k.post:
			act()
			k.drain()
			if !k.planned {
				k.planned = true
				due.Reset(k.restFromPlans())
			}
			continue
		case at := <-ticker.C:
			k.lagged(time.Since(at))
			k.tick(time.Now())
		case <-due.C:
		}
		k.planned = false
		if k.released {
			return nil
		}
		if k.pool.Deposed() {
			k.Log.Warn().Int64("fence", k.grant.Head.Fence).Msg("Another process holds the pool.")
			return &DeposedError{k.Pool}
		}
		k.step()
	}
}

// lagged notes how late a tick was looked at.
func (k *Keeper) lagged(by time.Duration) {
	k.lag = max(by, (7*k.lag+by)/8)
	k.worstLag = max(k.worstLag, by)
	k.Metrics.lag.Observe(by.Seconds())
	k.pool.Late(k.lag)
}

func (k *Keeper) tick(now time.Time) {
	k.forget = append(k.forget, k.pool.Tick(now)...)
	if b := k.lanes[0].batch; b != nil && now.Sub(b.begun) > sideFactor*k.commitTook {
		k.turnAway(b)
	}
	if now.Sub(k.described) < statsEvery {
		return
	}
	k.described = now
	s := k.pool.Stats(now)
	k.Log.Info().Dur("plan_ms", k.planTook).Dur("worst_lag_ms", k.worstLag).Dur("order_ms", k.repeats.usual()).Int("jobs", s.Jobs).Int("hosts", s.Hosts).Int("usable", s.Usable).Interface("unusable", s.Why).
		Int("unreached", s.Unreached).Int("runs", s.Runs).Int("waiting_tasks", s.WaitingTasks).
		Int("waiting_lasting", s.LastingWaiting).Int("used_cores", s.UsedCores).Int("cores", s.Cores).Msg("The pool.")
	k.worstLag = 0
}

// drain applies what else has arrived, so that one plan serves it all.
func (k *Keeper) drain() {
	for {
		select {
		case act := <-k.post:
			act()
		default:
			return
		}
	}
}

// load reads the pool's jobs. It tries until it succeeds: without its jobs a
// pool can't be served, and the claim keeps others from trying.
func (k *Keeper) load(ctx context.Context) error {
	began := time.Now()
	for {
		loaded, err := ledger.Load(ctx, k.Store, k.Pool)
		if err == nil {
			k.adopt(loaded, began)
			return nil
		}
		k.Log.Warn().Err(err).Msg("Can't read the pool's jobs yet.")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(commitRetry):
		}
	}
}

func (k *Keeper) adopt(loaded ledger.Loaded, began time.Time) {
	now, wall := time.Now(), k.Wall()
	k.pool = sched.New(k.Sched, rosterOf(k.head), now)
	for _, job := range loaded.Jobs {
		k.pool.Restore(job.Record, job.Progress, now, wall)
	}
	for _, fault := range loaded.Faults {
		k.Log.Error().Err(fault).Msg("A stored job can't be read and is left alone.")
	}
	for _, l := range k.lanes[1:] {
		l.revision = loaded.Lanes[l.index]
	}
	k.Metrics.takeovers.Inc()
	k.Log.Info().Int64("fence", k.head.Fence).Int("jobs", len(loaded.Jobs)).Int("roster", len(k.head.Roster)).Int("silent", len(k.head.Silent)).
		Dur("loading_ms", time.Since(began)).Msg("Holds the pool.")
}

// Do runs act in the pool's goroutine. It returns false when the keeper has
// ended.
func (k *Keeper) do(ctx context.Context, act func()) bool {
	select {
	case k.post <- act:
		return true
	case <-k.ended:
		return false
	case <-ctx.Done():
		return false
	}
}

// Confirm notes that the store shows us as the pool's holder.
func (k *Keeper) Confirm() { k.do(context.Background(), func() { k.confirmed = time.Now() }) }

func (k *Keeper) setHosts(hosts []worker.Host) {
	k.do(k.ctx, func() { k.pool.SetHosts(hosts, time.Now()) })
}

// step decides and carries out what is due.
func (k *Keeper) step() {
	now := time.Now()
	for _, target := range k.pool.Targets() {
		if !k.asking[target.ID] {
			k.asking[target.ID] = true
			go k.ask(target)
		}
	}
	k.pool.Confirmed(now.Sub(k.confirmed) < UnconfirmedFor)
	plan := k.pool.Plan(now, k.Wall())
	k.planTook = (3*k.planTook + time.Since(now)) / 4
	k.Metrics.plan.Observe(time.Since(now).Seconds())
	for _, order := range plan.Orders {
		k.dispatch(order)
	}
	for _, question := range plan.Questions {
		go k.question(question)
	}
	k.commit(now)
}

// restFromPlans is the pause before the next plan.
func (k *Keeper) restFromPlans() time.Duration {
	return min(planPauseMost, max(planPause, planFactor*k.planTook))
}

func (k *Keeper) dispatch(order sched.Order) {
	switch order.Verb {
	case sched.Start:
		k.Metrics.starts.Inc()
		if order.Copy {
			k.Metrics.copies.Inc()
			k.Log.Info().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).Msg("Starts a copy.")
		}
		k.Log.Debug().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).Msg("Starts a task.")
		go k.start(order)
	case sched.Stop:
		k.Metrics.stops.Inc()
		k.Log.Info().Str("task", order.Task.String()).Int("run", order.Run).Str("host", order.To.ID).
			Str("reason", order.Reason).Msg("Stops a run.")
		go k.stop(order)
	case sched.Pace:
		k.Metrics.paces.Inc()
		go k.pace(order)
	}
}

func (k *Keeper) pace(order sched.Order) {
	sent := time.Now()
	outcome := k.Orders.Pace(k.ctx, order.To, worker.Pace{
		Task: order.Task, Run: order.Run, Percent: order.Percent, Fence: k.grant.Head.Fence,
	})
	k.Metrics.order("pace", outcome, time.Since(sent))
	k.do(k.ctx, func() { k.pool.PaceOutcome(order.To.ID, order, outcome) })
}

func (k *Keeper) question(question sched.Question) {
	if k.Adviser == nil {
		return
	}
	sent := time.Now()
	tickets, validity, err := k.Adviser.Advise(k.ctx, question.Step, question.Hosts)
	if err != nil {
		k.Log.Warn().Err(err).Str("step", question.Step).Msg("No advice.")
	}
	k.do(k.ctx, func() { k.pool.Advised(question, tickets, validity, err == nil, sent, time.Now()) })
}

// nextHold asks the pool for the next hold of a host, which may wait for wait.
func (k *Keeper) nextHold(id string, wait time.Duration) (worker.Hold, bool) {
	type next struct {
		hold worker.Hold
		ok   bool
	}
	answer, ok := query(k.ctx, k, func() (n next) {
		now := time.Now()
		n.hold, n.ok = k.pool.NextHold(id, wait, now.Sub(k.confirmed) < UnconfirmedFor, now)
		if !n.ok {
			delete(k.asking, id)
		}
		return n
	})
	return answer.hold, ok && answer.ok
}

// query runs ask in the pool's goroutine and returns what it says. ok is false
// when the keeper has ended or ctx ends first.
func query[T any](ctx context.Context, k *Keeper, ask func() T) (answer T, ok bool) {
	reply := make(chan T, 1)
	if !k.do(ctx, func() { reply <- ask() }) {
		return answer, false
	}
	select {
	case answer = <-reply:
		return answer, true
	case <-k.ended:
		return answer, false
	case <-ctx.Done():
		return answer, false
	}
}

// shown is what a client may know of a job.
type shown struct {
	state work.State
	known bool
}

// State tells what a client may know of a job.
func (k *Keeper) State(ctx context.Context, id string) (state work.State, known, ok bool) {
	answer, ok := query(ctx, k, func() (s shown) {
		s.state, s.known = k.pool.Show(id)
		return s
	})
	return answer.state, answer.known, ok
}

// Waiting counts the accepted jobs of a queue of which nothing has started.
func (k *Keeper) Waiting(ctx context.Context, queue string) (count int, ok bool) {
	return query(ctx, k, func() int { return k.pool.Waiting(queue) })
}

// Load tells how busy the pool is. due are hosts that will go for maintenance.
func (k *Keeper) Load(ctx context.Context, due []string) (duty.Load, bool) {
	return query(ctx, k, func() duty.Load {
		now := time.Now()
		k.pool.Due(due, now)
		return k.pool.Load(now)
	})
}
