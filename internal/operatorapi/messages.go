package operatorapi

import (
	"encoding/json"
	"fmt"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// Record is a record as the API returns it.
type Record struct {
	ID       record.ID      `json:"id"`
	Revision store.Revision `json:"revision"`
	// Stored is the newest stored envelope: byte for byte if it is JSON, else
	// as a JSON string.
	Stored json.RawMessage `json:"stored"`
	// Rejected holds the reason if the stored version is not active.
	Rejected *configstate.Rejection `json:"rejected,omitempty"`
}

// RecordList is the response to a listing.
type RecordList struct {
	Revision store.Revision `json:"revision"`
	Records  []Record       `json:"records"`
}

// ChangeResponse is the response to a change.
type ChangeResponse struct {
	Record   record.ID      `json:"record"`
	Revision store.Revision `json:"revision"`
	DryRun   bool           `json:"dryRun,omitempty"`
}

// RevisionStatus reports whether every live member serves a revision.
type RevisionStatus struct {
	Revision    store.Revision `json:"revision"`
	ServedByAll bool           `json:"inForce"`
	Lagging     []string       `json:"lagging,omitempty"`
}

// Changes is the response to a watch.
type Changes struct {
	Revision store.Revision `json:"revision"`
	Records  []Record       `json:"records"`
	Deleted  []Deletion     `json:"deleted,omitempty"`
	// Reset reports that Records holds every existing record, because this
	// controller doesn't have all deletions since the requested revision.
	Reset bool `json:"reset,omitempty"`
}

// Explanation lists the reasons for the state of a record or host and what it
// waits for.
type Explanation struct {
	Subject string `json:"subject"`
	// Pool is the pool of the explained host.
	Pool    string   `json:"pool,omitempty"`
	Reasons []string `json:"reasons"`
}

// Code identifies a kind of failure.
type Code string

// Failure codes.
const (
	CodeInvalid              Code = "invalid"
	CodeConflict             Code = "conflict"
	CodeSchema               Code = "schema"
	CodeBadRequest           Code = "bad-request"
	CodeNotFound             Code = "not-found"
	CodePreconditionRequired Code = "precondition-required"
	CodeReferenced           Code = "referenced"
	CodeUnknownOutcome       Code = "unknown-outcome"
	CodeStoreUnavailable     Code = "store-away"
	CodeTooLarge             Code = "too-large"
	CodeRateLimited          Code = "too-many-requests"
	// CodeUnauthenticated means that the sender is not authenticated, and
	// CodeForbidden that its role doesn't permit the request.
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
)

// ErrorResponse is the body of every failed request.
type ErrorResponse struct {
	Code    Code               `json:"code"`
	Message string             `json:"message"`
	Faults  record.FieldErrors `json:"faults,omitempty"`
	// Current is the current version of the record on a conflict.
	Current *Record `json:"current,omitempty"`
}

// NotFoundError reports that a record doesn't exist.
type NotFoundError struct{ ID record.ID }

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s not found", e.ID) }

// ConflictError reports that a record has changed since the operator read it.
type ConflictError struct {
	ID      record.ID
	Expect  store.Revision
	Current *Record
}

func (e *ConflictError) Error() string {
	if e.Current == nil {
		return fmt.Sprintf("%s changed since revision %d", e.ID, e.Expect)
	}
	return fmt.Sprintf("%s changed since revision %d, it is at %d now", e.ID, e.Expect, e.Current.Revision)
}

// PreconditionMissingError reports that a change has no valid If-Match or
// If-None-Match header.
type PreconditionMissingError struct{ Got string }

func (e *PreconditionMissingError) Error() string {
	return fmt.Sprintf("If-Match: got %q, want the record's ETag, or If-None-Match: * for a new record", e.Got)
}

// QueryError reports an invalid query parameter.
type QueryError struct {
	Parameter string
	Got       string
	Want      string
}

func (e *QueryError) Error() string {
	return fmt.Sprintf("query parameter %s: got %q, want %s", e.Parameter, e.Got, e.Want)
}
