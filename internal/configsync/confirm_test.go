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

// confirmer follows the membership through n until the test's end.
func (f *fleet) confirmer(ctx context.Context, n *node) *drainer.PeerConfirmer {
	c := drainer.NewPeerConfirmer(n.feed, n.server, n.client)
	f.wait.Go(func() { _ = c.Serve(ctx) })
	return c
}

// A change is in force on fifty gateways and a controller asks who lags. It
// asks the relays, which have heard it from everyone; not one gateway.
func TestConfirmationAsksRelaysOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 50)
		defer f.close()
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := f.confirmer(ctx, f.nodes[49])
		time.Sleep(settle)
		revision := f.write(60)
		f.took(f.nodes, revision, time.Minute)
		time.Sleep(time.Second)
		f.network.with(func() { f.network.exchanges, f.network.confirmations = 0, 0 })
		for range 100 {
			must.SliceEmpty(t, c.Lagging(ctx, revision))
		}
		must.Eq(t, 0, f.network.exchanges)
		must.LessEq(t, len(zones)*configsync.RelaysPerZone, f.network.confirmations)
	})
}

// A gateway loses the store and its peers, and goes on serving its callers. A
// host must not be stopped behind its back: it lags until its own clock has
// ended its lease, its record is gone, and a margin has passed.
func TestIsolatedGatewayLagsUntilItsLeaseHasEnded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		broken := newBrokenStore(f.store)
		isolated := f.start(broken)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		c := f.confirmer(ctx, f.nodes[0])
		time.Sleep(settle)
		broken.down.Store(true)
		f.network.with(func() { f.network.cut[isolated.member.PeerAddress] = true })
		revision := f.write(60)
		var gone time.Time
		for slices.Contains(c.Lagging(ctx, revision), isolated.member.ID) {
			if gone.IsZero() && !slices.Contains(f.store.Backup().Keys(), storekeys.Member(isolated.member.ID)) {
				gone = time.Now()
				must.False(t, isolated.registrar.Valid())
			}
			time.Sleep(step)
		}
		must.False(t, gone.IsZero())
		must.GreaterEq(t, 2*time.Second, time.Since(gone))
		must.True(t, isolated.feed.Ready())
	})
}

// A member of the old build joins during an upgrade. As long as it lives, a
// record of the newer schema is not admitted: the old process would go on with
// what it last understood, and two gateways would serve by different rules.
func TestOldMemberKeepsNewSchemaOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		defer f.close()
		old := f.startBuild(f.store, 1)
		time.Sleep(settle)
		newer := record.NewEnvelope("web", &record.Pool{Size: 4, MaxPerRack: 2})
		admit := func() error {
			snapshot := f.nodes[0].feed.Snapshot()
			return admission.CheckPut(snapshot, newer, member.SupportedSchema(snapshot, record.MaxSchema), nil)
		}
		must.Error(t, admit())
		old.stop()
		time.Sleep(settle)
		must.NoError(t, admit())
	})
}
