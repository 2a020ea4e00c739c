package record

import (
	"encoding/json"
	"fmt"
	"strings"

	"github.com/cockroachdb/errors"
)

// FieldError is a fault in one field: its path, the value read and the values
// allowed.
type FieldError struct {
	Field string `json:"field"`
	Got   string `json:"got"`
	Want  string `json:"want"`
}

func (e FieldError) Error() string {
	return fmt.Sprintf("%s: got %q, want %s", e.Field, e.Got, e.Want)
}

// FieldErrors holds every fault found in one record.
type FieldErrors []FieldError

func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, fault := range e {
		lines[i] = fault.Error()
	}
	return strings.Join(lines, "; ")
}

// InvalidError reports that a record can't be applied, with every fault found.
type InvalidError struct {
	ID          ID
	FieldErrors FieldErrors
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("record %s is invalid: %s", e.ID, e.FieldErrors.Error())
}

// SchemaError reports that a record has a schema version that this build or a
// member of this fleet does not support.
type SchemaError struct {
	ID       ID
	Schema   int
	Min, Max int
}

func (e *SchemaError) Error() string {
	return fmt.Sprintf("record %s has schema %d, understood are %d to %d", e.ID, e.Schema, e.Min, e.Max)
}

// SyntaxError reports that a document isn't a record.
type SyntaxError struct {
	// Offset is the byte offset at which decoding stopped.
	Offset int64
	Cause  error
}

func (e *SyntaxError) Error() string {
	return fmt.Sprintf("not a record: byte %d: %v", e.Offset, e.Cause)
}

func (e *SyntaxError) Unwrap() error { return e.Cause }

// TrailingDataError reports data after a complete document.
type TrailingDataError struct{}

func (e *TrailingDataError) Error() string { return "more data follows the record" }

var errTrailingData = &TrailingDataError{}

func invalid(id ID, faults ...FieldError) error {
	return &InvalidError{ID: id, FieldErrors: faults}
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
