// Package outcome names what became of a caller's request. There are three:
// it was answered, it did not run, or nobody knows.
package outcome

import "net/http"

// Outcome is what became of a request.
type Outcome string

// The outcomes.
const (
	// Answered: the endpoint answered and the answer follows whole.
	Answered Outcome = "answered"
	// NotRun: no endpoint began the request. It is only said when no byte of
	// the request can have reached an endpoint, or the endpoint itself refused
	// before starting. The caller may safely send it again.
	NotRun Outcome = "not-run"
	// Unknown: an endpoint may have begun the request and its answer is lost.
	Unknown Outcome = "unknown"
)

// Headers between callers, entry hosts and endpoints.
const (
	// Header carries the Outcome to the caller, and from an endpoint that
	// refuses before starting (NotRun).
	Header = "Glade-Outcome"
	// ReasonHeader says why in a fixed word.
	ReasonHeader = "Glade-Reason"
	// DrainingHeader is set by an endpoint that is about to leave.
	DrainingHeader = "Glade-Leaving"
	// DeadlineHeader carries the milliseconds left for the request.
	DeadlineHeader = "Glade-Deadline-Ms"
	// RequestIDHeader identifies one request over all its hops.
	RequestIDHeader = "Glade-Request-Id"
	// IdempotencyKeyHeader names a request whose repeat must not run again.
	IdempotencyKeyHeader = "Idempotency-Key"
	// CallerHeader, when given, is the identity that an idempotency key belongs
	// to; without it a key belongs to the service.
	CallerHeader = "Glade-Caller"
	// ReplayedHeader is "true" on the first answer given again to a repeat.
	ReplayedHeader = "Glade-Replayed"
)

// Status codes by outcome: a caller that only looks at the status still tells
// the outcomes apart, because endpoints' own codes come with Answered.
const (
	StatusNotRun  = http.StatusServiceUnavailable
	StatusUnknown = http.StatusBadGateway
	// StatusKeyReused comes with NotRun when a key belongs to another request:
	// sending it again would not help.
	StatusKeyReused = http.StatusUnprocessableEntity
)

// StatusOf returns the status of a refusal. A request that would be refused
// again as it is gets a status of its own kind and no Retry-After.
func StatusOf(reason Reason) (status int, comeBack bool) {
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

// Reason is the fixed word given with NotRun and Unknown.
type Reason string

// The reasons.
const (
	NoRoute           Reason = "no-route"
	NoEndpoint        Reason = "no-endpoint"
	Overloaded        Reason = "overloaded"
	Stopping          Reason = "stopping"
	ConnectFailed     Reason = "connect-failed"
	EndpointRefused   Reason = "endpoint-refused"
	EndpointLost      Reason = "endpoint-lost"
	TimedOut          Reason = "timed-out"
	CallerGone        Reason = "caller-gone"
	SlowCaller        Reason = "slow-caller"
	ResponseMismatch  Reason = "foreign-answer"
	BadRequest        Reason = "bad-request"
	TooLarge          Reason = "too-large"
	KeyInUse          Reason = "key-in-use"
	KeyOutcomeUnknown Reason = "key-unclear"
	KeyReused         Reason = "key-reused"
	ResponseNotStored Reason = "answer-not-kept"
	StoreUnavailable  Reason = "store-away"
	ClaimExpired      Reason = "claim-lapsed"
	NoConfiguration   Reason = "no-configuration"
)
