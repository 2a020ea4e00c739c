package drainer

import (
	"context"
	"fmt"
	"testing"

	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/fleet/fakefleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/hostview"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

// allShards owns every shard.
type allShards struct{}

func (allShards) Owns(string) bool { return true }

// syncedStore returns from a write only once the feed shows it.
type syncedStore struct {
	store.Store
	feed *configfeed.Feed
}

func (s *syncedStore) CompareAndSwap(ctx context.Context, write store.SwapRequest) (store.Revision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, write)
	if err == nil {
		err = s.feed.Relist(ctx)
	}
	return revision, err
}

// A reconcile runs while a visit ends and clears the host's last write. If the end of
// the visit read that write back, it would panic and hold the drainer's lock forever.
func TestReconcileDuringEndOfVisit(t *testing.T) {
	const visits = 400
	platform := &syncedStore{Store: memstore.New()}
	platform.feed = configfeed.New(platform, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	d := New(Config{
		Store: platform, Feed: platform.feed, Shards: allShards{}, Grants: budget.NewGrantStore(platform),
		HostControl: fakefleet.New([]fleet.Host{{Name: "h1"}}, fakefleet.Options{}),
		Invariant:   invariant.New(zerolog.Nop(), nil), Log: zerolog.Nop(),
	})
	rounds, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for rounds.Err() == nil {
			d.mergeRecords(&observation{View: hostview.View{
				Snapshot: d.Feed.Snapshot(), Records: make(map[string]configstate.HostRecord),
			}})
		}
	}()
	for visit := range visits {
		must.NoError(t, runVisit(t.Context(), d, fmt.Sprintf("operation-%d", visit)))
	}
}

// runVisit takes the host out under an operation and ends that visit.
func runVisit(ctx context.Context, d *Drainer, operation string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &panicError{cause}
		}
	}()
	const service = "a"
	if err := d.Grants.Acquire(ctx, "h1", budget.Grant{Operation: operation}, []string{service}, unlimitedBudget); err != nil {
		return err
	}
	out := hostrecord.Record{
		Host: "h1", Pool: "p1", Phase: hostrecord.Verifying, Wave: "w", Operation: operation,
		GrantedServices: []string{service}, WriteID: uuid.NewString(),
	}
	key := storekeys.Host(out.Host)
	item := d.Feed.Snapshot().Hosts[out.Host]
	revision, err := d.Store.CompareAndSwap(ctx, store.SwapRequest{Key: key, Expect: item.Revision, Value: out.Encode()})
	if err != nil {
		return err
	}
	return d.endVisit(ctx, &observation{}, out.Wave, nil, configstate.HostRecord{Record: out, Revision: revision})
}

// unlimitedBudget returns a service state whose budget allows every disruption.
func unlimitedBudget(service string) budget.ServiceState {
	return budget.ServiceState{Service: service, Budgets: []*record.Budget{{Service: service}}}
}

// panicError wraps a panic of the code under test.
type panicError struct{ cause any }

func (e *panicError) Error() string { return fmt.Sprint("panic: ", e.cause) }
