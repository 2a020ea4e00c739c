package operatorapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

type noneLagging struct{}

func (noneLagging) Lagging(context.Context, store.Revision) []string { return nil }

// backend is one controller's API over a store. Its feed changes only when the
// test calls sync.
type backend struct {
	t         *testing.T
	store     *memstore.Store
	feed      *configfeed.Feed
	deletions *operatorapi.DeletionLog
	audit     *audit.Recorder
	server    *operatorapi.Server
	http      *httptest.Server
	client    *operatorapi.Client
}

func newBackend(t *testing.T, s *memstore.Store) *backend {
	t.Helper()
	f := configfeed.New(s, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	b := &backend{t: t, store: s, feed: f, deletions: operatorapi.NewDeletionLog(f)}
	b.audit = audit.NewRecorder(audit.Config{Store: s, Member: uuid.NewString(), Log: zerolog.Nop()})
	b.server = operatorapi.New(operatorapi.Config{
		Store: s, Feed: f, Confirmer: noneLagging{}, Deletions: b.deletions, Audit: b.audit, Authenticator: auth.AllowAll{}, Log: zerolog.Nop(),
	})
	b.http = httptest.NewServer(b.server)
	t.Cleanup(b.http.Close)
	b.client = operatorapi.NewClient(b.http.URL)
	return b
}

// sync updates the controller's snapshot to the store's current state.
func (b *backend) sync() {
	b.t.Helper()
	listing, err := b.store.List(b.t.Context(), storekeys.SharedPrefix)
	must.NoError(b.t, err)
	b.feed.Install(configstate.FromListing(b.feed.Snapshot(), listing))
}

// changes returns every committed change of operators' records.
func (b *backend) changes() []store.Event {
	b.t.Helper()
	batch, err := b.store.Watch(b.t.Context(), storekeys.SpecPrefix, 0)
	must.NoError(b.t, err)
	return batch.Events
}

// follow serves the deletion log until the test ends.
func (b *backend) follow() {
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = b.deletions.Serve(ctx) })
	b.t.Cleanup(func() { stop(); wait.Wait() })
}

func (b *backend) put(envelope record.Envelope, expect store.Revision) store.Revision {
	b.t.Helper()
	accepted, err := b.client.Put(b.t.Context(), envelope, expect, false)
	must.NoError(b.t, err)
	return accepted.Revision
}

func service(name string) record.Envelope {
	return record.NewEnvelope(name, &record.Service{PathPrefix: "/" + name + "/", Port: 8000})
}

func pool(name string, size int, services ...string) record.Envelope {
	return record.NewEnvelope(name, &record.Pool{Size: size, Services: services})
}

func errorResponse(t *testing.T, err error, code operatorapi.Code) *operatorapi.ErrorResponse {
	t.Helper()
	var response *operatorapi.ErrorResponse
	must.True(t, errors.As(err, &response), must.Sprint(err))
	must.Eq(t, code, response.Code, must.Sprint(response.Message))
	return response
}

// Several operators read the same version and amend it concurrently. Exactly
// one is accepted; the others get a conflict with the version that was
// accepted.
func TestConcurrentAmendmentsExactlyOneIsAccepted(t *testing.T) {
	b := newBackend(t, memstore.New())
	read := b.put(pool("a", 1), 0)
	const operators = 8
	errs := make([]error, operators)
	var wait sync.WaitGroup
	for i := range operators {
		wait.Go(func() { _, errs[i] = b.client.Put(t.Context(), pool("a", 10+i), read, false) })
	}
	wait.Wait()
	got, err := b.client.Get(t.Context(), record.ID{Kind: record.KindPool, Name: "a"})
	must.NoError(t, err)
	won := 0
	for _, err := range errs {
		if err == nil {
			won++
			continue
		}
		response := errorResponse(t, err, operatorapi.CodeConflict)
		must.NotNil(t, response.Current)
		must.Eq(t, got.Revision, response.Current.Revision)
		must.EqJSON(t, string(got.Stored), string(response.Current.Stored))
	}
	must.Eq(t, 1, won)
	must.Greater(t, read, got.Revision)
}

func TestPreconditions(t *testing.T) {
	b := newBackend(t, memstore.New())
	b.put(pool("a", 1), 0)
	_, err := b.client.Put(t.Context(), pool("a", 2), 0, false)
	errorResponse(t, err, operatorapi.CodeConflict)
	for _, match := range []string{"", "*", `"x"`, `"-1"`, `"0"`} {
		request := httptest.NewRequest(http.MethodPut, "/v1/records/Pool/a", strings.NewReader("{}"))
		request.Header.Set("If-Match", match)
		response := httptest.NewRecorder()
		b.server.ServeHTTP(response, request)
		must.Eq(t, http.StatusPreconditionRequired, response.Code)
	}
}

func TestDryRunWritesNothing(t *testing.T) {
	b := newBackend(t, memstore.New())
	accepted, err := b.client.Put(t.Context(), pool("a", 1), 0, true)
	must.NoError(t, err)
	must.True(t, accepted.DryRun)
	must.Zero(t, b.store.Counts().Writes)
	_, err = b.client.Put(t.Context(), pool("a", -1), 0, true)
	errorResponse(t, err, operatorapi.CodeInvalid)
}

func TestInvalidRecordsAreRefusedWithFieldPaths(t *testing.T) {
	b := newBackend(t, memstore.New())
	bad := pool("a", -1, "none")
	_, err := b.client.Put(t.Context(), bad, 0, false)
	must.Eq(t, "spec.size", errorResponse(t, err, operatorapi.CodeInvalid).Faults[0].Field)
	_, err = b.client.Put(t.Context(), pool("a", 1, "none"), 0, false)
	must.Eq(t, "spec.services[0]", errorResponse(t, err, operatorapi.CodeInvalid).Faults[0].Field)
	misspelled := pool("a", 1)
	misspelled.Spec = json.RawMessage(`{"size":1,"sizes":2}`)
	_, err = b.client.Put(t.Context(), misspelled, 0, false)
	must.Eq(t, "spec.sizes", errorResponse(t, err, operatorapi.CodeInvalid).Faults[0].Field)
	newer := pool("a", 1)
	newer.Schema = record.MaxSchema + 1
	_, err = b.client.Put(t.Context(), newer, 0, false)
	errorResponse(t, err, operatorapi.CodeSchema)
	must.Zero(t, b.store.Counts().Writes)
}

// A pool is applied right after its service, before this controller's snapshot
// includes either. The pool must not be rejected because of a missing service.
func TestReferenceToRecordNotYetInSnapshot(t *testing.T) {
	b := newBackend(t, memstore.New())
	b.put(service("match"), 0)
	b.put(pool("match", 1, "match"), 0)
	must.Zero(t, b.feed.Snapshot().Revision)
}

// A service is deleted through one controller right after a pool that refers to
// it was applied through another. The deletion must be refused because of the
// pool.
func TestDeleteSeesReferenceNotYetInSnapshot(t *testing.T) {
	s := memstore.New()
	one, other := newBackend(t, s), newBackend(t, s)
	revision := one.put(service("match"), 0)
	one.sync()
	other.put(pool("match", 1, "match"), 0)
	_, err := one.client.Delete(t.Context(), service("match").ID(), revision, false)
	must.StrContains(t, errorResponse(t, err, operatorapi.CodeReferenced).Message, "Pool/match")
}

// A newer build stored fields unknown to this build, at a schema version that
// this build supports. Amending another field through this build must preserve
// them; other unknown fields are still rejected as misspellings.
func TestUnknownFieldsOfStoredVersionSurviveAmendment(t *testing.T) {
	b := newBackend(t, memstore.New())
	stored := pool("a", 1)
	stored.Spec = json.RawMessage(`{"size":1,"colour":"red"}`)
	value, err := json.Marshal(stored)
	must.NoError(t, err)
	revision, err := b.store.CompareAndSwap(t.Context(), store.SwapRequest{Key: storekeys.Spec(stored.ID()), Value: value})
	must.NoError(t, err)
	amended := stored
	amended.Spec, err = record.Patch(stored.Spec, &record.Pool{Size: 5})
	must.NoError(t, err)
	revision = b.put(amended, revision)
	got, err := b.client.Get(t.Context(), stored.ID())
	must.NoError(t, err)
	must.StrContains(t, string(got.Stored), `"colour":"red"`)
	amended.Spec = json.RawMessage(`{"size":5,"colour":"red","shape":1}`)
	_, err = b.client.Put(t.Context(), amended, revision, false)
	must.Eq(t, "spec.shape", errorResponse(t, err, operatorapi.CodeInvalid).Faults[0].Field)
}

// An invalid record is written directly into the store. The last valid version
// must stay active, and get, list and status must report why the newest one is
// rejected.
func TestInvalidRecordWrittenDirectlyToTheStore(t *testing.T) {
	b := newBackend(t, memstore.New())
	id := pool("a", 1).ID()
	good := b.put(pool("a", 7), 0)
	b.sync()
	for _, nonsense := range []string{`{"kind":"Pool","name":"a","schema":1,"spec":{"size":-4}}`, `nonsense`} {
		entry, err := b.store.Get(t.Context(), storekeys.Spec(id))
		must.NoError(t, err)
		_, err = b.store.CompareAndSwap(t.Context(), store.SwapRequest{Key: storekeys.Spec(id), Expect: entry.ModRevision, Value: []byte(nonsense)})
		must.NoError(t, err)
		got, err := b.client.Get(t.Context(), id)
		must.NoError(t, err)
		must.NotNil(t, got.Rejected, must.Sprint("before the snapshot has it"))
		b.sync()
		must.Eq(t, 7, b.feed.Snapshot().Pools()["a"].Size)
		got, err = b.client.Get(t.Context(), id)
		must.NoError(t, err)
		must.Eq(t, good, got.Rejected.ActiveRevision)
		list, err := b.client.List(t.Context(), record.KindPool)
		must.NoError(t, err)
		must.NotEq(t, "", list.Records[0].Rejected.Reason)
		fleet, err := b.client.Fleet(t.Context())
		must.NoError(t, err)
		must.MapContainsKey(t, fleet.Rejected, "Pool/a")
	}
	got, err := b.client.Get(t.Context(), id)
	must.NoError(t, err)
	b.put(pool("a", 8), got.Revision)
	got, err = b.client.Get(t.Context(), id)
	must.NoError(t, err)
	must.Nil(t, got.Rejected)
}

// The store commits a write and its response is lost. The operator must get
// "accepted", the record must have changed exactly once, and a further
// amendment from the returned revision must not conflict.
func TestLostResponseIsAcceptedExactlyOnce(t *testing.T) {
	b := newBackend(t, memstore.New())
	b.store.LoseResponses(1)
	created := b.put(pool("a", 1), 0)
	b.store.LoseResponses(1)
	amended := b.put(pool("a", 2), created)
	must.Greater(t, created, amended)
	b.store.LoseResponses(1)
	_, err := b.client.Delete(t.Context(), pool("a", 2).ID(), amended, false)
	must.NoError(t, err)
	must.SliceLen(t, 3, b.changes())
}

// lateStore delays the first write: it reports an unknown outcome and applies
// the write only when the writer retries.
type lateStore struct {
	store.Store
	delayed *store.SwapRequest
}

func (s *lateStore) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	if s.delayed == nil {
		s.delayed = &write
		return 0, &store.UnknownOutcomeError{Op: "swap", Cause: context.DeadlineExceeded}
	}
	if _, err := s.Store.CompareAndSwap(ctx, *s.delayed); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, write)
}

// The response to a write is lost, the re-read returns the old version, and the
// first write takes effect just before the retry. Without the check of the
// write ID the operator would get a conflict with their own change.
func TestDelayedWriteDoesNotConflictWithItsRetry(t *testing.T) {
	inner := memstore.New()
	f := configfeed.New(inner, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	server := operatorapi.New(operatorapi.Config{
		Store: &lateStore{Store: inner}, Feed: f, Confirmer: noneLagging{}, Deletions: operatorapi.NewDeletionLog(f), Authenticator: auth.AllowAll{}, Log: zerolog.Nop(),
	})
	front := httptest.NewServer(server)
	defer front.Close()
	accepted, err := operatorapi.NewClient(front.URL).Put(t.Context(), pool("a", 1), 0, false)
	must.NoError(t, err)
	entry, err := inner.Get(t.Context(), storekeys.Spec(pool("a", 1).ID()))
	must.NoError(t, err)
	must.Eq(t, entry.ModRevision, accepted.Revision)
}

// The store is unavailable: writes must be refused, and reads must come from
// the active configuration with a warning.
func TestStoreUnavailable(t *testing.T) {
	b := newBackend(t, memstore.New())
	revision := b.put(pool("a", 1), 0)
	b.sync()
	b.store.SetDown(true)
	_, err := b.client.Put(t.Context(), pool("a", 2), revision, false)
	errorResponse(t, err, operatorapi.CodeStoreUnavailable)
	_, err = b.client.Delete(t.Context(), pool("a", 2).ID(), revision, false)
	errorResponse(t, err, operatorapi.CodeStoreUnavailable)
	got, err := b.client.Get(t.Context(), pool("a", 1).ID())
	must.NoError(t, err)
	must.Eq(t, revision, got.Revision)
	list, err := b.client.List(t.Context(), "")
	must.NoError(t, err)
	must.SliceLen(t, 1, list.Records)
	b.store.SetDown(false)
	b.put(pool("a", 2), revision)
}

func TestNoControllerReachable(t *testing.T) {
	_, err := operatorapi.NewClient("http://127.0.0.1:1").Put(t.Context(), pool("a", 1), 0, false)
	var unreachable *operatorapi.UnreachableError
	must.True(t, errors.As(err, &unreachable))
	must.False(t, unreachable.MaybeSent)
}

func TestSizeAndRateLimits(t *testing.T) {
	b := newBackend(t, memstore.New())
	send := func() int {
		request := httptest.NewRequest(http.MethodPut, "/v1/records/Pool/a", bytes.NewReader(make([]byte, 300<<10)))
		request.Header.Set("If-None-Match", "*")
		response := httptest.NewRecorder()
		b.server.ServeHTTP(response, request)
		return response.Code
	}
	must.Eq(t, http.StatusRequestEntityTooLarge, send())
	refused := false
	for range 500 {
		refused = refused || send() == http.StatusTooManyRequests
	}
	must.True(t, refused)
	_, err := b.client.List(t.Context(), "")
	must.NoError(t, err, must.Sprint("another client is not refused"))
	must.Zero(t, b.store.Counts().Writes)
}

// FuzzAPI sends arbitrary requests. The response must never be an internal
// error, and a change that is answered with 200 must be in the store.
func FuzzAPI(f *testing.F) {
	f.Add("PUT", "/v1/records/Pool/a", "*", `{"kind":"Pool","name":"a","schema":1,"spec":{"size":1}}`)
	f.Add("DELETE", "/v1/records/Pool/a", `"1"`, "")
	f.Add("GET", "/v1/explain/Host/%2F", "", "")
	f.Add("GET", "/v1/inforce?revision=x", "", "")
	s := memstore.New()
	feed := configfeed.New(s, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	server := operatorapi.New(operatorapi.Config{
		Store: s, Feed: feed, Confirmer: noneLagging{}, Deletions: operatorapi.NewDeletionLog(feed), Authenticator: auth.AllowAll{}, Log: zerolog.Nop(),
	})
	f.Fuzz(func(t *testing.T, method, path, match, body string) {
		request, err := http.NewRequest(method, "http://127.0.0.1"+path, strings.NewReader(body))
		if err != nil || strings.HasPrefix(request.URL.Path, "/v1/watch") {
			return
		}
		// Each request uses its own client address, or the rate limit would
		// reject it before the handler runs.
		request.RemoteAddr = uuid.NewString()
		if match == "*" {
			request.Header.Set("If-None-Match", match)
		} else {
			request.Header.Set("If-Match", match)
		}
		response := httptest.NewRecorder()
		server.ServeHTTP(response, request)
		if response.Code == http.StatusOK && method == http.MethodPut && !strings.Contains(path, "dryRun") {
			var accepted operatorapi.ChangeResponse
			must.NoError(t, json.Unmarshal(response.Body.Bytes(), &accepted))
			entry, err := s.Get(t.Context(), storekeys.Spec(accepted.Record))
			must.NoError(t, err)
			must.Eq(t, accepted.Revision, entry.ModRevision)
		}
		must.NotEq(t, http.StatusInternalServerError, response.Code)
	})
}
