// Package storerpc implements the RPCs with which an entry host reads from a relay what
// all entry hosts watch, and makes calls to the store through another entry host.
package storerpc

import (
	"context"
	"net/http"
	"time"

	"auburnglade.example/glade/internal/clientcache"
	"auburnglade.example/glade/internal/deflate"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storeaccess"
	"auburnglade.example/glade/internal/storerpc/storepb"
)

// connections bounds the connections to one entry host: a waiting watch of each shared
// prefix, and calls.
const connections = 4

// Service is the interface that an entry host serves to other entry hosts.
type Service interface {
	ServeList(prefix string) (store.Listing, error)
	ServeWatch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error)
	// Own is this process's own client of the store.
	Own() store.Transactor
}

// PathPrefix is the URL path prefix at which the handler must be mounted.
const PathPrefix = storepb.StorePathPrefix

// NewHandler returns the HTTP handler of a Service.
func NewHandler(service Service) http.Handler {
	return storepb.NewStoreServer(&server{service: service})
}

type server struct {
	service Service
	// deflated holds the large values of shared prefixes.
	deflated deflate.Cache
}

func (s *server) ListShared(_ context.Context, r *storepb.ListRequest) (*storepb.ListReply, error) {
	listing, err := s.service.ServeList(r.Prefix)
	return s.listReply(listing, err, r.AcceptsDeflated), nil
}

func (s *server) WatchShared(ctx context.Context, r *storepb.WatchRequest) (*storepb.WatchReply, error) {
	batch, err := s.service.ServeWatch(ctx, r.Prefix, store.Revision(r.After))
	return s.watchReply(batch, err, r.AcceptsDeflated), nil
}

func (s *server) Watch(ctx context.Context, r *storepb.WatchRequest) (*storepb.WatchReply, error) {
	batch, err := s.service.Own().Watch(ctx, r.Prefix, store.Revision(r.After))
	return s.watchReply(batch, err, false), nil
}

func (s *server) watchReply(batch store.WatchBatch, err error, acceptsDeflated bool) *storepb.WatchReply {
	reply := &storepb.WatchReply{Outcome: outcomeOf(err), Revision: int64(batch.Revision), QuietUs: batch.Quiet.Microseconds()}
	for _, event := range batch.Events {
		encoded := s.encodeShared(event.Entry, acceptsDeflated)
		encoded.Deleted = event.Deleted
		reply.Events = append(reply.Events, encoded)
	}
	return reply
}

func (s *server) List(ctx context.Context, r *storepb.ListRequest) (*storepb.ListReply, error) {
	listing, err := s.service.Own().List(ctx, r.Prefix)
	return s.listReply(listing, err, false), nil
}

func (s *server) listReply(listing store.Listing, err error, acceptsDeflated bool) *storepb.ListReply {
	reply := &storepb.ListReply{Outcome: outcomeOf(err), Revision: int64(listing.Revision), QuietUs: listing.Quiet.Microseconds()}
	for _, entry := range listing.Entries {
		reply.Entries = append(reply.Entries, s.encodeShared(entry, acceptsDeflated))
	}
	return reply
}

func (s *server) Get(ctx context.Context, r *storepb.GetRequest) (*storepb.GetReply, error) {
	entry, err := s.service.Own().Get(ctx, r.Key)
	return &storepb.GetReply{Outcome: outcomeOf(err), Entry: encodeEntry(entry)}, nil
}

func (s *server) Commit(ctx context.Context, r *storepb.CommitRequest) (*storepb.CommitReply, error) {
	txn := store.Txn{Deletes: r.Deletes}
	for _, condition := range r.Conditions {
		txn.Conditions = append(txn.Conditions, store.Condition{Key: condition.Key, Expect: store.Revision(condition.Revision)})
	}
	for _, put := range r.Puts {
		txn.Puts = append(txn.Puts, store.Put{Key: put.Key, Value: put.Value, Lease: store.LeaseID(put.Lease)})
	}
	revision, err := s.service.Own().Commit(ctx, txn)
	reply := &storepb.CommitReply{Outcome: outcomeOf(err), Revision: int64(revision)}
	if conflict, ok := err.(*store.TxnConflictError); ok {
		reply.Current = encodeEntries(conflict.Current)
	}
	return reply, nil
}

func (s *server) Grant(ctx context.Context, r *storepb.GrantRequest) (*storepb.LeaseReply, error) {
	return leaseReply(s.service.Own().Grant(ctx, time.Duration(r.TtlMs)*time.Millisecond)), nil
}

func (s *server) KeepAlive(ctx context.Context, r *storepb.KeepAliveRequest) (*storepb.LeaseReply, error) {
	return leaseReply(s.service.Own().KeepAlive(ctx, store.LeaseID(r.Lease))), nil
}

func leaseReply(lease store.Lease, err error) *storepb.LeaseReply {
	return &storepb.LeaseReply{Outcome: outcomeOf(err), Lease: int64(lease.ID), TtlMs: lease.TTL.Milliseconds()}
}

// Client calls other entry hosts.
type Client struct {
	peers *clientcache.Cache[storepb.Store]
}

var _ storeaccess.Peers = (*Client)(nil)

// NewClient returns a client without connections, which it opens with dial.
func NewClient(dial clientcache.Dialer) *Client {
	return &Client{clientcache.New(clientcache.Config{Dial: dial, MaxConnections: connections}, func(url string, httpClient *http.Client) storepb.Store {
		return storepb.NewStoreProtobufClient(url, httpClient)
	})}
}

// failed returns the error for a call without a reply. Only a write that may have been
// sent has an unknown outcome.
func (c *Client) failed(op string, write bool, err error) error {
	c.peers.CloseIdleConnections()
	if write && !clientcache.NotSent(err) {
		return &store.UnknownOutcomeError{Op: op, Cause: err}
	}
	return &store.UnavailableError{Op: op, Cause: err}
}

// ListShared implements storeaccess.Peers.
func (c *Client) ListShared(ctx context.Context, address, prefix string) (store.Listing, error) {
	reply, err := c.peers.Get(address).ListShared(ctx, &storepb.ListRequest{Prefix: prefix, AcceptsDeflated: true})
	return c.listing(reply, err, prefix)
}

// List implements storeaccess.Peers.
func (c *Client) List(ctx context.Context, address, prefix string) (store.Listing, error) {
	reply, err := c.peers.Get(address).List(ctx, &storepb.ListRequest{Prefix: prefix})
	return c.listing(reply, err, prefix)
}

func (c *Client) listing(reply *storepb.ListReply, err error, prefix string) (store.Listing, error) {
	if err != nil {
		return store.Listing{}, c.failed("list", false, err)
	}
	if err := errorOf(reply.Outcome, "list", failure{key: prefix}); err != nil {
		return store.Listing{}, err
	}
	listing := store.Listing{Revision: store.Revision(reply.Revision), Quiet: time.Duration(reply.QuietUs) * time.Microsecond}
	for _, encoded := range reply.Entries {
		entry, err := decodeShared(encoded)
		if err != nil {
			return store.Listing{}, &store.UnavailableError{Op: "list", Cause: err}
		}
		listing.Entries = append(listing.Entries, entry)
	}
	return listing, nil
}

// WatchShared implements storeaccess.Peers.
func (c *Client) WatchShared(ctx context.Context, address, prefix string, after store.Revision) (store.WatchBatch, error) {
	reply, err := c.peers.Get(address).WatchShared(ctx, &storepb.WatchRequest{Prefix: prefix, After: int64(after), AcceptsDeflated: true})
	return c.batch(reply, err, prefix, after)
}

// Watch implements storeaccess.Peers.
func (c *Client) Watch(ctx context.Context, address, prefix string, after store.Revision) (store.WatchBatch, error) {
	reply, err := c.peers.Get(address).Watch(ctx, &storepb.WatchRequest{Prefix: prefix, After: int64(after)})
	return c.batch(reply, err, prefix, after)
}

func (c *Client) batch(reply *storepb.WatchReply, err error, prefix string, after store.Revision) (store.WatchBatch, error) {
	if err != nil {
		return store.WatchBatch{}, c.failed("watch", false, err)
	}
	if err := errorOf(reply.Outcome, "watch", failure{key: prefix, after: after}); err != nil {
		return store.WatchBatch{}, err
	}
	batch := store.WatchBatch{Revision: store.Revision(reply.Revision), Quiet: time.Duration(reply.QuietUs) * time.Microsecond}
	for _, event := range reply.Events {
		entry, err := decodeShared(event)
		if err != nil {
			return store.WatchBatch{}, &store.UnavailableError{Op: "watch", Cause: err}
		}
		batch.Events = append(batch.Events, store.Event{Entry: entry, Deleted: event.Deleted})
	}
	return batch, nil
}

// Get implements storeaccess.Peers.
func (c *Client) Get(ctx context.Context, address, key string) (store.Entry, error) {
	reply, err := c.peers.Get(address).Get(ctx, &storepb.GetRequest{Key: key})
	if err != nil {
		return store.Entry{}, c.failed("get", false, err)
	}
	if err := errorOf(reply.Outcome, "get", failure{key: key}); err != nil {
		return store.Entry{}, err
	}
	return decodeEntry(reply.Entry), nil
}

// Commit implements storeaccess.Peers.
func (c *Client) Commit(ctx context.Context, address string, txn store.Txn) (store.Revision, error) {
	request := &storepb.CommitRequest{Deletes: txn.Deletes}
	for _, condition := range txn.Conditions {
		request.Conditions = append(request.Conditions, &storepb.Condition{Key: condition.Key, Revision: int64(condition.Expect)})
	}
	for _, put := range txn.Puts {
		request.Puts = append(request.Puts, &storepb.Entry{Key: put.Key, Value: put.Value, Lease: int64(put.Lease)})
	}
	reply, err := c.peers.Get(address).Commit(ctx, request)
	if err != nil {
		return 0, c.failed("commit", true, err)
	}
	return store.Revision(reply.Revision), errorOf(reply.Outcome, "commit", failure{current: reply.Current, lease: txn.Lease()})
}

// Grant implements storeaccess.Peers.
func (c *Client) Grant(ctx context.Context, address string, ttl time.Duration) (store.Lease, error) {
	reply, err := c.peers.Get(address).Grant(ctx, &storepb.GrantRequest{TtlMs: ttl.Milliseconds()})
	return c.lease("grant", 0, reply, err)
}

// KeepAlive implements storeaccess.Peers.
func (c *Client) KeepAlive(ctx context.Context, address string, id store.LeaseID) (store.Lease, error) {
	reply, err := c.peers.Get(address).KeepAlive(ctx, &storepb.KeepAliveRequest{Lease: int64(id)})
	return c.lease("keep", id, reply, err)
}

func (c *Client) lease(op string, id store.LeaseID, reply *storepb.LeaseReply, err error) (store.Lease, error) {
	if err != nil {
		return store.Lease{}, c.failed(op, false, err)
	}
	if err := errorOf(reply.Outcome, op, failure{lease: id}); err != nil {
		return store.Lease{}, err
	}
	return store.Lease{ID: store.LeaseID(reply.Lease), TTL: time.Duration(reply.TtlMs) * time.Millisecond}, nil
}
