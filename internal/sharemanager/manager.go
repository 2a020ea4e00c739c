// Package sharemanager keeps this gateway's shares of the endpoints' slots and
// connections consistent with those of the other gateways. The agreement is one record
// in the platform's store; docs/design/limits.md has the rules and why they are
// sufficient.
package sharemanager

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/limit"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/share"
	"auburnglade.example/glade/internal/store"
)

// Lease reports the state of this process's membership lease.
type Lease interface {
	// LeaseValid reports whether the lease is certainly still held.
	LeaseValid() bool
	// Failing reports whether the last attempt to renew the lease failed.
	Failing() bool
	// Generation changes with each new lease, before LeaseValid returns true for it.
	Generation() uint64
}

// Usage controls and reports this gateway's use of the endpoints.
type Usage interface {
	// WithinAllocation reports whether everything in use is within what allocation returns
	// for each endpoint.
	WithinAllocation(allocation func(service, host string) share.Allocation) bool
	// CloseIdle closes connections that carry no request.
	CloseIdle()
	// SetBorrowPolicy sets the gateways from which slots may be borrowed from now on.
	// LoansMatchPolicy reports whether every borrowed slot in use is from one of them.
	SetBorrowPolicy(policy *limit.BorrowPolicy)
	LoansMatchPolicy() bool
}

// Prober probes other gateways.
type Prober interface {
	// Probe returns the ID of the process that responds at the member's address and the
	// revision of the agreement that it has confirmed. It returns *ConnectionRefusedError
	// if nothing listens there.
	Probe(ctx context.Context, m share.Member) (ProbeResult, error)
}

// Lenders are the gateways from which slots can be borrowed.
type Lenders interface {
	// CanBorrow reports whether any of them would lend to this gateway.
	CanBorrow(ctx context.Context) bool
}

// ProbeResult is a gateway's response about its shares.
type ProbeResult struct {
	Member   string
	Revision store.Revision
}

// NoShareRevision is the revision confirmed by a gateway that has stopped using any
// share until it has read the agreement again.
const NoShareRevision = store.Revision(math.MaxInt64)

// Config holds the dependencies and settings of a Manager.
type Config struct {
	Self   member.Member
	Store  store.Store
	Feed   *configfeed.Feed
	Lease  Lease
	Prober Prober
	Usage  Usage
	// Lenders may be nil, in which case a gateway without a share is never ready.
	Lenders   Lenders
	Invariant *invariant.Checker
	Log       zerolog.Logger
	Registry  prometheus.Registerer
	// Interval is the delay between two reconciles; zero means DefaultInterval.
	Interval time.Duration
}

// DefaultInterval is the delay between two reconciles. A reconcile without pending work
// makes no call.
const DefaultInterval = 100 * time.Millisecond

const (
	// promiseTTL is how long another gateway's response lets this one keep its share
	// without a lease, counted from before the probe was sent.
	promiseTTL = 3 * time.Second
	// promiseProbeInterval is the delay between two probes while the lease is expired.
	promiseProbeInterval = time.Second
	// minRefusalTime is how long an address must refuse connections. A supervisor restarts
	// a listener alone in a fraction of this time.
	minRefusalTime = time.Second
	// quorumLossTimeout is how long the store must have been reachable from here, while a
	// quorum of gateways was without a lease in it, before they count as ended.
	quorumLossTimeout = time.Minute
	// supersededTimeout is how long a gateway without a lease and a quorum waits to receive
	// the newer agreement before it releases its shares.
	supersededTimeout = 10 * time.Second
	// unreadyDelay is how long no share may be usable before readiness fails. The interval
	// between an expired lease and the others' responses must not make the gateway unready.
	unreadyDelay = time.Second
)

// Manager tracks the agreement on shares, applies it to this gateway and helps to
// advance it.
type Manager struct {
	Config
	metrics *metrics

	// active is the active agreement and this member's shares under it.
	active atomic.Pointer[activeAgreement]
	// confirmed is the revision of the newest agreement that all use in this process is
	// within.
	confirmed atomic.Int64
	// verifiedGeneration is the lease generation under which the agreement was last read.
	verifiedGeneration atomic.Uint64
	// promisedUntil is until when the others' promises replace the lease.
	promisedUntil atomic.Pointer[time.Time]
	// superseded is set when another gateway has confirmed a newer agreement while this
	// gateway had no lease. Only reading the agreement again clears it.
	superseded   atomic.Bool
	leaving      atomic.Bool
	lastUsableAt atomic.Pointer[time.Time]
	// canBorrowAt is the time just before the probe in which others last responded that
	// they lend to this gateway.
	canBorrowAt atomic.Pointer[time.Time]

	// The fields below are used by Serve only.
	agreementChangedAt time.Time
	stepPendingSince   time.Time
	promisesProbedAt   time.Time
	lendersProbedAt    time.Time
	membersProbedAt    time.Time
	memberStatuses     map[string]observedStatus
	unleasedSince      map[string]time.Time
	// borrowPolicyRevision is the agreement revision that the borrow policy was set from.
	borrowPolicyRevision store.Revision
	liveSnapshot         *configstate.Snapshot
	liveStopped          []string
	liveView             share.View
}

type activeAgreement struct {
	agreement share.Agreement
	table     *share.Table
}

// New returns a manager whose shares are all zero until Serve has an agreement that
// includes this gateway.
func New(config Config) *Manager {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	mgr := &Manager{
		Config: config, metrics: newMetrics(config.Registry),
		memberStatuses: make(map[string]observedStatus), unleasedSince: make(map[string]time.Time),
	}
	mgr.install(share.Agreement{})
	return mgr
}

// Allocation returns what this gateway may use of an endpoint at the moment.
func (mgr *Manager) Allocation(service, host string) share.Allocation {
	current := mgr.active.Load()
	if !mgr.sharesUsable() {
		return share.Allocation{}
	}
	return current.table.Allocation(service, host)
}

// ConfirmedRevision returns the revision of the agreement that everything in use here
// is within. Other gateways probe it.
func (mgr *Manager) ConfirmedRevision() int64 { return mgr.confirmed.Load() }

// Ready reports whether this gateway has shares that it may use, or can borrow from
// others in the meantime.
func (mgr *Manager) Ready() bool {
	if !mgr.active.Load().agreement.Committed.Has(mgr.Self.ID) {
		return mgr.canBorrow()
	}
	return mgr.sharesUsable() || mgr.unusableFor() < unreadyDelay
}

// sharesUsable reports whether any share may be used. After a pause, a process finds
// its lease expired on its monotonic clock and stops immediately. After it has been
// granted a new lease it must first read the agreement: the others may have taken its
// share in between, and its snapshot may be as old as the pause.
func (mgr *Manager) sharesUsable() bool {
	if mgr.superseded.Load() || mgr.leaving.Load() {
		return false
	}
	// The order matters: if a lease expires and is granted anew between the two calls, the
	// generation differs.
	if mgr.Lease.LeaseValid() && mgr.Lease.Generation() == mgr.verifiedGeneration.Load() {
		return true
	}
	until := mgr.promisedUntil.Load()
	return until != nil && time.Now().Before(*until)
}

// Serve reconciles the shares with the agreement until ctx ends.
func (mgr *Manager) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := mgr.Feed.Current()
		mgr.reconcile(ctx)
		timer := time.NewTimer(pause.Jitter(mgr.Interval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

func (mgr *Manager) reconcile(ctx context.Context) {
	mgr.applySnapshot()
	mgr.verifyNewLease(ctx)
	mgr.extendOnPromises(ctx)
	mgr.probeLenders(ctx)
	mgr.confirm()
	mgr.advance(ctx)
	now := time.Now()
	if mgr.sharesUsable() {
		mgr.lastUsableAt.Store(&now)
	}
}

// install activates an agreement. The table is active before anything is confirmed, so
// an admission that used the previous table has been counted by then.
func (mgr *Manager) install(a share.Agreement) {
	table := share.NewTable(&a, mgr.Self.ID)
	mgr.Invariant.Assert(invariant.SharesWithinLimit, share.WithinLimits(&a), func() string {
		return "the shares of an endpoint don't sum to its limit"
	})
	mgr.active.Store(&activeAgreement{agreement: a, table: table})
	mgr.agreementChangedAt = time.Now()
	mgr.metrics.revision.Set(float64(a.Revision))
	mgr.metrics.slots.Set(float64(table.TotalSlots()))
	for id, h := range mgr.memberStatuses {
		if h.status == share.Confirmed || h.status == share.Unconfirmed {
			delete(mgr.memberStatuses, id)
		}
	}
}

// confirm publishes that this gateway is within the active agreement, once its use has
// shrunk to that.
func (mgr *Manager) confirm() {
	current := mgr.active.Load()
	allocation := current.table.Allocation
	revision := current.agreement.Revision
	if mgr.superseded.Load() {
		allocation = zeroAllocation
		revision = NoShareRevision
	}
	if mgr.confirmed.Load() == int64(revision) {
		return
	}
	if mgr.borrowPolicyRevision != revision {
		mgr.updateBorrowPolicy(current)
		mgr.borrowPolicyRevision = revision
	}
	if !mgr.Usage.WithinAllocation(allocation) || !mgr.Usage.LoansMatchPolicy() {
		mgr.Usage.CloseIdle()
		return
	}
	mgr.confirmed.Store(int64(revision))
}

// updateBorrowPolicy allows slots to be borrowed from the other members of the target
// view, unless this gateway is leaving that view. A lender outside the view may have
// ended, and its share is taken over once every member has confirmed.
func (mgr *Manager) updateBorrowPolicy(current *activeAgreement) {
	policy := &limit.BorrowPolicy{Lenders: make(map[string]bool)}
	target := current.agreement.Target()
	leaving := current.agreement.Committed.Has(mgr.Self.ID) && !target.Has(mgr.Self.ID)
	if !mgr.superseded.Load() && !leaving {
		for _, m := range target.Members {
			policy.Lenders[m.ID] = m.ID != mgr.Self.ID
		}
	}
	mgr.Usage.SetBorrowPolicy(policy)
}

// Member returns the member of the target view with the given ID, and whether there is
// one.
func (mgr *Manager) Member(id string) (share.Member, bool) {
	for _, m := range mgr.active.Load().agreement.Target().Members {
		if m.ID == id {
			return m, true
		}
	}
	return share.Member{}, false
}

// Peers returns the other members of the target view.
func (mgr *Manager) Peers() []share.Member {
	var peers []share.Member
	for _, m := range mgr.active.Load().agreement.Target().Members {
		if m.ID != mgr.Self.ID {
			peers = append(peers, m)
		}
	}
	return peers
}

// LongestTimeout returns the longest request timeout of all active services.
func (mgr *Manager) LongestTimeout() time.Duration { return longestTimeout(mgr.Feed.Snapshot()) }

func zeroAllocation(string, string) share.Allocation { return share.Allocation{} }
