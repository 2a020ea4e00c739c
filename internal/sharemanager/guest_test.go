package sharemanager

import (
	"context"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/share"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// everything is before any revision.
const everything = -1

// startFromPeer starts a gateway that has the configuration from a peer, as
// internal/configsync takes it, also while the store is away.
func (f *fleet) startFromPeer() *testGateway {
	peers := f.all()
	joiner := f.start()
	for _, peer := range peers {
		if peer.feed.Ready() && !peer.paused.Load() && !peer.cutFromPeers.Load() {
			must.NoError(f.t, joiner.feed.ApplyDelta(peer.feed.DeltaSince(everything)))
			return joiner
		}
	}
	return joiner
}

func (f *fleet) replace(killed *testGateway) *testGateway {
	killed.kill()
	return f.startFromPeer()
}

// servedIn counts the requests that a gateway has answered.
func (g *testGateway) servedIn(d time.Duration) int64 {
	before := g.served.Load()
	time.Sleep(d)
	return g.served.Load() - before
}

// narrow leaves as many connections as slots, and counts open ones anew.
func (f *fleet) narrow() {
	id := record.ID{Kind: record.KindService, Name: "match"}
	entry, err := f.store.Get(context.Background(), storekeys.Spec(id))
	must.NoError(f.t, err)
	service := &record.Service{
		PathPrefix: "/match/", Port: 8101, TimeoutSeconds: int(serviceTimeout / time.Second), ConnectionsPerEndpoint: slotLimit,
	}
	body, err := record.Patch(nil, service)
	must.NoError(f.t, err)
	envelope := record.Envelope{Kind: id.Kind, Name: id.Name, Schema: 1, Spec: body}
	_, err = f.store.CompareAndSwap(context.Background(), store.Write{
		Key: storekeys.Spec(id), Expect: entry.ModRevision, Value: encodeEnvelope(f.t, envelope),
	})
	must.NoError(f.t, err)
	time.Sleep(time.Minute)
	f.endpoint.mu.Lock()
	defer f.endpoint.mu.Unlock()
	f.endpoint.peakOpen = f.endpoint.open
}

// The store is away. One of three gateways is killed and replaced by one that
// has the configuration from its peers. Nobody can shrink for it in the store,
// so that its callers would be refused until the store is back; it works with
// slots and connections that the others lend, within seconds. It joins when the
// store is back, and serves meanwhile. The endpoint takes no more connections
// than slots here, so that each one too many shows.
func TestReplacementServesDuringTheOutage(t *testing.T) {
	for _, killed := range []int{0, 1, 2} {
		busyFleet(t, 3, func(t *testing.T, f *fleet) {
			f.narrow()
			f.store.SetDown(true)
			time.Sleep(time.Minute)
			joiner := f.replace(f.all()[killed])
			f.setLoad(1, 1, callersPerGateway)
			time.Sleep(3 * time.Second)
			must.True(t, joiner.keeper.Ready())
			must.EqOp(t, 0, joiner.keeper.Allocation("match", "host-001").Slots)
			must.Positive(t, joiner.servedIn(10*time.Second))
			time.Sleep(2 * time.Minute)
			must.True(t, joiner.keeper.Ready())
			must.Positive(t, joiner.servedIn(10*time.Second))
			f.store.SetDown(false)
			must.LessEq(t, time.Minute, f.awaitSlots(2*time.Minute))
			must.Positive(t, joiner.keeper.Allocation("match", "host-001").Slots)
			must.True(t, joiner.keeper.Ready())
			_, peakOpen, _ := f.endpoint.counts()
			must.LessEq(t, slotLimit, peakOpen)
		})
	}
}

// A gateway without a share works on loans when their lender dies, and the
// store is back at that moment: the others take the dead one's share over, and
// know nothing of its loans. They must wait for as long as loans last. The
// starter itself is cut off from the store, so that its confirmation isn't
// what they wait for, and takes its whole deadline for each request.
func TestLoansOutliveADeadLender(t *testing.T) {
	busyFleet(t, 3, func(t *testing.T, f *fleet) {
		f.store.SetDown(true)
		time.Sleep(time.Minute)
		joiner := f.replace(f.all()[2])
		joiner.slow.Store(true)
		f.setLoad(0, 0, callersPerGateway)
		time.Sleep(20 * time.Second)
		must.Positive(t, joiner.servedIn(10*time.Second))
		joiner.apply("cut from store")
		f.store.SetDown(false)
		f.setLoad(callersPerGateway, callersPerGateway, callersPerGateway)
		f.all()[0].kill()
		time.Sleep(time.Minute)
		f.heal()
		must.LessEq(t, time.Minute, f.awaitSlots(2*time.Minute))
	})
}

// A gateway without a share is paused with loans out, for longer than the
// lenders count them, and wakes while the lenders use their slots themselves.
// It must not begin anything on a loan from before.
func TestPausedBorrowerWakesWithoutItsLoans(t *testing.T) {
	busyFleet(t, 3, func(t *testing.T, f *fleet) {
		f.store.SetDown(true)
		time.Sleep(time.Minute)
		joiner := f.replace(f.all()[2])
		f.setLoad(0, 0, callersPerGateway)
		time.Sleep(20 * time.Second)
		joiner.apply("pause")
		f.setLoad(callersPerGateway, callersPerGateway, callersPerGateway)
		time.Sleep(serviceTimeout + share.LoanMargin + time.Second)
		for _, g := range f.all()[:2] {
			must.True(t, g.limiter.Within(g.keeper.Allocation))
		}
		joiner.apply("wake")
		time.Sleep(30 * time.Second)
		f.heal()
	})
}
