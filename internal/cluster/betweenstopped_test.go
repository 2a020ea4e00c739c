package cluster

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/poolstore"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// Guards against a successor that waits too short: the holder before has stopped without
// having stored anything, and the one before that is of a version without LeaseMs and may
// be cut off and renew leases.
func TestStoppedHolderWithoutACommitSaysNothingOfTheOneBefore(t *testing.T) {
	ctx, s := t.Context(), memstore.New()
	var takeover Takeover
	c := New(Config{
		Store: s, Self: Member{Node: "self", Incarnation: "1"}, Log: zerolog.Nop(),
		StartPool: func(started Takeover) HeldPool { takeover = started; return noopPool{} },
	})
	between := Member{Node: "n", Zone: "z", Incarnation: "1"}
	restarted := Member{Node: "n", Zone: "z", Incarnation: "2"}
	for key, value := range map[string][]byte{
		poolstore.MemberKey("z", "n"): encode(restarted),
		poolstore.HeadKey("pool"):     poolstore.Head{Fence: 2, Holder: between.HolderID(), HostsInUse: []string{"w"}}.Encode(),
	} {
		_, err := s.Commit(ctx, store.Txn{Puts: []store.Put{{Key: key, Value: value}}})
		must.NoError(t, err)
	}
	c.applyList(s.Snapshot(poolstore.EphemeralPrefix))
	c.claim(ctx, "pool", claimBasis{})
	must.EqOp(t, 2+poolstore.FencesPerTakeover, takeover.Head.Fence)
	must.EqOp(t, 3, takeover.Head.FirstFence())
	must.EqOp(t, 0, takeover.Head.LeaseMs)
	must.False(t, takeover.PreviousStopped)
}
