package operatorapi_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/store/memstore"
)

func TestWatchCarriesDeletions(t *testing.T) {
	b := newBench(t, memstore.New())
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

// A watcher moves to a controller that started after a deletion. It can't be
// told of the deletion, so it must be told to take all records anew.
func TestWatchResetsWhenDeletionsMayBeMissing(t *testing.T) {
	s := memstore.New()
	old := newBench(t, s)
	old.put(pool("a", 1), 0)
	second := old.put(pool("b", 1), 0)
	_, err := old.client.Delete(t.Context(), pool("b", 1).ID(), second, false)
	must.NoError(t, err)
	fresh := newBench(t, s)
	fresh.follow()
	fresh.sync()
	changes, err := fresh.client.Watch(t.Context(), second)
	must.NoError(t, err)
	must.True(t, changes.Reset)
	must.SliceLen(t, 1, changes.Records)
}

// The first controller takes the change and dies before it answers. The
// client's second try through another controller must not meet its own first.
func TestFailOverAfterLostAnswer(t *testing.T) {
	s := memstore.New()
	one, other := newBench(t, s), newBench(t, s)
	dies := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		one.server.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}))
	defer dies.Close()
	client := operatorapi.NewClient("http://127.0.0.1:1", dies.URL, other.http.URL)
	accepted, err := client.Put(t.Context(), pool("a", 1), 0, false)
	must.NoError(t, err)
	must.SliceLen(t, 1, other.changes())
	got, err := client.Get(t.Context(), pool("a", 1).ID())
	must.NoError(t, err)
	must.Eq(t, accepted.Revision, got.Revision)
	_, err = operatorapi.NewClient(dies.URL, other.http.URL).Delete(t.Context(), got.ID, got.Revision, false)
	answerOf(t, err, operatorapi.CodeUnknownOutcome)
}
