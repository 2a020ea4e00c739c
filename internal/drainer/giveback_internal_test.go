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

// heldShards holds every shard.
type heldShards struct{}

func (heldShards) Owns(string) bool { return true }

// seenStore answers a write only once the feed shows it.
type seenStore struct {
	store.Store
	feed *configfeed.Feed
}

func (s *seenStore) CompareAndSwap(ctx context.Context, write store.Write) (store.Revision, error) {
	revision, err := s.Store.CompareAndSwap(ctx, write)
	if err == nil {
		err = s.feed.Relist(ctx)
	}
	return revision, err
}

// Guards against a visit's end that reads its own write back from the memory
// that a round has cleared meanwhile, and then holds the drainer's lock for ever.
func TestRoundsBesideTheEndOfAVisit(t *testing.T) {
	const visits = 400
	platform := &seenStore{Store: memstore.New()}
	platform.feed = configfeed.New(platform, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	d := New(Config{
		Store: platform, Feed: platform.feed, Shards: heldShards{}, Grants: budget.NewGrantStore(platform),
		HostControl: fakefleet.New([]fleet.Host{{Name: "h1"}}, fakefleet.Options{}),
		Invariant:   invariant.New(zerolog.Nop(), nil), Log: zerolog.Nop(),
	})
	rounds, stop := context.WithCancel(t.Context())
	defer stop()
	go func() {
		for rounds.Err() == nil {
			d.rememberAll(&observed{View: hostview.View{
				Snapshot: d.Feed.Snapshot(), Records: make(map[string]configstate.HostRecord),
			}})
		}
	}()
	for visit := range visits {
		must.NoError(t, endVisitOf(t.Context(), d, fmt.Sprintf("operation-%d", visit)))
	}
}

// endVisitOf puts the host out under an operation and ends that visit.
func endVisitOf(ctx context.Context, d *Drainer, operation string) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &panicError{cause}
		}
	}()
	const service = "a"
	if err := d.Grants.Acquire(ctx, "h1", budget.Grant{Operation: operation}, []string{service}, plenty); err != nil {
		return err
	}
	out := hostrecord.Record{
		Host: "h1", Pool: "p1", Phase: hostrecord.Verifying, Wave: "w", Operation: operation,
		GrantedServices: []string{service}, WriteID: uuid.NewString(),
	}
	key := storekeys.Host(out.Host)
	item := d.Feed.Snapshot().Hosts[out.Host]
	revision, err := d.Store.CompareAndSwap(ctx, store.Write{Key: key, Expect: item.Revision, Value: out.Encode()})
	if err != nil {
		return err
	}
	return d.endVisit(ctx, &observed{}, out.Wave, nil, configstate.HostRecord{Record: out, Revision: revision})
}

// plenty is a budget that allows every disruption.
func plenty(service string) budget.ServiceState {
	return budget.ServiceState{Service: service, Budgets: []*record.Budget{{Service: service}}}
}

// panicError is a panic in the code under test.
type panicError struct{ cause any }

func (e *panicError) Error() string { return fmt.Sprint("panic: ", e.cause) }
