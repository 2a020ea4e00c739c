package configsync_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configsync"
	"auburnglade.example/glade/internal/peer/peerpb"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

const settleTime = 15 * time.Second

func encode(t *testing.T, envelope record.Envelope) []byte {
	t.Helper()
	data, err := json.Marshal(envelope)
	must.NoError(t, err)
	return data
}

// The store's operator accounts for every open watch. Regardless of the number of
// members there must be zones × RelaysPerZone of them, and a change must still reach
// all members. With one watch per process the number is that of the members.
func TestWatchesGrowWithZonesNotMembers(t *testing.T) {
	for _, members := range []int{9, 50, 100} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, members)
			defer f.close()
			time.Sleep(settleTime)
			must.Eq(t, int64(len(zones)*configsync.RelaysPerZone), f.store.Counts().OpenWatches)
			must.Less(t, time.Second, f.awaitRevision(f.nodes, f.write(60), time.Minute))
			must.Eq(t, int64(len(zones)*configsync.RelaysPerZone), f.store.Counts().OpenWatches)
		})
	}
}

// Both relays of a zone end at once and a change is accepted. The members of the zone
// must get it within two seconds, from the relays of another zone.
func TestRelaysKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.close()
		time.Sleep(settleTime)
		var remaining []*node
		for _, n := range f.nodes {
			if n.member.Zone == "a" && n.server.Watching() {
				n.stop()
				f.network.end(n.member.PeerAddress)
				continue
			}
			remaining = append(remaining, n)
		}
		must.Eq(t, 10, len(remaining))
		must.Less(t, 2*time.Second, f.awaitRevision(remaining, f.write(60), time.Minute))
	})
}

// One relay of each zone accepts calls and never responds. Members fetch from two
// sources concurrently, so the unresponsive one must not delay a change.
func TestRelayStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.close()
		time.Sleep(settleTime)
		stalled := make(map[string]bool)
		var remaining []*node
		for _, n := range f.nodes {
			if n.server.Watching() && !stalled[n.member.Zone] {
				stalled[n.member.Zone] = true
				f.network.update(func() { f.network.stalled[n.member.PeerAddress] = true })
				continue
			}
			remaining = append(remaining, n)
		}
		must.Less(t, time.Second, f.awaitRevision(remaining, f.write(60), time.Minute))
	})
}

// A relay sends deltas without their entries, as after a lost event. The deltas do not
// match the digest that it reports, so members must reject them and get the change
// from another, slower source, without reading from the store.
func TestRelaySendsCorruptDeltas(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(settleTime)
		corrupting := f.relays()[0]
		f.network.update(func() {
			for _, n := range f.nodes {
				if n != corrupting {
					f.network.delay[n.member.PeerAddress] = 300 * time.Millisecond
				}
			}
			f.network.corrupt[corrupting.member.PeerAddress] = func(r *peerpb.FetchResponse) { r.Entries = nil }
		})
		reads := f.store.Counts().Reads
		revision := f.write(60)
		must.Less(t, 2*time.Second, f.awaitRevision(f.nodes, revision, time.Minute))
		must.Eq(t, reads+1, f.store.Counts().Reads, must.Sprint("the only read is that of the test itself"))
		for _, n := range f.nodes {
			must.Eq(t, 60, n.feed.Snapshot().Policy().MoveStabilizationSeconds)
		}
	})
}

// The store is unavailable for ten minutes. Members must keep their configuration, a
// member that starts meanwhile must get it from peers within two seconds, and a change
// after the outage must reach all members within a second.
func TestStoreUnavailableForTenMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(settleTime)
		revision := f.write(60)
		f.awaitRevision(f.nodes, revision, time.Minute)
		f.store.SetDown(true)
		time.Sleep(5 * time.Minute)
		late := f.start(f.store)
		must.Less(t, 2*time.Second, f.awaitRevision([]*node{late}, revision, time.Minute))
		time.Sleep(5 * time.Minute)
		must.SliceEmpty(t, behind(f.nodes, revision))
		f.store.SetDown(false)
		time.Sleep(settleTime)
		must.Less(t, time.Second, f.awaitRevision(f.nodes, f.write(61), time.Minute))
	})
}

// A relay loses only its connection to the store. It must get changes from its peers
// within a second.
func TestRelayCutFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		time.Sleep(settleTime)
		broken := newBrokenStore(f.store)
		cut := f.start(broken)
		time.Sleep(settleTime)
		broken.down.Store(true)
		must.Less(t, time.Second, f.awaitRevision([]*node{cut}, f.write(60), time.Minute))
	})
}

// A member of an older build joins. It must reject a record of a newer schema and keep
// the last version it supports, while all other members apply the record.
func TestOldBuildKeepsLastSupportedRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		old := f.startBuild(f.store, 1)
		time.Sleep(settleTime)
		f.writeEnvelope(record.NewEnvelope("web", &record.Pool{Size: 3}))
		f.awaitRevision(f.nodes, f.writeEnvelope(record.NewEnvelope("web", &record.Pool{Size: 4, MaxPerRack: 2})), time.Minute)
		id := record.ID{Kind: record.KindPool, Name: "web"}
		must.Eq(t, 3, old.feed.Snapshot().Pools()["web"].Size)
		must.MapContainsKey(t, old.feed.Snapshot().Rejected, id)
		must.Eq(t, 4, f.nodes[0].feed.Snapshot().Pools()["web"].Size)
	})
}

// The store is restored from a backup. No member's configuration may revert, and every
// process, relay or not, must refuse changes and disruptions until the store's revision
// exceeds the active one. Leases and claims must still be accepted.
func TestStoreRestoredFromBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.close()
		time.Sleep(settleTime)
		backup := f.store.Backup()
		var revision store.Revision
		for i := range 10 {
			revision = f.write(i + 1)
		}
		f.awaitRevision(f.nodes, revision, time.Minute)
		f.store.Restore(backup)
		time.Sleep(settleTime)
		must.SliceEmpty(t, behind(f.nodes, revision))
		for _, n := range f.nodes {
			must.Eq(t, 10, n.feed.Snapshot().Policy().MoveStabilizationSeconds)
			must.Error(t, n.feed.CheckWrite(storekeys.GrantSet("s")))
			must.NoError(t, n.feed.CheckWrite(storekeys.Member(n.member.ID)))
		}
		for i := range 40 {
			f.write(100 + i)
		}
		time.Sleep(3 * settleTime)
		for _, n := range f.nodes {
			must.Eq(t, 139, n.feed.Snapshot().Policy().MoveStabilizationSeconds)
			must.NoError(t, n.feed.CheckWrite(storekeys.GrantSet("s")))
		}
	})
}

// The store throttles all calls for a minute. Members must keep their configuration, a
// member that starts must get it from peers, and a change must be active on all members
// within ten seconds after throttling ends.
func TestStoreThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(settleTime)
		revision := f.write(60)
		f.awaitRevision(f.nodes, revision, time.Minute)
		f.store.SetThrottled(true)
		time.Sleep(time.Minute)
		must.Less(t, 2*time.Second, f.awaitRevision([]*node{f.start(f.store)}, revision, time.Minute))
		must.SliceEmpty(t, behind(f.nodes, revision))
		f.store.SetThrottled(false)
		must.Less(t, 10*time.Second, f.awaitRevision(f.nodes, f.write(61), time.Minute))
	})
}
