package storerpc

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/clientcache"
	"auburnglade.example/glade/internal/deflate"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storeaccess"
	"auburnglade.example/glade/internal/storerpc/storepb"
)

// failingStore fails all calls with the same error.
type failingStore struct {
	*memstore.Store
	err error
}

func (s *failingStore) Commit(context.Context, store.Txn) (store.Revision, error) { return 0, s.err }

func (s *failingStore) Get(context.Context, string) (store.Entry, error) { return store.Entry{}, s.err }

func (s *failingStore) KeepAlive(context.Context, store.LeaseID) (store.Lease, error) {
	return store.Lease{}, s.err
}

// service serves a store, and a shared prefix from it.
type service struct {
	own       store.Transactor
	sharedErr error
}

func (s *service) Own() store.Transactor { return s.own }

func (s *service) ServeList(prefix string) (store.Listing, error) {
	if s.sharedErr != nil {
		return store.Listing{}, s.sharedErr
	}
	listing, err := s.own.List(context.Background(), prefix)
	listing.Quiet = -300 * time.Millisecond
	return listing, err
}

func (s *service) ServeWatch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if s.sharedErr != nil {
		return store.WatchBatch{}, s.sharedErr
	}
	return s.own.Watch(ctx, prefix, after)
}

// connect serves a service and returns a client with its address.
func connect(t *testing.T, s Service) (client *Client, address string) {
	server := httptest.NewServer(NewHandler(s))
	t.Cleanup(server.Close)
	return NewClient(clientcache.DialTCP), strings.TrimPrefix(server.URL, "http://")
}

// Guards against a refused write that is taken for one that may have happened, or vice versa.
func TestErrorsOfTheStoreSurviveTheWay(t *testing.T) {
	for _, want := range []error{
		&store.UnavailableError{Op: "commit"}, &store.ThrottledError{Op: "commit"}, &store.UnknownOutcomeError{Op: "commit"},
		&store.TxnConflictError{Current: []store.Entry{{Key: "k", Value: []byte("v"), ModRevision: 7}}}, &store.LeaseExpiredError{ID: 5},
		&store.TooManyOpsError{Ops: 40},
	} {
		client, address := connect(t, &service{own: &failingStore{memstore.New(), want}})
		_, err := client.Commit(t.Context(), address, store.Txn{Puts: []store.Put{{Key: "k", Lease: 5}}})
		if _, tooMany := want.(*store.TooManyOpsError); tooMany {
			must.True(t, store.IsRefused(err))
			continue
		}
		must.EqOp(t, reflect.TypeOf(want), reflect.TypeOf(err))
		if conflict, ok := err.(*store.TxnConflictError); ok {
			must.EqOp(t, 7, conflict.Find("k").ModRevision)
		}
	}
}

func TestCallsReachTheStoreThroughAnother(t *testing.T) {
	client, address := connect(t, &service{own: memstore.New()})
	ctx := t.Context()
	lease, err := client.Grant(ctx, address, time.Minute)
	must.NoError(t, err)
	_, err = client.KeepAlive(ctx, address, lease.ID)
	must.NoError(t, err)
	revision, err := client.Commit(ctx, address, store.Txn{
		Conditions: []store.Condition{{Key: "p/k"}}, Puts: []store.Put{{Key: "p/k", Value: []byte("v"), Lease: lease.ID}},
	})
	must.NoError(t, err)
	entry, err := client.Get(ctx, address, "p/k")
	must.NoError(t, err)
	must.Eq(t, store.Entry{Key: "p/k", Value: []byte("v"), ModRevision: revision, Lease: lease.ID}, entry)
	_, err = client.Get(ctx, address, "none")
	must.True(t, store.IsNotFound(err))
	listing, err := client.ListShared(ctx, address, "p/")
	must.NoError(t, err)
	must.Len(t, 1, listing.Entries)
	must.EqOp(t, -300*time.Millisecond, listing.Quiet)
	batch, err := client.Watch(ctx, address, "p/", 0)
	must.NoError(t, err)
	must.Len(t, 1, batch.Events)
}

// Guards against a write that never left and isn't tried elsewhere.
func TestWriteThatNeverLeftIsRefused(t *testing.T) {
	server := httptest.NewServer(nil)
	address := strings.TrimPrefix(server.URL, "http://")
	server.Close()
	_, err := NewClient(clientcache.DialTCP).Commit(t.Context(), address, store.Txn{})
	must.True(t, store.IsRefused(err))
}

func TestRelayWithoutStoreSaysSo(t *testing.T) {
	client, address := connect(t, &service{own: memstore.New(), sharedErr: &storeaccess.NotCurrentError{Prefix: "p/"}})
	_, err := client.WatchShared(t.Context(), address, "p/", 1)
	_, ok := err.(*storeaccess.NotCurrentError)
	must.True(t, ok)
	client, address = connect(t, &service{own: memstore.New(), sharedErr: &store.CompactedError{Asked: 1}})
	_, err = client.WatchShared(t.Context(), address, "p/", 1)
	must.True(t, store.IsCompacted(err))
}

// Guards against large values that fill the link of a relay.
func TestLargeSharedValuesAreSentCompressed(t *testing.T) {
	own := memstore.New()
	large := bytes.Repeat([]byte("route "), deflate.MinBytes)
	_, err := own.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "p/large", Value: large}, {Key: "p/small", Value: []byte("v")}}})
	must.NoError(t, err)
	client, address := connect(t, &service{own: own})
	listing, err := client.ListShared(t.Context(), address, "p/")
	must.NoError(t, err)
	must.Eq(t, large, listing.Entries[0].Value)
	must.Eq(t, []byte("v"), listing.Entries[1].Value)
	batch, err := client.WatchShared(t.Context(), address, "p/large", 0)
	must.NoError(t, err)
	must.Eq(t, large, batch.Events[0].Entry.Value)

	rpc := storepb.NewStoreProtobufClient("http://"+address, http.DefaultClient)
	reply, err := rpc.ListShared(t.Context(), &storepb.ListRequest{Prefix: "p/", AcceptsDeflated: true})
	must.NoError(t, err)
	must.Less(t, len(large)/10, len(reply.Entries[0].Deflated))
	must.SliceEmpty(t, reply.Entries[0].Value)
}

// Guards against an entry host of an older version that gets an empty configuration.
func TestCallerThatDoesNotAcceptCompressedValuesGetsThemPlain(t *testing.T) {
	own := memstore.New()
	large := bytes.Repeat([]byte("route "), deflate.MinBytes)
	_, err := own.Commit(t.Context(), store.Txn{Puts: []store.Put{{Key: "p/large", Value: large}}})
	must.NoError(t, err)
	_, address := connect(t, &service{own: own})
	rpc := storepb.NewStoreProtobufClient("http://"+address, http.DefaultClient)
	reply, err := rpc.WatchShared(t.Context(), &storepb.WatchRequest{Prefix: "p/"})
	must.NoError(t, err)
	must.Eq(t, large, reply.Events[0].Value)
}
