// Package audit records operators' changes: every change that the operators'
// API accepts is in an audit page in the store before it takes effect.
//
// A page belongs to one controller process and one day, so that no two
// processes write to it. An entry is appended before its change is written; its
// outcome is recorded afterwards, with the next write of the page. A controller
// that fails in between leaves an entry without an outcome. Readers infer it
// from the record and from later entries, which include the version they
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

// Verb is the kind of a change.
type Verb string

const (
	Put    Verb = "put"
	Delete Verb = "delete"
)

// Outcome is the result of a change.
type Outcome string

// Outcomes of a change.
const (
	// Unresolved means that the controller failed, or the store's response was
	// lost, before the outcome was recorded.
	Unresolved Outcome = ""
	Accepted   Outcome = "accepted"
	// Refused means that the record had changed, or that the store rejected the
	// write.
	Refused Outcome = "refused"
	// LikelyNotApplied is inferred by readers for an unresolved entry whose
	// change left no trace: the change was most likely never made.
	LikelyNotApplied Outcome = "no trace"
)

// Entry is the audit entry of one change.
type Entry struct {
	// WriteID identifies the version that the change wrote.
	WriteID string `json:"writeId"`
	// At is the controller's wall-clock time when it received the change.
	At     time.Time `json:"at"`
	Author string    `json:"author"`
	// Member is the controller that received the change.
	Member string    `json:"member"`
	Verb   Verb      `json:"verb"`
	Record record.ID `json:"record"`
	// Expect is the revision that the change replaces, zero for a new record.
	// Revision is the revision that it created, zero while unknown.
	Expect   store.Revision  `json:"expect,omitempty"`
	Revision store.Revision  `json:"revision,omitempty"`
	Before   json.RawMessage `json:"before,omitempty"`
	After    json.RawMessage `json:"after,omitempty"`
	// BreakGlass reports that safety checks were skipped.
	BreakGlass bool    `json:"breakGlass,omitempty"`
	Outcome    Outcome `json:"outcome,omitempty"`
}

// CorruptError reports that a page can't be parsed or encoded.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("audit page %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// RecordState is the current state of a record.
type RecordState struct {
	Exists  bool
	WriteID string
}

// Resolve returns the entries sorted by time, one for each change, with the
// outcome of unresolved entries inferred. states holds the current state of the
// records. It is a pure function.
func Resolve(entries []Entry, states map[record.ID]RecordState) []Entry {
	merged := merge(entries)
	replaced := make(map[string]bool)
	for _, e := range merged {
		if id := writeIDOf(e.Before); id != "" {
			replaced[id] = true
		}
	}
	for i := range merged {
		if merged[i].Outcome == Unresolved {
			merged[i].Outcome = inferOutcome(merged, i, replaced, states[merged[i].Record])
		}
	}
	return merged
}

// merge keeps one entry for each change. A change has two if a client lost the
// response and retried through another controller.
func merge(entries []Entry) []Entry {
	sorted := slices.Clone(entries)
	slices.SortStableFunc(sorted, func(a, b Entry) int { return a.At.Compare(b.At) })
	var merged []Entry
	index := make(map[string]int)
	for _, e := range sorted {
		i, seen := index[e.WriteID]
		if !seen {
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

// inferOutcome infers the outcome of an unresolved entry. A put took effect if
// its write ID is that of the current record or of a version that a later
// change replaced. A deletion took effect if the record doesn't exist or was
// created again since.
func inferOutcome(entries []Entry, i int, replaced map[string]bool, now RecordState) Outcome {
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
