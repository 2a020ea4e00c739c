package store

import (
	"bytes"
	"context"
)

// IdempotentCAS is CompareAndSwap that resolves a lost response by reading the
// key again and comparing its value with the one written. Without the read, a
// retry would report a conflict with the caller's own write. The value must be
// unique to this write. When another write has changed the key in the meantime,
// the outcome stays unknown and *UnknownOutcomeError is returned.
func IdempotentCAS(ctx context.Context, s Store, write SwapRequest) (Revision, error) {
	revision, err := s.CompareAndSwap(ctx, write)
	if !IsUnknownOutcome(err) {
		return revision, err
	}
	current, readErr := s.Get(ctx, write.Key)
	switch {
	case IsNotFound(readErr) && write.Delete:
		// The key is absent as requested, no matter who deleted it.
		return write.Expect, nil
	case IsNotFound(readErr) && write.Expect == 0 && write.Lease == 0:
		return s.CompareAndSwap(ctx, write)
	case readErr != nil:
		return 0, err
	case current.ModRevision == write.Expect:
		// The write has not taken effect but still may, because the store can be
		// processing the first call. Compare-and-swap makes the retry safe.
		return s.CompareAndSwap(ctx, write)
	case !write.Delete && bytes.Equal(current.Value, write.Value):
		return current.ModRevision, nil
	}
	return 0, err
}
