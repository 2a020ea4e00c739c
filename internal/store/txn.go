package store

import (
	"context"
	"fmt"
)

// MaxTxnOps is the maximum total number of conditions, puts and deletes in one
// transaction; the platform's service refuses more.
const MaxTxnOps = 32

// Condition requires a key to be at a revision; zero means that it must be
// absent.
type Condition struct {
	Key    string
	Expect Revision
}

// Put is a value written by a transaction.
type Put struct {
	Key   string
	Value []byte
	// Lease, when set, deletes the key once the lease ends.
	Lease LeaseID
}

// Txn is a set of changes that are applied atomically, and only if every
// condition holds.
type Txn struct {
	Conditions []Condition
	Puts       []Put
	Deletes    []string
}

// OpCount returns the number of operations that count towards MaxTxnOps.
func (t Txn) OpCount() int { return len(t.Conditions) + len(t.Puts) + len(t.Deletes) }

// Lease returns the lease that the transaction's puts are bound to, zero if there is none.
func (t Txn) Lease() LeaseID {
	for _, put := range t.Puts {
		if put.Lease != 0 {
			return put.Lease
		}
	}
	return 0
}

// TxnConflictError reports that a condition did not hold. Nothing was written.
// Current has the existing entries of the keys named by the conditions; absent
// keys are left out.
type TxnConflictError struct{ Current []Entry }

func (e *TxnConflictError) Error() string {
	return fmt.Sprintf("store: a condition of the transaction did not hold, %d keys exist", len(e.Current))
}

// Find returns the current entry of a key named by a condition. Its ModRevision
// is zero when the key is absent.
func (e *TxnConflictError) Find(key string) Entry {
	for _, entry := range e.Current {
		if entry.Key == key {
			return entry
		}
	}
	return Entry{Key: key}
}

// TooManyOpsError reports a transaction of more than MaxTxnOps operations.
type TooManyOpsError struct{ Ops int }

func (e *TooManyOpsError) Error() string {
	return fmt.Sprintf("store: the transaction has %d operations, at most %d are allowed", e.Ops, MaxTxnOps)
}

// IsTxnConflict reports whether err is a *TxnConflictError.
func IsTxnConflict(err error) bool { return is[*TxnConflictError](err) }

// IsRefused reports whether the store certainly did nothing because it was
// unavailable or throttled the call.
func IsRefused(err error) bool {
	return is[*UnavailableError](err) || is[*ThrottledError](err)
}

// Transactor is a Store that can change several keys atomically.
type Transactor interface {
	Store
	// Commit returns the revision of the change. It returns *TxnConflictError,
	// *LeaseExpiredError or *TooManyOpsError when nothing was written, and
	// *UnknownOutcomeError when the change may have been applied.
	Commit(ctx context.Context, txn Txn) (Revision, error)
}
