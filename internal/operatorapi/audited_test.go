package operatorapi_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

func (b *backend) entries() []audit.Entry {
	b.t.Helper()
	response, err := b.client.Audit(b.t.Context(), time.Now(), record.ID{}, "")
	must.NoError(b.t, err)
	return response.Entries
}

func TestChangesAreAudited(t *testing.T) {
	b := newBackend(t, memstore.New())
	first := b.put(pool("a", 1), 0)
	second := b.put(pool("a", 2), first)
	_, err := b.client.Put(t.Context(), pool("a", 3), first, false)
	errorResponse(t, err, operatorapi.CodeConflict)
	_, err = b.client.Delete(t.Context(), pool("a", 2).ID(), second, true)
	must.NoError(t, err)
	got := b.entries()
	must.SliceLen(t, 3, got, must.Sprint("a change refused as a conflict leaves no entry"))
	for i, e := range got {
		must.Eq(t, "anyone at 127.0.0.1", e.Author)
		must.Eq(t, audit.Accepted, e.Outcome)
		must.Eq(t, i == 2, e.BreakGlass)
	}
	must.StrContains(t, string(got[1].Before), `"size":1`)
	must.StrContains(t, string(got[1].After), `"size":2`)
	must.Eq(t, audit.Delete, got[2].Verb)
	must.StrContains(t, string(got[2].Before), `"size":2`)
}

// failingStore fails writes to keys with a prefix, once the first `after` ones
// have succeeded.
type failingStore struct {
	store.Store
	prefix string
	after  int
}

func (s *failingStore) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	if strings.HasPrefix(write.Key, s.prefix) {
		if s.after--; s.after < 0 {
			return 0, &store.UnavailableError{Op: "swap", Cause: context.DeadlineExceeded}
		}
	}
	return s.Store.CompareAndSwap(ctx, write)
}

// The audit page can't be written. The change must not be made, because its
// author would not be recorded.
func TestNoChangeWithoutItsAuditEntry(t *testing.T) {
	b := newBackend(t, memstore.New())
	b.server.Audit = audit.NewRecorder(audit.Config{
		Store: &failingStore{Store: b.store, prefix: storekeys.AuditPrefix}, Member: "other", Log: zerolog.Nop(),
	})
	_, err := b.client.Put(t.Context(), pool("a", 1), 0, false)
	errorResponse(t, err, operatorapi.CodeStoreUnavailable)
	_, err = b.store.Get(t.Context(), storekeys.Spec(pool("a", 1).ID()))
	must.True(t, store.IsNotFound(err))
}

// The audit entry is stored and the write of the change fails, as if the
// controller had failed in between. The entry must be listed and must not be
// reported as accepted.
func TestEntryWithoutItsChange(t *testing.T) {
	b := newBackend(t, memstore.New())
	b.server.Store = &failingStore{Store: b.store, prefix: storekeys.SpecPrefix}
	_, err := b.client.Put(t.Context(), pool("a", 1), 0, false)
	errorResponse(t, err, operatorapi.CodeStoreUnavailable)
	got := b.entries()
	must.SliceLen(t, 1, got)
	must.Eq(t, audit.LikelyNotApplied, got[0].Outcome)
	b.audit.Flush(t.Context())
	must.Eq(t, audit.Refused, b.entries()[0].Outcome)
}

// The store's responses are lost twice during one change. The audit must list
// one entry, with the record's revision.
func TestLostResponseIsAuditedOnce(t *testing.T) {
	b := newBackend(t, memstore.New())
	b.store.LoseResponses(2)
	revision := b.put(pool("a", 1), 0)
	b.audit.Flush(t.Context())
	got := b.entries()
	must.SliceLen(t, 1, got)
	must.Eq(t, revision, got[0].Revision)
}
