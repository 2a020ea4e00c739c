package platformhttp

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// newPlatform serves a stand-in; wrap, when given, stands before its handler.
func newPlatform(t *testing.T, wrap func(http.Handler) http.Handler) (*Client, *memstore.Store, *httptest.Server) {
	t.Helper()
	kv := memstore.New()
	hosts := fakefleet.New([]fleet.Host{{Name: "host-001", Zone: "a"}}, fakefleet.Options{})
	handler := NewHandler(Backend{Store: kv, Hosts: hosts, HostControl: hosts})
	if wrap != nil {
		handler = wrap(handler)
	}
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return NewClient(server.URL), kv, server
}

// Every typed error of the store must arrive as the same type: the callers'
// decisions hang on it.
func TestTypedErrorsSurviveTheWire(t *testing.T) {
	client, kv, _ := newPlatform(t, nil)
	ctx := t.Context()
	_, err := client.Get(ctx, "/absent")
	must.True(t, store.IsNotFound(err))
	revision, err := client.CompareAndSwap(ctx, store.Write{Key: "/k", Value: []byte("1")})
	must.NoError(t, err)
	_, err = client.CompareAndSwap(ctx, store.Write{Key: "/k", Value: []byte("2")})
	var conflict *store.ConflictError
	must.True(t, errors.As(err, &conflict))
	must.EqOp(t, revision, conflict.Actual)
	_, err = client.KeepAlive(ctx, 99)
	must.True(t, store.IsLeaseExpired(err))
	kv.CompactAll()
	_, err = client.Watch(ctx, "/", 0)
	must.True(t, store.IsCompacted(err))
	kv.SetThrottled(true)
	_, err = client.Get(ctx, "/k")
	var throttled *store.ThrottledError
	must.True(t, errors.As(err, &throttled))
	must.EqOp(t, time.Second, throttled.RetryAfter)
	_, err = client.Condition(ctx, "nobody")
	var unknown *fleet.HostUnknownError
	must.True(t, errors.As(err, &unknown))
}

// The platform takes a write and its answer is cut. The writer must hear
// "unknown", not "nothing happened": a second try would meet its own first.
func TestCutAnswerOfAWriteIsUnknown(t *testing.T) {
	cut := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
	}
	client, kv, _ := newPlatform(t, cut)
	_, err := client.CompareAndSwap(t.Context(), store.Write{Key: "/k", Value: []byte("1")})
	must.True(t, store.IsUnknownOutcome(err))
	entry, err := kv.Get(t.Context(), "/k")
	must.NoError(t, err)
	must.EqOp(t, "1", string(entry.Value))
	_, err = client.Get(t.Context(), "/k")
	var unavailable *store.UnavailableError
	must.True(t, errors.As(err, &unavailable))
}

// An act whose answer is cut may have taken effect, and says so.
func TestCutAnswerOfAnActIsSent(t *testing.T) {
	cut := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
	}
	client, _, _ := newPlatform(t, cut)
	err := client.Reboot(t.Context(), "host-001", "op-1")
	var unreachable *fleet.UnreachableError
	must.True(t, errors.As(err, &unreachable))
	must.True(t, unreachable.Sent)
}

// The platform is gone: nothing can have been written, so nothing needs to be
// read again when it comes back.
func TestGonePlatformIsUnavailableNotUnknown(t *testing.T) {
	client, _, server := newPlatform(t, nil)
	server.Close()
	_, err := client.CompareAndSwap(t.Context(), store.Write{Key: "/k", Value: []byte("1")})
	must.False(t, store.IsUnknownOutcome(err))
	var unavailable *store.UnavailableError
	must.True(t, errors.As(err, &unavailable))
}

// A list that hasn't changed comes back as the very slice of before, which is
// what lets readings be paced by what they cost.
func TestUnchangedHostListIsTheSameSlice(t *testing.T) {
	statuses := make(chan int, 3)
	record := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			recorder := httptest.NewRecorder()
			next.ServeHTTP(recorder, r)
			statuses <- recorder.Code
			for name, values := range recorder.Header() {
				w.Header()[name] = values
			}
			w.WriteHeader(recorder.Code)
			_, _ = w.Write(recorder.Body.Bytes())
		})
	}
	client, _, _ := newPlatform(t, record)
	first, err := client.Hosts(t.Context())
	must.NoError(t, err)
	second, err := client.Hosts(t.Context())
	must.NoError(t, err)
	must.EqOp(t, http.StatusOK, <-statuses)
	must.EqOp(t, http.StatusNotModified, <-statuses)
	must.True(t, &first[0] == &second[0])
	must.NoError(t, client.Drain(t.Context(), "host-001", "op"))
	third, err := client.Hosts(t.Context())
	must.NoError(t, err)
	must.EqOp(t, fleet.HostDraining, third[0].State)
}

// hung is when a test gives up. It decides nothing on a machine that is merely busy.
const hung = time.Minute

// A watcher that goes away must not hold a watch at the platform.
func TestCancelledWatchEnds(t *testing.T) {
	client, kv, _ := newPlatform(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := client.Watch(ctx, "/", 0)
		ended <- err
	}()
	opened := func(wanted int64) func() bool { return func() bool { return kv.Counts().OpenWatches == wanted } }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(opened(1)), wait.Timeout(hung)))
	cancel()
	must.Error(t, <-ended)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(opened(0)), wait.Timeout(hung)))
}
