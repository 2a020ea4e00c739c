package drainer

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
)

// hangingStore blocks List calls until their context ends once hangs is closed.
type hangingStore struct {
	store.Store
	hangs chan struct{}
}

func (s *hangingStore) List(ctx context.Context, prefix string) (store.Listing, error) {
	select {
	case <-s.hangs:
		<-ctx.Done()
		return store.Listing{}, ctx.Err()
	default:
		return s.Store.List(ctx, prefix)
	}
}

// A drainer whose store calls hang must be visible in the metric of its last
// reconcile.
func TestLastReconcileMetricShowsStalledDrainer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const watched = time.Minute
		platform := &hangingStore{Store: memstore.New(), hangs: make(chan struct{})}
		checker := invariant.New(zerolog.Nop(), nil)
		d := New(Config{
			Store: platform, Feed: configfeed.New(platform, zerolog.Nop(), checker, nil), Shards: allShards{},
			Grants: budget.NewGrantStore(platform), Invariant: checker, Log: zerolog.Nop(),
		})
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		go func() { _ = d.Serve(ctx) }()
		time.Sleep(watched)
		must.Less(t, 2*DefaultInterval.Seconds(), secondsSinceReconcile(d))
		close(platform.hangs)
		time.Sleep(watched + sweepInterval)
		must.GreaterEq(t, watched.Seconds(), secondsSinceReconcile(d))
	})
}

// secondsSinceReconcile returns the seconds since the last reconcile according to the
// metric.
func secondsSinceReconcile(d *Drainer) float64 {
	return float64(time.Now().UnixNano())/1e9 - testutil.ToFloat64(d.metrics.lastReconcile)
}
