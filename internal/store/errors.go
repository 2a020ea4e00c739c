package store

import (
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
)

// NotFoundError reports an absent key.
type NotFoundError struct{ Key string }

func (e *NotFoundError) Error() string { return fmt.Sprintf("store: key %q not found", e.Key) }

// ConflictError reports that a compare-and-swap found a revision other than the
// expected one. Nothing was written.
type ConflictError struct {
	Key    string
	Expect Revision
	Actual Revision
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("store: key %q is at revision %d, expected %d", e.Key, e.Actual, e.Expect)
}

// UnavailableError reports that the store did not process the call. Nothing was
// written.
type UnavailableError struct {
	Op    string
	Cause error
}

func (e *UnavailableError) Error() string {
	return fmt.Sprintf("store: %s: unavailable: %v", e.Op, e.Cause)
}

func (e *UnavailableError) Unwrap() error { return e.Cause }

// ThrottledError reports that the store refused the call because of its rate
// limit. Nothing was written.
type ThrottledError struct {
	Op         string
	RetryAfter time.Duration
}

func (e *ThrottledError) Error() string {
	return fmt.Sprintf("store: %s: throttled, retry after %s", e.Op, e.RetryAfter)
}

// UnknownOutcomeError reports that the response to a write was lost, so that it
// may or may not have taken effect. The caller must read the key again before it
// retries.
type UnknownOutcomeError struct {
	Op    string
	Cause error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("store: %s: outcome unknown: %v", e.Op, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// CompactedError reports a watch from a revision older than the retained
// history. The watcher must list again.
type CompactedError struct {
	Asked  Revision
	Oldest Revision
}

func (e *CompactedError) Error() string {
	return fmt.Sprintf("store: revision %d is compacted, oldest kept is %d", e.Asked, e.Oldest)
}

// LeaseExpiredError reports a lease that has expired or was never granted.
type LeaseExpiredError struct{ ID LeaseID }

func (e *LeaseExpiredError) Error() string { return fmt.Sprintf("store: lease %d has expired", e.ID) }

// ValueTooLargeError reports a value of more than MaxValueBytes bytes.
type ValueTooLargeError struct {
	Key   string
	Bytes int
}

func (e *ValueTooLargeError) Error() string {
	return fmt.Sprintf("store: value of %q has %d bytes, at most %d are allowed", e.Key, e.Bytes, MaxValueBytes)
}

// IsNotFound reports whether err is a *NotFoundError.
func IsNotFound(err error) bool { return is[*NotFoundError](err) }

// IsConflict reports whether err is a *ConflictError.
func IsConflict(err error) bool { return is[*ConflictError](err) }

// IsUnknownOutcome reports whether err is an *UnknownOutcomeError: the write may
// have taken effect.
func IsUnknownOutcome(err error) bool { return is[*UnknownOutcomeError](err) }

// IsCompacted reports whether err is a *CompactedError: the watcher must list
// again.
func IsCompacted(err error) bool { return is[*CompactedError](err) }

// IsLeaseExpired reports whether err is a *LeaseExpiredError.
func IsLeaseExpired(err error) bool { return is[*LeaseExpiredError](err) }

func is[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
