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

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// idle keeps a pool and does nothing with it.
type idle struct{}

func (idle) ConfirmClaim()              {}
func (idle) RestoreClaim(store.LeaseID) {}

// claims notes who claimed which pool.
type claims struct {
	mu sync.Mutex
	of map[string]string
}

func (c *claims) seen() map[string]string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.of)
}

func (c *claims) start(ctx context.Context, s store.Transactor, pools []string, node string, share float64) {
	member := New(Config{
		Store: s, Self: Member{Node: node, Incarnation: "1", CPUShare: share}, Log: zerolog.Nop(),
		Pools: func() []string { return pools },
		StartPool: func(g Takeover) HeldPool {
			c.mu.Lock()
			defer c.mu.Unlock()
			c.of[g.Pool] = node
			return idle{}
		},
	})
	go func() { _ = member.Run(ctx) }()
}

// All entry hosts lose power and come back together, a weak one a little
// before the strong ones. Callers get few jobs served: the weak one claims the
// pools before the others have joined, and has no processor time to keep them.
func TestAWeakHostUpFirstLeavesThePoolsToStrongOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, taken := memstore.New(), &claims{of: make(map[string]string)}
		pools := []string{"a", "b", "c", "d"}
		taken.start(ctx, s, pools, "weak", 0.192)
		time.Sleep(500 * time.Millisecond)
		for i := range 4 {
			taken.start(ctx, s, pools, fmt.Sprintf("strong-%d", i), 0.8)
		}
		time.Sleep(3 * time.Second)
		of := taken.seen()
		must.MapLen(t, len(pools), of)
		for pool, node := range of {
			must.NotEqOp(t, "weak", node, must.Sprint(pool))
		}
		cancel()
		time.Sleep(time.Minute)
	})
}

// With nobody else there, a weak host takes all pools, and soon.
func TestAWeakHostAloneTakesAllPools(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s, taken := memstore.New(), &claims{of: make(map[string]string)}
		taken.start(ctx, s, []string{"a", "b"}, "weak", 0.05)
		time.Sleep(longestSettle + 2*electEvery)
		must.MapLen(t, 2, taken.seen())
		cancel()
		time.Sleep(time.Minute)
	})
}
