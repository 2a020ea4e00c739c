package platformhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/store"
)

// maxRequestBytes bounds the size of one request: a value of the maximum size in
// base64, with its envelope.
const maxRequestBytes = 4 << 20

// Backend is the set of interfaces that a server exposes over HTTP.
type Backend struct {
	Store       store.Store
	Hosts       fleet.HostList
	HostControl fleet.HostControl
	Workers     fleet.Workers
}

// NewHandler returns a handler that serves the interfaces of the backend to
// Client.
func NewHandler(b Backend) http.Handler {
	mux := http.NewServeMux()
	serve(mux, pathGet, func(ctx context.Context, r keyRequest) (store.Entry, error) {
		return b.Store.Get(ctx, r.Key)
	})
	serve(mux, pathList, func(ctx context.Context, r prefixRequest) (store.Listing, error) {
		return b.Store.List(ctx, r.Prefix)
	})
	serve(mux, pathSwap, func(ctx context.Context, r store.SwapRequest) (revisionResponse, error) {
		revision, err := b.Store.CompareAndSwap(ctx, r)
		return revisionResponse{Revision: revision}, err
	})
	serve(mux, pathWatch, func(ctx context.Context, r prefixRequest) (store.WatchBatch, error) {
		return b.Store.Watch(ctx, r.Prefix, r.After)
	})
	serve(mux, pathGrant, func(ctx context.Context, r leaseRequest) (store.Lease, error) {
		return b.Store.Grant(ctx, r.TTL)
	})
	serve(mux, pathKeepAlive, func(ctx context.Context, r leaseRequest) (store.Lease, error) {
		return b.Store.KeepAlive(ctx, r.ID)
	})
	serve(mux, pathRevoke, func(ctx context.Context, r leaseRequest) (empty, error) {
		return empty{}, b.Store.Revoke(ctx, r.ID)
	})
	serveHosts(mux, b)
	serveWorkers(mux, b.Workers)
	return mux
}

func serveHosts(mux *http.ServeMux, b Backend) {
	mux.HandleFunc("GET "+pathHosts, serveHostList(b.Hosts))
	serve(mux, pathCondition, func(ctx context.Context, r hostRequest) (fleet.HostCondition, error) {
		return b.HostControl.Condition(ctx, r.Host)
	})
	serve(mux, pathDrain, func(ctx context.Context, r hostRequest) (empty, error) {
		return empty{}, b.HostControl.Drain(ctx, r.Host, r.Operation)
	})
	serve(mux, pathUndrain, func(ctx context.Context, r hostRequest) (empty, error) {
		return empty{}, b.HostControl.Undrain(ctx, r.Host, r.Operation)
	})
	serve(mux, pathReboot, func(ctx context.Context, r hostRequest) (empty, error) {
		return empty{}, b.HostControl.Reboot(ctx, r.Host, r.Operation)
	})
}

func serveWorkers(mux *http.ServeMux, workers fleet.Workers) {
	serve(mux, pathStart, func(ctx context.Context, r taskRequest) (empty, error) {
		return empty{}, workers.Start(ctx, r.Host, r.Task)
	})
	serve(mux, pathRenew, func(ctx context.Context, r taskRequest) (empty, error) {
		return empty{}, workers.Renew(ctx, r.Host, r.IDs, r.TTL)
	})
	serve(mux, pathCheckpoint, func(ctx context.Context, r taskRequest) (empty, error) {
		return empty{}, workers.Checkpoint(ctx, r.Host, r.TaskID)
	})
	serve(mux, pathThrottle, func(ctx context.Context, r taskRequest) (empty, error) {
		return empty{}, workers.Throttle(ctx, r.Host, r.TaskID, r.On)
	})
	serve(mux, pathStop, func(ctx context.Context, r taskRequest) (empty, error) {
		return empty{}, workers.Stop(ctx, r.Host, r.TaskID)
	})
	serve(mux, pathReports, func(ctx context.Context, r hostRequest) ([]fleet.TaskReport, error) {
		return workers.Reports(ctx, r.Host)
	})
}

func serve[Request, Response any](mux *http.ServeMux, path string, call func(context.Context, Request) (Response, error)) {
	mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
		var request Request
		body := io.LimitReader(r.Body, maxRequestBytes)
		if err := json.NewDecoder(body).Decode(&request); err != nil {
			writeJSON(w, http.StatusBadRequest, errorResponse{BadRequest: err.Error()})
			return
		}
		response, err := call(r.Context(), request)
		if err != nil {
			writeJSON(w, http.StatusConflict, encodeError(err))
			return
		}
		writeJSON(w, http.StatusOK, response)
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A failed write means that the client has disconnected; it sees a truncated
	// response.
	_ = json.NewEncoder(w).Encode(body)
}
