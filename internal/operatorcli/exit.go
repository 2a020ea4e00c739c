package operatorcli

import (
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"auburnglade.example/glade/internal/operatorapi"
	"auburnglade.example/glade/internal/record"
	"auburnglade.example/glade/internal/wave"
)

// Exit codes of gladectl, documented in docs/operators/gladectl.md.
const (
	ExitOK          = 0
	ExitFailed      = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitNotFound    = 5
	ExitUnreachable = 6
	ExitTimeout     = 7
	// ExitDiffers is the exit code of diff if there are differences.
	ExitDiffers = 8
	// ExitUnknownOutcome means that a change may or may not have been accepted.
	ExitUnknownOutcome = 9
	// ExitNotAllowed means that the credentials were not accepted or that the
	// role is not sufficient.
	ExitNotAllowed = 10
	// ExitHalted means that the awaited wave makes no further progress without
	// an operator.
	ExitHalted = 11
)

// TimeoutError reports that the awaited condition was not reached within the
// timeout.
type TimeoutError struct {
	Condition string
	After     time.Duration
	Lagging   []string
}

func (e *TimeoutError) Error() string {
	text := fmt.Sprintf("%s not reached after %s", e.Condition, e.After)
	if len(e.Lagging) > 0 {
		text += fmt.Sprintf("; still behind: %v", e.Lagging)
	}
	return text
}

// HaltedError reports that a wave stopped because of failures, or that no
// budget permits taking out any of its hosts even when no other host is out.
type HaltedError struct {
	Wave   string
	Phase  wave.Phase
	Reason string
}

func (e *HaltedError) Error() string {
	return fmt.Sprintf("wave %s is %s: %s", e.Wave, e.Phase, e.Reason)
}

// DiffersError reports that files and active records differ.
type DiffersError struct{ Count int }

func (e *DiffersError) Error() string { return fmt.Sprintf("%d records differ", e.Count) }

// FileError reports which file, and which record in it, can't be read.
type FileError struct {
	File  string
	Index int
	Cause error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s: record %d: %v", e.File, e.Index, e.Cause)
}

func (e *FileError) Unwrap() error { return e.Cause }

// ConcurrentChangeError reports that another operator changed the record
// between this operator's read and write.
type ConcurrentChangeError struct {
	ID record.ID
	// Base is the envelope that this operator read, empty if there was none.
	Base     json.RawMessage
	Response *operatorapi.ErrorResponse
}

func (e *ConcurrentChangeError) Error() string { return e.Response.Message }

func (e *ConcurrentChangeError) Unwrap() error { return e.Response }

// asConcurrentChange adds the version that the operator read to a conflict.
func asConcurrentChange(err error, id record.ID, base json.RawMessage) error {
	var response *operatorapi.ErrorResponse
	if errors.As(err, &response) && response.Code == operatorapi.CodeConflict {
		return &ConcurrentChangeError{ID: id, Base: base, Response: response}
	}
	return err
}

func exitCode(err error) int {
	var response *operatorapi.ErrorResponse
	var unreachable *operatorapi.UnreachableError
	switch {
	case errors.As(err, &response):
		return responseExitCode(response.Code)
	case errors.As(err, &unreachable):
		return ExitUnreachable
	case isA[*TimeoutError](err):
		return ExitTimeout
	case isA[*HaltedError](err):
		return ExitHalted
	case isA[*DiffersError](err):
		return ExitDiffers
	case isA[*FileError](err), isA[*PlanRefusedError](err), isA[*record.InvalidError](err), isA[*record.SchemaError](err), isA[*record.SyntaxError](err):
		return ExitInvalid
	}
	return ExitFailed
}

func responseExitCode(code operatorapi.Code) int {
	switch code {
	case operatorapi.CodeInvalid, operatorapi.CodeSchema, operatorapi.CodeBadRequest, operatorapi.CodeReferenced, operatorapi.CodeTooLarge:
		return ExitInvalid
	case operatorapi.CodeConflict, operatorapi.CodePreconditionRequired:
		return ExitConflict
	case operatorapi.CodeNotFound:
		return ExitNotFound
	case operatorapi.CodeStoreUnavailable, operatorapi.CodeRateLimited:
		return ExitUnreachable
	case operatorapi.CodeUnauthenticated, operatorapi.CodeForbidden:
		return ExitNotAllowed
	case operatorapi.CodeUnknownOutcome:
		return ExitUnknownOutcome
	}
	return ExitFailed
}

func printError(out io.Writer, err error) {
	fmt.Fprintln(out, "gladectl:", err)
	var response *operatorapi.ErrorResponse
	if errors.As(err, &response) {
		for _, fault := range response.Faults {
			fmt.Fprintf(out, "  %s: got %q, want %s\n", fault.Field, fault.Got, fault.Want)
		}
	}
	var conflict *ConcurrentChangeError
	if errors.As(err, &conflict) && conflict.Response.Current != nil {
		printConcurrentChange(out, conflict)
	}
}

// printConcurrentChange prints the fields that the other operator changed.
func printConcurrentChange(out io.Writer, conflict *ConcurrentChangeError) {
	current := conflict.Response.Current
	theirs, err := record.ParseEnvelope(current.Stored)
	if err != nil {
		fmt.Fprintf(out, "it can't be read now: %v\n", err)
		return
	}
	author := theirs.Author
	if author == "" {
		author = "another operator"
	}
	fmt.Fprintf(out, "since you read it, %s changed it (revision %d):\n", author, current.Revision)
	// A version that can't be parsed is shown as absent.
	base, _ := record.ParseEnvelope(conflict.Base)
	for _, line := range diffLines(base, theirs) {
		fmt.Fprintln(out, "  "+line)
	}
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
