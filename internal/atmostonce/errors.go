package atmostonce

import "fmt"

// UnconfirmedError says that the store could not make a claim or settlement certain.
type UnconfirmedError struct {
	ID ID
	// MayBeWritten is set when the write may have taken effect.
	MayBeWritten bool
	Cause        error
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("claim %s: not certain, may be written: %t: %v", e.ID, e.MayBeWritten, e.Cause)
}

func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// CorruptError says that a stored claim can't be read.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("claim record %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// BusyError says that too many claims already wait for the store.
type BusyError struct{ Waiting int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d claims already wait for the store", e.Waiting)
}

// EntryError says that an entry of a claim record is not whole.
type EntryError struct{ Kind string }

func (e *EntryError) Error() string { return "an entry of kind " + e.Kind + " is not whole" }

// StoppedError says that the ledger does not serve (any more).
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the ledger does not serve" }

// ShardFullError says that a shard holds as many claims as it may.
type ShardFullError struct{ Archives int }

func (e *ShardFullError) Error() string {
	return fmt.Sprintf("a shard has %d archives of claims, which is all it may", e.Archives)
}

// OwnerUnconfirmedError says that the owner of a shard could not make a claim certain.
type OwnerUnconfirmedError struct{ Owner string }

func (e *OwnerUnconfirmedError) Error() string {
	return fmt.Sprintf("owner %s has no answer from the store", e.Owner)
}

// StaleError says that the store answered too slowly for its answers to be
// fresh.
type StaleError struct{}

func (e *StaleError) Error() string { return "the view of the claims is stale" }
