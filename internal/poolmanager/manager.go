// Package poolmanager runs one pool on the entry host that holds the pool's
// claim: it carries out the decisions of package sched, persists the state that
// must survive a takeover, and serves calls about the pool's jobs. One goroutine
// owns the pool's state; calls to hosts and to the store run in goroutines of
// their own and post their outcomes back as messages.
package poolmanager

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/linkbudget"
	"auburnglade.example/glade/internal/overload"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/sched"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/worker"
)

const (
	// heartbeatWait is how long a host may delay its reply to a heartbeat while
	// it has no new run end to report. It is also the interval between two lease
	// renewals, several of which may be lost before a lease expires.
	heartbeatWait = 600 * time.Millisecond
	// heartbeatMinDelay is the pause between two heartbeats to a host, so that
	// run ends that are close together are reported in one reply. It grows up to
	// heartbeatMaxDelay while orders take that long because this process is
	// overloaded: one heartbeat per run end during a demand burst in a large pool
	// leaves no processor time to start tasks in time.
	heartbeatMinDelay = 15 * time.Millisecond
	heartbeatMaxDelay = 60 * time.Millisecond
	// heartbeatRetryDelay is the pause after the second and each further
	// heartbeat in a row without a reply.
	heartbeatRetryDelay = 150 * time.Millisecond
	// commitMinInterval is the least time between two commits: the platform
	// accepts a few hundred writes per second from all processes together.
	commitMinInterval = 30 * time.Millisecond
	// fullCommitMinInterval replaces commitMinInterval after a commit that filled
	// its transaction: the remainder needs another call no matter how long it
	// waits.
	fullCommitMinInterval = 5 * time.Millisecond
	// commitRetryDelay is the pause before a commit that the store did not accept
	// is sent again.
	commitRetryDelay = 100 * time.Millisecond
	// tickInterval is how often timeouts are checked.
	tickInterval = 100 * time.Millisecond
	// planMinDelay delays a plan so that messages that arrive together share one:
	// a plan per message takes more processor time than an entry host has.
	planMinDelay = 5 * time.Millisecond
	// planDelayFactor times the duration of recent plans is the least delay
	// before the next plan, up to planMaxDelay: back-to-back plans leave no
	// processor time to carry any of them out.
	planDelayFactor = 3
	planMaxDelay    = 50 * time.Millisecond
	// statsInterval is how often the pool's statistics are logged.
	statsInterval = 5 * time.Second
	// inboxMinInterval is the least time between two reads of the inbox.
	inboxMinInterval = 250 * time.Millisecond
	// formerLeaseTTL is how long leases of holders of versions without Head.LeaseMs last,
	// formerConfirmationTimeout how long these renew them without confirmation that they
	// still hold the pool.
	formerLeaseTTL            = 4500 * time.Millisecond
	formerConfirmationTimeout = 6 * time.Second
	// messageQueueSize bounds the messages that wait for the pool's goroutine.
	messageQueueSize = 1024
)

// Config is the configuration of a Manager.
type Config struct {
	Pool string
	// Holder identifies this process and its incarnation.
	Holder  string
	Store   store.Transactor
	Workers worker.Client
	Hosts   worker.HostSource
	// Adviser may be nil when no queue has a placement policy.
	Adviser worker.Adviser
	// Limits is nil where organisations have no limits.
	Limits LimitSource
	// UnheldFor returns for how long a pool has had no holder, at the least. Nil is not known.
	UnheldFor func(pool string) time.Duration
	// Memory bounds what the large jobs of all pools of this process may take; nil is
	// unlimited.
	Memory *JobMemory
	// Starts is the share of this process's link for starts; nil is unlimited.
	Starts  *linkbudget.Budget
	Sched   sched.Config
	Log     zerolog.Logger
	Metrics *Metrics
	// WallClock returns the time of day; nil means time.Now.
	WallClock func() time.Time
}

// Takeover describes a pool that this process has just taken over.
type Takeover struct {
	// Head is the pool's head as written by the takeover, at Revision; its hosts
	// in use are those of the previous holder.
	Head     poolstore.Head
	Revision store.Revision
	Claim    []byte
	Lease    store.LeaseID
	// RequestedAt is when the claim was requested.
	RequestedAt time.Time
	// PreviousStopped is set if the previous holder renews no more leases on hosts.
	PreviousStopped bool
}

// priorLeaseTTL returns how long after the takeover leases of earlier holders may last.
func (t *Takeover) priorLeaseTTL(lease time.Duration) time.Duration {
	switch {
	case t.Head.LeaseMs > 0:
		return sched.LeaseUpperBound(max(lease, time.Duration(t.Head.LeaseMs)*time.Millisecond))
	case t.PreviousStopped:
		return sched.LeaseUpperBound(max(lease, formerLeaseTTL))
	}
	return sched.LeaseUpperBound(max(lease, formerLeaseTTL)) + formerConfirmationTimeout
}

// Manager runs one pool. Its exported methods are safe for concurrent use.
type Manager struct {
	Config
	takeover Takeover
	pool     *sched.Pool
	messages chan message
	stopped  chan struct{}
	ctx      context.Context

	// The fields below are owned by the pool's goroutine.
	//
	// heartbeating are the hosts for which a heartbeat loop is running.
	heartbeating  map[string]bool
	submissions   map[string]*submission
	cancellations map[string]*cancellation
	// inboxApplied are the keys of inbox entries that were applied and not yet
	// deleted.
	inboxApplied map[string]bool
	// queues are the records of queues, retiredAt is when those without jobs were last
	// looked for.
	queues    queueStates
	retiredAt time.Time
	// expiredJobs are the IDs of ended jobs to be deleted from the store.
	expiredJobs []string
	head        poolstore.Head
	// lanes are the pool's commit lanes; the first one writes the head.
	lanes []*lane
	// committing are the jobs whose progress is part of a commit in flight.
	committing map[string]bool
	// sideCommitAt is when a side lane last sent a commit. sideCommitFull is set
	// when that commit was full, so that more may be waiting.
	sideCommitAt   time.Time
	sideCommitFull bool
	// commitLatency is a moving average of the duration of commits.
	commitLatency time.Duration
	hedger        hedger
	quotas        *quotaKeeper
	refuser       overload.Refuser
	// reportedStarts are the starts in the metrics of organisations, by label.
	reportedStarts map[string]int
	// claimMissing is set while the claim has to be written again under the lease
	// in takeover.
	claimMissing bool
	// releaseDone is non-nil once a release was requested and is closed when it
	// is done.
	releaseDone chan struct{}
	released    bool
	// claimConfirmedAt is the latest moment at which the store is known to have had no
	// later holder of the pool.
	claimConfirmedAt time.Time
	// confirmationLost is set while that is too long ago; confirmationAskedAt is when the
	// store was last asked for another one.
	confirmationLost    bool
	confirmationAskedAt time.Time
	// inboxCurrentAt is up to when all entries of the inbox were applied.
	inboxCurrentAt time.Time
	// committedAt is when the head's lane last committed.
	committedAt   time.Time
	statsLoggedAt time.Time
	// planDue is set while a plan is scheduled; planDuration is a moving average
	// of the duration of plans.
	planDue      bool
	planDuration time.Duration
	// lag is the recent delay with which this goroutine processes its ticks,
	// maxLag the largest one since the statistics were last logged.
	lag, maxLag time.Duration
	// maxReplyLate is by how much a reply to a heartbeat was later than the host may
	// delay it, at the most since the statistics were last logged.
	maxReplyLate time.Duration
	workTimes    *workTimes
}

// New returns a Manager for a pool that was just taken over.
func New(config Config, takeover Takeover) *Manager {
	if config.WallClock == nil {
		config.WallClock = time.Now
	}
	if config.UnheldFor == nil {
		config.UnheldFor = func(string) time.Duration { return 0 }
	}
	config.Sched.Fence, config.Sched.LastFence = takeover.Head.FirstFence(), takeover.Head.Fence
	config.Sched.TakenOverAt = time.Now()
	config.Sched.PriorLeaseTTL = takeover.priorLeaseTTL(config.Sched.LeaseTTL)
	return &Manager{
		Config: config, takeover: takeover, messages: make(chan message, messageQueueSize), workTimes: newWorkTimes(config.Metrics), stopped: make(chan struct{}),
		heartbeating: make(map[string]bool), submissions: make(map[string]*submission), cancellations: make(map[string]*cancellation),
		head: takeover.Head, lanes: newLanes(takeover.Revision), committing: make(map[string]bool),
		inboxApplied: make(map[string]bool), claimConfirmedAt: takeover.RequestedAt, quotas: newQuotaKeeper(config.Limits, config.Pool, takeover.Head.Fence),
		reportedStarts: make(map[string]int), queues: make(queueStates),
	}
}

// ClaimLostError reports that another process holds the pool.
type ClaimLostError struct{ Pool string }

func (e *ClaimLostError) Error() string { return "pool " + e.Pool + " is held by another process" }

// Run loads the pool and serves it until ctx ends or another process takes it
// over. It returns *ClaimLostError after a takeover by another process, nil after
// Release, and the context's error otherwise.
func (m *Manager) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer close(m.stopped)
	m.ctx = ctx
	if err := m.load(ctx); err != nil {
		return err
	}
	go m.watchInbox(ctx)
	go m.Hosts.Watch(ctx, m.Pool, m.setHosts)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	planTimer := time.NewTimer(planMinDelay)
	defer planTimer.Stop()
	defer m.resolveWaiters()
	defer m.dropOrganisations()
	defer m.Memory.forget(m.Pool)
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case msg := <-m.messages:
			m.workTimes.measure(msg.part, msg.run)
			m.applyQueued()
			if !m.planDue {
				m.planDue = true
				planTimer.Reset(m.planDelay())
			}
			continue
		case tickedAt := <-ticker.C:
			m.recordLag(time.Since(tickedAt))
			m.workTimes.measure(partTicks, func() { m.tick(time.Now()) })
		case <-planTimer.C:
		}
		m.planDue = false
		m.reportLosses()
		m.reportHeardAgain()
		if m.released {
			return nil
		}
		if m.pool.Fenced() {
			m.Log.Warn().Int64("fence", m.takeover.Head.Fence).Msg("Another process has taken over the pool.")
			return &ClaimLostError{m.Pool}
		}
		m.reconcile()
	}
}

// recordLag records the delay with which a tick was processed.
func (m *Manager) recordLag(lag time.Duration) {
	m.lag = max(lag, (7*m.lag+lag)/8)
	m.maxLag = max(m.maxLag, lag)
	m.Metrics.lagSeconds.Observe(lag.Seconds())
	m.pool.SetLag(m.lag)
}

func (m *Manager) tick(now time.Time) {
	m.confirm(now)
	m.expiredJobs = append(m.expiredJobs, m.pool.Tick(now, m.WallClock())...)
	m.Memory.note(m.Pool, m.largeBytes())
	m.askForConfirmation(now)
	if b := m.lanes[0].batch; b != nil && now.Sub(b.sentAt) > stuckCommitFactor*m.commitLatency {
		m.refuseBehind(b)
	}
	if now.Sub(m.statsLoggedAt) < statsInterval {
		return
	}
	m.statsLoggedAt = now
	m.reportOrganisations()
	s := m.pool.Stats(now)
	m.Log.Info().Dur("plan_ms", m.planDuration).Dur("worst_lag_ms", m.maxLag).Dur("worst_reply_late_ms", m.maxReplyLate).Dur("order_ms", m.hedger.latency()).Dur("confirmed_ms", m.confirmationAge(now)).
		Int("jobs", s.Jobs).Int("hosts", s.Hosts).Int("usable", s.Usable).Interface("unusable", s.UnusableReasons).
		Int("unreached", s.Unreached).Int("runs", s.Runs).Int("waiting_tasks", s.WaitingTasks).
		Int("waiting_lasting", s.LongRunningWaiting).Int("used_cores", s.UsedCores).Int("cores", s.Cores).Dict("busy_ms", m.workTimes.takeSpent()).Msg("Pool statistics.")
	m.maxLag, m.maxReplyLate = 0, 0
}

// applyQueued runs all queued messages, so that one plan covers them all.
func (m *Manager) applyQueued() {
	for {
		select {
		case msg := <-m.messages:
			m.workTimes.measure(msg.part, msg.run)
		default:
			return
		}
	}
}

// ClaimLost implements cluster.HeldPool. Nothing is left to do: hosts refuse the calls of a
// replaced holder by their fences, and it stops with its next commit.
func (m *Manager) ClaimLost() {}

func (m *Manager) setHosts(hosts []worker.Host) {
	m.enqueue(m.ctx, func() { m.pool.SetHosts(hosts, time.Now()) })
}

// reconcile starts missing heartbeat loops, plans, and commits what is due.
func (m *Manager) reconcile() {
	now := time.Now()
	for _, target := range m.pool.HeartbeatTargets() {
		if !m.heartbeating[target.ID] {
			m.heartbeating[target.ID] = true
			go m.heartbeatLoop(target.ID)
		}
	}
	m.refreshQuotas(now)
	m.workTimes.measure(partPlans, func() { m.plan(now) })
	m.askForConfirmation(now)
	m.adjustQuotas(now)
	m.workTimes.measure(partCommits, func() { m.commit(now) })
}

// plan computes the next scheduling decisions and sends the resulting orders and
// advice requests.
func (m *Manager) plan(now time.Time) {
	m.confirm(now)
	m.noteConfirmation(now)
	m.pool.SetStartBytes(m.Starts.Available(now))
	plan := m.pool.Plan(now, m.WallClock())
	took := time.Since(now)
	m.planDuration = (3*m.planDuration + took) / 4
	m.Metrics.planSeconds.Observe(took.Seconds())
	for _, order := range plan.Orders {
		m.dispatch(order)
	}
	m.reportMeasured(plan)
	for _, request := range plan.AdviceRequests {
		go m.requestAdvice(request)
	}
}

// planDelay returns the delay before the next plan.
func (m *Manager) planDelay() time.Duration {
	return min(planMaxDelay, max(planMinDelay, planDelayFactor*m.planDuration))
}
