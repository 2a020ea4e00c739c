package storeaccess

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

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
