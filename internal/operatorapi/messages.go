package operatorapi

import (
	"encoding/json"
	"fmt"

	"auburnglade.example/glade/internal/configstate"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/store"
)

// Record is one record as the API shows it.
type Record struct {
	ID       record.ID      `json:"id"`
	Revision store.Revision `json:"revision"`
	// Stored is the newest stored envelope, byte for byte when it is JSON.
	Stored json.RawMessage `json:"stored"`
	// Rejected says why the stored version isn't in force, when it isn't.
	Rejected *configstate.Rejection `json:"rejected,omitempty"`
}

// RecordList is the answer to a listing.
type RecordList struct {
	Revision store.Revision `json:"revision"`
	Records  []Record       `json:"records"`
}

// ChangeResponse is the answer to a change.
type ChangeResponse struct {
	Record   record.ID      `json:"record"`
	Revision store.Revision `json:"revision"`
	DryRun   bool           `json:"dryRun,omitempty"`
}

// RevisionStatus says whether every live member serves a revision.
type RevisionStatus struct {
	Revision    store.Revision `json:"revision"`
	ServedByAll bool           `json:"inForce"`
	Lagging     []string       `json:"lagging,omitempty"`
}

// Changes is the answer to a watch.
type Changes struct {
	Revision store.Revision `json:"revision"`
	Records  []Record       `json:"records"`
	Deleted  []Deletion     `json:"deleted,omitempty"`
	// Reset says that Records holds every record there is, because this
	// controller doesn't know every deletion since the asked revision.
	Reset bool `json:"reset,omitempty"`
}

// Explanation says why something is as it is and what it waits for.
type Explanation struct {
	Subject string `json:"subject"`
	// Pool is the pool of an explained host.
	Pool    string   `json:"pool,omitempty"`
	Reasons []string `json:"reasons"`
}

// Code names a kind of failure.
type Code string

// The codes.
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
	// CodeUnauthenticated and CodeForbidden: nobody known asks, or their role
	// doesn't suffice.
	CodeUnauthenticated Code = "unauthenticated"
	CodeForbidden       Code = "forbidden"
)

// ErrorResponse is the body of every failure.
type ErrorResponse struct {
	Code    Code               `json:"code"`
	Message string             `json:"message"`
	Faults  record.FieldErrors `json:"faults,omitempty"`
	// Current is what the other operator left, on a conflict.
	Current *Record `json:"current,omitempty"`
}

// NotFoundError says that there is no such record.
type NotFoundError struct{ ID record.ID }

func (e *NotFoundError) Error() string { return fmt.Sprintf("%s not found", e.ID) }

// ConflictError says that a record changed since the operator read it.
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

// PreconditionMissingError says that a change named no revision to replace.
type PreconditionMissingError struct{ Got string }

func (e *PreconditionMissingError) Error() string {
	return fmt.Sprintf("If-Match: got %q, want the record's ETag, or If-None-Match: * for a new record", e.Got)
}

// QueryError names a faulty query parameter.
type QueryError struct {
	Parameter string
	Got       string
	Want      string
}

func (e *QueryError) Error() string {
	return fmt.Sprintf("query parameter %s: got %q, want %s", e.Parameter, e.Got, e.Want)
}
