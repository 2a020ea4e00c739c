// Package outcome defines the outcomes of a caller's request: it was answered, it
// did not run, or its outcome is unknown.
package outcome

import "net/http"

// Outcome is the outcome of a request.
type Outcome string

// The outcomes.
const (
	// Answered: the endpoint responded, and its complete response follows.
	Answered Outcome = "answered"
	// NotRun: no endpoint began the request. It is only returned if no byte of
	// the request can have reached an endpoint, or if the endpoint itself
	// refused before starting. The caller may safely retry.
	NotRun Outcome = "not-run"
	// Unknown: an endpoint may have begun the request, and its response is lost.
	Unknown Outcome = "unknown"
)

// Headers between callers, entry hosts and endpoints.
const (
	// Header carries the Outcome to the caller. An endpoint that refuses a
	// request before starting it sets it to NotRun.
	Header = "Glade-Outcome"
	// ReasonHeader carries the Reason, one of a fixed set of words.
	ReasonHeader = "Glade-Reason"
	// DrainingHeader is set by an endpoint that is draining.
	DrainingHeader = "Glade-Leaving"
	// DeadlineHeader carries the time left for the request in milliseconds.
	DeadlineHeader = "Glade-Deadline-Ms"
	// RequestIDHeader identifies a request across all its hops.
	RequestIDHeader = "Glade-Request-Id"
	// IdempotencyKeyHeader carries the idempotency key of a request: a retry
	// with the same key must not run again.
	IdempotencyKeyHeader = "Idempotency-Key"
	// CallerHeader, if set, is the identity to which the idempotency key
	// belongs; without it the key belongs to the service.
	CallerHeader = "Glade-Caller"
	// ReplayedHeader is "true" on a stored first response that is returned to a
	// retry.
	ReplayedHeader = "Glade-Replayed"
)

// Status codes by outcome. A caller that only checks the status can still
// distinguish the outcomes, because status codes of endpoints come with Answered.
const (
	StatusNotRun  = http.StatusServiceUnavailable
	StatusUnknown = http.StatusBadGateway
	// StatusKeyReused comes with NotRun if the key belongs to a different
	// request: a retry would be refused again.
	StatusKeyReused = http.StatusUnprocessableEntity
)

// StatusOf returns the HTTP status of a refusal and whether it has a Retry-After
// header. A request that would be refused again unchanged gets a status of its
// own and no Retry-After.
func StatusOf(reason Reason) (status int, retryAfter bool) {
	switch reason {
	case BadRequest:
		return http.StatusBadRequest, false
	case TooLarge:
		return http.StatusRequestEntityTooLarge, false
	case SlowCaller:
		return http.StatusRequestTimeout, false
	case KeyReused:
		return StatusKeyReused, false
	}
	return StatusNotRun, true
}

// Reason is the reason given with NotRun and Unknown, one of a fixed set of
// words.
type Reason string

// The reasons.
const (
	NoRoute            Reason = "no-route"
	NoEndpoint         Reason = "no-endpoint"
	Overloaded         Reason = "overloaded"
	Stopping           Reason = "stopping"
	ConnectFailed      Reason = "connect-failed"
	EndpointRefused    Reason = "endpoint-refused"
	EndpointLost       Reason = "endpoint-lost"
	TimedOut           Reason = "timed-out"
	CallerDisconnected Reason = "caller-gone"
	SlowCaller         Reason = "slow-caller"
	ResponseMismatch   Reason = "foreign-answer"
	BadRequest         Reason = "bad-request"
	TooLarge           Reason = "too-large"
	KeyInUse           Reason = "key-in-use"
	KeyOutcomeUnknown  Reason = "key-unclear"
	KeyReused          Reason = "key-reused"
	ResponseNotStored  Reason = "answer-not-kept"
	StoreUnavailable   Reason = "store-away"
	ClaimExpired       Reason = "claim-lapsed"
	NoConfiguration    Reason = "no-configuration"
)
