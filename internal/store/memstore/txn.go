package memstore

import (
	"context"

	"auburnglade.example/glade/internal/store"
)

var _ store.Transactor = (*Store)(nil)

// Commit implements store.Transactor.
func (s *Store) Commit(ctx context.Context, txn store.Txn) (store.Revision, error) {
	if err := s.admit(ctx, opWrite); err != nil {
		return 0, err
	}
	if txn.OpCount() > store.MaxTxnOps {
		return 0, &store.TooManyOpsError{Ops: txn.OpCount()}
	}
	revision, err := s.commit(txn)
	if err != nil {
		return 0, err
	}
	if s.loseResponse() {
		return 0, &store.UnknownOutcomeError{Op: opWrite, Cause: errResponseLost}
	}
	return revision, nil
}

func (s *Store) commit(txn store.Txn) (store.Revision, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkLocked(txn); err != nil {
		return 0, err
	}
	s.revision++
	for _, put := range txn.Puts {
		value := append([]byte(nil), put.Value...)
		entry := store.Entry{Key: put.Key, Value: value, ModRevision: s.revision, Lease: put.Lease}
		s.entries[put.Key] = entry
		s.recordLocked(store.Event{Entry: entry})
	}
	for _, key := range txn.Deletes {
		s.removeLocked(key)
	}
	return s.revision, nil
}

func (s *Store) checkLocked(txn store.Txn) error {
	held := true
	conflict := &store.TxnConflictError{}
	for _, condition := range txn.Conditions {
		entry, ok := s.entries[condition.Key]
		if ok {
			conflict.Current = append(conflict.Current, entry)
		}
		held = held && entry.ModRevision == condition.Expect
	}
	if !held {
		return conflict
	}
	for _, put := range txn.Puts {
		if len(put.Value) > store.MaxValueBytes {
			return &store.ValueTooLargeError{Key: put.Key, Bytes: len(put.Value)}
		}
		if put.Lease != 0 && s.leases[put.Lease] == nil {
			return &store.LeaseExpiredError{ID: put.Lease}
		}
	}
	return nil
}
