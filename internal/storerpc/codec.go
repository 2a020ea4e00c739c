package storerpc

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/deflate"
	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storeaccess"
	"auburnglade.example/glade/internal/storerpc/storepb"
)

// RefusedThereError reports that the store didn't serve the entry host that was asked.
type RefusedThereError struct{ Op string }

func (e *RefusedThereError) Error() string {
	return fmt.Sprintf("%s: the store did not serve the entry host that was asked", e.Op)
}

// throttledRetryAfter is the retry delay reported for a call that the store throttled
// at another entry host.
const throttledRetryAfter = 200 * time.Millisecond

// encodeShared encodes an entry that is sent to many, compressed if it is large and the
// caller accepts that.
func (s *server) encodeShared(entry store.Entry, acceptsDeflated bool) *storepb.Entry {
	encoded := encodeEntry(entry)
	if !acceptsDeflated {
		return encoded
	}
	if deflated := s.deflated.Compress(entry.Key, int64(entry.ModRevision), entry.Value); deflated != nil {
		encoded.Value, encoded.Deflated = nil, deflated
	}
	return encoded
}

func encodeEntry(entry store.Entry) *storepb.Entry {
	return &storepb.Entry{Key: entry.Key, Value: entry.Value, Revision: int64(entry.ModRevision), Lease: int64(entry.Lease)}
}

func encodeEntries(entries []store.Entry) (encoded []*storepb.Entry) {
	for _, entry := range entries {
		encoded = append(encoded, encodeEntry(entry))
	}
	return encoded
}

func decodeEntry(entry *storepb.Entry) store.Entry {
	return store.Entry{
		Key: entry.GetKey(), Value: entry.GetValue(), ModRevision: store.Revision(entry.GetRevision()), Lease: store.LeaseID(entry.GetLease()),
	}
}

// decodeShared is decodeEntry for one that may be compressed. It returns the errors of
// deflate.Decompress.
func decodeShared(entry *storepb.Entry) (decoded store.Entry, err error) {
	decoded = decodeEntry(entry)
	if len(entry.GetDeflated()) > 0 {
		decoded.Value, err = deflate.Decompress(entry.Deflated)
	}
	return decoded, err
}

func decodeEntries(entries []*storepb.Entry) (decoded []store.Entry) {
	for _, entry := range entries {
		decoded = append(decoded, decodeEntry(entry))
	}
	return decoded
}

// outcomeOf returns the outcome for an error of a call to the store or of a relay.
func outcomeOf(err error) storepb.Outcome {
	var throttled *store.ThrottledError
	var notCurrent *storeaccess.NotCurrentError
	var tooMany *store.TooManyOpsError
	switch {
	case err == nil:
		return storepb.Outcome_OUTCOME_DONE
	case errors.As(err, &throttled):
		return storepb.Outcome_OUTCOME_THROTTLED
	case errors.As(err, &notCurrent):
		return storepb.Outcome_OUTCOME_NOT_CURRENT
	case store.IsRefused(err), errors.As(err, &tooMany):
		return storepb.Outcome_OUTCOME_UNAVAILABLE
	case store.IsCompacted(err):
		return storepb.Outcome_OUTCOME_COMPACTED
	case store.IsNotFound(err):
		return storepb.Outcome_OUTCOME_NOT_FOUND
	case store.IsTxnConflict(err):
		return storepb.Outcome_OUTCOME_CONFLICT
	case store.IsLeaseExpired(err):
		return storepb.Outcome_OUTCOME_LEASE_EXPIRED
	}
	return storepb.Outcome_OUTCOME_UNKNOWN
}

// failure is what the error for an outcome tells.
type failure struct {
	key     string
	after   store.Revision
	lease   store.LeaseID
	current []*storepb.Entry
}

// errorOf returns the error for an outcome, nil for a call that was carried out.
func errorOf(outcome storepb.Outcome, op string, f failure) error {
	there := &RefusedThereError{op}
	switch outcome {
	case storepb.Outcome_OUTCOME_DONE:
		return nil
	case storepb.Outcome_OUTCOME_UNAVAILABLE:
		return &store.UnavailableError{Op: op, Cause: there}
	case storepb.Outcome_OUTCOME_THROTTLED:
		return &store.ThrottledError{Op: op, RetryAfter: throttledRetryAfter}
	case storepb.Outcome_OUTCOME_NOT_CURRENT:
		return &storeaccess.NotCurrentError{Prefix: f.key}
	case storepb.Outcome_OUTCOME_COMPACTED:
		return &store.CompactedError{Asked: f.after}
	case storepb.Outcome_OUTCOME_NOT_FOUND:
		return &store.NotFoundError{Key: f.key}
	case storepb.Outcome_OUTCOME_CONFLICT:
		return &store.TxnConflictError{Current: decodeEntries(f.current)}
	case storepb.Outcome_OUTCOME_LEASE_EXPIRED:
		return &store.LeaseExpiredError{ID: f.lease}
	}
	return &store.UnknownOutcomeError{Op: op, Cause: there}
}
