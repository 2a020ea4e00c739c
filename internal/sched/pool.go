// Package sched decides which task runs on which host of one pool. It is pure:
// every method takes the current time, none does I/O, and all are called by one
// goroutine, so that tests can run a pool in virtual time. The caller executes the
// orders that Plan returns and reports every outcome back.
//
// Two rules make it safe. A run that may be on a host counts against that host
// until it certainly is not there: this covers a start without an answer, a run
// that is being stopped, and a run on a host that cannot be reached. And a task has
// at most one run that may be anywhere, so a new run starts only after the previous
// one has certainly ended, unless its step allows speculative execution.
package sched

import (
	"math"
	"time"

	"auburnglade.example/glade/internal/fairshare"
	"auburnglade.example/glade/internal/quota"
	"auburnglade.example/glade/internal/worker"
)

// Config holds the parameters of a pool's decisions.
type Config struct {
	// Fence is the first fencing token that orders carry, LastFence the last one that is
	// reserved for this holder, zero for no bound.
	Fence, LastFence int64
	// TakenOverAt is when the store had taken the claim with that token, zero for when
	// the pool was created.
	TakenOverAt time.Time
	// LeaseTTL is how long after the last confirmation of the claim the leases on hosts'
	// runs last, measured by the hosts' clocks.
	LeaseTTL time.Duration
	// MaxLeaseTTL is the longest lease that a host grants.
	MaxLeaseTTL time.Duration
	// PriorLeaseTTL is how long after a takeover the leases of earlier holders may
	// last on a host that cannot be reached. None of their claims was confirmed later.
	PriorLeaseTTL time.Duration
	// StopGrace is how long stopping a run may take.
	StopGrace time.Duration
	// RemoteFactor is how many times longer a task runs away from its data.
	RemoteFactor float64
	// StatusRetention is how long an ended job is kept.
	StatusRetention time.Duration
}

// Pool is the state of one pool: its hosts, its jobs and the runs that may be on
// its hosts.
type Pool struct {
	Config
	started time.Time
	jobs    map[string]*job
	// largeBytes is the size of the texts of large jobs.
	largeBytes int64
	hosts      map[string]*host
	// active holds the jobs that are not final, in order of arrival.
	active []*job
	// ended holds the final jobs, oldest first, until their retention is over.
	ended []*job
	// unreached holds the hosts that may run tasks of an earlier holder and have
	// not answered yet, with the time by which their leases have certainly expired.
	unreached map[string]time.Time
	// endedUnreached holds those of them that have ended.
	endedUnreached map[string]bool
	// roster holds the hosts that the store lists as in use, frozen those that it
	// lists, or is about to list, as unresponsive.
	roster, frozen map[string]bool
	// storedRoster holds all hosts in the stored roster.
	storedRoster map[string]bool
	// restarted holds the hosts that have restarted under their ID since the last
	// roster was sent, confirming those whose restart the roster being stored follows.
	restarted, confirming map[string]bool
	// refusals holds the last refusal of each host, by ID.
	refusals map[string]refusal
	// presumed holds the hosts under which an earlier holder presumed crashes, by ID,
	// until it is known whether they ended.
	presumed map[string]*presumedEnd
	// losses holds the losses that Losses has not returned yet, unanswered the hosts
	// that UnansweredHosts has not.
	losses     []Loss
	unanswered []UnansweredHost
	// heardAgain holds the reports that HeardAgain has not returned yet.
	heardAgain []HeardAgain
	// stops counts the runs that are to be stopped.
	stops int
	// hostsChanged is set when a host was added.
	hostsChanged bool
	// lastRunScan is when a plan last examined all runs.
	lastRunScan time.Time
	// runtimes predicts the run time of tasks, by queue.
	runtimes map[string]*runtimeModel
	// ratios holds the ratios of taken to declared run times, by queue.
	ratios map[string]*ratioSketch
	// arrivals tracks the rate of submitted jobs, by queue.
	arrivals map[string]*arrivals
	// records holds what was measured since the last plan.
	records records
	history history
	// submitted holds the jobs that were submitted and are not stored yet.
	submitted map[string]submittedJob
	// usages holds what organisations use, quotas what they may use, by name.
	usages map[string]*usage
	quotas map[string]quota.Quota
	// othersFrozen is why no task of any other organisation may start, empty if some
	// may.
	othersFrozen quota.Reason
	// inherited is what the ledger of organisations' limits said of the pool at the takeover.
	inherited quota.Inheritance
	// shares holds the shares of organisations.
	shares *fairshare.Book
	// fence is the highest fencing token used, see raiseFence.
	fence int64
	// fenced is set once a host has refused this holder's fencing token, or there is none
	// left.
	fenced bool
	// confirmedAt is when the store last showed that this process holds the pool, zero
	// where nobody else can take it over. awaitedAt is the last moment after which it has
	// to be shown again before something starts.
	confirmedAt, awaitedAt time.Time
	// claimUnconfirmed is set while another process may hold the pool; nothing
	// starts then.
	claimUnconfirmed bool
	// lagAllowance is added to the timeout of unresponsive hosts because this
	// process runs late.
	lagAllowance time.Duration
	// maxStartBytes bounds the starts of a plan.
	maxStartBytes int
	scratch       scratch
	// backlog summarises the unfinished work for forecasts; it may be nil or old.
	backlog *backlog
}

// New returns an empty pool whose fencing token was taken at now. roster is what
// earlier holders stored.
func New(config Config, roster Roster, now time.Time) *Pool {
	p := &Pool{
		Config:         config,
		started:        now,
		fence:          config.Fence,
		maxStartBytes:  math.MaxInt,
		jobs:           make(map[string]*job),
		hosts:          make(map[string]*host),
		runtimes:       make(map[string]*runtimeModel),
		ratios:         make(map[string]*ratioSketch),
		arrivals:       make(map[string]*arrivals),
		history:        newHistory(now),
		submitted:      make(map[string]submittedJob),
		refusals:       make(map[string]refusal),
		presumed:       make(map[string]*presumedEnd),
		usages:         make(map[string]*usage),
		shares:         fairshare.NewBook(),
		unreached:      make(map[string]time.Time),
		endedUnreached: make(map[string]bool),
		roster:         make(map[string]bool),
		frozen:         make(map[string]bool),
		storedRoster:   make(map[string]bool),
		restarted:      make(map[string]bool),
		confirming:     make(map[string]bool),
	}
	takenOverAt := config.TakenOverAt
	if takenOverAt.IsZero() {
		takenOverAt = now
	}
	for _, id := range roster.InUse {
		wait := config.PriorLeaseTTL
		if left, unresponsive := roster.Unresponsive[id]; unresponsive {
			// The remaining time has shrunk since it was stored.
			wait = time.Duration(left) * time.Millisecond
		}
		p.unreached[id] = takenOverAt.Add(wait)
	}
	p.RosterStored(roster)
	return p
}

// SetFenced records that another process holds the pool.
func (p *Pool) SetFenced() { p.fenced = true }

// Fenced reports whether a host has seen a higher fencing token than this holder's.
func (p *Pool) Fenced() bool { return p.fenced }

// HeartbeatTargets returns all hosts to send heartbeats to, or nil when no host was
// added since the last call.
func (p *Pool) HeartbeatTargets() []worker.Target {
	if !p.hostsChanged {
		return nil
	}
	p.hostsChanged = false
	targets := make([]worker.Target, 0, len(p.hosts))
	for _, h := range p.hosts {
		targets = append(targets, h.target())
	}
	return targets
}

// Target returns the address for calls to a host's present incarnation. ok is false
// when the pool does not have the host.
func (p *Pool) Target(id string) (target worker.Target, ok bool) {
	h := p.hosts[id]
	if h == nil {
		return worker.Target{}, false
	}
	return h.target(), true
}

// SetHosts applies the platform's list of the pool's hosts.
func (p *Pool) SetHosts(list []worker.Host, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, entry := range list {
		listed[entry.ID] = true
		h := p.hosts[entry.ID]
		if h == nil {
			h = p.newHost(entry, now)
			p.hosts[entry.ID] = h
			p.hostsChanged = true
		}
		h.Host, h.listed = entry, true
		if h.describedByEntry() {
			h.leaving = entry.Draining
		}
	}
	for id, h := range p.hosts {
		if h.listed && !listed[id] {
			h.listed, h.unlistedSince = false, now
		}
	}
}

// fullReportInterval is the longest time between two reports of a host's runs;
// ended runs are reported with every reply. The reports are most of the bytes of a
// reply; if each reply carried them they would saturate a slow link.
const fullReportInterval = 350 * time.Millisecond

// NextHeartbeat returns the next heartbeat for a host. ok is false when the pool
// does not have the host.
func (p *Pool) NextHeartbeat(id string, wait time.Duration, now time.Time) (heartbeat worker.Heartbeat, ok bool) {
	h := p.hosts[id]
	if h == nil {
		return worker.Heartbeat{}, false
	}
	heartbeat = worker.Heartbeat{Fence: h.fence, AckedEnd: h.storedEnd, Wait: wait, ExtraTimeout: p.lagAllowance}
	if h.callFailed {
		// The host may have restarted under its ID, and its next incarnation would
		// forget ends that nobody has seen.
		heartbeat.AckedEnd = 0
	}
	if !h.reached {
		// The first reply reports the host's clock and its runs.
		heartbeat.Wait = 0
		return heartbeat, true
	}
	// A host whose replies are lost may still receive heartbeats. If these went on
	// renewing its lease, the lease would never certainly expire.
	heartbeat.OmitRunning = now.Sub(h.reportedAt) < fullReportInterval
	// Nor may the next incarnation take a deadline on this one's clock.
	if left := p.leaseLeft(now); left > 0 && !h.callFailed && !p.unresponsive(h, now) && !p.frozen[id] {
		h.leaseSentAt = now
		heartbeat.DeadlineMs = h.deadline(left, now)
	}
	return heartbeat, true
}

const (
	// clockMargin covers a host clock that runs up to 2% slow, and as much again
	// for the extrapolation of that clock since the last reply.
	clockMargin = 1.05
	// expirySlack covers orders in transit.
	expirySlack = 300 * time.Millisecond
)

// LeaseUpperBound returns how long after its last renewal a lease of that length
// has certainly expired.
func LeaseUpperBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)*clockMargin) + expirySlack
}

// leasesExpireAt returns when every run on a host has certainly ended if the host
// receives nothing more from this holder.
func (p *Pool) leasesExpireAt(h *host) time.Time {
	expire := h.lastOrderAt().Add(LeaseUpperBound(p.LeaseTTL))
	if h.strayLeaseUntil.After(expire) {
		return h.strayLeaseUntil
	}
	return expire
}

const (
	// removalDelay is how long a host must be unlisted before it is removed.
	// Entries that were missing while the store was unavailable are back within two
	// seconds of its return.
	removalDelay = 2500 * time.Millisecond
	// unresponsiveAfter is how long a host may fail to respond before it gets no
	// new work. Heartbeats are answered at least twice a second.
	unresponsiveAfter = 1200 * time.Millisecond
)

// A pool that runs late adds lagFactor times its own lag, up to maxLagAllowance,
// before it treats a host as unresponsive: the heartbeat is sent late, and its
// reply waits as long again until it is read.
const (
	lagFactor       = 4
	maxLagAllowance = 2 * time.Second
)

// SetLag records by how much the pool's own goroutine is late. A busy process reads
// replies late. Without an allowance for that it treats its hosts as unresponsive:
// with hundreds of hosts it loses their capacity when it needs it most, and starts
// again elsewhere tasks that have ended on them.
func (p *Pool) SetLag(by time.Duration) { p.lagAllowance = min(maxLagAllowance, lagFactor*by) }

func (p *Pool) unresponsive(h *host, now time.Time) bool {
	return now.Sub(h.repliedAt) > unresponsiveAfter+p.lagAllowance
}

// Tick advances the time: it expires the leases of hosts that cannot be reached and
// removes ended jobs after their retention. It returns the IDs of jobs to delete
// from the store.
func (p *Pool) Tick(now, wall time.Time) (forget []string) {
	for id, until := range p.unreached {
		if now.After(until) && p.confirmedAfter(until) {
			evidence := LeaseExpired
			if p.endedUnreached[id] {
				evidence = InstanceReplaced
			}
			p.forgetUnreached(id)
			p.unanswered = append(p.unanswered, UnansweredHost{id, evidence, now.Sub(p.started)})
		}
	}
	for id, h := range p.hosts {
		p.tickHost(id, h, now, wall)
	}
	p.stopHungRuns(now)
	p.history.forget(now)
	p.forgetSubmitted(now)
	p.forgetBacklog(now)
	p.forgetRefusals(now)
	p.forgetPresumed(now)
	return p.forgetEnded(now)
}

func (p *Pool) tickHost(id string, h *host, now, wall time.Time) {
	if h.unschedulable && now.After(h.unschedulableUntil) {
		h.unschedulable = false
	}
	unresponsive := p.unresponsive(h, now)
	if unresponsive {
		h.suspectAll()
	}
	if expireAt := p.leasesExpireAt(h); unresponsive && len(h.runs) > 0 && now.After(expireAt) && p.confirmedAfter(expireAt) {
		p.loseRuns(h, LeaseExpired, now, wall)
	}
	if !h.listed && unresponsive && len(h.runs) == 0 && now.Sub(h.unlistedSince) > removalDelay {
		if _, pending := p.unreached[id]; !pending && p.presumed[id] == nil {
			p.dropHost(id)
		}
	}
}

func (p *Pool) forgetEnded(now time.Time) (ids []string) {
	for len(p.ended) > 0 && now.Sub(p.ended[0].endedAt) > p.StatusRetention && p.ended[0].storedVersion == p.ended[0].version {
		ids = append(ids, p.ended[0].record.ID)
		delete(p.jobs, p.ended[0].record.ID)
		p.largeBytes -= p.ended[0].record.Spec.LargeBytes()
		p.ended = p.ended[1:]
	}
	return ids
}

// RemoveHost removes a host in whose place another incarnation answers.
func (p *Pool) RemoveHost(id string, now, wall time.Time) {
	p.removeHost(id, InstanceReplaced, now, wall)
}

// forgetUnreached records that nothing of an earlier holder runs on a host unless it reports it.
func (p *Pool) forgetUnreached(id string) {
	delete(p.unreached, id)
	delete(p.endedUnreached, id)
}

// endUnreached records that a host of an earlier holder has ended which never answered this one.
// A later holder may have taken note of the success of its runs, so it is waited for until
// the claim is confirmed.
func (p *Pool) endUnreached(id string, now time.Time) {
	if _, pending := p.unreached[id]; pending && !p.confirmedAfter(now) {
		p.unreached[id], p.endedUnreached[id] = now, true
		return
	}
	p.forgetUnreached(id)
}

// removeHost removes an incarnation of a host that has certainly ended.
func (p *Pool) removeHost(id string, evidence Evidence, now, wall time.Time) {
	p.endUnreached(id, now)
	h := p.hosts[id]
	if h == nil {
		return
	}
	p.provePresumed(h, now, wall)
	p.loseRuns(h, evidence, now, wall)
	p.dropHost(id)
}

// dropHost forgets a host. Another incarnation may come back under its ID.
func (p *Pool) dropHost(id string) {
	delete(p.hosts, id)
	p.raiseFence()
}
