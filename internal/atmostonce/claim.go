// Package atmostonce makes a request that carries an idempotency key run at
// most once across all gateways. A gateway claims the key in the platform's
// store before the first byte can reach an endpoint, and settles the claim with
// the result of the request. A claim is never taken over: a later attempt gets
// the first response, or is refused with the state of the first attempt.
package atmostonce

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"net/http"
	"time"

	"github.com/google/uuid"
)

const hashBytes = 16

// ID identifies one keyed request across all gateways: a hash of the service,
// the caller's identity where one is given, and the idempotency key.
type ID [hashBytes]byte

// NewID returns the ID of a caller's key within a service.
func NewID(service, caller, key string) ID {
	return ID(digest([]byte(service), []byte(caller), []byte(key)))
}

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Fingerprint identifies the content of a request. A different fingerprint
// under the same ID means that the key was reused for another request.
type Fingerprint [hashBytes]byte

// NewFingerprint returns the fingerprint of a request; target is its path and
// query.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(method), []byte(target), body))
}

// digest hashes each part prefixed with its length, so that different lists of
// parts never produce the same input.
func digest(parts ...[]byte) []byte {
	hash := sha256.New()
	for _, part := range parts {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	return hash.Sum(nil)[:hashBytes]
}

// Claim requests the right to run a request.
type Claim struct {
	ID          ID
	Fingerprint Fingerprint
	// Nonce is unique per claim. It identifies the claim in the store when the
	// response to its write was lost.
	Nonce uuid.UUID
	// Window is how long after the claim the request's first byte may still be
	// sent. A repeat gets InProgress within it and OutcomeUnknown after it.
	Window time.Duration
}

// State is the result of a claim.
type State uint8

// The claim states.
const (
	// Granted: the claim is written; the request may run.
	Granted State = iota + 1
	// InProgress: an earlier attempt is probably still running.
	InProgress
	// Answered: an earlier attempt received a response.
	Answered
	// OutcomeUnknown: an earlier attempt may have run and its response is lost.
	OutcomeUnknown
	// KeyReused: the key belongs to a request with another fingerprint.
	KeyReused
)

// Response is the complete response of an endpoint.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimOutcome is what a claim store returns for a claim.
type ClaimOutcome struct {
	State State
	// Response is set when State is Answered and the first response was kept.
	Response *Response
	// RetryAfter is set when State is InProgress.
	RetryAfter time.Duration
}

// Result is how a claimed request ended.
type Result uint8

// The results.
const (
	// ResultNotRun frees the claim: no byte can have reached an endpoint.
	ResultNotRun Result = iota + 1
	// ResultAnswered keeps the claim, together with the response where it fits.
	ResultAnswered
	// ResultUnknown keeps the claim; its request may have run.
	ResultUnknown
)

// Settlement records the result of the claim with the same ID and Nonce.
type Settlement struct {
	ID     ID
	Nonce  uuid.UUID
	Result Result
	// Response is nil unless Result is ResultAnswered and the response is kept.
	Response *Response
}

// ClaimStore stores claims so that they survive the process that made them.
type ClaimStore interface {
	// Claim returns Granted only once the claim is confirmed to be in the
	// store. It returns *UnconfirmedError when that could not be confirmed; the
	// request must not run then.
	Claim(ctx context.Context, claim Claim) (ClaimOutcome, error)
	// Settle returns nil once the settlement is in the store or no longer
	// needed, and *UnconfirmedError when it should be retried.
	Settle(ctx context.Context, settlement Settlement) error
	// Serve runs the background work of the claim store until ctx ends. Claims
	// made while it is not running may fail.
	Serve(ctx context.Context) error
}

// DefaultRetention is the minimum time for which a claim is kept. It far
// exceeds the time over which callers repeat a request.
const DefaultRetention = 30 * time.Minute

// MaxWindow is the upper bound of a claim's window. It is a quarter of
// DefaultRetention, so that a claim outlives every attempt made under it.
const MaxWindow = DefaultRetention / 4
