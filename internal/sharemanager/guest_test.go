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

// beforeAnyRevision is lower than any revision.
const beforeAnyRevision = -1

// startFromPeer starts a gateway that gets the configuration from a peer, as
// internal/configsync does, also while the store is unavailable.
func (f *fleet) startFromPeer() *testGateway {
	peers := f.all()
	joiner := f.start()
	for _, peer := range peers {
		if peer.feed.Ready() && !peer.paused.Load() && !peer.cutFromPeers.Load() {
			must.NoError(f.t, joiner.feed.ApplyDelta(peer.feed.DeltaSince(beforeAnyRevision)))
			return joiner
		}
	}
	return joiner
}

func (f *fleet) replace(killed *testGateway) *testGateway {
	killed.kill()
	return f.startFromPeer()
}

// servedIn returns the number of requests that a gateway completes in d.
func (g *testGateway) servedIn(d time.Duration) int64 {
	before := g.served.Load()
	time.Sleep(d)
	return g.served.Load() - before
}

// limitConnectionsToSlots sets the connection limit to the number of slots and resets
// the peak of open connections.
func (f *fleet) limitConnectionsToSlots() {
	id := record.ID{Kind: record.KindService, Name: "match"}
	entry, err := f.store.Get(context.Background(), storekeys.Spec(id))
	must.NoError(f.t, err)
	service := &record.Service{
		PathPrefix: "/match/", Port: 8101, TimeoutSeconds: int(serviceTimeout / time.Second), ConnectionsPerEndpoint: slotLimit,
	}
	body, err := record.Patch(nil, service)
	must.NoError(f.t, err)
	envelope := record.Envelope{Kind: id.Kind, Name: id.Name, Schema: 1, Spec: body}
	_, err = f.store.CompareAndSwap(context.Background(), store.SwapRequest{
		Key: storekeys.Spec(id), Expect: entry.ModRevision, Value: encodeEnvelope(f.t, envelope),
	})
	must.NoError(f.t, err)
	time.Sleep(time.Minute)
	f.endpoint.mu.Lock()
	defer f.endpoint.mu.Unlock()
	f.endpoint.peakOpen = f.endpoint.open
}

// The store is unavailable, and one of three gateways is killed and replaced by one
// that has the configuration from its peers. No gateway can shrink for it through the
// store, so without loans its callers would be refused until the store is back. It must
// serve on slots and connections lent by the others within seconds, join when the store
// is back, and serve in between. The endpoint accepts no more connections than slots
// here, so that every excess connection is detected.
func TestReplacementServesDuringStoreOutage(t *testing.T) {
	for _, killed := range []int{0, 1, 2} {
		busyFleet(t, 3, func(t *testing.T, f *fleet) {
			f.limitConnectionsToSlots()
			f.store.SetDown(true)
			time.Sleep(time.Minute)
			joiner := f.replace(f.all()[killed])
			f.setLoad(1, 1, callersPerGateway)
			time.Sleep(3 * time.Second)
			must.True(t, joiner.manager.Ready())
			must.EqOp(t, 0, joiner.manager.Allocation("match", "host-001").Slots)
			must.Positive(t, joiner.servedIn(10*time.Second))
			time.Sleep(2 * time.Minute)
			must.True(t, joiner.manager.Ready())
			must.Positive(t, joiner.servedIn(10*time.Second))
			f.store.SetDown(false)
			must.LessEq(t, time.Minute, f.awaitSlots(2*time.Minute))
			must.Positive(t, joiner.manager.Allocation("match", "host-001").Slots)
			must.True(t, joiner.manager.Ready())
			_, peakOpen, _ := f.endpoint.counts()
			must.LessEq(t, slotLimit, peakOpen)
		})
	}
}

// A gateway without a share uses loans when their lender is killed, just as the store
// returns. The others take over the lender's share without a record of its loans, so
// they must wait for as long as loans last. The borrower is cut off from the store, so
// that they do not wait for its confirmation instead, and each of its requests takes
// its whole deadline.
func TestShareOfKilledLenderWaitsForItsLoans(t *testing.T) {
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

// A gateway without a share is paused while it holds loans, for longer than the lenders
// count them, and resumes while the lenders use their slots themselves. It must start
// no request on a loan from before the pause.
func TestResumedBorrowerDoesNotUseOldLoans(t *testing.T) {
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
			must.True(t, g.limiter.WithinAllocation(g.manager.Allocation))
		}
		joiner.apply("wake")
		time.Sleep(30 * time.Second)
		f.heal()
	})
}
