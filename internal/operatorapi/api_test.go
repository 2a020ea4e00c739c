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

type nobodyLags struct{}

func (nobodyLags) Lagging(context.Context, store.Revision) []string { return nil }

// bench is one controller's API over a store whose feed moves only by sync.
type bench struct {
	t       *testing.T
	store   *memstore.Store
	feed    *configfeed.Feed
	journal *operatorapi.DeletionLog
	audit   *audit.Recorder
	server  *operatorapi.Server
	http    *httptest.Server
	client  *operatorapi.Client
}

func newBench(t *testing.T, s *memstore.Store) *bench {
	t.Helper()
	f := configfeed.New(s, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	b := &bench{t: t, store: s, feed: f, journal: operatorapi.NewDeletionLog(f)}
	b.audit = audit.NewRecorder(audit.Config{Store: s, Member: uuid.NewString(), Log: zerolog.Nop()})
	b.server = operatorapi.New(operatorapi.Config{
		Store: s, Feed: f, Confirmer: nobodyLags{}, Deletions: b.journal, Audit: b.audit, Authenticator: auth.AllowAll{}, Log: zerolog.Nop(),
	})
	b.http = httptest.NewServer(b.server)
	t.Cleanup(b.http.Close)
	b.client = operatorapi.NewClient(b.http.URL)
	return b
}

// sync brings the controller's snapshot up to the store.
func (b *bench) sync() {
	b.t.Helper()
	listing, err := b.store.List(b.t.Context(), storekeys.SharedPrefix)
	must.NoError(b.t, err)
	b.feed.Install(configstate.FromListing(b.feed.Snapshot(), listing))
}

// changes returns every change of operators' records that the store has taken.
func (b *bench) changes() []store.Event {
	b.t.Helper()
	batch, err := b.store.Watch(b.t.Context(), storekeys.SpecPrefix, 0)
	must.NoError(b.t, err)
	return batch.Events
}

// follow serves the journal until the test ends.
func (b *bench) follow() {
	ctx, stop := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	wait.Go(func() { _ = b.journal.Serve(ctx) })
	b.t.Cleanup(func() { stop(); wait.Wait() })
}

func (b *bench) put(envelope record.Envelope, expect store.Revision) store.Revision {
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

func answerOf(t *testing.T, err error, code operatorapi.Code) *operatorapi.ErrorResponse {
	t.Helper()
	var answer *operatorapi.ErrorResponse
	must.True(t, errors.As(err, &answer), must.Sprint(err))
	must.Eq(t, code, answer.Code, must.Sprint(answer.Message))
	return answer
}

// Two operators read the same version and both amend it. One is accepted; the
// other is told of a conflict and gets what the first one left.
func TestRacingOperatorsOneWins(t *testing.T) {
	b := newBench(t, memstore.New())
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
		answer := answerOf(t, err, operatorapi.CodeConflict)
		must.NotNil(t, answer.Current)
		must.Eq(t, got.Revision, answer.Current.Revision)
		must.EqJSON(t, string(got.Stored), string(answer.Current.Stored))
	}
	must.Eq(t, 1, won)
	must.Greater(t, read, got.Revision)
}

func TestPreconditions(t *testing.T) {
	b := newBench(t, memstore.New())
	b.put(pool("a", 1), 0)
	_, err := b.client.Put(t.Context(), pool("a", 2), 0, false)
	answerOf(t, err, operatorapi.CodeConflict)
	for _, match := range []string{"", "*", `"x"`, `"-1"`, `"0"`} {
		request := httptest.NewRequest(http.MethodPut, "/v1/records/Pool/a", strings.NewReader("{}"))
		request.Header.Set("If-Match", match)
		answer := httptest.NewRecorder()
		b.server.ServeHTTP(answer, request)
		must.Eq(t, http.StatusPreconditionRequired, answer.Code)
	}
}

func TestDryRunWritesNothing(t *testing.T) {
	b := newBench(t, memstore.New())
	accepted, err := b.client.Put(t.Context(), pool("a", 1), 0, true)
	must.NoError(t, err)
	must.True(t, accepted.DryRun)
	must.Zero(t, b.store.Counts().Writes)
	_, err = b.client.Put(t.Context(), pool("a", -1), 0, true)
	answerOf(t, err, operatorapi.CodeInvalid)
}

func TestInvalidRecordsAreRefusedWithFieldPaths(t *testing.T) {
	b := newBench(t, memstore.New())
	bad := pool("a", -1, "none")
	_, err := b.client.Put(t.Context(), bad, 0, false)
	must.Eq(t, "spec.size", answerOf(t, err, operatorapi.CodeInvalid).Faults[0].Field)
	_, err = b.client.Put(t.Context(), pool("a", 1, "none"), 0, false)
	must.Eq(t, "spec.services[0]", answerOf(t, err, operatorapi.CodeInvalid).Faults[0].Field)
	misspelled := pool("a", 1)
	misspelled.Spec = json.RawMessage(`{"size":1,"sizes":2}`)
	_, err = b.client.Put(t.Context(), misspelled, 0, false)
	must.Eq(t, "spec.sizes", answerOf(t, err, operatorapi.CodeInvalid).Faults[0].Field)
	newer := pool("a", 1)
	newer.Schema = record.MaxSchema + 1
	_, err = b.client.Put(t.Context(), newer, 0, false)
	answerOf(t, err, operatorapi.CodeSchema)
	must.Zero(t, b.store.Counts().Writes)
}

// A pool is applied right after its service, and this controller's snapshot
// has seen neither. Refusing the pool would be a lie about the configuration.
func TestReferenceToRecordNotYetInSnapshot(t *testing.T) {
	b := newBench(t, memstore.New())
	b.put(service("match"), 0)
	b.put(pool("match", 1, "match"), 0)
	must.Zero(t, b.feed.Snapshot().Revision)
}

// A service is deleted through one controller right after a pool that names it
// was applied through another. The deletion must see the pool.
func TestDeleteSeesReferenceNotYetInSnapshot(t *testing.T) {
	s := memstore.New()
	one, other := newBench(t, s), newBench(t, s)
	revision := one.put(service("match"), 0)
	one.sync()
	other.put(pool("match", 1, "match"), 0)
	_, err := one.client.Delete(t.Context(), service("match").ID(), revision, false)
	must.StrContains(t, answerOf(t, err, operatorapi.CodeReferenced).Message, "Pool/match")
}

// Fields that only a newer build knows were written at a schema this build
// knows too. Amending another field through this build keeps them; new unknown
// fields are still refused as misspellings.
func TestUnknownFieldsOfStoredVersionSurviveAmendment(t *testing.T) {
	b := newBench(t, memstore.New())
	stored := pool("a", 1)
	stored.Spec = json.RawMessage(`{"size":1,"colour":"red"}`)
	value, err := json.Marshal(stored)
	must.NoError(t, err)
	revision, err := b.store.CompareAndSwap(t.Context(), store.Write{Key: storekeys.Spec(stored.ID()), Value: value})
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
	must.Eq(t, "spec.shape", answerOf(t, err, operatorapi.CodeInvalid).Faults[0].Field)
}

// Someone writes nonsense straight into the store. The last good version stays
// in force, and get, list and status say why the newest one isn't.
func TestInvalidRecordWrittenPastTheAPI(t *testing.T) {
	b := newBench(t, memstore.New())
	id := pool("a", 1).ID()
	good := b.put(pool("a", 7), 0)
	b.sync()
	for _, nonsense := range []string{`{"kind":"Pool","name":"a","schema":1,"spec":{"size":-4}}`, `nonsense`} {
		entry, err := b.store.Get(t.Context(), storekeys.Spec(id))
		must.NoError(t, err)
		_, err = b.store.CompareAndSwap(t.Context(), store.Write{Key: storekeys.Spec(id), Expect: entry.ModRevision, Value: []byte(nonsense)})
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

// The store takes the write and its answer is lost. The operator must read
// "accepted", the record must have changed once, and a further amendment from
// the answered revision must not conflict.
func TestLostAnswerIsAcceptedExactlyOnce(t *testing.T) {
	b := newBench(t, memstore.New())
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

// lateStore holds the first write back, reports its outcome as unknown, and
// lets it take effect only when the writer tries again.
type lateStore struct {
	store.Store
	held *store.Write
}

func (s *lateStore) CompareAndSwap(ctx context.Context, write store.Write) (store.Revision, error) {
	if s.held == nil {
		s.held = &write
		return 0, &store.UnknownOutcomeError{Op: "swap", Cause: context.DeadlineExceeded}
	}
	if _, err := s.Store.CompareAndSwap(ctx, *s.held); err != nil {
		return 0, err
	}
	return s.Store.CompareAndSwap(ctx, write)
}

// The answer is lost, the re-read shows the old version, and the first try
// takes effect just before the second. Without the look at the write identity
// the operator is told of a conflict with their own change.
func TestLateWriteIsNoConflictWithItself(t *testing.T) {
	inner := memstore.New()
	f := configfeed.New(inner, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	server := operatorapi.New(operatorapi.Config{
		Store: &lateStore{Store: inner}, Feed: f, Confirmer: nobodyLags{}, Deletions: operatorapi.NewDeletionLog(f), Authenticator: auth.AllowAll{}, Log: zerolog.Nop(),
	})
	front := httptest.NewServer(server)
	defer front.Close()
	accepted, err := operatorapi.NewClient(front.URL).Put(t.Context(), pool("a", 1), 0, false)
	must.NoError(t, err)
	entry, err := inner.Get(t.Context(), storekeys.Spec(pool("a", 1).ID()))
	must.NoError(t, err)
	must.Eq(t, entry.ModRevision, accepted.Revision)
}

// The store is away: writes are refused, reads come from the configuration in
// force with a warning, and nothing is said to have been accepted.
func TestStoreAway(t *testing.T) {
	b := newBench(t, memstore.New())
	revision := b.put(pool("a", 1), 0)
	b.sync()
	b.store.SetDown(true)
	_, err := b.client.Put(t.Context(), pool("a", 2), revision, false)
	answerOf(t, err, operatorapi.CodeStoreUnavailable)
	_, err = b.client.Delete(t.Context(), pool("a", 2).ID(), revision, false)
	answerOf(t, err, operatorapi.CodeStoreUnavailable)
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
	b := newBench(t, memstore.New())
	send := func() int {
		request := httptest.NewRequest(http.MethodPut, "/v1/records/Pool/a", bytes.NewReader(make([]byte, 300<<10)))
		request.Header.Set("If-None-Match", "*")
		answer := httptest.NewRecorder()
		b.server.ServeHTTP(answer, request)
		return answer.Code
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

// FuzzAPI: whatever is sent, the answer is JSON with a known status, and a
// change that is answered with 200 is in the store.
func FuzzAPI(f *testing.F) {
	f.Add("PUT", "/v1/records/Pool/a", "*", `{"kind":"Pool","name":"a","schema":1,"spec":{"size":1}}`)
	f.Add("DELETE", "/v1/records/Pool/a", `"1"`, "")
	f.Add("GET", "/v1/explain/Host/%2F", "", "")
	f.Add("GET", "/v1/inforce?revision=x", "", "")
	s := memstore.New()
	checker := configfeed.New(s, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	server := operatorapi.New(operatorapi.Config{
		Store: s, Feed: checker, Confirmer: nobodyLags{}, Deletions: operatorapi.NewDeletionLog(checker), Authenticator: auth.AllowAll{}, Log: zerolog.Nop(),
	})
	f.Fuzz(func(t *testing.T, method, path, match, body string) {
		request, err := http.NewRequest(method, "http://127.0.0.1"+path, strings.NewReader(body))
		if err != nil || strings.HasPrefix(request.URL.Path, "/v1/watch") {
			return
		}
		// Each its own client, or the rate limit answers for the handler.
		request.RemoteAddr = uuid.NewString()
		if match == "*" {
			request.Header.Set("If-None-Match", match)
		} else {
			request.Header.Set("If-Match", match)
		}
		answer := httptest.NewRecorder()
		server.ServeHTTP(answer, request)
		if answer.Code == http.StatusOK && method == http.MethodPut && !strings.Contains(path, "dryRun") {
			var accepted operatorapi.ChangeResponse
			must.NoError(t, json.Unmarshal(answer.Body.Bytes(), &accepted))
			entry, err := s.Get(t.Context(), storekeys.Spec(accepted.Record))
			must.NoError(t, err)
			must.Eq(t, accepted.Revision, entry.ModRevision)
		}
		must.NotEq(t, http.StatusInternalServerError, answer.Code)
	})
}
