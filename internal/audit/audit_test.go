package audit_test

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/store/memstore"
	"auburnglade.example/glade/internal/storekeys"
)

var (
	id  = record.ID{Kind: record.KindPool, Name: "a"}
	now = time.Date(2026, 12, 2, 12, 0, 0, 0, time.UTC)
)

func newRecorder(s store.Store, member string) *audit.Recorder {
	return audit.NewRecorder(audit.Config{Store: s, Member: member, Log: zerolog.Nop()})
}

func version(writeID string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"kind":"Pool","name":"a","schema":1,"spec":{},"writeId":%q}`, writeID))
}

func entry(n int, before string) audit.Entry {
	e := audit.Entry{
		WriteID: fmt.Sprint("w", n), At: now.Add(time.Duration(n) * time.Second), Author: "astrid",
		Verb: audit.Put, Record: id, After: version(fmt.Sprint("w", n)),
	}
	if before != "" {
		e.Before, e.Expect = version(before), 1
	}
	return e
}

func read(t *testing.T, s store.Store, states map[record.ID]audit.RecordState) []audit.Entry {
	t.Helper()
	entries, corrupt, err := audit.Read(t.Context(), s, now)
	must.NoError(t, err)
	must.SliceEmpty(t, corrupt)
	return audit.Resolve(entries, states)
}

func TestOutcomesAreRecorded(t *testing.T) {
	s := memstore.New()
	r := newRecorder(s, "controller-1")
	must.NoError(t, r.Begin(t.Context(), entry(1, "")))
	must.NoError(t, r.Begin(t.Context(), entry(2, "w1")))
	r.SetOutcome("w1", audit.Accepted, 10)
	r.SetOutcome("w2", audit.Refused, 0)
	writes := s.Counts().Writes
	r.Flush(t.Context())
	r.Flush(t.Context())
	must.Eq(t, writes+1, s.Counts().Writes, must.Sprint("outcomes are written together, and once"))
	got := read(t, s, nil)
	must.SliceLen(t, 2, got)
	must.Eq(t, audit.Accepted, got[0].Outcome)
	must.Eq(t, 10, got[0].Revision)
	must.Eq(t, "controller-1", got[0].Member)
	must.Eq(t, audit.Refused, got[1].Outcome)
}

// A controller fails after a change took effect but before it recorded the
// outcome; later another controller changes the record, and its page includes
// the version it replaced. Two more changes are audited but never written.
// Readers must infer each outcome, and no entry may be missing.
func TestControllerFailsBetweenTheWrites(t *testing.T) {
	s := memstore.New()
	crashed, survivor := newRecorder(s, "controller-1"), newRecorder(s, "controller-2")
	must.NoError(t, crashed.Begin(t.Context(), entry(1, "")))
	must.NoError(t, survivor.Begin(t.Context(), entry(2, "w1")))
	must.NoError(t, crashed.Begin(t.Context(), entry(3, "w2")))
	gone := entry(4, "w2")
	gone.Verb, gone.After = audit.Delete, nil
	must.NoError(t, crashed.Begin(t.Context(), gone))
	got := read(t, s, map[record.ID]audit.RecordState{id: {Exists: true, WriteID: "w2"}})
	must.SliceLen(t, 4, got)
	want := []audit.Outcome{audit.Accepted, audit.Accepted, audit.LikelyNotApplied, audit.LikelyNotApplied}
	for i, e := range got {
		must.Eq(t, want[i], e.Outcome, must.Sprint(e.WriteID))
	}
	got = read(t, s, nil)
	must.Eq(t, audit.Accepted, got[3].Outcome, must.Sprint("the record doesn't exist: the deletion took effect"))
}

// The store loses responses to page writes and is down at times. Every entry
// that Begin reported as stored must be present exactly once.
func TestLostResponsesAndOutages(t *testing.T) {
	s := memstore.New()
	s.SetResponseLossRate(0.3, 7)
	r := newRecorder(s, "controller-1")
	stored := make(map[string]bool)
	for n := range 200 {
		s.SetDown(n%10 == 3)
		e := entry(n, "")
		if r.Begin(t.Context(), e) == nil {
			stored[e.WriteID] = true
			r.SetOutcome(e.WriteID, audit.Accepted, store.Revision(n+1))
		}
	}
	s.SetDown(false)
	s.SetResponseLossRate(0, 0)
	r.Flush(t.Context())
	must.Greater(t, 150, len(stored))
	seen := make(map[string]int)
	for _, e := range read(t, s, nil) {
		seen[e.WriteID]++
		must.True(t, e.Outcome == audit.Accepted || !stored[e.WriteID])
	}
	for writeID := range stored {
		must.Eq(t, 1, seen[writeID], must.Sprint(writeID))
	}
}

// 100 changes arrive while the store is slow. They must be batched into few
// writes, and none may be missing.
func TestConcurrentEntriesAreBatched(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		s.SetLatency(time.Second)
		r := newRecorder(s, "controller-1")
		var wait sync.WaitGroup
		for n := range 100 {
			wait.Go(func() {
				must.NoError(t, r.Begin(t.Context(), entry(n, "")))
				r.SetOutcome(fmt.Sprint("w", n), audit.Accepted, store.Revision(n+1))
			})
		}
		wait.Wait()
		must.LessEq(t, 5, s.Counts().Writes)
		r.Flush(t.Context())
		got := read(t, s, nil)
		must.SliceLen(t, 100, got)
		for _, e := range got {
			must.Eq(t, audit.Accepted, e.Outcome)
		}
	})
}

// An operator disconnects while the store is slow. Their entry may be stored or
// not, but the entries of others must be stored, and no call may block forever.
func TestDisconnectedOperatorFailsNoOtherEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		s.SetLatency(time.Second)
		r := newRecorder(s, "controller-1")
		cancelled, cancel := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { _ = r.Begin(cancelled, entry(0, "")) })
		synctest.Wait()
		wait.Go(func() { must.NoError(t, r.Begin(t.Context(), entry(1, ""))) })
		synctest.Wait()
		cancel()
		wait.Wait()
		must.SliceContainsFunc(t, read(t, s, nil), "w1", func(e audit.Entry, writeID string) bool { return e.WriteID == writeID })
	})
}

func TestPagesAreBoundedAndExpiredOnesDeleted(t *testing.T) {
	s := memstore.New()
	r := newRecorder(s, "controller-1")
	for n := range 400 {
		e := entry(n, "")
		e.After = json.RawMessage(fmt.Sprintf(`{"pad":%q}`, strings.Repeat("x", 400)))
		must.NoError(t, r.Begin(t.Context(), e))
	}
	listing, err := s.List(t.Context(), storekeys.AuditPrefix)
	must.NoError(t, err)
	must.Greater(t, 2, len(listing.Entries))
	for _, page := range listing.Entries {
		must.Less(t, store.MaxValueBytes, len(page.Value))
	}
	must.SliceLen(t, 400, read(t, s, nil))
	r.Sweep(t.Context(), now.AddDate(0, 0, audit.DefaultRetentionDays))
	must.SliceLen(t, 400, read(t, s, nil), must.Sprint("the last day kept"))
	r.Sweep(t.Context(), now.AddDate(0, 0, audit.DefaultRetentionDays+1))
	must.SliceEmpty(t, read(t, s, nil))
}

// A client that lost a response retries its change through another controller:
// one change with two entries must be listed once.
func TestChangeSentTwiceIsShownOnce(t *testing.T) {
	s := memstore.New()
	one, other := newRecorder(s, "controller-1"), newRecorder(s, "controller-2")
	must.NoError(t, one.Begin(t.Context(), entry(1, "")))
	must.NoError(t, other.Begin(t.Context(), entry(1, "")))
	other.SetOutcome("w1", audit.Accepted, 5)
	other.Flush(t.Context())
	got := read(t, s, nil)
	must.SliceLen(t, 1, got)
	must.Eq(t, audit.Accepted, got[0].Outcome)
}
