package cluster

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// getHookStore calls onGet before it reads a key.
type getHookStore struct {
	store.Transactor
	onGet func()
}

func (s *getHookStore) Get(ctx context.Context, key string) (store.Entry, error) {
	s.onGet()
	return s.Transactor.Get(ctx, key)
}

// Guards against long-running tasks that wait for eleven seconds. The store is slow,
// and two processes try to take over a pool. The second one reads the head after the
// first one's claim, which its watch shows at the same moment, and must not replace
// it: the first one isn't known to have stopped, so that unreachable hosts are waited
// for until the leases on their runs must have expired.
func TestClaimFailsAfterConcurrentClaim(t *testing.T) {
	ctx, s := t.Context(), memstore.New()
	owner := Member{Node: "first", Incarnation: "1", CPUShare: 0.4}
	read := &getHookStore{Transactor: s}
	taken := false
	second := New(Config{
		Store: read, Self: Member{Node: "second", Incarnation: "1", CPUShare: 0.4}, Log: zerolog.Nop(),
		StartPool: func(Takeover) HeldPool { taken = true; return noopPool{} },
	})
	read.onGet = func() {
		head := poolstore.Head{Fence: 1, Holder: owner.HolderID()}
		_, err := s.Commit(ctx, store.Txn{Puts: []store.Put{
			{Key: poolstore.HeadKey("pool"), Value: head.Encode()},
			{Key: poolstore.ClaimKey("pool"), Value: encode(Claim{owner, 1})},
		}})
		must.NoError(t, err)
		second.applyList(s.Snapshot(poolstore.EphemeralPrefix))
	}
	second.claim(ctx, "pool", claimBasis{lease: 0})
	must.False(t, taken)
	head, _, err := poolstore.ReadHead(ctx, s, "pool")
	must.NoError(t, err)
	must.EqOp(t, owner.HolderID(), head.Holder)
}

// lossPool records whether its claim was lost.
type lossPool struct {
	noopPool
	lost chan struct{}
}

func (p lossPool) ClaimLost() { close(p.lost) }

// Guards against a replaced holder that goes on after its process was suspended, and against
// one that takes the claim it has just replaced for a newer one.
func TestHolderLearnsThatItsClaimIsLost(t *testing.T) {
	for fence, lost := range map[int64]bool{1: false, 3: true} {
		synctest.Test(t, func(t *testing.T) {
			pool := lossPool{lost: make(chan struct{})}
			c := New(Config{
				Self: Member{Node: "self", Incarnation: "1"}, Log: zerolog.Nop(), StartPool: func(Takeover) HeldPool { return pool },
			})
			c.runPool(Takeover{Pool: "pool", Head: poolstore.Head{Fence: 2}})
			other := Claim{Member{Node: "other", Incarnation: "1"}, fence}
			c.applyEvents([]store.Event{{Entry: store.Entry{Key: poolstore.ClaimKey("pool"), Value: encode(other), ModRevision: 9}}})
			c.current(time.Now())
			synctest.Wait()
			select {
			case <-pool.lost:
				must.True(t, lost)
			default:
				must.False(t, lost)
			}
		})
	}
}
