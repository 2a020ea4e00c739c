package atmostonce

import "fmt"

// UnconfirmedError reports that the store did not confirm a claim or
// settlement.
type UnconfirmedError struct {
	ID ID
	// MayBeWritten is set when the write may have taken effect.
	MayBeWritten bool
	Cause        error
}

func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("claim %s: not confirmed by the store (may be written: %t): %v", e.ID, e.MayBeWritten, e.Cause)
}

func (e *UnconfirmedError) Unwrap() error { return e.Cause }

// CorruptError reports that a stored claim can't be decoded.
type CorruptError struct {
	Key   string
	Cause error
}

func (e *CorruptError) Error() string {
	return fmt.Sprintf("claim record %q is damaged: %v", e.Key, e.Cause)
}

func (e *CorruptError) Unwrap() error { return e.Cause }

// BusyError reports that too many claims are already waiting for the store.
type BusyError struct{ Waiting int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d claims are already waiting for the store", e.Waiting)
}

// EntryError reports that an entry of a claim record has missing or malformed
// fields.
type EntryError struct{ Kind string }

func (e *EntryError) Error() string { return "an entry of kind " + e.Kind + " is not whole" }

// StoppedError reports that the claim store isn't running.
type StoppedError struct{}

func (e *StoppedError) Error() string { return "the ledger does not serve" }

// ShardFullError reports that a shard has reached its maximum number of
// archives.
type ShardFullError struct{ Archives int }

func (e *ShardFullError) Error() string {
	return fmt.Sprintf("shard has reached its limit of %d claim archives", e.Archives)
}

// OwnerUnconfirmedError reports that the owner of a shard could not confirm a
// claim or settlement.
type OwnerUnconfirmedError struct{ Owner string }

func (e *OwnerUnconfirmedError) Error() string {
	return fmt.Sprintf("owner %s got no confirmation from the store", e.Owner)
}

// StaleError reports that the store responded too slowly for the local view of
// the claims to be fresh.
type StaleError struct{}

func (e *StaleError) Error() string { return "local view of the claims is stale" }
