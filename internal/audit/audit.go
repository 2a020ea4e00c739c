// Package audit keeps who changed what: every change that operators' API
// accepts is in the store's audit pages before it takes effect.
//
// A page belongs to one controller process and one day, so that nobody
// contends for it. An entry is appended before its change is written and its
// outcome is noted afterwards, with the next write of the page. A controller
// that ends in between leaves an entry without an outcome; readers work it out
// from the record and from later entries, which name the version they
// replaced.
package audit

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// Verb is what an operator did.
type Verb string

// The verbs.
const (
	Put    Verb = "put"
	Delete Verb = "delete"
)

// Outcome is what became of a change.
type Outcome string

// The outcomes.
const (
	// Unresolved: the controller ended, or the store's answer was lost, before the
	// outcome was noted.
	Unresolved Outcome = ""
	Accepted   Outcome = "accepted"
	// Refused: the record had changed, or the store didn't take the write.
	Refused Outcome = "refused"
	// LikelyNotApplied is what readers make of an open entry of which no trace is
	// found: the change most likely never happened.
	LikelyNotApplied Outcome = "no trace"
)

// Entry is one change.
type Entry struct {
	// WriteID ties the entry to the version that the change made.
	WriteID string `json:"writeId"`
	// At is the controller's wall clock as the change was asked for.
	At     time.Time `json:"at"`
	Author string    `json:"author"`
	// Member is the controller that took the change.
	Member string    `json:"member"`
	Verb   Verb      `json:"verb"`
	Record record.ID `json:"record"`
	// Expect is the revision that the change replaces, zero for a new record,
	// and Revision the one it made, zero while that isn't known.
	Expect   store.Revision  `json:"expect,omitempty"`
	Revision store.Revision  `json:"revision,omitempty"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
	// BreakGlass says that checks were passed over.
	BreakGlass bool    `json:"breakGlass,omitempty"`
	Outcome    Outcome `json:"outcome,omitempty"`
}

// CorruptError says that a page can't be read.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("audit page %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// RecordState is what is known of a record now.
type RecordState struct {
	Exists  bool
	WriteID string
}

// Resolve returns the entries by time, each change once, with the outcome of
// open ones worked out. traces holds what is known of the records now. It is
// pure.
func Resolve(entries []Entry, traces map[record.ID]RecordState) []Entry {
	merged := merge(entries)
	replaced := make(map[string]bool)
	for _, e := range merged {
		if id := writeIDOf(e.Before); id != "" {
			replaced[id] = true
		}
	}
	for i := range merged {
		if merged[i].Outcome == Unresolved {
			merged[i].Outcome = outcomeOf(merged, i, replaced, traces[merged[i].Record])
		}
	}
	return merged
}

// merge keeps one entry per change: a client that lost an answer sent it again
// through another controller.
func merge(entries []Entry) []Entry {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return a.At.Compare(b.At) })
	var merged []Entry
	index := make(map[string]int)
	for _, e := range sorted {
		i, known := index[e.WriteID]
		if !known {
			index[e.WriteID] = len(merged)
			merged = append(merged, e)
			continue
		}
		if merged[i].Outcome != Accepted && e.Outcome != Unresolved {
			merged[i].Outcome, merged[i].Revision = e.Outcome, e.Revision
		}
	}
	return merged
}

// outcomeOf works out what became of an open entry: a put took effect if the
// record, or the version that a later change replaced, is its own; a deletion
// did if the record is gone or was made anew since.
func outcomeOf(entries []Entry, i int, replaced map[string]bool, now RecordState) Outcome {
	e := entries[i]
	if e.Verb == Put {
		if now.WriteID == e.WriteID || replaced[e.WriteID] {
			return Accepted
		}
		return LikelyNotApplied
	}
	if !now.Exists {
		return Accepted
	}
	for _, later := range entries[i+1:] {
		if later.Record == e.Record && later.Expect == 0 {
			return Accepted
		}
	}
	return LikelyNotApplied
}

func writeIDOf(version json.RawMessage) string {
	envelope, err := record.ParseEnvelope(version)
	if err != nil {
		return ""
	}
	return envelope.WriteID
}
