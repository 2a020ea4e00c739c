// Package cluster keeps a process's membership in the store and shares the
// pools out among the processes that live. A pool is claimed by a key under
// its holder's lease, so that a dead holder's claim ends by itself; what makes
// a takeover safe is the pool's head (package ledger) and the fence that the
// hosts check.
package cluster

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/listwatch"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

const (
	// leaseTTL is how long the store waits for a renewal before it lets a
	// process's claims end; a pool without a holder stands still as long.
	leaseTTL = 2200 * time.Millisecond
	// renewEvery leaves room for three lost renewals.
	renewEvery = 500 * time.Millisecond
	// retryPause is the pause after a call that failed.
	retryPause = 150 * time.Millisecond
	// watchPause is the least time between two watches.
	watchPause = 20 * time.Millisecond
	// settleWork divided by a process's share of a core is how long it waits
	// after it has joined before its first claim, so that those that start
	// together share the pools by what they have: 0.4 s for 0.4 of a core. With
	// the same wait for all, a weak process that was up first took pools that
	// it couldn't carry while the strong ones were still joining.
	settleWork = 160 * time.Millisecond
	// longestSettle bounds that wait: a weak process may be the only one left.
	longestSettle = 900 * time.Millisecond
	// rankPause is how much longer each next candidate waits for a pool
	// without a holder, so that one of them tries at a time.
	rankPause  = 350 * time.Millisecond
	electEvery = 50 * time.Millisecond
	// leastShare stands in for a share that isn't known, in cores.
	leastShare = 0.1
)

// Member is one live process.
type Member struct {
	Node string `json:"n"`
	// Incarnation tells apart two lives of a node.
	Incarnation string `json:"s"`
	Address     string `json:"a"`
	Zone        string `json:"z"`
	// CPUShare is how much of a core the process has; pools go to those that have
	// most.
	CPUShare float64 `json:"c"`
	// Carries: it makes calls to hosts for holders elsewhere, which processes of
	// the version before can't.
	Carries bool `json:"k,omitempty"`
	// Leaving: it takes no more pools.
	Leaving bool `json:"l,omitempty"`
}

// heldClaim is a claim as the store has it.
type heldClaim struct {
	Claim
	revision store.Revision
}

// HolderID is how a member is named in a pool's head.
func (m Member) HolderID() string { return m.Node + "/" + m.Incarnation }

// Claim says who holds a pool.
type Claim struct {
	Member
	Fence int64 `json:"f"`
}

// HeldPool is a pool held by this process.
type HeldPool interface {
	// ConfirmClaim notes that the store shows this process as the holder.
	ConfirmClaim()
	// RestoreClaim asks for the claim to be written again under a lease.
	RestoreClaim(lease store.LeaseID)
}

// Takeover is a pool that this process has just claimed.
type Takeover struct {
	Pool string
	// Head is the pool's head as this process wrote it; its Roster is still
	// the earlier holder's.
	Head     poolstore.Head
	Revision store.Revision
	Lease    store.LeaseID
	Claim    []byte
	// PreviousStopped: the earlier holder has certainly ended or given the pool up, so
	// nobody renews holds any more.
	PreviousStopped bool
}

// Config is what a Cluster needs.
type Config struct {
	Store store.Transactor
	Self  Member
	// Pools are the pools that should have a holder.
	Pools func() []string
	// StartPool starts to keep a pool that was claimed. The pool counts as held
	// until Dropped is called.
	StartPool func(Takeover) HeldPool
	Log       zerolog.Logger
}

// Cluster is a process's part in the membership.
type Cluster struct {
	Config
	joined time.Time

	mu      sync.Mutex
	lease   store.LeaseID
	members map[string]Member
	claims  map[string]heldClaim
	// since is when a pool was first seen without a holder.
	since map[string]time.Time
	kept  map[string]HeldPool
	// seen is when the store last told us of members and claims.
	seen    time.Time
	leaving bool
}

// New returns a cluster of this process alone.
func New(config Config) *Cluster {
	return &Cluster{
		Config: config, members: make(map[string]Member), claims: make(map[string]heldClaim),
		since: make(map[string]time.Time), kept: make(map[string]HeldPool),
	}
}

// settle is how long this process waits before its first claim.
func (c *Cluster) settle() time.Duration {
	wait := time.Duration(float64(settleWork) / max(c.Self.CPUShare, leastShare))
	return min(wait, longestSettle)
}

// Run takes part until ctx ends.
func (c *Cluster) Run(ctx context.Context) error {
	c.joined = time.Now()
	go c.watch(ctx)
	go c.elect(ctx)
	c.renew(ctx)
	return ctx.Err()
}

// Holder returns who holds a pool.
func (c *Cluster) Holder(pool string) (Claim, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.claims[pool]
	return claim.Claim, ok
}

// Members returns the other live members, in order of their names.
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

// Peer is another live member, with how many claims it holds.
type Peer struct {
	Member
	ClaimCount int
}

// Peers returns the other live members that don't leave, in order of their
// names.
func (c *Cluster) Peers() []Peer {
	members := c.Members()
	c.mu.Lock()
	defer c.mu.Unlock()
	holds := make(map[string]int, len(c.claims))
	for _, claim := range c.claims {
		holds[claim.HolderID()]++
	}
	peers := make([]Peer, 0, len(members))
	for _, m := range members {
		if !m.Leaving {
			peers = append(peers, Peer{m, holds[m.HolderID()]})
		}
	}
	return peers
}

// PoolReleased notes that a pool is no longer kept by this process.
func (c *Cluster) PoolReleased(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.kept, pool)
	if claim, ok := c.claims[pool]; ok && claim.HolderID() == c.Self.HolderID() {
		delete(c.claims, pool)
		c.since[pool] = time.Now()
	}
}

// Leave tells the others to count on this process no more.
func (c *Cluster) Leave(ctx context.Context) {
	c.mu.Lock()
	c.leaving = true
	lease := c.lease
	c.mu.Unlock()
	if err := c.register(ctx, lease); err != nil {
		c.Log.Warn().Err(err).Msg("Could not say that this process leaves.")
	}
}

// renew keeps the lease alive, and gets a new one when it has ended.
func (c *Cluster) renew(ctx context.Context) {
	for ctx.Err() == nil {
		lease := c.currentLease()
		var err error
		if lease == 0 {
			err = c.join(ctx)
		} else {
			err = c.keepAlive(ctx, lease)
		}
		if err != nil {
			pause.For(ctx, pause.Jitter(retryPause))
			continue
		}
		pause.For(ctx, pause.Jitter(renewEvery))
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
		c.Log.Warn().Int64("lease", int64(lease)).Msg("The lease has ended.")
		c.setLease(0)
	}
	return err
}

func (c *Cluster) setLease(lease store.LeaseID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lease = lease
}

// join gets a lease and writes this process's record under it.
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

func (c *Cluster) register(ctx context.Context, lease store.LeaseID) error {
	self := c.Self
	c.mu.Lock()
	self.Leaving = c.leaving
	c.mu.Unlock()
	_, err := c.Store.Commit(ctx, store.Txn{Puts: []store.Put{{Key: poolstore.MemberPrefix + c.Self.Node, Value: encode(self), Lease: lease}}})
	return err
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		// Structs of numbers and strings always encode.
		panic(err)
	}
	return data
}

// watch follows members and claims.
func (c *Cluster) watch(ctx context.Context) {
	f := listwatch.Watcher{
		Store: c.Store, Prefix: poolstore.EphemeralPrefix, MinInterval: watchPause, RelistOnError: true,
		OnList: c.listed, OnEvents: c.changed, OnAvailability: c.turned,
	}
	f.Run(ctx)
}

func (c *Cluster) turned(cause error) {
	if cause != nil {
		c.Log.Warn().Err(cause).Msg("Lost the store.")
		return
	}
	c.Log.Info().Msg("The store is back.")
}

func (c *Cluster) listed(entries []store.Entry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.members)
	clear(c.claims)
	for _, entry := range entries {
		c.takeLocked(store.Event{Entry: entry})
	}
	c.seenLocked()
}

func (c *Cluster) changed(events []store.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range events {
		c.takeLocked(event)
	}
	c.seenLocked()
}

func (c *Cluster) takeLocked(event store.Event) {
	if node, ok := strings.CutPrefix(event.Entry.Key, poolstore.MemberPrefix); ok {
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
		return
	}
	c.claims[pool] = heldClaim{claim, event.Entry.ModRevision}
}

// deadLocked reports whether a claim's holder has certainly ended: its node
// runs anew. Its lease may go on for two seconds, for which the pool would
// stand still.
func (c *Cluster) deadLocked(claim heldClaim) bool {
	m, ok := c.members[claim.Node]
	return ok && m.HolderID() != claim.HolderID()
}

// seenLocked draws what follows from the newest view: kept pools are
// confirmed, and a claim of ours that vanished is written again.
func (c *Cluster) seenLocked() {
	c.seen = time.Now()
	for pool, kept := range c.kept {
		claim, ok := c.claims[pool]
		switch {
		case ok && claim.HolderID() == c.Self.HolderID():
			go kept.ConfirmClaim()
		case !ok && c.lease != 0:
			go kept.RestoreClaim(c.lease)
		}
	}
	for pool, claim := range c.claims {
		if !c.deadLocked(claim) {
			delete(c.since, pool)
		}
	}
}
