package cluster

import (
	"context"
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// slowRead lets something happen while a key is being read.
type slowRead struct {
	store.Transactor
	meanwhile func()
}

func (s *slowRead) Get(ctx context.Context, key string) (store.Entry, error) {
	s.meanwhile()
	return s.Transactor.Get(ctx, key)
}

// Lasting tasks stand still for eleven seconds. The store is slow, and two
// processes try to take over a pool; the second one reads the head after the
// first one's claim, which its watch shows in the same moment, and claims the
// pool over it. The first one isn't known to have given up, so that hosts that
// can't be asked are waited for in full.
func TestNoClaimOverOneMadeMeanwhile(t *testing.T) {
	ctx, s := t.Context(), memstore.New()
	owner := Member{Node: "first", Incarnation: "1", CPUShare: 0.4}
	read := &slowRead{Transactor: s}
	taken := false
	second := New(Config{
		Store: read, Self: Member{Node: "second", Incarnation: "1", CPUShare: 0.4}, Log: zerolog.Nop(),
		StartPool: func(Takeover) HeldPool { taken = true; return idle{} },
	})
	read.meanwhile = func() {
		head := poolstore.Head{Fence: 1, Holder: owner.HolderID()}
		_, err := s.Commit(ctx, store.Txn{Puts: []store.Put{
			{Key: poolstore.HeadKey("pool"), Value: head.Encode()},
			{Key: poolstore.ClaimKey("pool"), Value: encode(Claim{owner, 1})},
		}})
		must.NoError(t, err)
		second.listed(s.Peek(poolstore.EphemeralPrefix))
	}
	second.claim(ctx, "pool", turn{lease: 0})
	must.False(t, taken)
	head, _, err := poolstore.ReadHead(ctx, s, "pool")
	must.NoError(t, err)
	must.EqOp(t, owner.HolderID(), head.Holder)
}
