// Package atmostonce lets a request that carries an idempotency key run at
// most once over all gateways. A gateway claims the key in the platform's
// store before the first byte can reach an endpoint, and settles the claim
// with what became of the request. A claim is never taken over: whoever finds
// one gets the first answer or an honest refusal.
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

// ID names one keyed request over all gateways: a hash of the service, the
// caller's identity where given, and the idempotency key.
type ID [hashBytes]byte

// NewID returns the ID of a caller's key within a service.
func NewID(service, caller, key string) ID {
	return ID(digest([]byte(service), []byte(caller), []byte(key)))
}

// String returns the ID in hexadecimal.
func (id ID) String() string { return hex.EncodeToString(id[:]) }

// Fingerprint tells whether a key is used again for another request.
type Fingerprint [hashBytes]byte

// NewFingerprint returns the fingerprint of a request; target is its path and
// query.
func NewFingerprint(method, target string, body []byte) Fingerprint {
	return Fingerprint(digest([]byte(method), []byte(target), body))
}

// digest hashes the parts with their lengths, so that no two lists of parts
// run together.
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

// Claim asks for the right to run a request.
type Claim struct {
	ID          ID
	Fingerprint Fingerprint
	// Nonce is unique per claim: a lost store answer is resolved by it.
	Nonce uuid.UUID
	// Window is how long after the claim its first byte may still be sent, and
	// how long a repeat is told "in progress" before "unclear".
	Window time.Duration
}

// State is what a claim found.
type State uint8

// The states.
const (
	// Granted: the claim is written; the request may run.
	Granted State = iota + 1
	// InProgress: an earlier attempt is probably still running.
	InProgress
	// Answered: an earlier attempt was answered.
	Answered
	// OutcomeUnknown: an earlier attempt may have run and its answer is lost.
	OutcomeUnknown
	// KeyReused: the key belongs to a request with another fingerprint.
	KeyReused
)

// Response is an endpoint's whole answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// ClaimOutcome is a ledger's answer to a claim.
type ClaimOutcome struct {
	State State
	// Response is set when State is Answered and the first answer was kept.
	Response *Response
	// RetryAfter is set when State is InProgress.
	RetryAfter time.Duration
}

// Result is what became of a claimed request.
type Result uint8

// The results.
const (
	// ResultNotRun frees the claim: provably no byte reached an endpoint.
	ResultNotRun Result = iota + 1
	// ResultAnswered keeps the claim with the answer, where it fits.
	ResultAnswered
	// ResultUnknown keeps the claim; its request may have run.
	ResultUnknown
)

// Settlement says what became of the claim with the same ID and Identity.
type Settlement struct {
	ID     ID
	Nonce  uuid.UUID
	Result Result
	// Response is nil unless Result is ResultAnswered and the answer is kept.
	Response *Response
}

// ClaimStore keeps claims where they outlive the process.
type ClaimStore interface {
	// Claim returns Granted only once the claim is certainly in the store. It
	// returns *AwayError when that could not be made certain; the request must
	// not run then.
	Claim(ctx context.Context, claim Claim) (ClaimOutcome, error)
	// Settle returns nil once the settlement is in the store or no longer
	// matters, and *AwayError when it should be tried again.
	Settle(ctx context.Context, settlement Settlement) error
	// Serve does the ledger's work until ctx ends; claims made before or after
	// may fail.
	Serve(ctx context.Context) error
}

// DefaultRetention is how long a claim is kept at least, far beyond any
// caller's repeats.
const DefaultRetention = 30 * time.Minute

// MaxWindow bounds a claim's window, so that a claim outlives every attempt
// made under it many times over.
const MaxWindow = DefaultRetention / 4
