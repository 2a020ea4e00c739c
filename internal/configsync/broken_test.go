package configsync_test

import (
	"context"
	"sync/atomic"

	"auburnglade.example/glade/internal/store"
)

// brokenStore is the store client of one member. It can fail independently of those
// of other members.
type brokenStore struct {
	store.Store
	down atomic.Bool
}

func newBrokenStore(s store.Store) *brokenStore { return &brokenStore{Store: s} }

type disconnectedError struct{}

func (disconnectedError) Error() string { return "cut off" }

func (b *brokenStore) fail(op string) error {
	if b.down.Load() {
		return &store.UnavailableError{Op: op, Cause: disconnectedError{}}
	}
	return nil
}

func (b *brokenStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	if err := b.fail("list"); err != nil {
		return store.Listing{}, err
	}
	return b.Store.List(ctx, prefix)
}

func (b *brokenStore) Watch(ctx context.Context, prefix string, after store.Revision) (store.WatchBatch, error) {
	if err := b.fail("watch"); err != nil {
		return store.WatchBatch{}, err
	}
	batch, err := b.Store.Watch(ctx, prefix, after)
	if failed := b.fail("watch"); failed != nil {
		return store.WatchBatch{}, failed
	}
	return batch, err
}

func (b *brokenStore) KeepAlive(ctx context.Context, id store.LeaseID) (store.Lease, error) {
	if err := b.fail("keep-alive"); err != nil {
		return store.Lease{}, err
	}
	return b.Store.KeepAlive(ctx, id)
}
