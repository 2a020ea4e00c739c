// Package operatorapi serves the operators' HTTP+JSON interface: records with
// optimistic concurrency, their status, and which members serve a revision.
package operatorapi

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/admission"
	"auburnglade.example/glade/internal/catalog"
	"auburnglade.example/glade/internal/feed"
	"auburnglade.example/glade/internal/keys"
	"auburnglade.example/glade/internal/member"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// maxBodyBytes bounds one request: a record is far smaller than a value.
const maxBodyBytes = 512 << 10

// Confirmer answers which members may serve an older revision.
type Confirmer interface {
	Lagging(ctx context.Context, revision store.Revision) []string
}

// Config is what a Server is made of.
type Config struct {
	Store     store.Store
	Feed      *feed.Feed
	Confirmer Confirmer
	Log       zerolog.Logger
}

// Server is the operators' API of one controller.
type Server struct {
	Config
	mux *http.ServeMux
}

// New returns a server; mount it as an http.Handler.
func New(config Config) *Server {
	s := &Server{Config: config, mux: http.NewServeMux()}
	s.mux.HandleFunc("GET /v1/records", s.list)
	s.mux.HandleFunc("GET /v1/records/{kind}/{name}", s.get)
	s.mux.HandleFunc("PUT /v1/records/{kind}/{name}", s.put)
	s.mux.HandleFunc("DELETE /v1/records/{kind}/{name}", s.remove)
	s.mux.HandleFunc("GET /v1/status/{kind}/{name}", s.status)
	s.mux.HandleFunc("GET /v1/fleet", s.fleet)
	s.mux.HandleFunc("GET /v1/inforce", s.inForce)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("GET /v1/explain/{kind}/{name}", s.explain)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := record.Kind(r.URL.Query().Get("kind"))
	snapshot := s.Feed.Snapshot()
	answer := RecordList{Revision: snapshot.Revision, Records: []Record{}}
	for id := range specKeys(snapshot) {
		if kind == "" || id.Kind == kind {
			answer.Records = append(answer.Records, describe(snapshot, id))
		}
	}
	sortRecords(answer.Records)
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	id, _ := pathID(r)
	entry, err := s.Store.Get(r.Context(), keys.Spec(id))
	if store.IsNotFound(err) {
		writeError(w, &NotFoundError{ID: id})
		return
	}
	if err != nil {
		s.getFromSnapshot(w, id, err)
		return
	}
	answer := Record{ID: id, Revision: entry.ModRevision, Stored: entry.Value}
	if rejection, ok := s.Feed.Snapshot().Rejected[id]; ok {
		answer.Rejected = &rejection
	}
	w.Header().Set("ETag", etag(entry.ModRevision))
	writeJSON(w, http.StatusOK, answer)
}

// getFromSnapshot answers from the configuration in force while the store is
// away.
func (s *Server) getFromSnapshot(w http.ResponseWriter, id record.ID, err error) {
	snapshot := s.Feed.Snapshot()
	if _, ok := snapshot.Raw[keys.Spec(id)]; !ok {
		writeError(w, err)
		return
	}
	answer := describe(snapshot, id)
	w.Header().Set("ETag", etag(answer.Revision))
	w.Header().Set("Warning", `110 - "the store is away; this is the configuration in force here"`)
	writeJSON(w, http.StatusOK, answer)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	id, expect, err := s.precondition(r)
	if err != nil {
		writeError(w, err)
		return
	}
	envelope, err := readEnvelope(r, id)
	if err != nil {
		writeError(w, err)
		return
	}
	snapshot := s.Feed.Snapshot()
	maxSchema := member.SupportedSchema(snapshot, record.MaxSchema)
	if err := admission.CheckPut(snapshot, envelope, maxSchema); err != nil {
		writeError(w, err)
		return
	}
	envelope.WriteID = uuid.NewString()
	if r.URL.Query().Get("dryRun") == "true" {
		writeJSON(w, http.StatusOK, Accepted{Record: id, DryRun: true})
		return
	}
	value, err := json.Marshal(envelope)
	if err != nil {
		writeError(w, err)
		return
	}
	s.swap(w, r, id, store.Write{Key: keys.Spec(id), Expect: expect, Value: value})
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	id, expect, err := s.precondition(r)
	if err == nil {
		err = admission.CheckDelete(s.Feed.Snapshot(), id)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	s.swap(w, r, id, store.Write{Key: keys.Spec(id), Expect: expect, Delete: true})
}

func (s *Server) swap(w http.ResponseWriter, r *http.Request, id record.ID, write store.Write) {
	revision, err := store.Swap(r.Context(), s.Store, write)
	if store.IsConflict(err) {
		s.conflict(w, r, id, write)
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	s.Log.Info().Str("record", id.String()).Int64("revision", int64(revision)).Msg("Change accepted.")
	w.Header().Set("ETag", etag(revision))
	writeJSON(w, http.StatusOK, Accepted{Record: id, Revision: revision})
}

// conflict answers with what the other operator left, so that the loser sees
// what changed under them.
func (s *Server) conflict(w http.ResponseWriter, r *http.Request, id record.ID, write store.Write) {
	conflict := &ConflictError{ID: id, Expect: write.Expect}
	entry, err := s.Store.Get(r.Context(), keys.Spec(id))
	if err == nil {
		conflict.Current = &Record{ID: id, Revision: entry.ModRevision, Stored: entry.Value}
	}
	writeError(w, conflict)
}

func (s *Server) precondition(r *http.Request) (record.ID, store.Revision, error) {
	id, err := pathID(r)
	if err != nil {
		return id, 0, err
	}
	if r.Header.Get("If-None-Match") == "*" {
		return id, 0, nil
	}
	text := strings.Trim(r.Header.Get("If-Match"), `"`)
	revision, err := strconv.ParseInt(text, 10, 64)
	if err != nil || revision <= 0 {
		return id, 0, &PreconditionMissingError{Got: r.Header.Get("If-Match")}
	}
	return id, store.Revision(revision), nil
}

func readEnvelope(r *http.Request, id record.ID) (record.Envelope, error) {
	data, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	if err != nil {
		return record.Envelope{}, &record.SyntaxError{Cause: err}
	}
	envelope, err := record.ParseEnvelope(data)
	if err != nil {
		return record.Envelope{}, err
	}
	if envelope.ID() != id {
		return envelope, &catalog.MisplacedError{Key: id, Record: envelope.ID()}
	}
	return envelope, nil
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	id, _ := pathID(r)
	entry, err := s.Store.Get(r.Context(), keys.Status(id))
	if store.IsNotFound(err) {
		writeError(w, &NotFoundError{ID: id})
		return
	}
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, http.StatusOK, json.RawMessage(entry.Value))
}

func (s *Server) fleet(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, summarize(s.Feed.Snapshot()))
}

func (s *Server) inForce(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, &QueryError{Parameter: "revision", Got: r.URL.Query().Get("revision"), Want: "a whole number"})
		return
	}
	lagging := s.Confirmer.Lagging(r.Context(), store.Revision(revision))
	writeJSON(w, http.StatusOK, InForce{Revision: store.Revision(revision), InForce: len(lagging) == 0, Lagging: lagging})
}

// watchWait is how long a watch without news waits.
const watchWait = 20 * time.Second

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, &QueryError{Parameter: "after", Got: r.URL.Query().Get("after"), Want: "a whole number"})
		return
	}
	timeout := time.NewTimer(watchWait)
	defer timeout.Stop()
	for {
		snapshot, changed := s.Feed.Current()
		changes := changesSince(snapshot, store.Revision(after))
		if len(changes.Records) > 0 {
			writeJSON(w, http.StatusOK, changes)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeJSON(w, http.StatusOK, changes)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) explain(w http.ResponseWriter, r *http.Request) {
	id, _ := pathID(r)
	snapshot := s.Feed.Snapshot()
	if r.PathValue("kind") == "Host" {
		item, ok := snapshot.Hosts[id.Name]
		if !ok {
			writeError(w, &NotFoundError{ID: id})
			return
		}
		writeJSON(w, http.StatusOK, Explanation{Subject: id.String(), Pool: item.Pool, Reasons: explainHost(item)})
		return
	}
	if _, ok := snapshot.Raw[keys.Spec(id)]; !ok {
		writeError(w, &NotFoundError{ID: id})
		return
	}
	writeJSON(w, http.StatusOK, Explanation{Subject: id.String(), Reasons: s.explainRecord(r.Context(), snapshot, id)})
}

func pathID(r *http.Request) (record.ID, error) {
	id := record.ID{Kind: record.Kind(r.PathValue("kind")), Name: r.PathValue("name")}
	for _, kind := range record.Kinds {
		if kind == id.Kind {
			return id, nil
		}
	}
	return id, &NotFoundError{ID: id}
}

func etag(revision store.Revision) string {
	return strconv.Quote(strconv.FormatInt(int64(revision), 10))
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the operator has gone.
	_ = json.NewEncoder(w).Encode(body)
}

func writeError(w http.ResponseWriter, err error) {
	answer := ErrorAnswer{Message: err.Error()}
	status := http.StatusInternalServerError
	var invalid *record.InvalidError
	var conflict *ConflictError
	switch {
	case errors.As(err, &invalid):
		answer.Code, status = CodeInvalid, http.StatusUnprocessableEntity
		answer.Faults = invalid.Faults
	case errors.As(err, &conflict):
		answer.Code, status = CodeConflict, http.StatusPreconditionFailed
		answer.Current = conflict.Current
	case isA[*record.SchemaError](err):
		answer.Code, status = CodeSchema, http.StatusUnprocessableEntity
	case isA[*record.SyntaxError](err), isA[*catalog.MisplacedError](err), isA[*QueryError](err):
		answer.Code, status = CodeBadRequest, http.StatusBadRequest
	case isA[*NotFoundError](err):
		answer.Code, status = CodeNotFound, http.StatusNotFound
	case isA[*PreconditionMissingError](err):
		answer.Code, status = CodePrecondition, http.StatusPreconditionRequired
	case isA[*admission.ReferencedError](err):
		answer.Code, status = CodeReferenced, http.StatusConflict
	case store.IsUnknownOutcome(err):
		answer.Code, status = CodeUnknownOutcome, http.StatusGatewayTimeout
	default:
		answer.Code, status = CodeStoreAway, http.StatusServiceUnavailable
	}
	writeJSON(w, status, answer)
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
