package atmostonce

import "fmt"

// AwayError says that the store could not make a claim or settlement certain.
type AwayError struct {
	ID ID
	// MayBeWritten is set when the write may have taken effect.
	MayBeWritten bool
	Cause        error
}

func (e *AwayError) Error() string {
	return fmt.Sprintf("claim %s: not certain, may be written: %t: %v", e.ID, e.MayBeWritten, e.Cause)
}

func (e *AwayError) Unwrap() error { return e.Cause }

// DamagedError says that a stored claim can't be read.
type DamagedError struct {
	Key   string
	Cause error
}

func (e *DamagedError) Error() string {
	return fmt.Sprintf("claim record %q is damaged: %v", e.Key, e.Cause)
}

func (e *DamagedError) Unwrap() error { return e.Cause }

// BusyError says that too many claims already wait for the store.
type BusyError struct{ Waiting int }

func (e *BusyError) Error() string {
	return fmt.Sprintf("%d claims already wait for the store", e.Waiting)
}
