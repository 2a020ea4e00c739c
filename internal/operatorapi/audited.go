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

// commitWithAudit commits a change and records it in the audit log. The audit
// entry is written first: a controller that fails between the two writes leaves
// an entry without a change, which readers detect, and never a change without
// an entry.
func (s *Server) commitWithAudit(r *http.Request, c change) (store.Revision, error) {
	ctx := r.Context()
	if s.Audit == nil {
		return s.commit(ctx, c)
	}
	before, err := s.currentVersion(ctx, c)
	if err != nil {
		return 0, err
	}
	if !c.isDelete && before != nil && writeIDOf(before.Value) == c.writeID {
		// The change is already committed; the client lost the response.
		return before.ModRevision, nil
	}
	if err := s.Audit.Begin(ctx, newAuditEntry(r, c, before)); err != nil {
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

func newAuditEntry(r *http.Request, c change, before *store.Entry) audit.Entry {
	e := audit.Entry{
		WriteID: c.writeID, At: time.Now().UTC(), Author: authorName(r), Verb: audit.Put,
		Record: c.id, Expect: c.expect, BreakGlass: isBreakGlass(r),
	}
	if before != nil {
		e.Before = asJSON(before.Value)
	}
	if c.isDelete {
		e.Verb = audit.Delete
		return e
	}
	// The envelope was parsed from JSON, so encoding it can't fail.
	e.After, _ = json.Marshal(c.envelope)
	return e
}

// currentVersion returns the version that the change replaces, or nil for a new
// record. If the record is already at another revision, it returns a conflict,
// so that no audit entry is written for a change that can't succeed. A record
// that already has the change's own write ID is returned as it is.
func (s *Server) currentVersion(ctx context.Context, c change) (*store.Entry, error) {
	done := s.Feed.Snapshot().Raw[storekeys.Spec(c.id)]
	if c.expect != 0 && done.ModRevision == c.expect {
		return &done, nil
	}
	entry, err := s.Store.Get(ctx, storekeys.Spec(c.id))
	switch {
	case store.IsNotFound(err) && c.expect == 0:
		return nil, nil
	case err != nil && !store.IsNotFound(err):
		return nil, err
	case err == nil && (entry.ModRevision == c.expect || !c.isDelete && writeIDOf(entry.Value) == c.writeID):
		return &entry, nil
	}
	return nil, newConflictError(c, entry, err)
}

// AuditResponse holds the audit entries of one day in UTC.
type AuditResponse struct {
	Day     string        `json:"day"`
	Entries []audit.Entry `json:"entries"`
	// CorruptPages lists the errors of pages that can't be parsed.
	CorruptPages []string `json:"damaged,omitempty"`
}

const auditDayLayout = "2006-01-02"

func (s *Server) audit(w http.ResponseWriter, r *http.Request) {
	dayText := r.URL.Query().Get("day")
	day, err := time.Parse(auditDayLayout, dayText)
	if err != nil {
		writeError(w, &QueryError{Parameter: "day", Got: dayText, Want: "a day in UTC such as 2026-12-02"})
		return
	}
	entries, corrupt, err := audit.Read(r.Context(), s.Store, day)
	if err != nil {
		writeError(w, err)
		return
	}
	response := AuditResponse{Day: dayText, Entries: audit.Resolve(entries, s.recordStates(r.Context(), entries))}
	for _, fault := range corrupt {
		response.CorruptPages = append(response.CorruptPages, fault.Error())
	}
	response.Entries = slices.DeleteFunc(response.Entries, func(e audit.Entry) bool { return !matchesFilters(r, e) })
	writeJSON(w, http.StatusOK, response)
}

func matchesFilters(r *http.Request, e audit.Entry) bool {
	query := r.URL.Query()
	matches := func(parameter, value string) bool {
		wanted := query.Get(parameter)
		return wanted == "" || wanted == value
	}
	return matches("kind", string(e.Record.Kind)) && matches("name", e.Record.Name) && matches("author", e.Author)
}

// recordStates reads the current state of the records that unresolved entries
// refer to.
func (s *Server) recordStates(ctx context.Context, entries []audit.Entry) map[record.ID]audit.RecordState {
	states := make(map[record.ID]audit.RecordState)
	for _, e := range entries {
		if _, done := states[e.Record]; done || e.Outcome != audit.Unresolved {
			continue
		}
		entry, err := s.Store.Get(ctx, storekeys.Spec(e.Record))
		if err != nil && !store.IsNotFound(err) {
			entry = s.Feed.Snapshot().Raw[storekeys.Spec(e.Record)]
		}
		states[e.Record] = audit.RecordState{Exists: entry.ModRevision != 0, WriteID: writeIDOf(entry.Value)}
	}
	return states
}
