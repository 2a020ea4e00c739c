package store

import (
	"context"
	"fmt"
)

// MaxTxnOps is how many conditions and changes one transaction may hold
// in total; the platform's service refuses more.
const MaxTxnOps = 32

// Condition asks that a key be at a revision; zero means it must be absent.
type Condition struct {
	Key    string
	Expect Revision
}

// Put is one value that a transaction writes.
type Put struct {
	Key   string
	Value []byte
	// Lease, when set, deletes the key once the lease ends.
	Lease LeaseID
}

// Txn is a set of changes that happen all or not at all, if every condition
// holds.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// OpCount is how much of MaxTxnEntries the transaction takes.
func (t Txn) OpCount() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// TxnConflictError says that a condition did not hold. Nothing was written.
// Current has the entries named by the conditions, as they are; absent keys
// are left out.
type TxnConflictError struct{ Current []Entry }

func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("store: a condition of the transaction did not hold, %d keys exist", len(e.Current))
}

// Find returns the current entry of a key named by a condition; its
// ModRevision is zero when the key is absent.
func (e *TxnConflictError) Find(key string) Entry {
	for _, entry := range e.Current {
		if entry.Key == key {
			return entry
		}
	}
	return Entry{Key: key}
}

// TooManyOpsError says that a transaction is over MaxTxnEntries.
type TooManyOpsError struct{ Ops int }

func (e *TooManyOpsError) Error() string {
	return fmt.Sprintf("store: the transaction has %d entries, at most %d are allowed", e.Ops, MaxTxnOps)
}

// IsTxnConflict reports whether a condition of a transaction did not hold.
func IsTxnConflict(err error) bool { return is[*TxnConflictError](err) }

// IsRefused reports whether the store certainly did nothing: it was
// unavailable to us or throttled the call.
func IsRefused(err error) bool {
	return is[*UnavailableError](err) || is[*ThrottledError](err)
}

// Transactor is a store that changes several keys at once.
type Transactor interface {
	Store
	// Commit returns the revision of the change, or *TxnConflictError,
	// *LeaseExpiredError, *TooManyEntriesError (nothing was written), or
	// *UnknownOutcomeError.
	Commit(ctx context.Context, txn Txn) (Revision, error)
}
