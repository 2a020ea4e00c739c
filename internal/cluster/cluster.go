// Package cluster maintains a process's membership in the store and distributes the
// pools among the running processes. A pool is claimed by a key under its holder's
// lease, so that the claim of a failed holder expires by itself. What makes a
// takeover safe is the pool's head (package poolstore) and the fencing token that
// the hosts check.
package cluster

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/elapsed"
	"auburnglade.example/glade/internal/listwatch"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storeaccess"
)

const (
	// leaseTTL is how long the store waits for a renewal before a process's claims
	// expire. A pool without a holder makes no progress for as long.
	leaseTTL = 2200 * time.Millisecond
	// renewInterval allows for three lost renewals within leaseTTL.
	renewInterval = 500 * time.Millisecond
	// retryInterval is the pause after a failed call.
	retryInterval = 150 * time.Millisecond
	// minWatchInterval is the minimum time between two watches of a relay or holder,
	// followInterval that of all others: while all start at once, each change would
	// otherwise cost as many calls as there are entry hosts.
	minWatchInterval = 20 * time.Millisecond
	followInterval   = 100 * time.Millisecond
	// claimDelayWork divided by a process's share of a core is how long it waits
	// after it has started before its first claim, so that processes that start
	// together get pools according to their CPU shares: 0.4 s for 0.4 of a core.
	// With the same wait for all, a slow process that was up first took pools that
	// it couldn't manage while the fast ones were still joining.
	claimDelayWork = 160 * time.Millisecond
	// maxClaimDelay limits that wait: a slow process may be the only one left.
	maxClaimDelay = 900 * time.Millisecond
	// rankDelay is how much longer each next candidate waits before it claims a
	// pool without a holder, so that one of them tries at a time.
	rankDelay     = 350 * time.Millisecond
	electInterval = 50 * time.Millisecond
	// minCPUShare is the lower bound for CPU shares, and stands in for an unknown
	// one, in cores.
	minCPUShare = 0.1
)

// Member is one running process.
type Member struct {
	Node string `json:"n"`
	// Incarnation distinguishes the runs of a node's process.
	Incarnation string `json:"s"`
	Address     string `json:"a"`
	Zone        string `json:"z"`
	// CPUShare is how much of a core the process has. The more it has, the more
	// pools it gets.
	CPUShare float64 `json:"c"`
	// CanCarry is set if the process makes calls to hosts for holders on other
	// nodes. Processes of versions without this field can't.
	CanCarry bool `json:"k,omitempty"`
	// CanRelay is set if the process serves other nodes in place of the store.
	// Processes of versions without this field don't.
	CanRelay bool `json:"r,omitempty"`
	// LinkMbps is the bandwidth of the node's network link in Mbit/s, zero if unknown.
	LinkMbps float64 `json:"m,omitempty"`
	// Draining is set if the process is leaving (see Leave): it takes over no more
	// pools.
	Draining bool `json:"l,omitempty"`
}

// storedClaim is a claim with its revision in the store.
type storedClaim struct {
	Claim
	revision store.Revision
}

// HolderID is the member's ID in a pool's head.
func (m Member) HolderID() string { return m.Node + "/" + m.Incarnation }

// Claim is the record of a pool's holder.
type Claim struct {
	Member
	Fence int64 `json:"f"`
}

// HeldPool is a pool held by this process.
type HeldPool interface {
	// ConfirmClaim records that no other process had taken over the pool at the moment
	// at.
	ConfirmClaim(at time.Time)
	// RestoreClaim writes the claim again under a lease.
	RestoreClaim(lease store.LeaseID)
	// ClaimLost records that the store showed a claim of another process with a higher
	// fence.
	ClaimLost()
}

// heldPool is a HeldPool with the fence of its claim.
type heldPool struct {
	HeldPool
	fence int64
}

// Takeover is a pool that this process has just claimed.
type Takeover struct {
	Pool string
	// Head is the pool's head as this process wrote it. Its HostsInUse are still
	// those of the previous holder.
	Head     poolstore.Head
	Revision store.Revision
	Lease    store.LeaseID
	Claim    []byte
	// RequestedAt is when the claim was requested that the store has taken.
	RequestedAt time.Time
	// PreviousStopped is set if the previous holder has certainly ended or has
	// released the pool, so that it renews no more leases on runs.
	PreviousStopped bool
}

// Config configures a Cluster.
type Config struct {
	Store store.Transactor
	Self  Member
	// Pools returns the pools that should have a holder.
	Pools func() []string
	// StartPool starts to manage a pool that was claimed. The pool counts as held
	// until PoolReleased is called.
	StartPool func(Takeover) HeldPool
	Log       zerolog.Logger
}

// Cluster is a process's view of the members and of the pools' claims.
type Cluster struct {
	Config
	startedAt time.Time

	mu      sync.Mutex
	lease   store.LeaseID
	members map[string]Member
	claims  map[string]storedClaim
	// withoutHolderSince is when a pool was first seen without a holder.
	withoutHolderSince map[string]time.Time
	held               map[string]heldPool
	// lastFence is the fence with which a manager of a pool was last started here.
	lastFence map[string]int64
	// route is the route to the store that follows from members and claims, nil when
	// these have changed since.
	route *storeaccess.Route
	// updatedAt is the latest moment whose members and claims the store has shown,
	// continuousSince when it last did so after a gap.
	updatedAt, continuousSince time.Time
	// unclaimedSince is when the claim of a pool was last seen to end.
	unclaimedSince map[string]time.Time
	leaving        bool
	// recordRevision is that of the stored record of this node's process, as far as is
	// known, registeredAt when this process last wrote it.
	recordRevision store.Revision
	registeredAt   time.Time
}

// New returns a Cluster whose only known member is this process.
func New(config Config) *Cluster {
	return &Cluster{
		Config: config, members: make(map[string]Member), claims: make(map[string]storedClaim),
		withoutHolderSince: make(map[string]time.Time), held: make(map[string]heldPool), lastFence: make(map[string]int64),
		unclaimedSince: make(map[string]time.Time),
	}
}

// claimDelay is how long this process waits before its first claim.
func (c *Cluster) claimDelay() time.Duration {
	wait := time.Duration(float64(claimDelayWork) / max(c.Self.CPUShare, minCPUShare))
	return min(wait, maxClaimDelay)
}

// Run maintains the membership and claims pools until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	c.startedAt = time.Now()
	go c.watch(ctx)
	go c.elect(ctx)
	c.renew(ctx)
	return ctx.Err()
}

// Holder returns the claim of a pool's holder.
func (c *Cluster) Holder(pool string) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.claims[pool]
	return claim.Claim, ok
}

// UnheldFor returns for how long a pool has had no claim, at the least; zero if it has one or
// that is not known.
func (c *Cluster) UnheldFor(pool string) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if _, claimed := c.claims[pool]; claimed || c.updatedAt.IsZero() || elapsed.Between(c.updatedAt, now) > leaseTTL {
		return 0
	}
	return min(now.Sub(c.continuousSince), now.Sub(c.unclaimedSince[pool]))
}

// Members returns the other running members, sorted by node.
func (c *Cluster) Members() []Member {
	c.mu.Lock()
	defer c.mu.Unlock()
	var others []Member
	for _, m := range c.members {
		if m.HolderID() != c.Self.HolderID() {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(a, b Member) int { return strings.Compare(a.Node, b.Node) })
	return others
}

// Peer is another running member, with the number of claims that it holds.
type Peer struct {
	Member
	ClaimCount int
}

// Peers returns the other running members that aren't draining, sorted by node.
func (c *Cluster) Peers() []Peer {
	members := c.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := c.claimCountsLocked()
	peers := make([]Peer, 0, len(members))
	for _, m := range members {
		if !m.Draining {
			peers = append(peers, Peer{m, counts[m.HolderID()]})
		}
	}
	return peers
}

// Route returns how this process reaches the store, given the members that it knows.
func (c *Cluster) Route() storeaccess.Route {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.route == nil {
		route := storeaccess.PlanRoute(c.Self.Node, c.nodesLocked())
		c.route = &route
	}
	route := *c.route
	if len(c.held) > 0 {
		route.Direct, route.HoldsClaims = true, true
	}
	return route
}

func (c *Cluster) nodesLocked() []storeaccess.Node {
	counts := c.claimCountsLocked()
	nodes := make([]storeaccess.Node, 0, len(c.members)+1)
	for _, m := range c.members {
		if m.Node != c.Self.Node {
			nodes = append(nodes, relayNode(m, counts))
		}
	}
	return append(nodes, relayNode(c.Self, counts))
}

func relayNode(m Member, claims map[string]int) storeaccess.Node {
	return storeaccess.Node{
		Name: m.Node, Address: m.Address, Zone: m.Zone, CPUShare: m.CPUShare, LinkMbps: m.LinkMbps, Claims: claims[m.HolderID()], CanRelay: m.CanRelay && !m.Draining,
	}
}

func (c *Cluster) claimCountsLocked() map[string]int {
	counts := make(map[string]int, len(c.claims))
	for _, claim := range c.claims {
		counts[claim.HolderID()]++
	}
	return counts
}

// PoolReleased records that this process no longer manages a pool.
func (c *Cluster) PoolReleased(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.held, pool)
	if claim, ok := c.claims[pool]; ok && claim.HolderID() == c.Self.HolderID() {
		delete(c.claims, pool)
		c.withoutHolderSince[pool], c.unclaimedSince[pool] = time.Now(), time.Now()
	}
}

// Leave announces to the other members that this process is leaving.
func (c *Cluster) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	lease := c.lease
	c.mu.Unlock()
	if err := c.register(ctx, lease); err != nil {
		c.Log.Warn().Err(err).Msg("Failed to announce that this process is leaving.")
	}
}

// renew renews the lease, and gets a new one when it has expired.
func (c *Cluster) renew(ctx context.Context) {
	for ctx.Err() == nil {
		lease := c.currentLease()
		var err error
		if lease == 0 {
			err = c.join(ctx)
		} else {
			err = c.keepAlive(ctx, lease)
		}
		if err == nil && lease != 0 {
			err = c.restoreRecord(ctx, lease)
		}
		if err != nil {
			pause.For(ctx, pause.Jitter(retryInterval))
			continue
		}
		pause.For(ctx, pause.Jitter(renewInterval))
	}
}

func (c *Cluster) currentLease() store.LeaseID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lease
}

func (c *Cluster) keepAlive(ctx context.Context, lease store.LeaseID) error {
	_, err := c.Store.KeepAlive(ctx, lease)
	if store.IsLeaseExpired(err) {
		c.Log.Warn().Int64("lease", int64(lease)).Msg("Lease expired.")
		c.setLease(0)
	}
	return err
}

func (c *Cluster) setLease(lease store.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = lease
}

// join gets a lease and writes this process's member record under it.
func (c *Cluster) join(ctx context.Context) error {
	lease, err := c.Store.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	if err := c.register(ctx, lease.ID); err != nil {
		return err
	}
	c.setLease(lease.ID)
	c.Log.Info().Int64("lease", int64(lease.ID)).Msg("Joined.")
	return nil
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// Structs of numbers and strings always encode.
		panic(err)
	}
	return data
}

// watch watches members and claims.
func (c *Cluster) watch(ctx context.Context) {
	c.findRelays(ctx)
	w := listwatch.Watcher{
		Store: c.Store, Prefix: poolstore.EphemeralPrefix, Interval: c.watchInterval, RelistOnError: true,
		OnList: c.applyList, OnEvents: c.applyEvents, OnCurrent: c.current, OnAvailability: c.availabilityChanged,
	}
	w.Run(ctx)
}

func (c *Cluster) watchInterval() time.Duration {
	if c.Route().Direct {
		return minWatchInterval
	}
	return followInterval
}

// findRelays reads the members of this process's zone, so that it can read all others from
// a relay. When all processes start at once, lists of all members from the store alone
// would fill its link.
func (c *Cluster) findRelays(ctx context.Context) {
	listing, err := c.Store.List(ctx, poolstore.ZonePrefix(c.Self.Zone))
	if err != nil {
		c.Log.Warn().Err(err).Msg("Failed to list the members of the zone; all are read from the store.")
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, entry := range listing.Entries {
		c.applyLocked(store.Event{Entry: entry})
	}
}

func (c *Cluster) availabilityChanged(cause error) {
	if cause != nil {
		c.Log.Warn().Err(cause).Msg("Store unavailable.")
		return
	}
	c.Log.Info().Msg("Store available again.")
}

func (c *Cluster) applyList(entries []store.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.members)
	for pool := range c.claims {
		c.unclaimedSince[pool] = time.Now()
	}
	clear(c.claims)
	c.route = nil
	for _, entry := range entries {
		c.applyLocked(store.Event{Entry: entry})
	}
}

func (c *Cluster) applyEvents(events []store.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		c.applyLocked(event)
	}
}

func (c *Cluster) applyLocked(event store.Event) {
	c.route = nil
	if node, ok := poolstore.ParseMemberKey(event.Entry.Key); ok {
		var m Member
		if event.Deleted || json.Unmarshal(event.Entry.Value, &m) != nil {
			delete(c.members, node)
			return
		}
		c.members[node] = m
		return
	}
	pool := strings.TrimPrefix(event.Entry.Key, poolstore.ClaimPrefix)
	var claim Claim
	if event.Deleted || json.Unmarshal(event.Entry.Value, &claim) != nil {
		delete(c.claims, pool)
		c.unclaimedSince[pool] = time.Now()
		return
	}
	c.claims[pool] = storedClaim{claim, event.Entry.ModRevision}
}

// holderEndedLocked reports whether a claim's holder has certainly ended, since its
// node runs with another incarnation. Without this check, the pool would make no
// progress until its lease expires, which may take two seconds.
func (c *Cluster) holderEndedLocked(claim storedClaim) bool {
	m, ok := c.members[claim.Node]
	return ok && m.HolderID() != claim.HolderID()
}

// current reacts to the members and claims up to the moment at: it confirms the claims
// of held pools, tells those that were replaced, and restores a claim of this process that
// vanished.
func (c *Cluster) current(at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if at.After(c.updatedAt) {
		if c.updatedAt.IsZero() || elapsed.Between(c.updatedAt, at) > leaseTTL {
			c.continuousSince = time.Now()
		}
		c.updatedAt = at
	}
	for pool, held := range c.held {
		claim, ok := c.claims[pool]
		switch {
		case ok && claim.HolderID() == c.Self.HolderID():
			go held.ConfirmClaim(at)
		case ok && claim.Fence > held.fence:
			go held.ClaimLost()
		case !ok && c.lease != 0:
			go held.RestoreClaim(c.lease)
		}
	}
	for pool, claim := range c.claims {
		if !c.holderEndedLocked(claim) {
			delete(c.withoutHolderSince, pool)
		}
	}
}
