package cluster

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/elapsed"
	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

// elect claims pools without a holder.
func (c *Cluster) elect(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, electInterval)
		if time.Since(c.startedAt) < c.claimDelay() {
			continue
		}
		for _, pool := range c.Pools() {
			if basis, ok := c.mayClaim(pool); ok {
				c.claim(ctx, pool, basis)
			}
			if c.orphaned(pool) {
				c.adopt(ctx, pool)
			}
		}
	}
}

// orphaned reports whether the store shows this process as the holder of a pool
// that it doesn't manage: the response to its claim was lost.
func (c *Cluster) orphaned(pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.claims[pool]
	return ok && claim.HolderID() == c.Self.HolderID() && !c.holdsLocked(pool) && !c.leaving
}

// adopt starts to manage a pool whose claim by this process got no response. A claim
// that an earlier manager in this process has already used is released instead,
// since its fencing token must not be used twice.
func (c *Cluster) adopt(ctx context.Context, pool string) {
	requestedAt := time.Now()
	head, revision, err := poolstore.ReadHead(ctx, c.Store, pool)
	if err != nil {
		c.Log.Warn().Err(err).Str("pool", pool).Msg("Failed to read the pool's head.")
		return
	}
	claim, _ := c.Holder(pool)
	if head.Holder == c.Self.HolderID() && head.Fence == claim.Fence && head.Sequence == 0 && !c.used(pool, head.Fence) {
		c.Log.Info().Str("pool", pool).Int64("fence", head.Fence).Msg("A claim without a response was written.")
		c.runPool(Takeover{Pool: pool, Head: head, Revision: revision, Lease: c.currentLease(), Claim: encode(claim), RequestedAt: requestedAt})
		return
	}
	_, err = c.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(pool), Expect: revision}},
		Deletes:    []string{poolstore.ClaimKey(pool)},
	})
	c.Log.Info().AnErr("cause", err).Str("pool", pool).Msg("Released a claim without a pool manager.")
	c.PoolReleased(pool)
}

// used reports whether a manager in this process was started with a fence of a pool.
func (c *Cluster) used(pool string, fence int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastFence[pool] == fence
}

func (c *Cluster) runPool(takeover Takeover) {
	held := c.StartPool(takeover)
	c.mu.Lock()
	c.held[takeover.Pool] = heldPool{held, takeover.Head.Fence}
	c.lastFence[takeover.Pool] = takeover.Head.Fence
	c.mu.Unlock()
}

func (c *Cluster) holdsLocked(pool string) bool {
	_, held := c.held[pool]
	return held
}

// claimBasis is what a claim of a pool depends on.
type claimBasis struct {
	lease store.LeaseID
	// replaced is the revision of the claim to be replaced, zero for none.
	replaced store.Revision
}

// mayClaim reports whether this process may claim a pool now.
func (c *Cluster) mayClaim(pool string) (basis claimBasis, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, claimed := c.claims[pool]
	claimed = claimed && !c.holderEndedLocked(claim)
	if claimed || c.leaving || c.lease == 0 || c.holdsLocked(pool) || elapsed.Between(c.updatedAt, time.Now()) > leaseTTL {
		return claimBasis{}, false
	}
	if c.withoutHolderSince[pool].IsZero() {
		c.withoutHolderSince[pool] = time.Now()
	}
	rank := c.rankLocked(pool)
	if rank < 0 || time.Since(c.withoutHolderSince[pool]) < time.Duration(rank)*rankDelay {
		return claimBasis{}, false
	}
	return claimBasis{c.lease, claim.revision}, true
}

// rankLocked returns this process's rank among the candidates for a pool. The one
// that would hold the fewest claims for its CPU share ranks first. It is -1 for a
// process that isn't listed.
func (c *Cluster) rankLocked(pool string) int {
	held := make(map[string]int)
	for _, claim := range c.claims {
		if !c.holderEndedLocked(claim) {
			held[claim.Node]++
		}
	}
	var candidates []Member
	for _, m := range c.members {
		if !m.Draining {
			candidates = append(candidates, m)
		}
	}
	hash := func(m Member) uint64 { return xxhash.Sum64String(pool + "\x00" + m.Node) }
	load := func(m Member) float64 { return float64(held[m.Node]+1) / max(m.CPUShare, minCPUShare) }
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(load(a), load(b)), cmp.Compare(hash(a), hash(b)))
	})
	return slices.IndexFunc(candidates, func(m Member) bool { return m.HolderID() == c.Self.HolderID() })
}

// claim tries to take over a pool. It succeeds only if the claim is still the one
// whose holder has ended, or there is none: while the head is read from a slow
// store, another process may claim the pool and the watch may show it. Replacing
// that claim took the pool from a running holder, and the tasks found running waited
// for the leases of hosts that did not answer.
func (c *Cluster) claim(ctx context.Context, pool string, basis claimBasis) {
	before, revision, err := poolstore.ReadHead(ctx, c.Store, pool)
	if err != nil {
		c.Log.Warn().Err(err).Str("pool", pool).Msg("Failed to read the pool's head.")
		return
	}
	c.claimWithHead(ctx, pool, basis, before, revision)
}

// claimWithHead claims a pool with a known head. It tries again without the claim to
// be replaced if that one expired meanwhile: with a slow store, the claims of all
// candidates failed for this reason, and each waited for the next one, two seconds
// in all.
func (c *Cluster) claimWithHead(ctx context.Context, pool string, basis claimBasis, before poolstore.Head, revision store.Revision) {
	head := before.Succeed(c.Self.HolderID())
	claim := encode(Claim{c.Self, head.Fence})
	requestedAt := time.Now()
	taken, err := c.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(pool), Expect: revision}, {Key: poolstore.ClaimKey(pool), Expect: basis.replaced}},
		Puts: []store.Put{
			{Key: poolstore.HeadKey(pool), Value: head.Encode()},
			{Key: poolstore.FenceKey(pool), Value: poolstore.Head{Fence: head.Fence, Holder: head.Holder}.Encode()},
			{Key: poolstore.ClaimKey(pool), Value: claim, Lease: basis.lease},
		},
	})
	if conflict, ok := err.(*store.TxnConflictError); ok && basis.replaced != 0 &&
		conflict.Find(poolstore.HeadKey(pool)).ModRevision == revision && conflict.Find(poolstore.ClaimKey(pool)).ModRevision == 0 {
		c.claimWithHead(ctx, pool, claimBasis{lease: basis.lease}, before, revision)
		return
	}
	if err != nil {
		// If the claim was written nonetheless, it shows in the watch and is found
		// by adopt, or it expires with the lease.
		c.Log.Info().Err(err).Str("pool", pool).Msg("Failed to claim the pool.")
		c.learnClaim(pool, err)
		c.postpone(pool)
		return
	}
	takeover := Takeover{Pool: pool, Head: head, Revision: taken, Lease: basis.lease, Claim: claim, RequestedAt: requestedAt, PreviousStopped: c.previousStopped(before)}
	c.mu.Lock()
	c.claims[pool] = storedClaim{Claim{c.Self, head.Fence}, taken}
	c.mu.Unlock()
	c.runPool(takeover)
}

// learnClaim records the claim that a failed commit has found. A claim of this process whose
// manager has stopped by itself is in the store and no longer known here, and no event tells
// of it again: without this, every later claim fails for it. Once known, adopt releases it.
func (c *Cluster) learnClaim(pool string, failed error) {
	conflict, ok := failed.(*store.TxnConflictError)
	if !ok {
		return
	}
	if entry := conflict.Find(poolstore.ClaimKey(pool)); entry.ModRevision != 0 {
		c.applyEvents([]store.Event{{Entry: entry}})
	}
}

// postpone lets the next candidate try first.
func (c *Cluster) postpone(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.withoutHolderSince[pool] = time.Now()
}

// previousStopped reports whether the holder named by a head starts no more tasks:
// it has released the pool, or its node has restarted.
func (c *Cluster) previousStopped(before poolstore.Head) bool {
	if before.Holder == "" {
		return true
	}
	if before.Released {
		// The release is a commit itself.
		return before.Sequence > 1
	}
	node, _, _ := strings.Cut(before.Holder, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[node]
	// One that has stored nothing may not have reached the hosts of the one before it.
	return ok && m.HolderID() != before.Holder && before.Sequence > 0
}
