package cluster

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// noopPool does nothing.
type noopPool struct{}

func (noopPool) ConfirmClaim(time.Time)     {}
func (noopPool) RestoreClaim(store.LeaseID) {}
func (noopPool) ClaimLost()                 {}

// claimLog records which node claimed which pool.
type claimLog struct {
	mu         sync.Mutex
	nodeByPool map[string]string
}

func (c *claimLog) snapshot() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.nodeByPool)
}

func (c *claimLog) start(ctx context.Context, s store.Transactor, pools []string, node string, share float64) {
	member := New(Config{
		Store: s, Self: Member{Node: node, Incarnation: "1", CPUShare: share}, Log: zerolog.Nop(),
		Pools: func() []string { return pools },
		StartPool: func(g Takeover) HeldPool {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.nodeByPool[g.Pool] = node
			return noopPool{}
		},
	})
	go func() { _ = member.Run(ctx) }()
}

// All entry hosts lose power and restart together, a slow one a little before the
// fast ones. It must not claim the pools before the others have joined: it has too
// little CPU time to manage them, and few jobs would be served.
func TestSlowHostStartingFirstLeavesPoolsToFastOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, taken := memstore.New(), &claimLog{nodeByPool: make(map[string]string)}
		pools := []string{"a", "b", "c", "d"}
		taken.start(ctx, s, pools, "weak", 0.192)
		time.Sleep(500 * time.Millisecond)
		for i := range 4 {
			taken.start(ctx, s, pools, fmt.Sprintf("strong-%d", i), 0.8)
		}
		time.Sleep(3 * time.Second)
		nodes := taken.snapshot()
		must.MapLen(t, len(pools), nodes)
		for pool, node := range nodes {
			must.NotEqOp(t, "weak", node, must.Sprint(pool))
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// Guards against a pool that nobody holds for as long as a process lives: the manager of the
// pool there has stopped by itself, and its claim is still in the store.
func TestPoolWhoseManagerStoppedIsClaimedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fences := make(chan int64, 8)
		m := New(Config{
			Store: memstore.New(), Self: Member{Node: "n", Incarnation: "1", CPUShare: 0.8}, Log: zerolog.Nop(), Pools: func() []string { return []string{"a"} },
			StartPool: func(g Takeover) HeldPool { fences <- g.Head.Fence; return noopPool{} },
		})
		go func() { _ = m.Run(ctx) }()
		must.EqOp(t, poolstore.FencesPerTakeover, <-fences)
		time.Sleep(time.Second)
		m.PoolReleased("a")
		time.Sleep(3 * time.Second)
		must.EqOp(t, 1, len(fences))
		cancel()
		time.Sleep(time.Minute)
	})
}

// A slow host without others claims all pools soon.
func TestSlowHostAloneClaimsAllPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, taken := memstore.New(), &claimLog{nodeByPool: make(map[string]string)}
		taken.start(ctx, s, []string{"a", "b"}, "weak", 0.05)
		time.Sleep(maxClaimDelay + 2*electInterval)
		must.MapLen(t, 2, taken.snapshot())
		cancel()
		time.Sleep(time.Minute)
	})
}
