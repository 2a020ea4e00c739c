// Package platformhttp is the HTTP+JSON protocol of the platform: a client for
// its interfaces (store, host list, host control, workers) and the server used by
// simulated platforms. The wire format is private to this package.
package platformhttp

import (
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/store"
)

// Paths of the calls. Every call is a POST with a JSON body, except the host
// list, which is a conditional GET.
const (
	pathGet        = "/store/get"
	pathList       = "/store/list"
	pathSwap       = "/store/swap"
	pathWatch      = "/store/watch"
	pathGrant      = "/store/grant"
	pathKeepAlive  = "/store/keepalive"
	pathRevoke     = "/store/revoke"
	pathHosts      = "/hosts/list"
	pathCondition  = "/hosts/condition"
	pathDrain      = "/hosts/drain"
	pathUndrain    = "/hosts/undrain"
	pathReboot     = "/hosts/reboot"
	pathStart      = "/workers/start"
	pathRenew      = "/workers/renew"
	pathCheckpoint = "/workers/checkpoint"
	pathThrottle   = "/workers/throttle"
	pathStop       = "/workers/stop"
	pathReports    = "/workers/reports"
)

type keyRequest struct {
	Key string `json:"key"`
}

type prefixRequest struct {
	Prefix string         `json:"prefix"`
	After  store.Revision `json:"after,omitempty"`
}

type revisionResponse struct {
	Revision store.Revision `json:"revision"`
}

type leaseRequest struct {
	ID  store.LeaseID `json:"id,omitempty"`
	TTL time.Duration `json:"ttl,omitempty"`
}

type hostRequest struct {
	Host      string `json:"host"`
	Operation string `json:"operation,omitempty"`
}

type taskRequest struct {
	Host   string        `json:"host"`
	Task   fleet.Task    `json:"task"`
	TaskID string        `json:"taskId,omitempty"`
	IDs    []string      `json:"ids,omitempty"`
	TTL    time.Duration `json:"ttl,omitempty"`
	On     bool          `json:"on,omitempty"`
}

type empty struct{}

// errorResponse is a typed error on the wire; exactly one field is set.
type errorResponse struct {
	NotFound    *store.NotFoundError       `json:"notFound,omitempty"`
	Conflict    *store.ConflictError       `json:"conflict,omitempty"`
	Throttled   *store.ThrottledError      `json:"throttled,omitempty"`
	Compacted   *store.CompactedError      `json:"compacted,omitempty"`
	Lease       *store.LeaseExpiredError   `json:"lease,omitempty"`
	TooLarge    *store.ValueTooLargeError  `json:"tooLarge,omitempty"`
	HostUnknown *fleet.HostUnknownError    `json:"hostUnknown,omitempty"`
	Stale       *fleet.StaleOperationError `json:"stale,omitempty"`
	TaskEnded   *fleet.TaskEndedError      `json:"taskEnded,omitempty"`
	Unavailable string                     `json:"unavailable,omitempty"`
	Unknown     string                     `json:"unknown,omitempty"`
	BadRequest  string                     `json:"badRequest,omitempty"`
}

// RemoteError is a cause that the platform returned as text.
type RemoteError struct{ Reason string }

func (e *RemoteError) Error() string { return e.Reason }

func encodeError(err error) errorResponse {
	var response errorResponse
	var unknown *store.UnknownOutcomeError
	switch {
	case errors.As(err, &response.NotFound):
	case errors.As(err, &response.Conflict):
	case errors.As(err, &response.Throttled):
	case errors.As(err, &response.Compacted):
	case errors.As(err, &response.Lease):
	case errors.As(err, &response.TooLarge):
	case errors.As(err, &response.HostUnknown):
	case errors.As(err, &response.TaskEnded):
	case errors.As(err, &response.Stale):
	case errors.As(err, &unknown):
		response.Unknown = unknown.Cause.Error()
	default:
		response.Unavailable = err.Error()
	}
	return response
}

func (r errorResponse) decode(op string) error {
	switch {
	case r.NotFound != nil:
		return r.NotFound
	case r.Conflict != nil:
		return r.Conflict
	case r.Throttled != nil:
		return r.Throttled
	case r.Compacted != nil:
		return r.Compacted
	case r.Lease != nil:
		return r.Lease
	case r.TooLarge != nil:
		return r.TooLarge
	case r.HostUnknown != nil:
		return r.HostUnknown
	case r.TaskEnded != nil:
		return r.TaskEnded
	case r.Stale != nil:
		return r.Stale
	case r.Unknown != "":
		return &store.UnknownOutcomeError{Op: op, Cause: &RemoteError{Reason: r.Unknown}}
	case r.BadRequest != "":
		return &store.UnavailableError{Op: op, Cause: &RemoteError{Reason: r.BadRequest}}
	}
	return &store.UnavailableError{Op: op, Cause: &RemoteError{Reason: r.Unavailable}}
}
