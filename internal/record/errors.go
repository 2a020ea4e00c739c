package record

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// FieldError names one faulty field: its path, what was read, what is allowed.
type FieldError struct {
	Field string `json:"field"`
	Got   string `json:"got"`
	Want  string `json:"want"`
}

func (e FieldError) Error() string {
	return fmt.Sprintf("%s: got %q, want %s", e.Field, e.Got, e.Want)
}

// FieldErrors is every fault found in one record.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "; ")
}

// InvalidError says that a record can't be put in force, and why.
type InvalidError struct {
	ID     ID
	Faults FieldErrors
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("record %s is invalid: %s", e.ID, e.Faults.Error())
}

// SchemaError says that a record carries a schema version this build or this
// fleet doesn't understand.
type SchemaError struct {
	ID       ID
	Schema   int
	Min, Max int
}

func (e *SchemaError) Error() string {
	return fmt.Sprintf("record %s has schema %d, understood are %d to %d", e.ID, e.Schema, e.Min, e.Max)
}

// SyntaxError says that a document isn't a record at all.
type SyntaxError struct {
	// Offset is the byte at which reading stopped.
	Offset int64
	Cause  error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("not a record: byte %d: %v", e.Offset, e.Cause)
}

func (e *SyntaxError) Unwrap() error { return e.Cause }

// TrailingDataError says that something follows a complete document.
type TrailingDataError struct{}

func (e *TrailingDataError) Error() string { return "more data follows the record" }

var errTrailingData = &TrailingDataError{}

func invalid(id ID, faults ...FieldError) error {
	return &InvalidError{ID: id, Faults: faults}
}

func jsonFault(err error) FieldError {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return FieldError{Field: "spec." + typeErr.Field, Got: typeErr.Value, Want: "a value of type " + typeErr.Type.String()}
	}
	return FieldError{Field: "spec", Got: err.Error(), Want: "a JSON object"}
}

func kindList() string {
	names := make([]string, len(Kinds))
	for i, kind := range Kinds {
		names[i] = string(kind)
	}
	return "one of " + strings.Join(names, ", ")
}
