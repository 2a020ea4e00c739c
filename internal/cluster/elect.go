package cluster

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
)

// elect claims pools without a holder.
func (c *Cluster) elect(ctx context.Context) {
	for ctx.Err() == nil {
		pause.For(ctx, electEvery)
		if time.Since(c.joined) < c.settle() {
			continue
		}
		for _, pool := range c.Pools() {
			if turn, ok := c.mayClaim(pool); ok {
				c.claim(ctx, pool, turn)
			}
			if c.orphaned(pool) {
				c.adopt(ctx, pool)
			}
		}
	}
}

// orphaned reports whether the store shows this process as the holder of a
// pool that it doesn't keep: the answer to its claim was lost.
func (c *Cluster) orphaned(pool string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, ok := c.claims[pool]
	return ok && claim.HolderID() == c.Self.HolderID() && c.kept[pool] == nil && !c.leaving
}

// adopt keeps a pool whose claim of ours was answered with nothing. A claim
// that an earlier keeper of ours has used already is given up instead, since
// its fence may not serve twice.
func (c *Cluster) adopt(ctx context.Context, pool string) {
	head, revision, err := poolstore.ReadHead(ctx, c.Store, pool)
	if err != nil {
		c.Log.Warn().Err(err).Str("pool", pool).Msg("Can't read the pool's head.")
		return
	}
	claim, _ := c.Holder(pool)
	if head.Holder == c.Self.HolderID() && head.Fence == claim.Fence && head.Sequence == 0 {
		c.Log.Info().Str("pool", pool).Int64("fence", head.Fence).Msg("A claim without an answer was made.")
		c.take(Takeover{Pool: pool, Head: head, Revision: revision, Lease: c.currentLease(), Claim: encode(claim)})
		return
	}
	_, err = c.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(pool), Expect: revision}},
		Deletes:    []string{poolstore.ClaimKey(pool)},
	})
	c.Log.Info().AnErr("cause", err).Str("pool", pool).Msg("Gave up a claim that nobody keeps.")
	c.PoolReleased(pool)
}

func (c *Cluster) take(grant Takeover) {
	kept := c.StartPool(grant)
	c.mu.Lock()
	c.kept[grant.Pool] = kept
	c.mu.Unlock()
}

// turn is what a claim of a pool rests on.
type turn struct {
	lease store.LeaseID
	// former is the revision of the claim that is in the way, zero for none.
	former store.Revision
}

// mayClaim reports whether it is this process's turn to claim a pool.
func (c *Cluster) mayClaim(pool string) (t turn, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	claim, claimed := c.claims[pool]
	claimed = claimed && !c.deadLocked(claim)
	if claimed || c.leaving || c.lease == 0 || c.kept[pool] != nil || time.Since(c.seen) > leaseTTL {
		return turn{}, false
	}
	if c.since[pool].IsZero() {
		c.since[pool] = time.Now()
	}
	rank := c.rankLocked(pool)
	if rank < 0 || time.Since(c.since[pool]) < time.Duration(rank)*rankPause {
		return turn{}, false
	}
	return turn{c.lease, claim.revision}, true
}

// rankLocked is this process's place among those that may take a pool: the
// one that would hold the fewest for what it has comes first. It is -1 for one that isn't listed.
func (c *Cluster) rankLocked(pool string) int {
	held := make(map[string]int)
	for _, claim := range c.claims {
		if !c.deadLocked(claim) {
			held[claim.Node]++
		}
	}
	var candidates []Member
	for _, m := range c.members {
		if !m.Leaving {
			candidates = append(candidates, m)
		}
	}
	hash := func(m Member) uint64 { return xxhash.Sum64String(pool + "\x00" + m.Node) }
	load := func(m Member) float64 { return float64(held[m.Node]+1) / max(m.CPUShare, leastShare) }
	slices.SortFunc(candidates, func(a, b Member) int {
		return cmp.Or(cmp.Compare(load(a), load(b)), cmp.Compare(hash(a), hash(b)))
	})
	return slices.IndexFunc(candidates, func(m Member) bool { return m.HolderID() == c.Self.HolderID() })
}

// claim tries to take a pool over. It holds only against the claim that was
// found dead, or none: while the head is read from a slow store, another process
// may have claimed the pool and the watch may have shown it. A claim made over
// that one took the pool from a live holder, and as nobody could know that it
// had given up, work found waited for eleven seconds.
func (c *Cluster) claim(ctx context.Context, pool string, t turn) {
	before, revision, err := poolstore.ReadHead(ctx, c.Store, pool)
	if err != nil {
		c.Log.Warn().Err(err).Str("pool", pool).Msg("Can't read the pool's head.")
		return
	}
	c.claimFrom(ctx, pool, t, before, revision)
}

// claimFrom claims a pool whose head is known. A dead holder's claim that lapsed
// meanwhile isn't in the way: with a slow store every candidate found it so, and
// each waited for the next one's turn, two seconds in all.
func (c *Cluster) claimFrom(ctx context.Context, pool string, t turn, before poolstore.Head, revision store.Revision) {
	head := poolstore.Head{Fence: before.Fence + 1, Holder: c.Self.HolderID(), HostsInUse: before.HostsInUse, Unresponsive: before.Unresponsive}
	claim := encode(Claim{c.Self, head.Fence})
	taken, err := c.Store.Commit(ctx, store.Txn{
		Conditions: []store.Condition{{Key: poolstore.HeadKey(pool), Expect: revision}, {Key: poolstore.ClaimKey(pool), Expect: t.former}},
		Puts: []store.Put{
			{Key: poolstore.HeadKey(pool), Value: head.Encode()},
			{Key: poolstore.FenceKey(pool), Value: poolstore.Head{Fence: head.Fence, Holder: head.Holder}.Encode()},
			{Key: poolstore.ClaimKey(pool), Value: claim, Lease: t.lease},
		},
	})
	if conflict, ok := err.(*store.TxnConflictError); ok && t.former != 0 &&
		conflict.Find(poolstore.HeadKey(pool)).ModRevision == revision && conflict.Find(poolstore.ClaimKey(pool)).ModRevision == 0 {
		c.claimFrom(ctx, pool, turn{lease: t.lease}, before, revision)
		return
	}
	if err != nil {
		// Whatever became of it, the claim shows in the watch or ends with the
		// lease; adopt finds one of ours that nobody keeps.
		c.Log.Info().Err(err).Str("pool", pool).Msg("Did not get the pool.")
		c.postpone(pool)
		return
	}
	grant := Takeover{Pool: pool, Head: head, Revision: taken, Lease: t.lease, Claim: claim, PreviousStopped: c.quiet(before)}
	c.mu.Lock()
	c.claims[pool] = heldClaim{Claim{c.Self, head.Fence}, taken}
	c.mu.Unlock()
	c.take(grant)
}

// postpone lets the next candidate try first.
func (c *Cluster) postpone(pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since[pool] = time.Now()
}

// quiet reports whether the holder named by a head orders nothing any more: it
// gave the pool up, or its node has started again.
func (c *Cluster) quiet(before poolstore.Head) bool {
	if before.Released || before.Holder == "" {
		return true
	}
	node, _, _ := strings.Cut(before.Holder, "/")
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[node]
	return ok && m.HolderID() != before.Holder
}
