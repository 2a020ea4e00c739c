package configsync_test

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/admission"
	"auburnglade.example/glade/internal/configsync"
	"auburnglade.example/glade/internal/drainer"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/storekeys"
)

// confirmer returns a PeerConfirmer that uses the membership of n's feed. It runs
// until ctx ends.
func (f *fleet) confirmer(ctx context.Context, n *node) *drainer.PeerConfirmer {
	c := drainer.NewPeerConfirmer(n.feed, n.server, n.client)
	f.wait.Go(func() { _ = c.Serve(ctx) })
	return c
}

// A change is active on fifty gateways and a controller checks which members lag. It
// must call only the relays, which have received the confirmations of all members,
// and no gateway.
func TestConfirmationCallsOnlyRelays(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 50)
		defer f.close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := f.confirmer(ctx, f.nodes[49])
		time.Sleep(settleTime)
		revision := f.write(60)
		f.awaitRevision(f.nodes, revision, time.Minute)
		time.Sleep(time.Second)
		f.network.update(func() { f.network.exchanges, f.network.confirmations = 0, 0 })
		for range 100 {
			must.SliceEmpty(t, c.Lagging(ctx, revision))
		}
		must.Eq(t, 0, f.network.exchanges)
		must.LessEq(t, len(zones)*configsync.RelaysPerZone, f.network.confirmations)
	})
}

// A gateway loses the connections to the store and its peers and continues to serve
// callers. It must count as lagging until its lease has expired by its own clock, its
// record has been removed and a safety margin has passed; otherwise a host could be
// stopped while the gateway still sends requests to it.
func TestIsolatedGatewayLagsUntilItsLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		broken := newBrokenStore(f.store)
		isolated := f.start(broken)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := f.confirmer(ctx, f.nodes[0])
		time.Sleep(settleTime)
		broken.down.Store(true)
		f.network.update(func() { f.network.cut[isolated.member.PeerAddress] = true })
		revision := f.write(60)
		var removedAt time.Time
		for slices.Contains(c.Lagging(ctx, revision), isolated.member.ID) {
			if removedAt.IsZero() && !slices.Contains(f.store.Backup().Keys(), storekeys.Member(isolated.member.ID)) {
				removedAt = time.Now()
				must.False(t, isolated.registrar.LeaseValid())
			}
			time.Sleep(step)
		}
		must.False(t, removedAt.IsZero())
		must.GreaterEq(t, 2*time.Second, time.Since(removedAt))
		must.True(t, isolated.feed.Ready())
	})
}

// A member of an older build joins during an upgrade. While it is running, a record
// of the newer schema must not be admitted: the old process would keep the last
// version it understands, and gateways would apply different configurations.
func TestOldMemberBlocksNewSchema(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		old := f.startBuild(f.store, 1)
		time.Sleep(settleTime)
		newer := record.NewEnvelope("web", &record.Pool{Size: 4, MaxPerRack: 2})
		admit := func() error {
			snapshot := f.nodes[0].feed.Snapshot()
			return admission.CheckPut(snapshot, newer, member.SupportedSchema(snapshot, record.MaxSchema), nil)
		}
		must.Error(t, admit())
		old.stop()
		time.Sleep(settleTime)
		must.NoError(t, admit())
	})
}
