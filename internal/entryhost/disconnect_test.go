package entryhost_test

import (
	"context"
	"sync/atomic"
	"time"

	"auburnglade.example/glade/internal/store"
)

// gate refuses store calls while it is closed, and gives no answer while it is silent.
type gate struct{ closed, silent atomic.Bool }

func (g *gate) set(closed bool) { g.closed.Store(closed) }

func (g *gate) silence(silent bool) { g.silent.Store(silent) }

// storeTimeout is how long a call to the store waits for an answer.
const storeTimeout = 1500 * time.Millisecond

func (g *gate) refusal(op string) error {
	if g.silent.Load() {
		time.Sleep(storeTimeout)
		return &store.UnavailableError{Op: op, Cause: context.DeadlineExceeded}
	}
	if !g.closed.Load() {
		return nil
	}
	return &store.UnavailableError{Op: op, Cause: context.DeadlineExceeded}
}

func (c *cutStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := c.refusal("get"); err != nil {
		return store.Entry{}, err
	}
	return c.Store.Get(ctx, key)
}

func (c *cutStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	if err := c.refusal("list"); err != nil {
		return store.Listing{}, err
	}
	return c.Store.List(ctx, prefix)
}

func (c *cutStore) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	if err := c.refusal("swap"); err != nil {
		return 0, err
	}
	return c.Store.CompareAndSwap(ctx, write)
}

func (c *cutStore) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	if err := c.refusal("commit"); err != nil {
		return 0, err
	}
	return c.Store.Commit(ctx, txn)
}

func (c *cutStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if err := c.refusal("watch"); err != nil {
		return store.WatchBatch{}, err
	}
	return c.Store.Watch(ctx, prefix, after)
}

func (c *cutStore) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	if err := c.refusal("keep"); err != nil {
		return store.Lease{}, err
	}
	return c.Store.KeepAlive(ctx, id)
}

func (c *cutStore) Grant(ctx context.Context, ttl time.Duration) (store.Lease, error) {
	if err := c.refusal("grant"); err != nil {
		return store.Lease{}, err
	}
	return c.Store.Grant(ctx, ttl)
}
