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

func newBook(s store.Store, member string) *audit.Recorder {
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

func read(t *testing.T, s store.Store, traces map[record.ID]audit.RecordState) []audit.Entry {
	t.Helper()
	entries, damaged, err := audit.Read(t.Context(), s, now)
	must.NoError(t, err)
	must.SliceEmpty(t, damaged)
	return audit.Resolve(entries, traces)
}

func TestOutcomesAreNoted(t *testing.T) {
	s := memstore.New()
	b := newBook(s, "controller-1")
	must.NoError(t, b.Begin(t.Context(), entry(1, "")))
	must.NoError(t, b.Begin(t.Context(), entry(2, "w1")))
	b.SetOutcome("w1", audit.Accepted, 10)
	b.SetOutcome("w2", audit.Refused, 0)
	writes := s.Counts().Writes
	b.Flush(t.Context())
	b.Flush(t.Context())
	must.Eq(t, writes+1, s.Counts().Writes, must.Sprint("outcomes are written together, and once"))
	got := read(t, s, nil)
	must.SliceLen(t, 2, got)
	must.Eq(t, audit.Accepted, got[0].Outcome)
	must.Eq(t, 10, got[0].Revision)
	must.Eq(t, "controller-1", got[0].Member)
	must.Eq(t, audit.Refused, got[1].Outcome)
}

// The controller dies right after the change took effect, before it noted the
// outcome; later the record is changed again through another controller, whose
// page names the version it replaced. A third change died before it was
// written. The reader must tell them apart, and nothing is missing.
func TestControllerDiesBetweenTheWrites(t *testing.T) {
	s := memstore.New()
	dies, lives := newBook(s, "controller-1"), newBook(s, "controller-2")
	must.NoError(t, dies.Begin(t.Context(), entry(1, "")))
	must.NoError(t, lives.Begin(t.Context(), entry(2, "w1")))
	must.NoError(t, dies.Begin(t.Context(), entry(3, "w2")))
	gone := entry(4, "w2")
	gone.Verb, gone.After = audit.Delete, nil
	must.NoError(t, dies.Begin(t.Context(), gone))
	got := read(t, s, map[record.ID]audit.RecordState{id: {Exists: true, WriteID: "w2"}})
	must.SliceLen(t, 4, got)
	want := []audit.Outcome{audit.Accepted, audit.Accepted, audit.LikelyNotApplied, audit.LikelyNotApplied}
	for i, e := range got {
		must.Eq(t, want[i], e.Outcome, must.Sprint(e.WriteID))
	}
	got = read(t, s, nil)
	must.Eq(t, audit.Accepted, got[3].Outcome, must.Sprint("the record is gone: the deletion was taken"))
}

// The store takes a page and its answer is lost, then it is down for a while.
// No entry may be missing that Begin reported as stored, and none be doubled.
func TestLostAnswersAndOutages(t *testing.T) {
	s := memstore.New()
	s.SetResponseLossRate(0.3, 7)
	b := newBook(s, "controller-1")
	stored := make(map[string]bool)
	for n := range 200 {
		s.SetDown(n%10 == 3)
		e := entry(n, "")
		if b.Begin(t.Context(), e) == nil {
			stored[e.WriteID] = true
			b.SetOutcome(e.WriteID, audit.Accepted, store.Revision(n+1))
		}
	}
	s.SetDown(false)
	s.SetResponseLossRate(0, 0)
	b.Flush(t.Context())
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

// A hundred changes come at once while the store is slow. They go into few
// writes, and none is missing.
func TestEntriesThatComeTogetherAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		s.SetLatency(time.Second)
		b := newBook(s, "controller-1")
		var wait sync.WaitGroup
		for n := range 100 {
			wait.Go(func() {
				must.NoError(t, b.Begin(t.Context(), entry(n, "")))
				b.SetOutcome(fmt.Sprint("w", n), audit.Accepted, store.Revision(n+1))
			})
		}
		wait.Wait()
		must.LessEq(t, 5, s.Counts().Writes)
		b.Flush(t.Context())
		got := read(t, s, nil)
		must.SliceLen(t, 100, got)
		for _, e := range got {
			must.Eq(t, audit.Accepted, e.Outcome)
		}
	})
}

// An operator hangs up while the store is slow. The entry may be stored or not,
// but those of others are, and nobody waits for ever.
func TestOperatorWhoHangsUpFailsNoOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := memstore.New()
		s.SetLatency(time.Second)
		b := newBook(s, "controller-1")
		impatient, hangUp := context.WithCancel(t.Context())
		var wait sync.WaitGroup
		wait.Go(func() { _ = b.Begin(impatient, entry(0, "")) })
		synctest.Wait()
		wait.Go(func() { must.NoError(t, b.Begin(t.Context(), entry(1, ""))) })
		synctest.Wait()
		hangUp()
		wait.Wait()
		must.SliceContainsFunc(t, read(t, s, nil), "w1", func(e audit.Entry, writeID string) bool { return e.WriteID == writeID })
	})
}

func TestPagesAreBoundedAndOldOnesCleared(t *testing.T) {
	s := memstore.New()
	b := newBook(s, "controller-1")
	for n := range 400 {
		e := entry(n, "")
		e.After = json.RawMessage(fmt.Sprintf(`{"pad":%q}`, strings.Repeat("x", 400)))
		must.NoError(t, b.Begin(t.Context(), e))
	}
	listing, err := s.List(t.Context(), storekeys.AuditPrefix)
	must.NoError(t, err)
	must.Greater(t, 2, len(listing.Entries))
	for _, page := range listing.Entries {
		must.Less(t, store.MaxValueBytes, len(page.Value))
	}
	must.SliceLen(t, 400, read(t, s, nil))
	b.Sweep(t.Context(), now.AddDate(0, 0, audit.DefaultRetentionDays))
	must.SliceLen(t, 400, read(t, s, nil), must.Sprint("the last day kept"))
	b.Sweep(t.Context(), now.AddDate(0, 0, audit.DefaultRetentionDays+1))
	must.SliceEmpty(t, read(t, s, nil))
}

// A client that lost an answer sends its change again through another
// controller: one change, two entries.
func TestChangeSentTwiceIsShownOnce(t *testing.T) {
	s := memstore.New()
	one, other := newBook(s, "controller-1"), newBook(s, "controller-2")
	must.NoError(t, one.Begin(t.Context(), entry(1, "")))
	must.NoError(t, other.Begin(t.Context(), entry(1, "")))
	other.SetOutcome("w1", audit.Accepted, 5)
	other.Flush(t.Context())
	got := read(t, s, nil)
	must.SliceLen(t, 1, got)
	must.Eq(t, audit.Accepted, got[0].Outcome)
}
