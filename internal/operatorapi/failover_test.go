package operatorapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/store/memstore"
)

func TestWatchIncludesDeletions(t *testing.T) {
	b := newBackend(t, memstore.New())
	first := b.put(pool("a", 1), 0)
	b.put(pool("b", 1), 0)
	b.follow()
	b.sync()
	changes, err := b.client.Watch(t.Context(), 0)
	must.NoError(t, err)
	must.SliceLen(t, 2, changes.Records)
	_, err = b.client.Delete(t.Context(), pool("a", 1).ID(), first, false)
	must.NoError(t, err)
	b.sync()
	changes, err = b.client.Watch(t.Context(), changes.Revision)
	must.NoError(t, err)
	must.SliceEmpty(t, changes.Records)
	must.Eq(t, []operatorapi.Deletion{{ID: pool("a", 1).ID(), Revision: changes.Revision}}, changes.Deleted)
}

// A watcher fails over to a controller that started after a deletion and has no
// record of it. The response must have Reset set, so that the watcher replaces
// all its records.
func TestWatchResetsWhenDeletionsMayBeMissing(t *testing.T) {
	s := memstore.New()
	old := newBackend(t, s)
	old.put(pool("a", 1), 0)
	second := old.put(pool("b", 1), 0)
	_, err := old.client.Delete(t.Context(), pool("b", 1).ID(), second, false)
	must.NoError(t, err)
	fresh := newBackend(t, s)
	fresh.follow()
	fresh.sync()
	changes, err := fresh.client.Watch(t.Context(), second)
	must.NoError(t, err)
	must.True(t, changes.Reset)
	must.SliceLen(t, 1, changes.Records)
}

// A controller commits the change and fails before it responds. The client's
// retry through another controller must not conflict with its own first
// attempt.
func TestFailOverAfterLostResponse(t *testing.T) {
	s := memstore.New()
	one, other := newBackend(t, s), newBackend(t, s)
	crashing := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		one.server.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer crashing.Close()
	client := operatorapi.NewClient("http://127.0.0.1:1", crashing.URL, other.http.URL)
	accepted, err := client.Put(t.Context(), pool("a", 1), 0, false)
	must.NoError(t, err)
	must.SliceLen(t, 1, other.changes())
	got, err := client.Get(t.Context(), pool("a", 1).ID())
	must.NoError(t, err)
	must.Eq(t, accepted.Revision, got.Revision)
	_, err = operatorapi.NewClient(crashing.URL, other.http.URL).Delete(t.Context(), got.ID, got.Revision, false)
	errorResponse(t, err, operatorapi.CodeUnknownOutcome)
}
