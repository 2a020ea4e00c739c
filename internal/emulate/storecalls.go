package emulate

import (
	"context"
	"time"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storeaccess"
)

var _ storeaccess.Peers = (*Network)(nil)

// StoreCalls counts calls between entry hosts in place of the store.
type StoreCalls struct {
	Lists, Watches int
	// Entries and Events are what lists and watches delivered.
	Entries, Events int
	// Relayed are the calls made to the store for another entry host.
	Relayed int
}

// StoreCalls returns the counts since the network was created.
func (n *Network) StoreCalls() StoreCalls {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.storeCalls
}

func (n *Network) countStoreCall(count func(c *StoreCalls)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	count(&n.storeCalls)
}

// access returns the access of an entry host, as reach does.
func (n *Network) access(ctx context.Context, address, op string, write bool) (*storeaccess.Access, error) {
	entry, err := n.reach(ctx, address)
	if err == nil {
		return entry.access, nil
	}
	if write {
		return nil, &store.UnknownOutcomeError{Op: op, Cause: err}
	}
	return nil, &store.UnavailableError{Op: op, Cause: err}
}

// ListShared implements storeaccess.Peers.
func (n *Network) ListShared(ctx context.Context, address, prefix string) (store.Listing, error) {
	access, err := n.access(ctx, address, "list", false)
	if err != nil {
		return store.Listing{}, err
	}
	listing, err := access.ServeList(prefix)
	n.countStoreCall(func(c *StoreCalls) { c.Lists++; c.Entries += len(listing.Entries) })
	pause.For(ctx, hopLatency)
	return listing, err
}

// WatchShared implements storeaccess.Peers.
func (n *Network) WatchShared(ctx context.Context, address, prefix string, after store.Revision) (store.WatchBatch, error) {
	access, err := n.access(ctx, address, "watch", false)
	if err != nil {
		return store.WatchBatch{}, err
	}
	batch, err := access.ServeWatch(ctx, prefix, after)
	n.countStoreCall(func(c *StoreCalls) { c.Watches++; c.Events += len(batch.Events) })
	pause.For(ctx, hopLatency)
	return batch, err
}

// throughPeer makes a call to the store for another entry host.
func throughPeer[T any](ctx context.Context, n *Network, address, op string, write bool, call func(s store.Transactor) (T, error)) (result T, err error) {
	access, err := n.access(ctx, address, op, write)
	if err != nil {
		return result, err
	}
	n.countStoreCall(func(c *StoreCalls) { c.Relayed++ })
	return call(access.Own())
}

// List implements storeaccess.Peers.
func (n *Network) List(ctx context.Context, address, prefix string) (store.Listing, error) {
	return throughPeer(ctx, n, address, "list", false, func(s store.Transactor) (store.Listing, error) { return s.List(ctx, prefix) })
}

// Watch implements storeaccess.Peers.
func (n *Network) Watch(ctx context.Context, address, prefix string, after store.Revision) (store.WatchBatch, error) {
	return throughPeer(ctx, n, address, "watch", false, func(s store.Transactor) (store.WatchBatch, error) { return s.Watch(ctx, prefix, after) })
}

// Get implements storeaccess.Peers.
func (n *Network) Get(ctx context.Context, address, key string) (store.Entry, error) {
	return throughPeer(ctx, n, address, "get", false, func(s store.Transactor) (store.Entry, error) { return s.Get(ctx, key) })
}

// Commit implements storeaccess.Peers.
func (n *Network) Commit(ctx context.Context, address string, txn store.Txn) (store.Revision, error) {
	return throughPeer(ctx, n, address, "commit", true, func(s store.Transactor) (store.Revision, error) { return s.Commit(ctx, txn) })
}

// Grant implements storeaccess.Peers.
func (n *Network) Grant(ctx context.Context, address string, ttl time.Duration) (store.Lease, error) {
	return throughPeer(ctx, n, address, "grant", false, func(s store.Transactor) (store.Lease, error) { return s.Grant(ctx, ttl) })
}

// KeepAlive implements storeaccess.Peers.
func (n *Network) KeepAlive(ctx context.Context, address string, id store.LeaseID) (store.Lease, error) {
	return throughPeer(ctx, n, address, "keep", false, func(s store.Transactor) (store.Lease, error) { return s.KeepAlive(ctx, id) })
}
