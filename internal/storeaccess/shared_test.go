package storeaccess

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/pause"
	"auburnglade.example/glade/internal/progress"
	"auburnglade.example/glade/internal/store"
)

// aheadRelay answers at once that it knew all changes a second after the call arrived.
type aheadRelay struct{ Peers }

func (aheadRelay) ListShared(context.Context, string, string) (store.Listing, error) {
	return store.Listing{Revision: 5, Quiet: time.Second}, nil
}

func (aheadRelay) WatchShared(context.Context, string, string, store.Revision) (store.WatchBatch, error) {
	return store.WatchBatch{Revision: 6, Quiet: time.Second}, nil
}

// Guards against a follower that was suspended and takes what it knows for newer than now.
func TestFollowerKnowsNothingOfTheFuture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{
			Peers: aheadRelay{}, Shared: []string{"p/"}, Route: func() Route { return Route{Relays: []string{"relay"}} },
			Log: zerolog.Nop(), Metrics: NewMetrics(nil),
		})
		listing, err := a.List(t.Context(), "p/")
		must.NoError(t, err)
		must.EqOp(t, 0, listing.Quiet)
		batch, err := a.Watch(t.Context(), "p/", 5)
		must.NoError(t, err)
		must.EqOp(t, 0, batch.Quiet)
	})
}

// refusingStore refuses all calls.
type refusingStore struct{ store.Transactor }

func (refusingStore) List(context.Context, string) (store.Listing, error) {
	return store.Listing{}, &store.UnavailableError{Op: "list"}
}

// thinPeer reads a list in a second and sends it in three.
type thinPeer struct{ Peers }

func (thinPeer) List(ctx context.Context, _, _ string) (store.Listing, error) {
	pause.For(ctx, time.Second)
	for range 10 {
		progress.Made(ctx)
		pause.For(ctx, 300*time.Millisecond)
	}
	if ctx.Err() != nil {
		return store.Listing{}, &store.UnavailableError{Op: "list", Cause: ctx.Err()}
	}
	return store.Listing{Revision: 7}, nil
}

// Guards against a pool whose jobs a new holder without the store never gets to read, since
// they take longer over a thin link than a call through another entry host may.
func TestLargeListThroughAnotherIsNotGivenUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := New(Config{
			Direct: refusingStore{}, Peers: thinPeer{}, Route: func() Route { return Route{HoldsClaims: true, Relays: []string{"relay"}} },
			Log: zerolog.Nop(), Metrics: NewMetrics(nil),
		})
		listing, err := a.List(t.Context(), "p/")
		must.NoError(t, err)
		must.EqOp(t, 7, listing.Revision)
	})
}
