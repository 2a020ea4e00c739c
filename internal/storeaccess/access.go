// Package storeaccess is an entry host's way to the store. What all entry hosts watch is
// read from the store by a few of them in each availability zone, the relays, and followed
// by the others, so that the store's calls don't grow with the fleet. A process whose
// calls the store refuses makes those that matter through another entry host.
package storeaccess

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/store"
)

// Peers calls other entry hosts in place of the store. An entry host never passes such a
// call on to a third one. A call that never left, or that the store refused there, returns
// *store.UnavailableError or *store.ThrottledError; a write without a response
// *store.UnknownOutcomeError.
type Peers interface {
	// ListShared and WatchShared return what a relay knows of a shared prefix, or
	// *NotCurrentError.
	ListShared(ctx context.Context, address, prefix string) (store.Listing, error)
	WatchShared(ctx context.Context, address, prefix string, after store.Revision) (store.WatchBatch, error)
	Commit(ctx context.Context, address string, txn store.Txn) (store.Revision, error)
	Get(ctx context.Context, address, key string) (store.Entry, error)
	List(ctx context.Context, address, prefix string) (store.Listing, error)
	Watch(ctx context.Context, address, prefix string, after store.Revision) (store.WatchBatch, error)
	Grant(ctx context.Context, address string, ttl time.Duration) (store.Lease, error)
	KeepAlive(ctx context.Context, address string, id store.LeaseID) (store.Lease, error)
}

// Config configures an Access.
type Config struct {
	// Direct is the client of the store.
	Direct store.Transactor
	Peers  Peers
	// Shared are the prefixes that all entry hosts watch.
	Shared []string
	// Route returns how this process reaches the store now.
	Route   func() Route
	Log     zerolog.Logger
	Metrics *Metrics
}

// Access implements store.Transactor. It is safe for concurrent use.
type Access struct {
	Config
	caches map[string]*cache

	mu sync.Mutex
	// failing are the sources that failed last, by address; the store's is empty.
	failing map[string]failing
	// source is where the last answer to a watch of a shared prefix came from.
	source string
	// refusedSince is since when the store has refused all calls, zero if it serves.
	refusedSince time.Time
	// relayAfter is when calls may go through other entry hosts again.
	relayAfter time.Time
}

var _ store.Transactor = (*Access)(nil)

// New returns an Access.
func New(config Config) *Access {
	a := &Access{Config: config, caches: make(map[string]*cache), failing: make(map[string]failing)}
	for _, prefix := range config.Shared {
		a.caches[prefix] = newCache(prefix)
	}
	return a
}

// List implements store.Store.
func (a *Access) List(ctx context.Context, prefix string) (store.Listing, error) {
	if c := a.caches[prefix]; c != nil {
		return a.listShared(ctx, c)
	}
	return throughPeers(ctx, a, listThroughTimeout, func() (store.Listing, error) { return a.Direct.List(ctx, prefix) },
		func(ctx context.Context, address string) (store.Listing, error) {
			return a.Peers.List(ctx, address, prefix)
		})
}

// Watch implements store.Store.
func (a *Access) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if c := a.caches[prefix]; c != nil {
		return a.watchShared(ctx, c, after)
	}
	return throughPeers(ctx, a, followTimeout, func() (store.WatchBatch, error) { return a.Direct.Watch(ctx, prefix, after) },
		func(ctx context.Context, address string) (store.WatchBatch, error) {
			return a.Peers.Watch(ctx, address, prefix, after)
		})
}

// Get implements store.Store.
func (a *Access) Get(ctx context.Context, key string) (store.Entry, error) {
	return throughPeers(ctx, a, relayTimeout, func() (store.Entry, error) { return a.Direct.Get(ctx, key) },
		func(ctx context.Context, address string) (store.Entry, error) { return a.Peers.Get(ctx, address, key) })
}

// Commit implements store.Transactor.
func (a *Access) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	return throughPeers(ctx, a, relayTimeout, func() (store.Revision, error) { return a.Direct.Commit(ctx, txn) },
		func(ctx context.Context, address string) (store.Revision, error) {
			return a.Peers.Commit(ctx, address, txn)
		})
}

// Grant implements store.Store.
func (a *Access) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	return throughPeers(ctx, a, relayTimeout, func() (store.Lease, error) { return a.Direct.Grant(ctx, ttl) },
		func(ctx context.Context, address string) (store.Lease, error) {
			return a.Peers.Grant(ctx, address, ttl)
		})
}

// KeepAlive implements store.Store.
func (a *Access) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	return throughPeers(ctx, a, relayTimeout, func() (store.Lease, error) { return a.Direct.KeepAlive(ctx, id) },
		func(ctx context.Context, address string) (store.Lease, error) {
			return a.Peers.KeepAlive(ctx, address, id)
		})
}

// CompareAndSwap implements store.Store.
func (a *Access) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	return a.Direct.CompareAndSwap(ctx, write)
}

// Revoke implements store.Store.
func (a *Access) Revoke(ctx context.Context, id store.LeaseID) error { return a.Direct.Revoke(ctx, id) }

// Own returns this process's own client of the store, for a call made for another entry
// host.
func (a *Access) Own() store.Transactor {
	a.Metrics.serves(servedCall)
	return a.Direct
}
