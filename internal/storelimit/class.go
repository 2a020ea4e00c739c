package storelimit

import (
	"strings"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// Class is the priority of a call; lower values are served first.
type Class int

// The classes.
const (
	// Lease is for lease calls: replacing a lost lease costs far more calls than
	// renewing it.
	Lease Class = iota
	// Coordination is for calls that acquire and release what must be held only
	// once: disruption grants, claims of idempotency keys, host records.
	Coordination
	// Watch is for watches that keep the configuration current.
	Watch
	// Spec is for changes by operators.
	Spec
	// Status is for the status, history and other reports that the system writes
	// about itself.
	Status

	classCount = int(Status) + 1
)

func (c Class) String() string {
	return [classCount]string{"lease", "grant", "follow", "spec", "status"}[c]
}

// reservedShare is the share of the bucket's capacity that a class leaves to more
// important classes.
var reservedShare = [classCount]float64{0, 0.1, 0.2, 0.3, 0.5}

// classOfKey returns the class of a call for a key, or for the keys under a
// prefix.
func classOfKey(key string) Class {
	switch {
	case key == storekeys.SharedPrefix:
		return Watch
	case strings.HasPrefix(key, storekeys.MemberPrefix):
		return Lease
	case strings.HasPrefix(key, storekeys.SpecPrefix), strings.HasPrefix(key, storekeys.AuditPrefix):
		return Spec
	case strings.HasPrefix(key, storekeys.StatusPrefix), strings.HasPrefix(key, storekeys.HistoryPrefix):
		return Status
	}
	return Coordination
}

func isThrottled(err error) bool {
	var target *store.ThrottledError
	return errors.As(err, &target)
}

// isFailure reports whether the store is unavailable or the outcome of the call
// is unknown, as opposed to an error that the store returned.
func isFailure(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) || store.IsUnknownOutcome(err)
}
