// Package sharemanager keeps this gateway's shares of the endpoints' slots and
// connections in step with those of the others. What is agreed stands in one
// record of the platform's store; docs/design/limits.md has the rules and why
// they are enough.
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

// Lease tells about this process's membership lease.
type Lease interface {
	// Valid reports whether the lease is certainly still held.
	Valid() bool
	// Failing reports whether the last try to keep it had no success.
	Failing() bool
	// Generation changes with each new lease, before Valid is true of it.
	Generation() uint64
}

// Usage is what this gateway uses at the endpoints.
type Usage interface {
	// WithinAllocation reports whether everything in use is at most what of allows.
	WithinAllocation(of func(service, host string) share.Allocation) bool
	// CloseIdle closes connections that carry no request.
	CloseIdle()
	// SetBorrowPolicy says from whom slots may be borrowed from now on, and OwesOnly
	// whether everything borrowed and in use is from one of them.
	SetBorrowPolicy(terms *limit.BorrowPolicy)
	LoansMatchPolicy() bool
}

// Prober asks other gateways.
type Prober interface {
	// Probe returns which process answers at the member's address and the
	// revision of the agreement that it has confirmed. It returns
	// *PeerEndedError when nothing listens there.
	Probe(ctx context.Context, m share.Member) (ProbeResult, error)
}

// Lenders are the gateways that slots can be borrowed from.
type Lenders interface {
	// CanBorrow reports whether any of them would lend to this gateway.
	CanBorrow(ctx context.Context) bool
}

// ProbeResult is what a gateway says of its shares.
type ProbeResult struct {
	Member   string
	Revision store.Revision
}

// NoShareRevision is the revision that a gateway confirms that has stopped using
// any share until it has read the agreement anew.
const NoShareRevision = store.Revision(math.MaxInt64)

// Config is what a Keeper is made of.
type Config struct {
	Self   member.Member
	Store  store.Store
	Feed   *configfeed.Feed
	Lease  Lease
	Prober Prober
	Usage  Usage
	// Lenders may be nil: then a gateway without a share is never ready.
	Lenders   Lenders
	Invariant *invariant.Checker
	Log       zerolog.Logger
	Registry  prometheus.Registerer
	// Interval is the pause between two rounds; zero means DefaultInterval.
	Interval time.Duration
}

// DefaultInterval is the pause between two rounds. A round without anything to
// do makes no call.
const DefaultInterval = 100 * time.Millisecond

const (
	// promiseLife is how long another gateway's answer lets this one hold on to
	// its share without a lease, from before it was asked.
	promiseLife = 3 * time.Second
	// holdInterval is the pause between two askings while the lease is lapsed.
	holdInterval = time.Second
	// goneWait is how long an address must refuse connections: a supervisor
	// restarts a lone listener in a fraction of it.
	goneWait = time.Second
	// escapeWait is how long the store must have been reachable from here, with
	// a quorum of gateways away from it, before they count as ended.
	escapeWait = time.Minute
	// yieldAfter is how long a gateway without a lease and a quorum waits to
	// learn the newer agreement before it gives up its shares.
	yieldAfter = 10 * time.Second
	// unreadyAfter is how long no share may be used before readiness fails: the
	// moment between a lapsed lease and the others' answers is no reason to.
	unreadyAfter = time.Second
)

// Manager follows the agreement and helps to move it on.
type Manager struct {
	Config
	metrics *metrics

	// inForce is the agreement and this member's shares under it.
	inForce atomic.Pointer[inForce]
	// confirmed is the newest agreement that all use here is within.
	confirmed atomic.Int64
	// verified is the lease generation under which the agreement was read.
	verified atomic.Uint64
	// holdUntil is until when the others' promises stand in for the lease.
	holdUntil atomic.Pointer[time.Time]
	// superseded is set when another gateway has confirmed a newer agreement
	// while the lease was lapsed; only reading the agreement anew clears it.
	superseded atomic.Bool
	left       atomic.Bool
	usableAt   atomic.Pointer[time.Time]
	// willingAt is from before others last said that they lend to this gateway.
	willingAt atomic.Pointer[time.Time]

	// Used by Serve alone.
	changedAt  time.Time
	wantedAt   time.Time
	heldAsked  time.Time
	lentAsked  time.Time
	listenedAt time.Time
	heard      map[string]heard
	unleasedAt map[string]time.Time
	// termsAt is the revision that the terms of borrowing are from.
	termsAt  store.Revision
	liveOf   *configstate.Snapshot
	liveLeft []string
	liveView share.View
}

type inForce struct {
	agreement share.Agreement
	table     *share.Table
}

// New returns a keeper whose shares are all zero until Serve has an agreement
// that this gateway is part of.
func New(config Config) *Manager {
	if config.Interval == 0 {
		config.Interval = DefaultInterval
	}
	k := &Manager{
		Config: config, metrics: newMetrics(config.Registry),
		heard: make(map[string]heard), unleasedAt: make(map[string]time.Time),
	}
	k.install(share.Agreement{})
	return k
}

// Allocation returns what this gateway may use of an endpoint right now.
func (k *Manager) Allocation(service, host string) share.Allocation {
	current := k.inForce.Load()
	if !k.usable() {
		return share.Allocation{}
	}
	return current.table.Allocation(service, host)
}

// ConfirmedRevision returns the revision of the agreement that everything in use here
// is within, for other gateways to ask.
func (k *Manager) ConfirmedRevision() int64 { return k.confirmed.Load() }

// Ready reports whether this gateway has shares that it may use, or others lend
// to it meanwhile.
func (k *Manager) Ready() bool {
	if !k.inForce.Load().agreement.Committed.Has(k.Self.ID) {
		return k.borrows()
	}
	return k.usable() || k.unusableFor() < unreadyAfter
}

// usable reports whether any share may be used. A process that was paused
// finds the lease lapsed on its monotonic clock and stops at once. One that
// holds a new lease since must first read the agreement: the others may have
// taken its share in between, and its snapshot may be as old as the pause.
func (k *Manager) usable() bool {
	if k.superseded.Load() || k.left.Load() {
		return false
	}
	// In this order: a lease that lapses and is granted anew between the two
	// shows another generation.
	if k.Lease.Valid() && k.Lease.Generation() == k.verified.Load() {
		return true
	}
	until := k.holdUntil.Load()
	return until != nil && time.Now().Before(*until)
}

// Serve follows the agreement until ctx ends.
func (k *Manager) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		_, changed := k.Feed.Current()
		k.round(ctx)
		timer := time.NewTimer(pause.Jitter(k.Interval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
	return ctx.Err()
}

func (k *Manager) round(ctx context.Context) {
	k.follow()
	k.verify(ctx)
	k.hold(ctx)
	k.seek(ctx)
	k.confirm()
	k.advance(ctx)
	now := time.Now()
	if k.usable() {
		k.usableAt.Store(&now)
	}
}

// install puts an agreement in force. The table is in force before anything is
// confirmed: an admission that read the one before has been counted by then.
func (k *Manager) install(a share.Agreement) {
	table := share.NewTable(&a, k.Self.ID)
	k.Invariant.Assert(invariant.SharesWithinLimit, share.WithinLimits(&a), func() string {
		return "the shares of an endpoint don't sum to its limit"
	})
	k.inForce.Store(&inForce{agreement: a, table: table})
	k.changedAt = time.Now()
	k.metrics.revision.Set(float64(a.Revision))
	k.metrics.slots.Set(float64(table.TotalSlots()))
	for id, h := range k.heard {
		if h.contact == share.Confirmed || h.contact == share.Unconfirmed {
			delete(k.heard, id)
		}
	}
}

// confirm tells the others that this gateway is within the agreement once what
// it uses has shrunk to that.
func (k *Manager) confirm() {
	current := k.inForce.Load()
	of := current.table.Allocation
	revision := current.agreement.Revision
	if k.superseded.Load() {
		of = nothing
		revision = NoShareRevision
	}
	if k.confirmed.Load() == int64(revision) {
		return
	}
	if k.termsAt != revision {
		k.setTerms(current)
		k.termsAt = revision
	}
	if !k.Usage.WithinAllocation(of) || !k.Usage.LoansMatchPolicy() {
		k.Usage.CloseIdle()
		return
	}
	k.confirmed.Store(int64(revision))
}

// setTerms lets slots be borrowed from the other members of the view that the
// gateways are on its way to, unless this one is leaving it. A lender that isn't
// may be dead, and its share taken over once everybody has confirmed that.
func (k *Manager) setTerms(current *inForce) {
	terms := &limit.BorrowPolicy{Lenders: make(map[string]bool)}
	target := current.agreement.Target()
	leaving := current.agreement.Committed.Has(k.Self.ID) && !target.Has(k.Self.ID)
	if !k.superseded.Load() && !leaving {
		for _, m := range target.Members {
			terms.Lenders[m.ID] = m.ID != k.Self.ID
		}
	}
	k.Usage.SetBorrowPolicy(terms)
}

// Member returns the member of the view that the gateways are on their way to,
// and whether there is one with that ID.
func (k *Manager) Member(id string) (share.Member, bool) {
	for _, m := range k.inForce.Load().agreement.Target().Members {
		if m.ID == id {
			return m, true
		}
	}
	return share.Member{}, false
}

// Peers returns the other members of that view.
func (k *Manager) Peers() []share.Member {
	var others []share.Member
	for _, m := range k.inForce.Load().agreement.Target().Members {
		if m.ID != k.Self.ID {
			others = append(others, m)
		}
	}
	return others
}

// LongestTimeout is the longest request timeout of all services in force.
func (k *Manager) LongestTimeout() time.Duration { return longestTimeout(k.Feed.Snapshot()) }

func nothing(string, string) share.Allocation { return share.Allocation{} }
