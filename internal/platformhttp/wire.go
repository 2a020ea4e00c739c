// Package platformhttp speaks HTTP+JSON with the platform: a client for each
// seam (store, host list, pool hosts, workers) and the server that a stand-in
// mounts. Nothing outside this package knows the wire format.
package platformhttp

import (
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/fleet"
	"auburnglade.example/glade/internal/store"
)

// Paths of the calls; every call is a POST with a JSON body, but for the host
// list, which is got on condition.
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

type revisionAnswer struct {
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

// errorAnswer carries a typed error over the wire: exactly one field is set.
type errorAnswer struct {
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

// RemoteError is the cause that the platform gave in words.
type RemoteError struct{ Reason string }

func (e *RemoteError) Error() string { return e.Reason }

func encodeError(err error) errorAnswer {
	var answer errorAnswer
	var unknown *store.UnknownOutcomeError
	switch {
	case errors.As(err, &answer.NotFound):
	case errors.As(err, &answer.Conflict):
	case errors.As(err, &answer.Throttled):
	case errors.As(err, &answer.Compacted):
	case errors.As(err, &answer.Lease):
	case errors.As(err, &answer.TooLarge):
	case errors.As(err, &answer.HostUnknown):
	case errors.As(err, &answer.TaskEnded):
	case errors.As(err, &answer.Stale):
	case errors.As(err, &unknown):
		answer.Unknown = unknown.Cause.Error()
	default:
		answer.Unavailable = err.Error()
	}
	return answer
}

func (a errorAnswer) decode(op string) error {
	switch {
	case a.NotFound != nil:
		return a.NotFound
	case a.Conflict != nil:
		return a.Conflict
	case a.Throttled != nil:
		return a.Throttled
	case a.Compacted != nil:
		return a.Compacted
	case a.Lease != nil:
		return a.Lease
	case a.TooLarge != nil:
		return a.TooLarge
	case a.HostUnknown != nil:
		return a.HostUnknown
	case a.TaskEnded != nil:
		return a.TaskEnded
	case a.Stale != nil:
		return a.Stale
	case a.Unknown != "":
		return &store.UnknownOutcomeError{Op: op, Cause: &RemoteError{Reason: a.Unknown}}
	case a.BadRequest != "":
		return &store.UnavailableError{Op: op, Cause: &RemoteError{Reason: a.BadRequest}}
	}
	return &store.UnavailableError{Op: op, Cause: &RemoteError{Reason: a.Unavailable}}
}
