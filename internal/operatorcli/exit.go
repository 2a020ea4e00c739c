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
	// ExitDiffers is what diff returns when there is a difference.
	ExitDiffers = 8
	// ExitUnknownOutcome says that a change may or may not have been accepted.
	ExitUnknownOutcome = 9
	// ExitNotAllowed says that no key was good, or that its role doesn't suffice.
	ExitNotAllowed = 10
	// ExitHalted says that a wave that was waited for goes no further by itself.
	ExitHalted = 11
)

// TimeoutError says that a wait ended without what it waited for.
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

// HaltedError says that a wave stopped for its failures, or that no budget lets
// any of its hosts out even with all others back.
type HaltedError struct {
	Wave   string
	Phase  wave.Phase
	Reason string
}

func (e *HaltedError) Error() string {
	return fmt.Sprintf("wave %s is %s: %s", e.Wave, e.Phase, e.Reason)
}

// DiffersError says that files and records in force differ.
type DiffersError struct{ Count int }

func (e *DiffersError) Error() string { return fmt.Sprintf("%d records differ", e.Count) }

// FileError says which file, and which record in it, can't be read.
type FileError struct {
	File  string
	Index int
	Cause error
}

func (e *FileError) Error() string {
	return fmt.Sprintf("%s: record %d: %v", e.File, e.Index, e.Cause)
}

func (e *FileError) Unwrap() error { return e.Cause }

// ConcurrentChangeError says that another operator changed the record between this
// operator's reading and writing.
type ConcurrentChangeError struct {
	ID record.ID
	// Base is the envelope this operator had, empty when there was none.
	Base     json.RawMessage
	Response *operatorapi.ErrorResponse
}

func (e *ConcurrentChangeError) Error() string { return e.Response.Message }

func (e *ConcurrentChangeError) Unwrap() error { return e.Response }

// asChanged adds what the operator had to a conflict.
func asChanged(err error, id record.ID, had json.RawMessage) error {
	var answer *operatorapi.ErrorResponse
	if errors.As(err, &answer) && answer.Code == operatorapi.CodeConflict {
		return &ConcurrentChangeError{ID: id, Base: had, Response: answer}
	}
	return err
}

func exitCode(err error) int {
	var answer *operatorapi.ErrorResponse
	var unreachable *operatorapi.UnreachableError
	switch {
	case errors.As(err, &answer):
		return answerCode(answer.Code)
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

func answerCode(code operatorapi.Code) int {
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
	var answer *operatorapi.ErrorResponse
	if errors.As(err, &answer) {
		for _, fault := range answer.Faults {
			fmt.Fprintf(out, "  %s: got %q, want %s\n", fault.Field, fault.Got, fault.Want)
		}
	}
	var changed *ConcurrentChangeError
	if errors.As(err, &changed) && changed.Response.Current != nil {
		reportChange(out, changed)
	}
}

// reportChange shows, field by field, what the other operator changed.
func reportChange(out io.Writer, changed *ConcurrentChangeError) {
	current := changed.Response.Current
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
	// What isn't a record shows as a whole new one.
	had, _ := record.ParseEnvelope(changed.Base)
	for _, line := range diffLines(had, theirs) {
		fmt.Fprintln(out, "  "+line)
	}
}

func isA[T error](err error) bool {
	var target T
	return errors.As(err, &target)
}
