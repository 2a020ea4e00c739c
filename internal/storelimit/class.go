package storelimit

import (
	"strings"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/store"
	"auburnglade.example/glade/internal/storekeys"
)

// Class is how important a call is; lower ones go first.
type Class int

// The classes.
const (
	// Lease keeps leases: a lost one costs far more calls than it saves.
	Lease Class = iota
	// Coordination takes and gives back what must not be taken twice: disruption
	// grants, claims of idempotency keys, host records.
	Coordination
	// Watch keeps the configuration current.
	Watch
	// Spec is the operators' changes.
	Spec
	// Status is what the system says about itself.
	Status

	classes = int(Status) + 1
)

func (c Class) String() string {
	return [classes]string{"lease", "grant", "follow", "spec", "status"}[c]
}

// reserve is the share of the bucket that a class leaves to those before it.
var reserve = [classes]float64{0, 0.1, 0.2, 0.3, 0.5}

// ofKey returns the class of a call for a key or for the keys under a prefix.
func ofKey(key string) Class {
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

// isFailure reports whether the store gave no answer of its own.
func isFailure(err error) bool {
	var unavailable *store.UnavailableError
	return errors.As(err, &unavailable) || store.IsUnknownOutcome(err)
}
