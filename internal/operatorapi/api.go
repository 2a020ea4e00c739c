// Package operatorapi serves the operators' HTTP and JSON API: records with
// optimistic concurrency control, their status, and which members serve a
// revision.
package operatorapi

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"auburnglade.example/glade/internal/audit"
	"auburnglade.example/glade/internal/auth"
	"auburnglade.example/glade/internal/configfeed"
	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/invariant"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// Confirmer reports which members may still serve a revision older than the
// given one.
type Confirmer interface {
	Lagging(ctx context.Context, revision store.Revision) []string
}

// Config configures a Server.
type Config struct {
	Store     store.Store
	Feed      *configfeed.Feed
	Confirmer Confirmer
	// Authenticator identifies the sender of a request.
	Authenticator auth.Authenticator
	// Registerer, when set, registers the metrics.
	Registerer prometheus.Registerer
	// Audit, when set, records every change in the audit log. The caller must
	// run its Serve method.
	Audit *audit.Recorder
	// Hosts and Prober are optional. They add the platform's host list and the
	// members' own reports to the status and explain responses.
	Hosts  fleet.HostList
	Prober Prober
	// Invariant, when set, holds the invariant violations seen by this process.
	Invariant *invariant.Checker
	// Deletions records deletions for watches. The caller must run its Serve
	// method.
	Deletions *DeletionLog
	Log       zerolog.Logger
}

// Server serves the operators' API of one controller.
type Server struct {
	Config
	mux     *http.ServeMux
	limiter *limiter
	metrics *metrics
}

// New returns a Server, which implements http.Handler.
func New(config Config) *Server {
	s := &Server{Config: config, mux: http.NewServeMux(), limiter: newLimiter(), metrics: newMetrics(config.Registerer)}
	s.mux.HandleFunc("GET /v1/records", s.list)
	s.mux.HandleFunc("GET /v1/records/{kind}/{name}", s.get)
	s.mux.HandleFunc("PUT /v1/records/{kind}/{name}", s.put)
	s.mux.HandleFunc("DELETE /v1/records/{kind}/{name}", s.remove)
	s.mux.HandleFunc("GET /v1/status/{kind}/{name}", s.status)
	s.mux.HandleFunc("GET /v1/fleet", s.fleet)
	s.mux.HandleFunc("GET /v1/hosts", s.hosts)
	s.mux.HandleFunc("POST "+planPath, s.plan)
	s.mux.HandleFunc("GET /v1/audit", s.audit)
	s.mux.HandleFunc("GET /v1/history/{wave}", s.history)
	s.mux.HandleFunc("GET /v1/inforce", s.revisionStatus)
	s.mux.HandleFunc("GET /v1/watch", s.watch)
	s.mux.HandleFunc("GET /v1/explain/{kind}/{name}", s.explain)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w, done := s.metrics.instrument(w, r)
	defer done()
	if err := s.limiter.allow(r); err != nil {
		writeError(w, err)
		return
	}
	r, err := s.authorize(r)
	if err != nil {
		writeError(w, err)
		return
	}
	s.mux.ServeHTTP(w, r)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	kind := record.Kind(r.URL.Query().Get("kind"))
	snapshot := s.Feed.Snapshot()
	response := RecordList{Revision: snapshot.Revision, Records: []Record{}}
	for id := range specKeys(snapshot) {
		if kind == "" || id.Kind == kind {
			response.Records = append(response.Records, recordFromSnapshot(snapshot, id))
		}
	}
	sortRecords(response.Records)
	writeJSON(w, http.StatusOK, response)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	id, _ := pathID(r)
	entry, err := s.Store.Get(r.Context(), storekeys.Spec(id))
	if store.IsNotFound(err) {
		writeError(w, &NotFoundError{ID: id})
		return
	}
	if err != nil {
		s.getFromSnapshot(w, id, err)
		return
	}
	response := Record{ID: id, Revision: entry.ModRevision, Stored: asJSON(entry.Value)}
	response.Rejected = rejectionOf(s.Feed.Snapshot(), id, entry)
	w.Header().Set("ETag", etag(entry.ModRevision))
	writeJSON(w, http.StatusOK, response)
}

// getFromSnapshot responds from the active configuration while the store is
// unavailable.
func (s *Server) getFromSnapshot(w http.ResponseWriter, id record.ID, err error) {
	snapshot := s.Feed.Snapshot()
	if _, ok := snapshot.Raw[storekeys.Spec(id)]; !ok {
		writeError(w, err)
		return
	}
	response := recordFromSnapshot(snapshot, id)
	w.Header().Set("ETag", etag(response.Revision))
	w.Header().Set("Warning", `110 - "the store is away; this is the configuration in force here"`)
	writeJSON(w, http.StatusOK, response)
}

func (s *Server) status(w http.ResponseWriter, r *http.Request) {
	id, _ := pathID(r)
	if id.Kind == record.KindJob {
		status, err := s.jobStatus(r.Context(), id)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, status)
		return
	}
	entry, err := s.Store.Get(r.Context(), storekeys.Status(id))
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

func (s *Server) revisionStatus(w http.ResponseWriter, r *http.Request) {
	revision, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		writeError(w, &QueryError{Parameter: "revision", Got: r.URL.Query().Get("revision"), Want: "a whole number"})
		return
	}
	lagging := s.Confirmer.Lagging(r.Context(), store.Revision(revision))
	writeJSON(w, http.StatusOK, RevisionStatus{Revision: store.Revision(revision), ServedByAll: len(lagging) == 0, Lagging: lagging})
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
