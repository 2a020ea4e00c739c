package cluster

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store/memstore"
)

// Guards against late starts that hosts carry out beside those of a second manager: the
// first one ended by itself before its first commit, and its fencing token is used again.
func TestClaimOfAnEndedManagerIsNotAdopted(t *testing.T) {
	ctx, s := t.Context(), memstore.New()
	var fences []int64
	c := New(Config{
		Store: s, Self: Member{Node: "self", Incarnation: "1"}, Log: zerolog.Nop(),
		StartPool: func(started Takeover) HeldPool {
			fences = append(fences, started.Head.Fence)
			return noopPool{}
		},
	})
	c.claim(ctx, "pool", claimBasis{})
	must.Eq(t, []int64{poolstore.FencesPerTakeover}, fences)
	c.PoolReleased("pool")
	// The claim is still in the store.
	c.applyList(s.Snapshot(poolstore.EphemeralPrefix))
	must.True(t, c.orphaned("pool"))
	c.adopt(ctx, "pool")
	must.Eq(t, []int64{poolstore.FencesPerTakeover}, fences)
}
