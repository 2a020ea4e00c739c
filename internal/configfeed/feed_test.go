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

// put writes one record as an operator's change or past our API.
func put(t *testing.T, s *memstore.Store, envelope record.Envelope) store.Revision {
	t.Helper()
	value, err := json.Marshal(envelope)
	must.NoError(t, err)
	key := storekeys.Spec(envelope.ID())
	entry, _ := s.Get(t.Context(), key)
	revision, err := s.CompareAndSwap(t.Context(), store.Write{Key: key, Expect: entry.ModRevision, Value: value})
	must.NoError(t, err)
	return revision
}

func pool(size int) record.Envelope { return record.NewEnvelope("web", &record.Pool{Size: size}) }

// Deltas from several peers arrive late, twice and out of order. The feed ends
// where the last one leads and never goes back on the way: a change that is
// undone by an old message would be one that callers see come and go.
func TestDeltasLateTwiceAndOutOfOrder(t *testing.T) {
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
			// What is older or doesn't fit is refused.
			_ = target.ApplyDelta(delta)
			must.GreaterEq(t, last, target.Snapshot().Revision)
			last = target.Snapshot().Revision
		}
		must.Eq(t, source.Snapshot().Digest, target.Snapshot().Digest)
		must.Eq(t, 8, target.Snapshot().Pools()["web"].Size)
		must.SliceEmpty(t, checker.Violations())
	}
}

// The store is restored from a backup and shows an older revision. The feed
// says so and keeps what is in force; when the store has passed it, the feed
// follows again.
func TestStoreWentBack(t *testing.T) {
	s := memstore.New()
	f, checker := newFeed(s)
	put(t, s, pool(1))
	backup := s.Backup()
	put(t, s, pool(2))
	must.NoError(t, f.Relist(t.Context()))
	s.Restore(backup)
	var back *configfeed.StoreBehindError
	must.True(t, errors.As(f.Relist(t.Context()), &back))
	must.Eq(t, 2, f.Snapshot().Pools()["web"].Size)
	must.True(t, f.StoreBehind())
	put(t, s, pool(3))
	put(t, s, pool(4))
	must.NoError(t, f.Relist(t.Context()))
	must.Eq(t, 4, f.Snapshot().Pools()["web"].Size)
	must.False(t, f.StoreBehind())
	must.SliceEmpty(t, checker.Violations())
}

// The store's history is compacted under a watch. The feed lists again and has
// what it missed, a deletion included.
func TestCompactionUnderAWatch(t *testing.T) {
	s := memstore.New()
	f, _ := newFeed(s)
	revision := put(t, s, pool(1))
	listed := false
	must.NoError(t, f.ListOrWatch(t.Context(), &listed))
	must.True(t, listed)
	_, err := s.CompareAndSwap(t.Context(), store.Write{Key: storekeys.Spec(pool(1).ID()), Expect: revision, Delete: true})
	must.NoError(t, err)
	s.CompactAll()
	must.NoError(t, f.ListOrWatch(t.Context(), &listed))
	must.False(t, listed)
	must.NoError(t, f.ListOrWatch(t.Context(), &listed))
	must.MapEmpty(t, f.Snapshot().Pools())
}

// A record is overwritten past our API by something that is no record. A
// process that starts later never saw the good version; it has it from a peer,
// by a snapshot as by a delta.
func TestLastGoodVersionReachesALateProcess(t *testing.T) {
	s := memstore.New()
	source, _ := newFeed(s)
	first := put(t, s, pool(3))
	must.NoError(t, source.Relist(t.Context()))
	key := storekeys.Spec(pool(3).ID())
	_, err := s.CompareAndSwap(t.Context(), store.Write{Key: key, Expect: first, Value: []byte("rubbish")})
	must.NoError(t, err)
	late, _ := newFeed(s)
	must.NoError(t, late.Relist(t.Context()))
	must.MapEmpty(t, late.Snapshot().Pools())
	must.NoError(t, source.Relist(t.Context()))
	byWhole, _ := newFeed(s)
	must.NoError(t, byWhole.ApplyDelta(source.Snapshot().FullDelta()))
	must.Eq(t, 3, byWhole.Snapshot().Pools()["web"].Size)
	must.Eq(t, first, byWhole.Snapshot().Rejected[pool(3).ID()].ActiveRevision)
	// And on from there, when it passes the snapshot on itself.
	third, _ := newFeed(s)
	must.NoError(t, third.ApplyDelta(byWhole.Snapshot().FullDelta()))
	must.Eq(t, 3, third.Snapshot().Pools()["web"].Size)
}

// Only what every part of the process works with is confirmed: a controller
// that hears of the feed's revision would stop a host that still gets work by
// the routing table from before.
func TestServedWaitsForThePartsAtWork(t *testing.T) {
	s := memstore.New()
	f, _ := newFeed(s)
	worksWith := f.RegisterConsumer("gateway")
	revision := put(t, s, pool(1))
	must.NoError(t, f.Relist(t.Context()))
	must.Eq(t, 0, f.ServedRevision())
	worksWith(revision)
	must.Eq(t, revision, f.ServedRevision())
}

// A feed has missed an event that its revision covers. The store's listing at
// that very revision puts it right.
func TestListingRepairsAMissedEvent(t *testing.T) {
	s := memstore.New()
	f, _ := newFeed(s)
	must.NoError(t, f.Relist(t.Context()))
	revision := put(t, s, pool(1))
	f.Install(f.Snapshot().Apply(store.WatchBatch{Revision: revision}))
	must.MapEmpty(t, f.Snapshot().Pools())
	must.NoError(t, f.Relist(t.Context()))
	must.Eq(t, 1, f.Snapshot().Pools()["web"].Size)
}

// More events than the feed keeps: a peer that is further behind is given the
// whole snapshot, and never a delta with a gap.
func TestOldRevisionsGetTheWholeSnapshot(t *testing.T) {
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
