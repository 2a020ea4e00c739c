package configfeed_test

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

func newFeed(s store.Store) (*configfeed.Feed, *invariant.Checker) {
	checker := invariant.New(zerolog.Nop(), nil)
	return configfeed.New(s, zerolog.Nop(), checker, nil), checker
}

// put writes one record, either as an operator's change or bypassing the API.
func put(t *testing.T, s *memstore.Store, envelope record.Envelope) store.Revision {
	t.Helper()
	value, err := json.Marshal(envelope)
	must.NoError(t, err)
	key := storekeys.Spec(envelope.ID())
	entry, _ := s.Get(t.Context(), key)
	revision, err := s.CompareAndSwap(t.Context(), store.SwapRequest{Key: key, Expect: entry.ModRevision, Value: value})
	must.NoError(t, err)
	return revision
}

func pool(size int) record.Envelope { return record.NewEnvelope("web", &record.Pool{Size: size}) }

// Deltas from several peers arrive late, twice and out of order. The feed must
// end at the newest one and never go back: otherwise callers would see a change
// appear and disappear.
func TestDeltasLateDuplicatedAndOutOfOrder(t *testing.T) {
	random := rand.New(rand.NewPCG(7, 7))
	for range 50 {
		s := memstore.New()
		source, _ := newFeed(s)
		must.NoError(t, source.Relist(t.Context()))
		var deltas []configstate.Delta
		for size := 1; size <= 8; size++ {
			before := source.Snapshot().Revision
			put(t, s, pool(size))
			must.NoError(t, source.Relist(t.Context()))
			deltas = append(deltas, source.DeltaSince(before), source.DeltaSince(max(0, before-2)), source.Snapshot().FullDelta())
		}
		random.Shuffle(len(deltas), func(i, j int) { deltas[i], deltas[j] = deltas[j], deltas[i] })
		target, checker := newFeed(s)
		var last store.Revision
		for _, delta := range append(deltas, deltas...) {
			// Stale and mismatching deltas are refused.
			_ = target.ApplyDelta(delta)
			must.GreaterEq(t, last, target.Snapshot().Revision)
			last = target.Snapshot().Revision
		}
		must.Eq(t, source.Snapshot().Digest, target.Snapshot().Digest)
		must.Eq(t, 8, target.Snapshot().Pools()["web"].Size)
		must.SliceEmpty(t, checker.Violations())
	}
}

// The store is restored from a backup and has an older revision. The feed must
// report it and keep the active configuration, and continue once the store has
// passed the active revision.
func TestStoreBehind(t *testing.T) {
	s := memstore.New()
	f, checker := newFeed(s)
	put(t, s, pool(1))
	backup := s.Backup()
	put(t, s, pool(2))
	must.NoError(t, f.Relist(t.Context()))
	s.Restore(backup)
	var behind *configfeed.StoreBehindError
	must.True(t, errors.As(f.Relist(t.Context()), &behind))
	must.Eq(t, 2, f.Snapshot().Pools()["web"].Size)
	must.True(t, f.StoreBehind())
	put(t, s, pool(3))
	put(t, s, pool(4))
	must.NoError(t, f.Relist(t.Context()))
	must.Eq(t, 4, f.Snapshot().Pools()["web"].Size)
	must.False(t, f.StoreBehind())
	must.SliceEmpty(t, checker.Violations())
}

// The store's history is compacted during a watch. The feed must list again and
// apply what it missed, including a deletion.
func TestCompactionDuringWatch(t *testing.T) {
	s := memstore.New()
	f, _ := newFeed(s)
	revision := put(t, s, pool(1))
	listed := false
	must.NoError(t, f.ListOrWatch(t.Context(), &listed))
	must.True(t, listed)
	_, err := s.CompareAndSwap(t.Context(), store.SwapRequest{Key: storekeys.Spec(pool(1).ID()), Expect: revision, Delete: true})
	must.NoError(t, err)
	s.CompactAll()
	must.NoError(t, f.ListOrWatch(t.Context(), &listed))
	must.False(t, listed)
	must.NoError(t, f.ListOrWatch(t.Context(), &listed))
	must.MapEmpty(t, f.Snapshot().Pools())
}

// A record is overwritten with invalid data, bypassing the API. A process that
// starts later never saw the last good version and must get it from a peer, in
// a full snapshot as well as in a delta.
func TestLastGoodVersionReachesLateProcess(t *testing.T) {
	s := memstore.New()
	source, _ := newFeed(s)
	first := put(t, s, pool(3))
	must.NoError(t, source.Relist(t.Context()))
	key := storekeys.Spec(pool(3).ID())
	_, err := s.CompareAndSwap(t.Context(), store.SwapRequest{Key: key, Expect: first, Value: []byte("rubbish")})
	must.NoError(t, err)
	late, _ := newFeed(s)
	must.NoError(t, late.Relist(t.Context()))
	must.MapEmpty(t, late.Snapshot().Pools())
	must.NoError(t, source.Relist(t.Context()))
	bySnapshot, _ := newFeed(s)
	must.NoError(t, bySnapshot.ApplyDelta(source.Snapshot().FullDelta()))
	must.Eq(t, 3, bySnapshot.Snapshot().Pools()["web"].Size)
	must.Eq(t, first, bySnapshot.Snapshot().Rejected[pool(3).ID()].ActiveRevision)
	// A process that was itself started from a peer passes the version on.
	third, _ := newFeed(s)
	must.NoError(t, third.ApplyDelta(bySnapshot.Snapshot().FullDelta()))
	must.Eq(t, 3, third.Snapshot().Pools()["web"].Size)
}

// Only a revision used by every consumer may be confirmed: a controller that
// received the feed's own revision would stop a host that still gets requests
// through the old routing table.
func TestServedRevisionWaitsForConsumers(t *testing.T) {
	s := memstore.New()
	f, _ := newFeed(s)
	reportRevision := f.RegisterConsumer("gateway")
	revision := put(t, s, pool(1))
	must.NoError(t, f.Relist(t.Context()))
	must.Eq(t, 0, f.ServedRevision())
	reportRevision(revision)
	must.Eq(t, revision, f.ServedRevision())
}

// A feed missed an event that its revision covers. A listing of the store at
// the same revision must repair it.
func TestListingRepairsMissedEvent(t *testing.T) {
	s := memstore.New()
	f, _ := newFeed(s)
	must.NoError(t, f.Relist(t.Context()))
	revision := put(t, s, pool(1))
	f.Install(f.Snapshot().Apply(store.WatchBatch{Revision: revision}))
	must.MapEmpty(t, f.Snapshot().Pools())
	must.NoError(t, f.Relist(t.Context()))
	must.Eq(t, 1, f.Snapshot().Pools()["web"].Size)
}

// A peer is further behind than the buffered events. It must get the full
// snapshot, never a delta with a gap.
func TestOldRevisionsGetFullSnapshot(t *testing.T) {
	s := memstore.New()
	f, _ := newFeed(s)
	must.NoError(t, f.Relist(t.Context()))
	listed := true
	var first store.Revision
	for size := range 5000 {
		revision := put(t, s, pool(size+1))
		if first == 0 {
			first = revision
		}
		must.NoError(t, f.ListOrWatch(t.Context(), &listed))
	}
	must.True(t, f.DeltaSince(first).Full)
	recent := f.DeltaSince(f.Snapshot().Revision - 10)
	must.False(t, recent.Full)
	must.Len(t, 10, recent.Changes)
}
