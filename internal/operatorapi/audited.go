package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// audited makes a change with an audit entry around it. The entry goes first:
// a controller that ends between the two writes leaves an entry without a
// change, which readers see through, and never a change without an entry.
func (s *Server) audited(r *http.Request, c change) (store.Revision, error) {
	ctx := r.Context()
	if s.Audit == nil {
		return s.commit(ctx, c)
	}
	before, err := s.before(ctx, c)
	if err != nil {
		return 0, err
	}
	if !c.deletes && before != nil && writeIDOf(before.Value) == c.writeID {
		// The change was taken already; the client lost the answer.
		return before.ModRevision, nil
	}
	if err := s.Audit.Begin(ctx, entryOf(r, c, before)); err != nil {
		return 0, err
	}
	revision, err := s.commit(ctx, c)
	switch {
	case err == nil:
		s.Audit.SetOutcome(c.writeID, audit.Accepted, revision)
	case store.IsUnknownOutcome(err):
		s.Audit.SetOutcome(c.writeID, audit.Unresolved, 0)
	default:
		s.Audit.SetOutcome(c.writeID, audit.Refused, 0)
	}
	return revision, err
}

func entryOf(r *http.Request, c change, before *store.Entry) audit.Entry {
	e := audit.Entry{
		WriteID: c.writeID, At: time.Now().UTC(), Author: author(r), Verb: audit.Put,
		Record: c.id, Expect: c.expect, BreakGlass: breaksGlass(r),
	}
	if before != nil {
		e.Before = asJSON(before.Value)
	}
	if c.deletes {
		e.Verb = audit.Delete
		return e
	}
	// The envelope was parsed from JSON and encodes again.
	e.After, _ = json.Marshal(c.envelope)
	return e
}

// before returns the version that the change replaces, nil for a new record.
// When the record is at another revision already, the change has lost: that
// costs no audit entry. A record that carries the change's own identity is
// returned as it is.
func (s *Server) before(ctx context.Context, c change) (*store.Entry, error) {
	known := s.Feed.Snapshot().Raw[storekeys.Spec(c.id)]
	if c.expect != 0 && known.ModRevision == c.expect {
		return &known, nil
	}
	entry, err := s.Store.Get(ctx, storekeys.Spec(c.id))
	switch {
	case store.IsNotFound(err) && c.expect == 0:
		return nil, nil
	case err != nil && !store.IsNotFound(err):
		return nil, err
	case err == nil && (entry.ModRevision == c.expect || !c.deletes && writeIDOf(entry.Value) == c.writeID):
		return &entry, nil
	}
	return nil, conflictWith(c, entry, err)
}

// AuditResponse is the audit of one day.
type AuditResponse struct {
	Day     string        `json:"day"`
	Entries []audit.Entry `json:"entries"`
	// CorruptPages names pages that can't be read.
	CorruptPages []string `json:"damaged,omitempty"`
}

const auditDayLayout = "2006-01-02"

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	text := r.URL.Query().Get("day")
	day, err := time.Parse(auditDayLayout, text)
	if err != nil {
		writeError(w, &QueryError{Parameter: "day", Got: text, Want: "a day in UTC such as 2026-12-02"})
		return
	}
	entries, damaged, err := audit.Read(r.Context(), s.Store, day)
	if err != nil {
		writeError(w, err)
		return
	}
	answer := AuditResponse{Day: text, Entries: audit.Resolve(entries, s.traces(r.Context(), entries))}
	for _, fault := range damaged {
		answer.CorruptPages = append(answer.CorruptPages, fault.Error())
	}
	answer.Entries = slices.DeleteFunc(answer.Entries, func(e audit.Entry) bool { return !asked(r, e) })
	writeJSON(w, http.StatusOK, answer)
}

func asked(r *http.Request, e audit.Entry) bool {
	query := r.URL.Query()
	matches := func(parameter, value string) bool {
		wanted := query.Get(parameter)
		return wanted == "" || wanted == value
	}
	return matches("kind", string(e.Record.Kind)) && matches("name", e.Record.Name) && matches("author", e.Author)
}

// traces reads the records of open entries as they are now.
func (s *Server) traces(ctx context.Context, entries []audit.Entry) map[record.ID]audit.RecordState {
	traces := make(map[record.ID]audit.RecordState)
	for _, e := range entries {
		if _, known := traces[e.Record]; known || e.Outcome != audit.Unresolved {
			continue
		}
		entry, err := s.Store.Get(ctx, storekeys.Spec(e.Record))
		if err != nil && !store.IsNotFound(err) {
			entry = s.Feed.Snapshot().Raw[storekeys.Spec(e.Record)]
		}
		traces[e.Record] = audit.RecordState{Exists: entry.ModRevision != 0, WriteID: writeIDOf(entry.Value)}
	}
	return traces
}
