package operatorapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"auburnglade.example/glade/internal/admission"
	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// maxBodyBytes bounds one request: a record is far smaller than a value.
const maxBodyBytes = 256 << 10

// WriteIDHeader lets a client identify a deletion, as the envelope's writeId
// identifies a put.
const WriteIDHeader = "Glade-Write-Id"

// change is one operator's request to replace or delete a record.
type change struct {
	id     record.ID
	expect store.Revision
	// writeID is chosen by the client, so that the same change sent again
	// through another controller is recognised.
	writeID  string
	envelope record.Envelope
	deletes  bool
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	c, err := readChange(w, r)
	if err == nil {
		c.envelope, err = readEnvelope(w, r, c.id)
	}
	if err == nil {
		c.writeID, err = writeIdentity(c.envelope.WriteID)
	}
	if err == nil {
		err = s.checkPut(r.Context(), c)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	c.envelope.WriteID = c.writeID
	c.envelope.Author = author(r)
	s.accept(w, r, c)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	c, err := readChange(w, r)
	if err == nil {
		c.deletes = true
		c.writeID, err = writeIdentity(r.Header.Get(WriteIDHeader))
	}
	if err == nil && !breaksGlass(r) {
		err = s.checkDelete(r.Context(), c.id)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	s.accept(w, r, c)
}

// accept writes a change that was found good and answers; a dry run ends here.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, c change) {
	if r.URL.Query().Get("dryRun") == "true" {
		writeJSON(w, http.StatusOK, ChangeResponse{Record: c.id, DryRun: true})
		return
	}
	revision, err := s.audited(r, c)
	if err != nil {
		writeError(w, err)
		return
	}
	s.Log.Info().Str("record", c.id.String()).Int64("revision", int64(revision)).
		Str("author", author(r)).Bool("deleted", c.deletes).Msg("Change accepted.")
	if breaksGlass(r) {
		s.Log.Error().Str("record", c.id.String()).Str("author", author(r)).Msg("Break glass: checks were passed over.")
	}
	w.Header().Set("ETag", etag(revision))
	writeJSON(w, http.StatusOK, ChangeResponse{Record: c.id, Revision: revision})
}

// maxCommitTries bounds the tries of one change while the store loses answers.
const maxCommitTries = 3

// commit writes the change once, however many answers are lost. A second try
// whose first was only late is told of a conflict: with itself, as the write
// identity shows. Without that look the operator would read of a conflict and
// write the same change again.
func (s *Server) commit(ctx context.Context, c change) (store.Revision, error) {
	write, err := c.write()
	if err != nil {
		return 0, err
	}
	for range maxCommitTries {
		var revision store.Revision
		revision, err = store.IdempotentCAS(ctx, s.Store, write)
		if !store.IsConflict(err) && !store.IsUnknownOutcome(err) {
			return revision, err
		}
		current, readErr := s.Store.Get(ctx, write.Key)
		switch {
		case readErr == nil && !c.deletes && writeIDOf(current.Value) == c.writeID:
			return current.ModRevision, nil
		case store.IsConflict(err):
			return 0, conflictWith(c, current, readErr)
		case readErr != nil && !store.IsNotFound(readErr), current.ModRevision != write.Expect:
			return 0, err
		}
	}
	return 0, err
}

func (c change) write() (store.Write, error) {
	write := store.Write{Key: storekeys.Spec(c.id), Expect: c.expect, Delete: c.deletes}
	if c.deletes {
		return write, nil
	}
	value, err := json.Marshal(c.envelope)
	if err != nil {
		return write, &record.SyntaxError{Cause: err}
	}
	write.Value = value
	return write, nil
}

// conflictWith carries what the other operator left, so that the loser sees
// what changed under them.
func conflictWith(c change, current store.Entry, readErr error) error {
	conflict := &ConflictError{ID: c.id, Expect: c.expect}
	switch {
	case store.IsNotFound(readErr) && c.deletes:
		return &NotFoundError{ID: c.id}
	case readErr == nil:
		conflict.Current = &Record{ID: c.id, Revision: current.ModRevision, Stored: asJSON(current.Value)}
	}
	return conflict
}

func writeIDOf(value []byte) string {
	envelope, err := record.ParseEnvelope(value)
	if err != nil {
		return ""
	}
	return envelope.WriteID
}

func writeIdentity(given string) (string, error) {
	if given == "" {
		return uuid.NewString(), nil
	}
	parsed, err := uuid.Parse(given)
	if err != nil {
		return "", &QueryError{Parameter: "writeId", Got: given, Want: "a UUID that no other change has, or nothing"}
	}
	return parsed.String(), nil
}

func readChange(_ http.ResponseWriter, r *http.Request) (change, error) {
	id, err := pathID(r)
	if err != nil {
		return change{}, err
	}
	if r.Header.Get("If-None-Match") == "*" {
		return change{id: id}, nil
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision <= 0 {
		return change{}, &PreconditionMissingError{Got: r.Header.Get("If-Match")}
	}
	return change{id: id, expect: store.Revision(revision)}, nil
}

func readEnvelope(w http.ResponseWriter, r *http.Request, id record.ID) (record.Envelope, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return record.Envelope{}, &TooLargeError{Limit: maxBodyBytes}
	}
	if err != nil {
		return record.Envelope{}, &record.SyntaxError{Cause: err}
	}
	envelope, err := record.ParseEnvelope(data)
	if err != nil {
		return record.Envelope{}, err
	}
	if envelope.ID() != id {
		return envelope, &configstate.KeyMismatchError{Key: id, Record: envelope.ID()}
	}
	return envelope, nil
}

// checkPut decides on this controller's snapshot, which may lag behind a write
// just accepted elsewhere: what it misses there is looked up in the store.
func (s *Server) checkPut(ctx context.Context, c change) error {
	snapshot := s.withMissing(ctx, s.Feed.Snapshot(), c.envelope)
	maxSchema := member.SupportedSchema(snapshot, record.MaxSchema)
	var known admission.PreservedFields
	if len(record.UnknownFields(c.envelope)) > 0 {
		var err error
		if known, err = s.fieldsBefore(ctx, c); err != nil {
			return err
		}
	}
	return admission.CheckPut(snapshot, c.envelope, maxSchema, known)
}

// withMissing returns the snapshot with the records that the envelope names
// and that only the store has yet. Without it, a pool applied right after its
// service through another controller is refused for no reason that the
// operator could see.
func (s *Server) withMissing(ctx context.Context, snapshot *configstate.Snapshot, envelope record.Envelope) *configstate.Snapshot {
	for _, id := range admission.MissingRecords(snapshot, envelope) {
		entry, err := s.Store.Get(ctx, storekeys.Spec(id))
		if err != nil || entry.ModRevision <= snapshot.Revision {
			continue
		}
		snapshot = snapshot.Apply(store.WatchBatch{
			Revision: entry.ModRevision, Events: []store.Event{{Entry: entry}},
		})
	}
	return snapshot
}

// fieldsBefore returns the unknown fields that the version to be replaced has
// already: a newer member wrote them, and they must survive an amendment. When
// that version is gone the operator reads of the conflict, not of fields that
// they never wrote.
func (s *Server) fieldsBefore(ctx context.Context, c change) (admission.PreservedFields, error) {
	entry, err := s.Store.Get(ctx, storekeys.Spec(c.id))
	switch {
	case err != nil && !store.IsNotFound(err):
		return nil, err
	case entry.ModRevision != c.expect:
		return nil, conflictWith(c, entry, err)
	}
	before, err := record.ParseEnvelope(entry.Value)
	if err != nil {
		return nil, nil
	}
	return record.UnknownFields(before), nil
}

// checkDelete looks at the store's own listing: a record that was made to name
// this one a moment ago, through another controller, counts.
func (s *Server) checkDelete(ctx context.Context, id record.ID) error {
	listing, err := s.Store.List(ctx, storekeys.SpecPrefix)
	if err != nil {
		return err
	}
	return admission.CheckDelete(configstate.FromListing(s.Feed.Snapshot(), listing), id)
}
