package forecast_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/forecast"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

// sample returns a fleet of one pool with ten hosts in five racks and two zones.
func sample(t *testing.T, minAvailable int, margin record.FailureMargin, w *record.Wave) forecast.Input {
	t.Helper()
	input := forecast.Input{Now: time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)}
	var listing store.Listing
	add := func(key string, value []byte) {
		listing.Revision++
		listing.Entries = append(listing.Entries, store.Entry{Key: key, Value: value, ModRevision: listing.Revision})
	}
	for _, envelope := range []record.Envelope{
		record.NewEnvelope("match", &record.Service{PathPrefix: "/match/", Port: 1}),
		record.NewEnvelope("match", &record.Pool{Size: 10, Services: []string{"match"}}),
		record.NewEnvelope("match", &record.Budget{Service: "match", MinAvailable: minAvailable, Margin: margin}),
		record.NewEnvelope("kernel", w),
	} {
		value, err := json.Marshal(envelope)
		must.NoError(t, err)
		add(storekeys.Spec(envelope.ID()), value)
	}
	for i := range 10 {
		name := fmt.Sprintf("host-%02d", i)
		input.Hosts = append(input.Hosts, fleet.Host{
			Name: name, Zone: fmt.Sprintf("zone-%d", i%2), Rack: fmt.Sprintf("rack-%d", i/2), State: fleet.HostLive,
		})
		add(storekeys.Host(name), hostrecord.Record{Host: name, Pool: "match", Phase: hostrecord.Serving}.Encode())
	}
	input.Snapshot = configstate.FromListing(nil, listing)
	return input
}

func TestWaveForecastReachesEveryHost(t *testing.T) {
	spec := &record.Wave{Pools: []string{"match"}, DrainSeconds: 10, RebootSeconds: 20, MinHealthySeconds: 10}
	got := forecast.Waves(sample(t, 8, record.MarginNone, spec))["kernel"]
	must.Eq(t, wave.Finished, got.Phase)
	must.Eq(t, 10, got.Maintained)
	must.Between(t, 1, got.MaxOut, 2)
	perHost := int(wave.MaxDowntime(spec).Seconds())
	must.Eq(t, perHost, got.SecondsPerHost)
	// At most two hosts are out at once, so five times a host's time is the minimum.
	must.Between(t, 5*perHost, got.Seconds, 10*perHost)
	must.Eq(t, 10*perHost, int(got.HostHoursOut*3600+0.5))
}

func TestWaveForecastNamesBlockingBudget(t *testing.T) {
	got := forecast.Waves(sample(t, 10, record.MarginNone, &record.Wave{Pools: []string{"match"}}))["kernel"]
	must.Zero(t, got.Maintained)
	must.MapLen(t, 10, got.Waiting)
	must.StrContains(t, got.Waiting["host-00"], "match")
}

func TestWaveForecastWaitsForItsWindow(t *testing.T) {
	spec := &record.Wave{
		Pools: []string{"match"}, DrainSeconds: 10, RebootSeconds: 20, MinHealthySeconds: 10,
		Windows: []record.Window{{From: "22:00", To: "04:00"}},
	}
	got := forecast.Waves(sample(t, 5, record.MarginNone, spec))["kernel"]
	must.Eq(t, 10, got.Maintained)
	must.Greater(t, 10*3600, got.Seconds)
}

func TestMoveForecastFillsPoolBelowSize(t *testing.T) {
	input := sample(t, 5, record.MarginNone, &record.Wave{Pools: []string{"match"}, Cancelled: true})
	input.Hosts = append(input.Hosts, fleet.Host{Name: "host-10", Zone: "zone-0", Rack: "rack-9", State: fleet.HostLive})
	grown := record.NewEnvelope("match", &record.Pool{Size: 11, Services: []string{"match"}})
	value, err := json.Marshal(grown)
	must.NoError(t, err)
	revision := input.Snapshot.Revision + 1
	input.Snapshot = input.Snapshot.Apply(store.WatchBatch{Revision: revision, Events: []store.Event{
		{Entry: store.Entry{Key: storekeys.Spec(grown.ID()), Value: value, ModRevision: revision}},
	}})
	moves := forecast.PlanMoves(input)
	must.SliceLen(t, 1, moves.Assign)
	must.Eq(t, "host-10", moves.Assign[0].Host)
}
