package configstate_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// targetSnapshot returns a configuration of the target size: 1,000 hosts in 261
// pools, with budgets and services.
func targetSnapshot(b *testing.B) *configstate.Snapshot {
	b.Helper()
	var listing store.Listing
	add := func(key string, value []byte) {
		listing.Revision++
		listing.Entries = append(listing.Entries, store.Entry{Key: key, Value: value, ModRevision: listing.Revision})
	}
	for i := range 261 {
		service, pool := fmt.Sprintf("service-%d", i), fmt.Sprintf("pool-%d", i)
		for _, envelope := range []record.Envelope{
			record.NewEnvelope(service, &record.Service{PathPrefix: "/" + service + "/", Port: 8080}),
			record.NewEnvelope(pool, &record.Pool{Services: []string{service}, Size: 4}),
			record.NewEnvelope(service, &record.Budget{Service: service, MinAvailable: 3}),
		} {
			value, err := json.Marshal(envelope)
			if err != nil {
				b.Fatal(err)
			}
			add(storekeys.Spec(envelope.ID()), value)
		}
	}
	for i := range 1000 {
		add(storekeys.Host(fmt.Sprintf("host-%d", i)), host(i, hostrecord.Serving))
	}
	return configstate.FromListing(nil, listing)
}

func host(i int, phase hostrecord.Phase) []byte {
	return hostrecord.Record{Host: fmt.Sprintf("host-%d", i), Pool: fmt.Sprintf("pool-%d", i%261), Phase: phase}.Encode()
}

// BenchmarkApplyHostPhase applies one host's change of phase at the target
// size.
func BenchmarkApplyHostPhase(b *testing.B) {
	snapshot := targetSnapshot(b)
	value := host(7, hostrecord.Draining)
	b.ReportAllocs()
	for b.Loop() {
		revision := snapshot.Revision + 1
		snapshot = snapshot.Apply(store.WatchBatch{Revision: revision, Events: []store.Event{
			{Entry: store.Entry{Key: storekeys.Host("host-7"), Value: value, ModRevision: revision}},
		}})
	}
}

// BenchmarkHostsOfEveryPool makes the queries of one reconcile: the hosts of
// each pool.
func BenchmarkHostsOfEveryPool(b *testing.B) {
	snapshot := targetSnapshot(b)
	b.ReportAllocs()
	for b.Loop() {
		for pool := range snapshot.Pools() {
			_ = snapshot.HostsOf(pool)
		}
	}
}
