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

// newPlatform starts a server with an in-memory store and simulated hosts; wrap,
// if not nil, wraps its handler.
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

// Callers branch on the type of an error, so every typed error of the store must
// be decoded as the same type.
func TestTypedErrorsRoundTrip(t *testing.T) {
	client, kv, _ := newPlatform(t, nil)
	ctx := t.Context()
	_, err := client.Get(ctx, "/absent")
	must.True(t, store.IsNotFound(err))
	revision, err := client.CompareAndSwap(ctx, store.SwapRequest{Key: "/k", Value: []byte("1")})
	must.NoError(t, err)
	_, err = client.CompareAndSwap(ctx, store.SwapRequest{Key: "/k", Value: []byte("2")})
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

// The platform executes a write and the connection breaks before its response.
// The client must return an unknown outcome rather than "unavailable": a retry
// would conflict with the first write.
func TestLostWriteResponseIsUnknownOutcome(t *testing.T) {
	dropResponse := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
	}
	client, kv, _ := newPlatform(t, dropResponse)
	_, err := client.CompareAndSwap(t.Context(), store.SwapRequest{Key: "/k", Value: []byte("1")})
	must.True(t, store.IsUnknownOutcome(err))
	entry, err := kv.Get(t.Context(), "/k")
	must.NoError(t, err)
	must.EqOp(t, "1", string(entry.Value))
	_, err = client.Get(t.Context(), "/k")
	var unavailable *store.UnavailableError
	must.True(t, errors.As(err, &unavailable))
}

// A host operation whose response is lost may have taken effect; the error must
// report that the request was sent.
func TestLostHostOperationResponseIsReportedAsSent(t *testing.T) {
	dropResponse := func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		})
	}
	client, _, _ := newPlatform(t, dropResponse)
	err := client.Reboot(t.Context(), "host-001", "op-1")
	var unreachable *fleet.UnreachableError
	must.True(t, errors.As(err, &unreachable))
	must.True(t, unreachable.MaybeSent)
}

// If no connection can be opened, nothing was written, so the client must return
// "unavailable" and the caller need not read the key again.
func TestUnreachablePlatformIsUnavailableNotUnknown(t *testing.T) {
	client, _, server := newPlatform(t, nil)
	server.Close()
	_, err := client.CompareAndSwap(t.Context(), store.SwapRequest{Key: "/k", Value: []byte("1")})
	must.False(t, store.IsUnknownOutcome(err))
	var unavailable *store.UnavailableError
	must.True(t, errors.As(err, &unavailable))
}

// An unchanged host list is returned as the same slice, so that callers detect it
// without a comparison and can space their reads by what a changed list costs.
func TestUnchangedHostListReturnsSameSlice(t *testing.T) {
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

// testTimeout bounds waits in tests. It is long enough that a busy machine alone
// does not exceed it.
const testTimeout = time.Minute

// A client that cancels its watch must not leave the watch open at the platform.
func TestCancelledWatchIsClosed(t *testing.T) {
	client, kv, _ := newPlatform(t, nil)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)
	go func() {
		_, err := client.Watch(ctx, "/", 0)
		ended <- err
	}()
	opened := func(wanted int64) func() bool { return func() bool { return kv.Counts().OpenWatches == wanted } }
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(opened(1)), wait.Timeout(testTimeout)))
	cancel()
	must.Error(t, <-ended)
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(opened(0)), wait.Timeout(testTimeout)))
}
