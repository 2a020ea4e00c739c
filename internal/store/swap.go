package store

import (
	"bytes"
	"context"
)

// IdempotentCAS is CompareAndSwap that resolves a lost answer: it reads the key again
// and looks for its own write. Without it a blind second try reports a
// conflict with itself. The value must carry an identity that no other write
// has. When the key moved on in the meantime the outcome stays unknown and
// *UnknownOutcomeError is returned.
func IdempotentCAS(ctx context.Context, s Store, write Write) (Revision, error) {
	revision, err := s.CompareAndSwap(ctx, write)
	if !IsUnknownOutcome(err) {
		return revision, err
	}
	current, readErr := s.Get(ctx, write.Key)
	switch {
	case IsNotFound(readErr) && write.Delete:
		// Gone is what was asked for, whoever did it.
		return write.Expect, nil
	case IsNotFound(readErr) && write.Expect == 0 && write.Lease == 0:
		return s.CompareAndSwap(ctx, write)
	case readErr != nil:
		return 0, err
	case current.ModRevision == write.Expect:
		// It did not take effect, and may not yet have: the store can hold
		// the first call still. Compare-and-swap makes the second try safe.
		return s.CompareAndSwap(ctx, write)
	case !write.Delete && bytes.Equal(current.Value, write.Value):
		return current.ModRevision, nil
	}
	return 0, err
}
