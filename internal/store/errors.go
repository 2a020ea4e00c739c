package store

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// NotFoundError says that a key is absent.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("store: key %q not found", e.Key) }

// ConflictError says that a compare-and-swap found another revision than the
// one expected. Nothing was written.
type ConflictError struct {
	Key    string
	Expect Revision
	Actual Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q is at revision %d, expected %d", e.Key, e.Actual, e.Expect)
}

// UnavailableError says that the store did not take the call. Nothing was
// written.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s: unavailable: %v", e.Op, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// ThrottledError says that the store refused the call for its rate. Nothing
// was written.
type ThrottledError struct {
	Op         string
	RetryAfter time.Duration
}

func (e *ThrottledError) Error() string {
	return fmt.Sprintf("store: %s: throttled, retry after %s", e.Op, e.RetryAfter)
}

// UnknownOutcomeError says that a write may or may not have taken effect: its
// answer was lost. The caller must re-read before it tries again.
type UnknownOutcomeError struct {
	Op    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store: %s: outcome unknown: %v", e.Op, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CompactedError says that a watch asked for events older than the history
// kept. The watcher must list again.
type CompactedError struct {
	Asked  Revision
	Oldest Revision
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: revision %d is compacted, oldest kept is %d", e.Asked, e.Oldest)
}

// LeaseExpiredError says that a lease has ended or never was.
type LeaseExpiredError struct{ ID LeaseID }

func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("store: lease %d has ended", e.ID) }

// ValueTooLargeError says that a value is over MaxValueBytes.
type ValueTooLargeError struct {
	Key   string
	Bytes int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("store: value of %q has %d bytes, at most %d are allowed", e.Key, e.Bytes, MaxValueBytes)
}

// IsNotFound reports whether err says that a key is absent.
func IsNotFound(err error) bool { return is[*NotFoundError](err) }

// IsConflict reports whether err is a lost compare-and-swap.
func IsConflict(err error) bool { return is[*ConflictError](err) }

// IsUnknownOutcome reports whether a write may have taken effect.
func IsUnknownOutcome(err error) bool { return is[*UnknownOutcomeError](err) }

// IsCompacted reports whether a watch must list again.
func IsCompacted(err error) bool { return is[*CompactedError](err) }

// IsLeaseExpired reports whether a lease has ended.
func IsLeaseExpired(err error) bool { return is[*LeaseExpiredError](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
