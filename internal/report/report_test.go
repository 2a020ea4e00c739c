package report_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/hostrecord"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/report"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
	"auburnglade.example/glade/internal/wave"
)

var start = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)

type shardOwner bool

func (h *shardOwner) Owned() bool { return bool(*h) }

type hostList []fleet.Host

func (l hostList) Hosts(context.Context) ([]fleet.Host, error) { return l, nil }

// scenario is a fleet of three hosts, one service and one wave.
type scenario struct {
	t     *testing.T
	store *memstore.Store
	feed  *configfeed.Feed
	hosts hostList
}

func newScenario(t *testing.T) *scenario {
	t.Helper()
	s := &scenario{t: t, store: memstore.New()}
	s.feed = configfeed.New(s.store, zerolog.Nop(), invariant.New(zerolog.Nop(), nil), nil)
	for _, envelope := range []record.Envelope{
		record.NewEnvelope("match", &record.Service{PathPrefix: "/match/", Port: 1}),
		record.NewEnvelope("match", &record.Pool{Size: 3, Services: []string{"match"}}),
		record.NewEnvelope("match", &record.Budget{Service: "match", MinAvailable: 2}),
		record.NewEnvelope("kernel", &record.Wave{Pools: []string{"match"}}),
	} {
		s.put(storekeys.Spec(envelope.ID()), envelope)
	}
	for i := range 3 {
		name := fmt.Sprint("host-", i)
		s.hosts = append(s.hosts, fleet.Host{Name: name, State: fleet.HostLive})
		s.host(name, hostrecord.Record{Phase: hostrecord.Serving})
	}
	return s
}

func (s *scenario) put(key string, value any) {
	s.t.Helper()
	data, err := json.Marshal(value)
	must.NoError(s.t, err)
	var expect store.Revision
	if entry, err := s.store.Get(s.t.Context(), key); err == nil {
		expect = entry.ModRevision
	}
	_, err = s.store.CompareAndSwap(s.t.Context(), store.SwapRequest{Key: key, Expect: expect, Value: data})
	must.NoError(s.t, err)
	listing, err := s.store.List(s.t.Context(), storekeys.SharedPrefix)
	must.NoError(s.t, err)
	s.feed.Install(configstate.FromListing(s.feed.Snapshot(), listing))
}

func (s *scenario) host(name string, r hostrecord.Record) {
	r.Host, r.Pool = name, "match"
	s.put(storekeys.Host(name), r)
}

func (s *scenario) recorder() *report.Recorder {
	shard := shardOwner(true)
	return report.NewRecorder(report.Config{
		Store: s.store, Feed: s.feed, Hosts: s.hosts, Shard: &shard, Log: zerolog.Nop(),
		SampleInterval: time.Second, WriteInterval: 10 * time.Second,
	})
}

func (s *scenario) history() report.History {
	s.t.Helper()
	entry, err := s.store.Get(s.t.Context(), storekeys.History("kernel"))
	must.NoError(s.t, err)
	h, err := report.Parse(entry.Key, entry.Value)
	must.NoError(s.t, err)
	return h
}

// The controller that records fails in the middle of a wave and another one
// continues. The history must have the samples of both and the host's complete
// downtime.
func TestHistoryContinuesAfterFailOver(t *testing.T) {
	s := newScenario(t)
	first := s.recorder()
	first.SampleWaves(t.Context(), start)
	s.host("host-0", hostrecord.Record{Phase: hostrecord.Draining, Wave: "kernel", OutSince: start.Add(5 * time.Second)})
	for second := 1; second <= 20; second++ {
		first.SampleWaves(t.Context(), start.Add(time.Duration(second)*time.Second))
	}
	second := s.recorder()
	s.host("host-0", hostrecord.Record{Phase: hostrecord.Serving, WaveOutcomes: map[string]hostrecord.WaveOutcome{"kernel": {Result: hostrecord.Maintained}}})
	s.put(storekeys.Status(record.ID{Kind: record.KindWave, Name: "kernel"}), wave.Status{Wave: "kernel", Phase: wave.Finished})
	second.SampleWaves(t.Context(), start.Add(40*time.Second))
	h := s.history()
	must.SliceLen(t, 22, h.Samples)
	must.Eq(t, []int{3}, h.Samples[0].Available)
	must.Eq(t, []int{2}, h.Samples[10].Available)
	must.Eq(t, []int{3}, h.Samples[21].Available)
	must.Eq(t, 1, h.Samples[21].Maintained)
	must.Eq(t, report.Downtime{From: start.Unix() + 5, To: start.Unix() + 40, Result: hostrecord.Maintained}, h.Hosts["host-0"])
	must.Eq(t, wave.Finished, h.Phase)
	writes := s.store.Counts().Writes
	for second := 41; second <= 100; second++ {
		second := time.Duration(second) * time.Second
		s.recorder().SampleWaves(t.Context(), start.Add(second))
	}
	must.Eq(t, writes, s.store.Counts().Writes, must.Sprint("an ended wave costs no writes"))
}

// A running wave must cost one write per WriteInterval, however many samples
// are taken.
func TestWritesAreCoalesced(t *testing.T) {
	s := newScenario(t)
	r := s.recorder()
	writes := s.store.Counts().Writes
	for second := range 100 {
		r.SampleWaves(t.Context(), start.Add(time.Duration(second)*time.Second))
	}
	must.Eq(t, writes+10, s.store.Counts().Writes)
}

// The history of a long wave must stay bounded, and the short period in which a
// service was below its budget must stay visible.
func TestHistoryIsBoundedAndKeepsTheWorst(t *testing.T) {
	s := newScenario(t)
	r := s.recorder()
	for second := range 20_000 {
		if second == 7777 {
			s.host("host-0", hostrecord.Record{Phase: hostrecord.Draining, Wave: "kernel"})
			s.host("host-1", hostrecord.Record{Phase: hostrecord.Draining, Wave: "kernel"})
		}
		if second == 7900 {
			s.host("host-0", hostrecord.Record{Phase: hostrecord.Serving})
			s.host("host-1", hostrecord.Record{Phase: hostrecord.Serving})
		}
		r.SampleWaves(t.Context(), start.Add(time.Duration(second)*time.Second))
	}
	h := s.history()
	must.LessEq(t, 600, len(h.Samples))
	worst := 3
	for _, sample := range h.Samples {
		worst = min(worst, sample.Available[0])
	}
	must.Eq(t, 1, worst)
}

func TestHistoryOfDeletedWaveIsDeleted(t *testing.T) {
	s := newScenario(t)
	r := s.recorder()
	r.SampleWaves(t.Context(), start)
	s.put(storekeys.History("forgotten"), report.History{Wave: "forgotten"})
	entry, err := s.store.Get(t.Context(), storekeys.Spec(record.ID{Kind: record.KindWave, Name: "kernel"}))
	must.NoError(t, err)
	_, err = s.store.CompareAndSwap(t.Context(), store.SwapRequest{Key: entry.Key, Expect: entry.ModRevision, Delete: true})
	must.NoError(t, err)
	s.put(storekeys.Host("host-9"), hostrecord.Record{Host: "host-9"})
	r.SampleWaves(t.Context(), start.Add(time.Minute))
	s.recorder().SampleWaves(t.Context(), start.Add(time.Minute))
	listing, err := s.store.List(t.Context(), storekeys.HistoryPrefix)
	must.NoError(t, err)
	must.SliceEmpty(t, listing.Entries)
}

// The page must load no external resource, and names and texts from operators
// must not become markup.
func TestRenderReturnsASelfContainedPage(t *testing.T) {
	h := report.History{
		Wave: "<script>x</script>", Step: 5, Phase: wave.Stopped, Reason: "too many hosts failed",
		Services: []report.ServiceBudget{{Name: "match", HasBudget: true, MinAvailable: 2, Endpoints: 3}, {Name: "rights", Endpoints: 3}},
		Samples: []report.Sample{
			{At: start.Unix(), Available: []int{3, 3}}, {At: start.Unix() + 5, Available: []int{1, 3}, Out: 2},
		},
		Hosts: map[string]report.Downtime{
			"host-0": {From: start.Unix(), To: start.Unix() + 4, Result: hostrecord.Maintained},
			`h"><b`:  {From: start.Unix()},
		},
		Failed: map[string]string{"host-1": "did not <i>come back</i>"},
	}
	page, err := report.Render(h)
	must.NoError(t, err)
	text := string(page)
	must.StrContains(t, text, "1 services fell below their budget")
	must.StrContains(t, text, "below its budget: fewest available 1, needed 2")
	must.StrContains(t, text, "no budget, fewest available 3 of 3")
	must.Eq(t, 3, strings.Count(text, "<svg"))
	for _, forbidden := range []string{"<script", "<b", "<i>", "src=", "href=", "url(", "@import"} {
		must.StrNotContains(t, strings.ReplaceAll(text, "<body>", ""), forbidden)
	}
	_, err = report.Render(report.History{Wave: "x"})
	must.Error(t, err)
}
