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

const settle = 15 * time.Second

func encode(t *testing.T, envelope record.Envelope) []byte {
	t.Helper()
	data, err := json.Marshal(envelope)
	must.NoError(t, err)
	return data
}

// The store's owner counts each waiting watch. However many members there are,
// the open watches are zones × relay.PerZone, and a change still reaches all of
// them. With one watch per process the count is the number of members.
func TestWatchesGrowWithZonesNotMembers(t *testing.T) {
	for _, members := range []int{9, 50, 100} {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, members)
			defer f.close()
			time.Sleep(settle)
			must.Eq(t, int64(len(zones)*configsync.RelaysPerZone), f.store.Counts().OpenWatches)
			must.Less(t, time.Second, f.took(f.nodes, f.write(60), time.Minute))
			must.Eq(t, int64(len(zones)*configsync.RelaysPerZone), f.store.Counts().OpenWatches)
		})
	}
}

// Both relays of a zone die at once, a change is accepted, and the members of
// the zone have it within two seconds: they ask another zone's relays.
func TestRelaysKilled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.close()
		time.Sleep(settle)
		var left []*node
		for _, n := range f.nodes {
			if n.member.Zone == "a" && n.server.Watching() {
				n.stop()
				f.network.end(n.member.PeerAddress)
				continue
			}
			left = append(left, n)
		}
		must.Eq(t, 10, len(left))
		must.Less(t, 2*time.Second, f.took(left, f.write(60), time.Minute))
	})
}

// One relay of each zone accepts calls and never answers. The members ask two
// sources at once, so that a change is not held up by the silent one at all.
func TestRelayStalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.close()
		time.Sleep(settle)
		stalled := make(map[string]bool)
		var left []*node
		for _, n := range f.nodes {
			if n.server.Watching() && !stalled[n.member.Zone] {
				stalled[n.member.Zone] = true
				f.network.with(func() { f.network.stalled[n.member.PeerAddress] = true })
				continue
			}
			left = append(left, n)
		}
		must.Less(t, time.Second, f.took(left, f.write(60), time.Minute))
	})
}

// A relay lies: it passes changes on with the contents of one key dropped, as
// after an event lost on the way. Its deltas don't lead to what it says it
// holds, so members refuse them and have the change from another source, even
// though that one is slower, without asking the store to settle it.
func TestRelayLies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(settle)
		liar := f.relays()[0]
		f.network.with(func() {
			for _, n := range f.nodes {
				if n != liar {
					f.network.delay[n.member.PeerAddress] = 300 * time.Millisecond
				}
			}
			f.network.lie[liar.member.PeerAddress] = func(r *peerpb.FetchResponse) { r.Entries = nil }
		})
		reads := f.store.Counts().Reads
		revision := f.write(60)
		must.Less(t, 2*time.Second, f.took(f.nodes, revision, time.Minute))
		must.Eq(t, reads+1, f.store.Counts().Reads, must.Sprint("the one read is the test's own"))
		for _, n := range f.nodes {
			must.Eq(t, 60, n.feed.Snapshot().Policy().MoveStabilizationSeconds)
		}
	})
}

// The store is away for ten minutes. Members keep what they had, a host that
// starts meanwhile has it from its peers within seconds, and a change accepted
// after the outage reaches all within seconds.
func TestStoreAwayTenMinutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(settle)
		revision := f.write(60)
		f.took(f.nodes, revision, time.Minute)
		f.store.SetDown(true)
		time.Sleep(5 * time.Minute)
		late := f.start(f.store)
		must.Less(t, 2*time.Second, f.took([]*node{late}, revision, time.Minute))
		time.Sleep(5 * time.Minute)
		must.SliceEmpty(t, behind(f.nodes, revision))
		f.store.SetDown(false)
		time.Sleep(settle)
		must.Less(t, time.Second, f.took(f.nodes, f.write(61), time.Minute))
	})
}

// A relay loses its connection to the store and nothing else. It finds out
// from its peers what the store would have told it.
func TestRelayCutFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		time.Sleep(settle)
		broken := newBrokenStore(f.store)
		cut := f.start(broken)
		time.Sleep(settle)
		broken.down.Store(true)
		must.Less(t, time.Second, f.took([]*node{cut}, f.write(60), time.Minute))
	})
}

// A member of an older build joins. A record of the newer schema stays out of
// force in that process alone, which keeps the last one it understood.
func TestOldBuildKeepsLastUnderstood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 6)
		defer f.close()
		old := f.startBuild(f.store, 1)
		time.Sleep(settle)
		f.writeEnvelope(record.NewEnvelope("web", &record.Pool{Size: 3}))
		f.took(f.nodes, f.writeEnvelope(record.NewEnvelope("web", &record.Pool{Size: 4, MaxPerRack: 2})), time.Minute)
		id := record.ID{Kind: record.KindPool, Name: "web"}
		must.Eq(t, 3, old.feed.Snapshot().Pools()["web"].Size)
		must.MapContainsKey(t, old.feed.Snapshot().Rejected, id)
		must.Eq(t, 4, f.nodes[0].feed.Snapshot().Pools()["web"].Size)
	})
}

// The store is restored from a backup. Nobody's configuration goes back, and
// every process, relay or not, refuses changes and disruptions until the store
// has passed what is in force; leases and claims go on.
func TestStoreRestoredFromBackup(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 12)
		defer f.close()
		time.Sleep(settle)
		backup := f.store.Backup()
		var revision store.Revision
		for hold := range 10 {
			revision = f.write(hold + 1)
		}
		f.took(f.nodes, revision, time.Minute)
		f.store.Restore(backup)
		time.Sleep(settle)
		must.SliceEmpty(t, behind(f.nodes, revision))
		for _, n := range f.nodes {
			must.Eq(t, 10, n.feed.Snapshot().Policy().MoveStabilizationSeconds)
			must.Error(t, n.feed.CheckWrite(storekeys.GrantSet("s")))
			must.NoError(t, n.feed.CheckWrite(storekeys.Member(n.member.ID)))
		}
		for hold := range 40 {
			f.write(100 + hold)
		}
		time.Sleep(3 * settle)
		for _, n := range f.nodes {
			must.Eq(t, 139, n.feed.Snapshot().Policy().MoveStabilizationSeconds)
			must.NoError(t, n.feed.CheckWrite(storekeys.GrantSet("s")))
		}
	})
}

// The store throttles every call for a minute. What is in force stays, a host
// that starts has it from its peers, and a change is in force within seconds
// once the store takes calls again.
func TestStoreThrottled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9)
		defer f.close()
		time.Sleep(settle)
		revision := f.write(60)
		f.took(f.nodes, revision, time.Minute)
		f.store.SetThrottled(true)
		time.Sleep(time.Minute)
		must.Less(t, 2*time.Second, f.took([]*node{f.start(f.store)}, revision, time.Minute))
		must.SliceEmpty(t, behind(f.nodes, revision))
		f.store.SetThrottled(false)
		must.Less(t, 10*time.Second, f.took(f.nodes, f.write(61), time.Minute))
	})
}
