package explain_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/budget"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/explain"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/jobs"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

func sampleView(t *testing.T) explain.View {
	t.Helper()
	var listing store.Listing
	add := func(key string, value []byte) {
		listing.Revision++
		listing.Entries = append(listing.Entries, store.Entry{Key: key, Value: value, ModRevision: listing.Revision})
	}
	for _, envelope := range []record.Envelope{
		record.NewEnvelope("match", &record.Service{PathPrefix: "/match/", Port: 1}),
		record.NewEnvelope("match", &record.Pool{Size: 4, Services: []string{"match"}}),
		record.NewEnvelope("match", &record.Budget{Service: "match", MinAvailable: 3, Margin: record.MarginRack}),
		record.NewEnvelope("kernel", &record.Wave{Pools: []string{"match"}}),
		record.NewEnvelope("report", &record.Job{Pool: "match", Team: "night"}),
		record.NewEnvelope("night", &record.Quota{Team: "night"}),
	} {
		value, err := json.Marshal(envelope)
		must.NoError(t, err)
		add(storekeys.Spec(envelope.ID()), value)
	}
	for _, r := range []hostrecord.Record{
		{Host: "host-1", Pool: "match", Phase: hostrecord.Serving},
		{Host: "host-2", Pool: "match", Phase: hostrecord.Draining, Wave: "kernel", Operation: "op-2", NextPool: "rights"},
		{Host: "host-3", Pool: "match", Phase: hostrecord.Serving, WaveOutcomes: map[string]hostrecord.WaveOutcome{"kernel": {Result: hostrecord.Maintained, DowntimeSeconds: 40}}},
	} {
		add(storekeys.Host(r.Host), r.Encode())
	}
	return explain.View{
		Snapshot: configstate.FromListing(nil, listing),
		Listed: map[string]fleet.Host{
			"host-1": {Name: "host-1", Zone: "z1", Rack: "r1", State: fleet.HostLive},
			"host-2": {Name: "host-2", Zone: "z1", Rack: "r1", State: fleet.HostDraining},
			"host-3": {Name: "host-3", Zone: "z2", Rack: "r2", State: fleet.HostLive},
			"host-4": {Name: "host-4", Zone: "z2", Rack: "r2", State: fleet.HostLive},
		},
		GrantSets: map[string]budget.GrantSet{"match": {ByHost: map[string]budget.Grant{"host-2": {Operation: "op-2", Wave: "kernel"}}}},
		Waves: map[string]wave.Status{"kernel": {
			Wave: "kernel", Phase: wave.Running, Hosts: 3, Maintained: 1, HostsOut: []string{"host-2"},
			Waiting: map[string]string{"host-1": "no room in the budget"}, RemainingSeconds: 60, EstimatedFrom: "the mean of 1 hosts",
		}},
	}
}

func TestHostReasons(t *testing.T) {
	v := sampleView(t)
	cases := map[string][]string{
		"host-1": {`belongs to pool "match" and is serving`, "zone z1, rack r1, listed live", `wave "kernel" will maintain it: no room in the budget`},
		"host-2": {"lists it as leaving", `joins pool "rights"`, "waits until every gateway serves revision 8", "granted to operation op-2"},
		"host-3": {`wave "kernel": maintained in 40 s`},
		"host-4": {"belongs to no pool"},
	}
	for host, wants := range cases {
		reasons, known := explain.Host(v, host)
		must.True(t, known)
		text := strings.Join(reasons, "\n")
		for _, want := range wants {
			must.StrContains(t, text, want)
		}
	}
	_, known := explain.Host(v, "host-9")
	must.False(t, known)
}

func TestRecordReasons(t *testing.T) {
	v := sampleView(t)
	cases := map[record.ID][]string{
		{Kind: record.KindPool, Name: "match"}:    {"has 3 of 4 hosts: 2 in z1, 1 in z2", "lacks 1 hosts: 1 listed hosts belong to no pool", `host-2 is draining for "kernel"`, "BELOW ITS BUDGET", `host-2 leaves for pool "rights"`},
		{Kind: record.KindWave, Name: "kernel"}:   {"running: 1 of 3 hosts maintained, 1 out", "about 1m0s left, from the mean of 1 hosts", "host-2 is out: draining", "host-1 is not out yet: no room"},
		{Kind: record.KindJob, Name: "report"}:    {`waits: pool "match" takes no jobs`, `bounded by quota "night"`, "has not been taken up: nothing is known"},
		{Kind: record.KindService, Name: "match"}: {"2 of 3 endpoints available, 1 granted to maintenance, 3 needed with one rack lost", `host-2 is granted to operation op-2`},
	}
	for id, wants := range cases {
		reasons, known := explain.Record(v, id)
		must.True(t, known)
		text := strings.Join(reasons, "\n")
		for _, want := range wants {
			must.StrContains(t, text, want)
		}
	}
	_, known := explain.Record(v, record.ID{Kind: record.KindPool, Name: "none"})
	must.False(t, known)
}

func TestPlacementReasons(t *testing.T) {
	v := sampleView(t)
	v.Placements = map[string]*jobs.State{"match": {
		Jobs:    map[string]*jobs.JobProgress{"report": {AgeSeconds: 90}},
		Tasks:   map[string]*jobs.Task{"t1": {Job: "report", Host: "host-1"}},
		Waiting: map[string]string{"report": "quota night is used up"},
	}}
	reasons, known := explain.Record(v, record.ID{Kind: record.KindJob, Name: "report"})
	must.True(t, known)
	text := strings.Join(reasons, "\n")
	must.StrContains(t, text, "0 of 1 tasks finished, 1 placed, accepted 1m30s ago")
	must.StrContains(t, text, "1 on host-1")
	must.StrContains(t, text, "waits: quota night is used up")
	reasons, _ = explain.Host(v, "host-1")
	must.StrContains(t, strings.Join(reasons, "\n"), `runs 1 tasks of job "report"`)
}
